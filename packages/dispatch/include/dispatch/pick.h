/// @file pick.h
/// Chooses the target of one attempt.

#ifndef DISPATCH_PICK_H
#define DISPATCH_PICK_H

#include "dispatch/targets.h"

/// Most targets that one request may try.
#define CM_EXCLUDED_MAX 6
/// Targets of a service that one pick weighs, besides others that have the
/// adapter: enough that some of them are idle while the whole is not full, and
/// few enough that a pick costs about the same for 18 and for 5,400 engines.
#define CM_PICK_WINDOW 24
/// Targets with the adapter that one pick weighs.
#define CM_PICK_COPIES_MAX 32

/// What is to be placed.
struct cm_pick_request {
    const char *service;
    const char *adapter; ///< key, NULL if the request needs none
    bool needs_model;    ///< only targets with their base model will do
    struct cm_live_target *const *excluded;
    size_t n_excluded;
};

/// The choice, with what decided it.
struct cm_pick {
    struct cm_live_target *target; ///< NULL if there is none
    bool resident;                 ///< believed to hold the adapter
    double cost_ms;                ///< expected wait
    size_t candidates;
};

/// Chooses a target for a request to a plain service: the least loaded one,
/// the gateway's own zone first among equals.
void
CmPick_Plain(struct cm_targets *targets, const struct cm_pick_request *request,
             struct timespec now, struct cm_pick *pick);

/// Chooses an engine: expected wait from its load, the load of the adapter
/// where it is missing, and the way there.
void
CmPick_Engine(struct cm_targets *targets,
              const struct cm_pick_request *request, struct timespec now,
              struct cm_pick *pick);

#endif
