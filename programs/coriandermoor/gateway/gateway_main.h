/// @file gateway_main.h
/// Runs the gateway process.

#ifndef GATEWAY_GATEWAY_MAIN_H
#define GATEWAY_GATEWAY_MAIN_H

/// Runs a gateway until SIGTERM or SIGINT has shut it down.
/// @param path settings file, or NULL for the platform's default path.
/// @return the exit code of the process.
int
Gateway_Main(const char *path);

#endif
