/// @file health.h
/// Health checks of the target, and crash reports that name the requests that
/// were running when it went down.

#ifndef HEALTH_H
#define HEALTH_H

#include "agent.h"

/// The target counts as down until its first check succeeds.
void
Health_Init(struct agent *agent);

/// Cancels a check under way.
void
Health_Finish(struct agent *agent);

/// Handles a run that lost its connection or could not connect: records the
/// running requests as suspects of a crash and checks the target at once.
void
Health_SuspectTarget(struct agent *agent);

/// Starts a health check unless one is under way.
void
Health_Check(struct agent *agent);

#endif
