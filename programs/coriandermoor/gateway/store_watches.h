/// @file store_watches.h
/// What a gateway follows in the platform's store.

#ifndef GATEWAY_FEEDS_H
#define GATEWAY_FEEDS_H

#include "gateway.h"

/// Starts to follow configuration, targets and adapter versions.
void
Feeds_Init(struct gateway *gateway);

/// The settings changed: follows the targets at the pace they ask for.
void
Feeds_SetPace(struct gateway *gateway);

/// Takes the operators' configuration as the store has it.
/// @param name where it comes from, for the log.
void
Feeds_TakeCatalog(struct gateway *gateway, const char *name,
                  const json_t *spec);

/// Stops.
void
Feeds_Finish(struct gateway *gateway);

#endif
