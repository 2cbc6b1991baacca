/// @file replay.h
/// Discrete-event simulation of a load pattern. It runs the code with which
/// gateways choose engines and agents place adapters.

#ifndef REPLAY_REPLAY_H
#define REPLAY_REPLAY_H

#include "dispatch/pick.h"
#include "patterns.h"

/// A policy that chooses the engine of a request.
struct policy {
    const char *name;
    void (*pick)(struct cm_targets *targets,
                 const struct cm_pick_request *request, struct timespec now,
                 struct cm_pick *pick);
};

/// The gateways' policy first, then the baselines it is compared with.
extern const struct policy policies[];
extern const size_t n_policies;

struct replay_result {
    int requests;
    int on_time;             ///< first event within the target latency
    int late_waits;          ///< late ones that waited for a load or a slot
    int late;                ///< also if the caller gave up during the run
    int rejected;            ///< also after a retry, or without time for one
    int abandoned;           ///< caller gave up before an engine accepted it
    int cold_loads;          ///< loads from the weight store
    int adapters;            ///< requested at least once
    double slot_wait_p95_ms; ///< from sending to the start of the run
    double first_event_p99_ms;
    double busiest; ///< runs at the busiest engine by those at the mean one
};

/// Simulates `pattern`. Deterministic: the same arguments give the same
/// result.
struct replay_result
Replay_Simulate(const struct pattern *pattern, const struct policy *policy);

/// @return goodput: 1 for each request on time, 0.5 for each late one.
double
Replay_Goodput(const struct replay_result *result);

/// @return goodput as a share of the requests that were not abandoned.
double
Replay_GoodputShare(const struct replay_result *result);

#endif
