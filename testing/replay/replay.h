/// @file replay.h
/// Replays a load pattern against the decisions of gateways and agents.

#ifndef REPLAY_REPLAY_H
#define REPLAY_REPLAY_H

#include "dispatch/pick.h"
#include "patterns.h"

/// How engines are chosen.
struct policy {
    const char *name;
    void (*pick)(struct cm_targets *targets,
                 const struct cm_pick_request *request, struct timespec now,
                 struct cm_pick *pick);
};

/// The present policy and the baselines it is compared with.
extern const struct policy policies[];
extern const size_t n_policies;

struct replay_result {
    int requests;
    int on_time; ///< first event within the target latency
    int late;
    int rejected;            ///< for good
    int abandoned;           ///< callers who gave up
    int cold_loads;          ///< loads from the store
    double slot_wait_p95_ms; ///< until the adapter was in its slot
};

/// Plays `pattern`; the same arguments give the same result.
struct replay_result
Replay_Play(const struct pattern *pattern, const struct policy *policy);

/// @return what callers got: 1 for each request on time, half for a late one.
double
Replay_Goodput(const struct replay_result *result);

/// @return the same as a share of the callers who stayed.
double
Replay_GoodputShare(const struct replay_result *result);

#endif
