/// @file peer_fetch_defs.h
/// What a gateway asks others while the store has not answered yet.

#ifndef GATEWAY_PEERS_DEFS_H
#define GATEWAY_PEERS_DEFS_H

#include "h1/pool.h"

struct peers {
    struct event *timer; ///< next question, or the end of patience
    struct cm_h1_call call;
    GString *body;
    int status;
    size_t next; ///< number of the seed that is asked next
};

#endif
