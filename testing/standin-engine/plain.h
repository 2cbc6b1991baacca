/// @file plain.h
/// A plain target: answers any method on any path by echoing the request.

#ifndef PLAIN_H
#define PLAIN_H

#include "engine.h"

struct plain_target {
    struct shared_state *shared;
    struct evhttp *server;
    char name[ENGINE_NAME_MAX];
    char *crash_on;       ///< text in a request body that crashes the target
    int delay_ms;         ///< until a request is answered
    bool silent;          ///< requests are never answered
    bool down;            ///< crashed, not yet restarted
    uint64_t incarnation; ///< number of crashes
    uint64_t runs;        ///< requests received
    struct event *restart_timer;
};

/// Starts a plain target called `name` that listens on `port`.
void
PlainTarget_Init(struct plain_target *plain, struct shared_state *shared,
                 const char *name, int port);

/// Stops listening and frees the members.
void
PlainTarget_Finish(struct plain_target *plain);

/// Applies the faults in `body`; those that it doesn't name stay as they are.
void
PlainTarget_SetFaults(struct plain_target *plain, const json_t *body);

#endif
