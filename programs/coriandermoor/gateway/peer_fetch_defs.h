/// @file peer_fetch_defs.h
/// State of the snapshot fetch from peer gateways.

#ifndef GATEWAY_PEER_FETCH_DEFS_H
#define GATEWAY_PEER_FETCH_DEFS_H

#include "h1/pool.h"

/// Fetch from one gateway after the other.
struct peer_fetch {
    struct event *timer; ///< next fetch, or timeout of the current one
    struct cm_h1_call call;
    GString *body;
    int status;
    bool wants_facts; ///< the call in progress asks for facts only
    int facts_tries;  ///< gateways asked for facts
    bool settled;     ///< no further facts are expected
    /// The store's configuration was the latest by then, as far as it knows;
    /// counts once no further facts are expected.
    struct timespec listed_at;
};

#endif
