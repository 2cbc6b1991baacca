/// @file peer_fetch.h
/// A gateway that starts while the store is away asks other gateways for
/// what they know.

#ifndef GATEWAY_PEER_FETCH_H
#define GATEWAY_PEER_FETCH_H

#include "gateway.h"

/// Starts to ask the seeds of the settings, unless the store answers first.
void
PeerFetch_Init(struct gateway *gateway);

/// Stops.
void
PeerFetch_Finish(struct gateway *gateway);

#endif
