/// @file slot_wait.c
/// Expected time until the load of an adapter can start.
///
/// Load pattern: all slots are pinned by runs of one to two seconds, and cold
/// loads queue for the weight store. A constant for a short run and one for a
/// load promised starts within 350 ms to requests that then waited for more
/// than a second. The wait follows from how long the runs have gone on, how
/// long runs and loads have taken, and from the requests that go on using a
/// popular adapter.

#include "residency/slot_wait.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

/// Weight of one load in the mean duration.
#define LOAD_WEIGHT 0.25

void
CmSlotWait_AddRun(struct cm_slot_durations *durations, int64_t run_ms)
{
    durations->runs_ms[durations->runs++ % CM_SLOT_WAIT_RUNS] =
        run_ms > 0 ? run_ms : 0;
}

void
CmSlotWait_AddLoad(struct cm_slot_durations *durations, int64_t load_ms)
{
    if (durations->load_ms <= 0) {
        durations->load_ms = (double)load_ms;
    }
    durations->load_ms += LOAD_WEIGHT * ((double)load_ms - durations->load_ms);
}

double
CmSlotWait_LoadMs(const struct cm_slot_durations *durations)
{
    return durations->load_ms > 0 ? durations->load_ms : CM_SLOT_WAIT_LOAD_MS;
}

double
CmSlotWait_RemainingRunMs(const struct cm_slot_durations *durations,
                          double age_ms)
{
    size_t n = durations->runs < CM_SLOT_WAIT_RUNS ? durations->runs
                                                   : CM_SLOT_WAIT_RUNS;
    if (n == 0) {
        return fmax(CM_SLOT_WAIT_RUN_MS - age_ms, CM_SLOT_WAIT_RUN_MS / 2.0);
    }
    double sum_ms = 0;
    double remaining_ms = 0;
    size_t longer = 0;
    for (size_t i = 0; i < n; i++) {
        double run_ms = (double)durations->runs_ms[i];
        sum_ms += run_ms;
        if (run_ms > age_ms) {
            remaining_ms += run_ms - age_ms;
            longer++;
        }
    }
    // A run longer than all measured ones is expected to go on for half of the
    // mean: nothing is known of its end.
    return longer > 0 ? remaining_ms / (double)longer : sum_ms / (double)n / 2;
}

double
CmSlotWait_FurtherUseMs(const struct cm_slot_durations *durations,
                        double uses_per_ms)
{
    double run_ms = CmSlotWait_RemainingRunMs(durations, 0);
    if (uses_per_ms <= 0) {
        return 0;
    }
    // Busy period of a queue with Poisson arrivals and any number of servers,
    // without its first run.
    double busy_ms = expm1(uses_per_ms * run_ms) / uses_per_ms;
    return fmin(fmax(busy_ms - run_ms, 0), CM_SLOT_WAIT_MAX_MS);
}

static int
compare_ms(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return (left > right) - (left < right);
}

int64_t
CmSlotWait_StartMs(struct cm_slot_queue *queue, bool cold)
{
    if (queue->n_slots == 0) {
        return CM_SLOT_WAIT_MAX_MS;
    }
    qsort(queue->slots_ms, queue->n_slots, sizeof(double), compare_ms);
    // qsort() takes no NULL, which an empty array may be.
    if (queue->n_loads > 0) {
        qsort(queue->loads_ms, queue->n_loads, sizeof(double), compare_ms);
    }
    // Places of the window: those of loads in progress and free ones. Loads
    // beyond a window that has just shrunk leave no place.
    size_t window = queue->window > 0 ? queue->window : 1;
    double *places_ms = g_new0(double, window);
    size_t surplus = queue->n_loads > window ? queue->n_loads - window : 0;
    for (size_t i = 0; i < window && i + surplus < queue->n_loads; i++) {
        places_ms[i] = queue->loads_ms[i + surplus];
    }
    double start_ms = 0;
    for (size_t i = 0; i <= queue->ahead; i++) {
        qsort(places_ms, window, sizeof(double), compare_ms);
        bool takes_place = cold || i < queue->ahead;
        // With more loads than slots, a slot is used for one after the other.
        size_t round = i / queue->n_slots;
        double slot_ms = queue->slots_ms[i % queue->n_slots] +
                         (double)round * (queue->load_ms + queue->run_ms);
        start_ms = fmax(slot_ms, takes_place ? places_ms[0] : 0);
        places_ms[0] = start_ms + queue->load_ms;
    }
    g_free(places_ms);
    return (int64_t)fmin(start_ms, CM_SLOT_WAIT_MAX_MS);
}
