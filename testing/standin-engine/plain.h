/// @file plain.h
/// One plain target: answers any method on any path and counts the runs.

#ifndef PLAIN_H
#define PLAIN_H

#include "engine.h"

struct plain {
    struct fleet *fleet;
    struct evhttp *server;
    char name[ENGINE_NAME_MAX];
    char *crash_on;
    int delay_ms;
    bool silent;
    bool down;
    uint64_t generation; ///< counts crashes
    uint64_t runs;
    struct event *restarted;
};

/// Prepares a plain target called `name` that listens on `port`.
void
Plain_Init(struct plain *plain, struct fleet *fleet, const char *name,
           int port);

/// Frees the target.
void
Plain_Finish(struct plain *plain);

/// Applies the fault controls in `body`.
void
Plain_SetFaults(struct plain *plain, const json_t *body);

#endif
