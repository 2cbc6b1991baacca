/// @file plain.h
/// One plain target: answers any method on any path and counts the runs.

#ifndef PLAIN_H
#define PLAIN_H

#include "engine.h"

struct plain_target {
    struct shared_state *shared;
    struct evhttp *server;
    char name[ENGINE_NAME_MAX];
    char *crash_on;
    int delay_ms;
    bool silent;
    bool down;
    uint64_t generation; ///< counts crashes
    uint64_t runs;
    struct event *restart_timer;
};

/// Prepares a plain target called `name` that listens on `port`.
void
PlainTarget_Init(struct plain_target *plain, struct shared_state *shared,
                 const char *name, int port);

/// Frees the target.
void
PlainTarget_Finish(struct plain_target *plain);

/// Applies the fault controls in `body`.
void
PlainTarget_SetFaults(struct plain_target *plain, const json_t *body);

#endif
