/// @file peer_gossip.h
/// Exchanges crash records with the other gateways over HTTP.

#ifndef GATEWAY_PEER_GOSSIP_H
#define GATEWAY_PEER_GOSSIP_H

#include "gateway.h"
#include "request_defs.h"

/// Path of the exchange at the control address.
#define GOSSIP_PATH "/crash-records"

/// Starts to poll the seeds of the settings.
void
PeerGossip_Init(struct gateway *gateway);

void
PeerGossip_Finish(struct gateway *gateway);

/// Polls one peer; to be called about once a second, and more often until the
/// first one has responded.
void
PeerGossip_Poll(struct gateway *gateway);

/// Adds a record that this gateway observed, and pushes it to peers.
void
PeerGossip_Observe(struct gateway *gateway, struct cm_crash_record *record);

/// Grants a trial, as its arbiter, and pushes that to peers.
/// @return whether it is granted; see CmTrial_Grant().
bool
PeerGossip_GrantTrial(struct gateway *gateway, const char *content,
                      uint64_t claim_id);

/// Claims a trial at its arbiter, for a request that is told the answer by
/// TrialClaim_HandleAnswer().
/// @return the call, or NULL if none can be started.
struct gossip_call *
PeerGossip_ClaimTrial(struct gateway *gateway, const char *arbiter,
                      const char *content, uint64_t claim_id,
                      struct request *request);

/// Gives back a trial that did not reach a target.
void
PeerGossip_GiveBackTrial(struct gateway *gateway, const char *content);

/// Has no request told of the answer; a trial that is granted is given back.
void
PeerGossip_ForgetClaim(struct gossip_call *call);

/// Applies a peer's message.
/// @return the response, to be freed with free(), or NULL if the message is
/// malformed.
char *
PeerGossip_Answer(struct gateway *gateway, const GString *message);

#endif
