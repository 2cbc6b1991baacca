/// @file peer_state.h
/// What an entry takes from its peers while the object API is out of reach:
/// the configuration in force and the list of agents.

#ifndef PEER_STATE_H
#define PEER_STATE_H

#include "entry.h"

/// Prepares the questions to peers.
void
PeerState_Init(struct entry *entry);

/// Gives them up.
void
PeerState_Finish(struct entry *entry);

/// Asks the next peer where that may help: the object API does not answer,
/// or an agent has heard of a later revision.
void
PeerState_Poll(struct entry *entry);

#endif
