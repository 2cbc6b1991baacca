/// @file standin_process.h
/// Runs a stand-in server as a child process of a contract test.

#ifndef STANDIN_PROCESS_H
#define STANDIN_PROCESS_H

#include <glib.h>

struct standin_process {
    GPid pid;
    int port;
    char address[32]; ///< IP:PORT
};

/// @return a TCP port of 127.0.0.1 that was free when checked; nothing
///         reserves it.
int
StandinProcess_FreePort(void);

/// Starts `program` from the build directory with `arguments`
/// (NULL-terminated, without the program itself) and waits up to 5 s for
/// `port` to accept connections. Exits the test if the process can't be
/// started.
void
StandinProcess_Start(struct standin_process *process, const char *program,
                     int port, const char *const *arguments);

/// Sends SIGTERM and waits for the process to exit.
void
StandinProcess_Stop(struct standin_process *process);

#endif
