/// @file arbiter.h
/// Chooses the gateway that decides for all of them in one matter. Gateways
/// choose the same one without talking about it, from what they know of each
/// other: of the candidates that respond, the one with the highest hash.
///
/// A candidate that is new, has started again, or was cut off or suspended is
/// passed over until all gateways have heard of it, so that they go over to it
/// at the same time. Without any other candidate a gateway that runs for long
/// enough is chosen, and without any of these the candidates that have just
/// started.

#ifndef PEERS_ARBITER_H
#define PEERS_ARBITER_H

#include "peers/roster.h"

/// @param key names the matter; each has an arbiter of its own.
/// @return the address of the arbiter, or NULL if it is this gateway. Valid
/// until the next change of the roster.
const char *
CmArbiter_Choose(const struct cm_roster *roster, const char *key);

/// The same without some gateways.
/// @param may tells whether the gateway of an address may be chosen. If none
/// may, all may.
const char *
CmArbiter_ChooseAmong(const struct cm_roster *roster, const char *key,
                      bool (*may)(void *context, const char *address),
                      void *context);

/// @return whether another gateway may decide the same matter: it precedes
/// this one, and was in contact shortly before even if it doesn't respond.
bool
CmArbiter_IsContested(const struct cm_roster *roster, const char *key);

#endif
