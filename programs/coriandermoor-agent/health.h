/// @file health.h
/// Whether the target lives: checks, crashes and who ran when it fell.

#ifndef HEALTH_H
#define HEALTH_H

#include "agent.h"

/// Prepares the checks.
void
Health_Init(struct agent *agent);

/// Frees the checks.
void
Health_Finish(struct agent *agent);

/// A run broke off: notes what was running and checks the target at once.
void
Health_SuspectTarget(struct agent *agent);

/// Starts the regular check.
void
Health_Check(struct agent *agent);

#endif
