/// @file peer_gossip.h
/// Exchanges crash records with the other gateways over HTTP.

#ifndef GATEWAY_PEER_GOSSIP_H
#define GATEWAY_PEER_GOSSIP_H

#include "gateway.h"

/// Path of the exchange at the control address.
#define GOSSIP_PATH "/crash-records"

/// Starts to poll the seeds of the settings.
void
PeerGossip_Init(struct gateway *gateway);

void
PeerGossip_Finish(struct gateway *gateway);

/// Adds the seeds of the settings to the peers.
void
PeerGossip_AddSeeds(struct gateway *gateway);

/// Polls one peer; to be called about once a second, and more often until the
/// first one has responded.
void
PeerGossip_Poll(struct gateway *gateway);

/// Adds a record that this gateway observed, and pushes it to peers.
void
PeerGossip_Observe(struct gateway *gateway, struct cm_crash_record *record);

/// Applies a peer's message.
/// @return the response, to be freed with free(), or NULL if the message is
/// malformed.
char *
PeerGossip_Answer(struct gateway *gateway, const GString *message);

#endif
