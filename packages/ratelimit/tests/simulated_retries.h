/// @file simulated_retries.h
/// Gateways that retry what targets refuse, as far as their budgets and the
/// permits of the seeds allow; with manual time, no network and no requests
/// but their counts.

#ifndef SIMULATED_RETRIES_H
#define SIMULATED_RETRIES_H

#include <stdbool.h>

#include "ratelimit/retry_permits.h"
#include "ratelimit/retry_window.h"

#define SIM_STEP_MS 10
#define SIM_STEPS_MAX 8000

/// A load pattern with its failures.
struct sim_retries {
    const char *name;
    int n_gateways;
    int n_seeds;
    double requests_per_s; ///< of each gateway
    double reserve;
    int64_t start_ms; ///< of the clock
    int length_ms;
    int refused_from_ms;
    int refused_until_ms;
    int refused_every_ms; ///< the refusals come again; 0 for once
    int kill_every_ms;    ///< 0 for never
    int kills;            ///< gateways that are killed each time
    int down_ms;          ///< of a killed one
    int n_cut;            ///< gateways that reach no holder, from 20 s on
    int late_ms;          ///< from a grant until its permits are used
    bool other_settings;  ///< half of the seeds name twice the reserve
    bool callers_move;    ///< every 7 s to the other half of the gateways
    int suspended;        ///< gateways that stand still from 21 s to 29 s
};

/// What reached the targets, in each step.
struct sim_counts {
    int steps;
    int requests[SIM_STEPS_MAX];
    int retries[SIM_STEPS_MAX];
};

/// Runs a pattern.
void
SimRetries_Run(const struct sim_retries *pattern, struct sim_counts *counts);

/// Retries of the worst window beyond what the limit over all gateways allows.
/// @param[out] used share of it that the windows wholly within the refusals
/// used, on average; 0 if there is no such window.
double
SimCounts_WorstExcess(const struct sim_counts *counts,
                      const struct sim_retries *pattern, double *used);

#endif
