/// @file store_watches.h
/// Watches on the platform's store: configuration, targets, adapter versions.

#ifndef GATEWAY_STORE_WATCHES_H
#define GATEWAY_STORE_WATCHES_H

#include "gateway.h"

/// Starts the watches.
void
StoreWatch_Init(struct gateway *gateway);

/// Applies the current settings to the timing of the target watch.
void
StoreWatch_UpdateTiming(struct gateway *gateway);

/// Puts a configuration into force if it is valid and newer than the current
/// one.
/// @param name source of the configuration, for the log.
void
StoreWatch_ApplyConfig(struct gateway *gateway, const char *name,
                       const json_t *spec);

/// Stops the watches.
void
StoreWatch_Finish(struct gateway *gateway);

#endif
