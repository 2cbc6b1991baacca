/// @file engine.h
/// Reports of the engine and orders to it.

#ifndef SLOTS_ENGINE_H
#define SLOTS_ENGINE_H

#include "slots.h"

/// Starts to read reports.
void
Engine_Init(struct slots *slots);

/// Stops.
void
Engine_Finish(struct slots *slots);

/// A lease waits: orders are given as soon as the engine can take them.
void
Engine_GiveOrders(struct slots *slots);

/// Gateways mean this incarnation of the engine, with this base model.
/// @return whether it is the one that this agent knows of.
bool
Engine_SetExpected(struct slots *slots, const char *target, const char *model);

/// @return whether the engine answers and holds its base model.
bool
Engine_IsReady(const struct slots *slots);

#endif
