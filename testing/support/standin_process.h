/// @file standin_process.h
/// Starts a stand-in for a contract test and ends it after.

#ifndef STANDIN_PROCESS_H
#define STANDIN_PROCESS_H

#include <glib.h>

struct standin_process {
    GPid pid;
    int port;
    char address[32]; ///< IP:PORT
};

/// @return a port that was free a moment ago.
int
StandinProcess_FreePort(void);

/// Starts `program` with `arguments` (NULL-terminated, without the program)
/// and waits until its port accepts connections.
void
StandinProcess_Start(struct standin_process *process, const char *program,
                     int port, const char *const *arguments);

/// Ends it.
void
StandinProcess_Stop(struct standin_process *process);

#endif
