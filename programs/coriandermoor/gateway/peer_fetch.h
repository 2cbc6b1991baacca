/// @file peer_fetch.h
/// A gateway that starts while the store is away asks other gateways for
/// what they know.

#ifndef GATEWAY_PEERS_H
#define GATEWAY_PEERS_H

#include "gateway.h"

/// Starts to ask the seeds of the settings, unless the store answers first.
void
Peers_Init(struct gateway *gateway);

/// Stops.
void
Peers_Finish(struct gateway *gateway);

#endif
