/// @file gateway_main.h
/// Entry point of a gateway.

#ifndef GATEWAY_GATEWAY_MAIN_H
#define GATEWAY_GATEWAY_MAIN_H

/// Runs a gateway until it is stopped.
/// @param path its settings file, or NULL for the platform's.
/// @return the exit code of the process.
int
Gateway_Main(const char *path);

#endif
