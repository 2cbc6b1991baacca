/// @file peer_fetch.h
/// Fetches configuration and targets from peer gateways if the store is
/// unreachable at startup.

#ifndef GATEWAY_PEER_FETCH_H
#define GATEWAY_PEER_FETCH_H

#include "gateway.h"

/// Path at the control address of what Snapshot_ComposeFacts() returns.
#define FACTS_PATH "/facts"

/// Starts to poll the gateways of the roster, at first the seeds. Polling ends
/// once requests can be placed, be it by a snapshot or because the store has
/// answered.
void
PeerFetch_Init(struct gateway *gateway);

/// Asks others once more for what the store may have lost, after it came
/// back from an older copy.
void
PeerFetch_AskAgain(struct gateway *gateway);

/// Cancels a fetch in progress and frees its buffers.
void
PeerFetch_Finish(struct gateway *gateway);

/// Asks others for facts again.
void
PeerFetch_AskForFacts(struct gateway *gateway);

#endif
