/// @file slot_wait.h
/// Expected time until the load of an adapter can start at an engine. Pure
/// functions; times in ms.

#ifndef RESIDENCY_SLOT_WAIT_H
#define RESIDENCY_SLOT_WAIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Runs whose durations are kept: more than run at the same time at most
/// engines, so that they follow a change of the load within seconds.
#define CM_SLOT_WAIT_RUNS 64
/// Duration of a run and of a cold load before any is measured.
#define CM_SLOT_WAIT_RUN_MS 200
#define CM_SLOT_WAIT_LOAD_MS 150
/// Longest expected wait. Requests don't wait for so long.
#define CM_SLOT_WAIT_MAX_MS 10000

/// Measured durations of runs and cold loads. Zero-initialized.
struct cm_slot_durations {
    int64_t runs_ms[CM_SLOT_WAIT_RUNS]; ///< ring buffer
    size_t runs;                        ///< ever added
    double load_ms;                     ///< mean of the last cold loads, or 0
};

void
CmSlotWait_AddRun(struct cm_slot_durations *durations, int64_t run_ms);

void
CmSlotWait_AddLoad(struct cm_slot_durations *durations, int64_t load_ms);

/// @return expected duration of a cold load.
double
CmSlotWait_LoadMs(const struct cm_slot_durations *durations);

/// @return expected time that a run goes on after `age_ms`.
double
CmSlotWait_RemainingRunMs(const struct cm_slot_durations *durations,
                          double age_ms);

/// @param uses_per_ms rate of the requests for an adapter.
/// @return expected time for which further requests keep its slot in use after
/// the end of a run.
double
CmSlotWait_FurtherUseMs(const struct cm_slot_durations *durations,
                        double uses_per_ms);

/// What a load waits for.
struct cm_slot_queue {
    double *slots_ms; ///< until each slot can be reused; sorted by the call
    size_t n_slots;
    double *loads_ms; ///< remaining times of the cold loads in progress
    size_t n_loads;
    size_t window;  ///< cold loads that may be in progress at once
    size_t ahead;   ///< loads that start before
    double load_ms; ///< expected duration of each of them
    double run_ms;  ///< expected duration of a run
};

/// @param cold whether the load counts in the window.
/// @return expected time until the load can start.
int64_t
CmSlotWait_StartMs(struct cm_slot_queue *queue, bool cold);

#endif
