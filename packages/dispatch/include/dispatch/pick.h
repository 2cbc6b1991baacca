/// @file pick.h
/// Chooses the target of one attempt.

#ifndef DISPATCH_PICK_H
#define DISPATCH_PICK_H

#include "dispatch/targets.h"

/// Most targets that one request may try and exclude.
#define CM_EXCLUDED_MAX 6
/// Targets of a service that one pick compares, besides others that have the
/// adapter: enough that some of them are idle unless the whole service is
/// full, and few enough that a pick costs about the same with 18 and with
/// 5,400 engines.
#define CM_PICK_WINDOW 24
/// Targets with a copy of the adapter that one pick compares.
#define CM_PICK_COPIES_MAX 32

struct cm_pick_request {
    const char *service;
    const char *adapter;  ///< key, NULL if the request needs none
    const char *software; ///< version that is required, NULL for any
    bool needs_model;     ///< skip targets whose base model is not loaded
    /// Earlier requests for the adapter in the last seconds, estimated for all
    /// gateways.
    double demand;
    struct cm_live_target *const *excluded;
    size_t n_excluded;
};

/// The chosen target and the figures that decided.
struct cm_pick {
    struct cm_live_target *target; ///< NULL if there is none
    bool resident;  ///< as far as known, the adapter is in a slot there
    double cost_ms; ///< expected wait
    size_t candidates;
};

/// Chooses the least loaded target of a plain service; among equals the
/// gateway's own zone comes first. Where targets name their pace, load counts
/// in proportion to it, and only a few targets are compared, which are drawn
/// in proportion to their speed.
void
CmPick_Plain(struct cm_targets *targets, const struct cm_pick_request *request,
             struct timespec now, struct cm_pick *pick);

/// Chooses the engine with the shortest expected wait: its queue, the load of
/// the adapter where it is not resident, and the way to another zone. The
/// queue counts in proportion to the engine's pace.
void
CmPick_Engine(struct cm_targets *targets,
              const struct cm_pick_request *request, struct timespec now,
              struct cm_pick *pick);

#endif
