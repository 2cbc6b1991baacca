/// @file engine.h
/// Client of the engine's control interface: polls reports and sends orders to
/// load or unload the base model and adapters.

#ifndef SLOTS_ENGINE_H
#define SLOTS_ENGINE_H

#include "slots.h"

/// Initializes the client. The first report is requested from the event loop.
void
Engine_Init(struct slots *slots);

/// Cancels the active call and frees the client's resources.
void
Engine_Finish(struct slots *slots);

/// Sends the next order, or schedules the next report if there is none, unless
/// a call is active. To be called when a lease starts to wait or ends.
void
Engine_GiveOrders(struct slots *slots);

/// Sets the incarnation and the base model that a gateway expects at the
/// engine's address. An incarnation that the engine itself has confirmed is
/// kept.
/// @return whether `target` is the incarnation that orders are sent to.
bool
Engine_SetExpected(struct slots *slots, const char *target, const char *model);

/// @return whether the engine is reachable and its base model is loaded.
bool
Engine_IsReady(const struct slots *slots);

#endif
