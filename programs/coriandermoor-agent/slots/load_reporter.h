/// @file load_reporter.h
/// Tells the gateways that use this agent's engine how loaded it is.

#ifndef SLOTS_LOAD_REPORTER_H
#define SLOTS_LOAD_REPORTER_H

#include "slots.h"

void
LoadReporter_Init(struct slots *slots);

/// Remembers that a gateway has asked for a lease, and where it receives
/// reports.
/// @param address IP:PORT; NULL or "" if it wants none.
void
LoadReporter_CountLease(struct slots *slots, const char *address);

void
LoadReporter_Finish(struct slots *slots);

#endif
