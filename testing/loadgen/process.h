/// @file process.h
/// Signals and restarts processes of the deployment.

#ifndef PROCESS_H
#define PROCESS_H

#include "deployment.h"

/// Sends a signal to process `name`, a key of "pids" in the addresses file.
void
Process_Signal(const struct deployment *deployment, const char *name,
               int signal_number);

/// Starts the process with its original command line, output appended to its
/// log, and records the new process id. The old process must have exited.
void
Process_Restart(struct deployment *deployment, const char *name);

/// @return whether the process exists and isn't a zombie.
bool
Process_IsRunning(const struct deployment *deployment, const char *name);

/// Writes the addresses file with the current process ids, which `devstack
/// down` needs to stop all processes.
void
Process_SavePids(const struct deployment *deployment, const char *path);

#endif
