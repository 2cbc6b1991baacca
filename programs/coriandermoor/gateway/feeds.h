/// @file feeds.h
/// What a gateway follows in the platform's store.

#ifndef GATEWAY_FEEDS_H
#define GATEWAY_FEEDS_H

#include "gateway.h"

/// Starts to follow configuration, targets and adapter versions.
void
Feeds_Init(struct gateway *gateway);

/// Stops.
void
Feeds_Finish(struct gateway *gateway);

#endif
