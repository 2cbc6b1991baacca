/// @file process.h
/// Processes of the deployment: signals, and starting them again.

#ifndef PROCESS_H
#define PROCESS_H

#include "deployment.h"

/// Sends a signal to the process called `name`.
void
Process_Signal(const struct deployment *deployment, const char *name,
               int signal_number);

/// Starts the process again by the command that started it first, once the
/// old one has ended. Writes its number into the description.
void
Process_Restart(struct deployment *deployment, const char *name);

/// @return whether the process runs.
bool
Process_IsRunning(const struct deployment *deployment, const char *name);

/// Writes the description back, so that `devstack down` finds all processes.
void
Process_SavePids(const struct deployment *deployment, const char *path);

#endif
