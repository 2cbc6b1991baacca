/// @file peer_state.h
/// Polls other entries for the configuration in force and the list of agents
/// while the object API is unreachable.

#ifndef PEER_STATE_H
#define PEER_STATE_H

#include "entry.h"

/// Initializes the poll of peers.
void
PeerState_Init(struct entry *entry);

/// Cancels a poll in flight and frees its buffer.
void
PeerState_Finish(struct entry *entry);

/// Polls the next peer if the object API does not answer, no configuration is
/// in force, or an agent has a later revision than this entry.
void
PeerState_Poll(struct entry *entry);

#endif
