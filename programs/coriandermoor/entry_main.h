/// @file entry_main.h
/// Main function of an entry: the HTTP front end that talks to agents over
/// ZeroMQ.

#ifndef ENTRY_MAIN_H
#define ENTRY_MAIN_H

/// Runs an entry with the settings file at `path` until SIGTERM or SIGINT.
/// @return the process's exit code.
int
Entry_Main(const char *path);

#endif
