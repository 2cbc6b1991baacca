/// @file store_watches.h
/// What a gateway follows in the platform's store.

#ifndef GATEWAY_STORE_WATCHES_H
#define GATEWAY_STORE_WATCHES_H

#include "gateway.h"

/// Starts to follow configuration, targets and adapter versions.
void
StoreWatch_Init(struct gateway *gateway);

/// The settings changed: follows the targets at the pace they ask for.
void
StoreWatch_UpdatePace(struct gateway *gateway);

/// Takes the operators' configuration as the store has it.
/// @param name where it comes from, for the log.
void
StoreWatch_ApplyConfig(struct gateway *gateway, const char *name,
                       const json_t *spec);

/// Stops.
void
StoreWatch_Finish(struct gateway *gateway);

#endif
