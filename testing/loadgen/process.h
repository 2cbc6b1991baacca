/// @file process.h
/// Processes of the deployment: signals, and starting them again.

#ifndef PROCESS_H
#define PROCESS_H

#include "deployment.h"

/// Sends a signal to the process called `name`.
void
Process_Signal(const struct stack *stack, const char *name, int number);

/// Starts the process again by the command that started it first, once the
/// old one has ended. Writes its number into the description.
void
Process_Restart(struct stack *stack, const char *name);

/// @return whether the process runs.
bool
Process_Runs(const struct stack *stack, const char *name);

/// Writes the description back, so that `devstack down` finds all processes.
void
Process_Save(const struct stack *stack, const char *path);

#endif
