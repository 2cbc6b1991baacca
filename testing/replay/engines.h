/// @file engines.h
/// Simulated engines with their agents. An engine has adapter slots, loads
/// adapters from a weight store that slows down with concurrent loads,
/// prefills prompts one after the other and generates tokens in batches.

#ifndef REPLAY_ENGINES_H
#define REPLAY_ENGINES_H

#include "residency/residency.h"
#include "sim.h"

/// Weight store that all engines load adapters from.
struct weight_store {
    int in_transit;       ///< loads in progress
    int full_speed_loads; ///< concurrent loads that run at full speed
    double load_ms;       ///< duration of a load at full speed
    int cold_loads;       ///< loads started so far
};

struct engine {
    struct sim *sim;
    struct weight_store *store;
    struct cm_residency residency;
    GHashTable *resident; ///< adapters in slots
    GHashTable *loading;  ///< adapters whose load is in progress
    /// Adapters with a copy outside the slots, most recently used first.
    GQueue cached_adapters;
    double prefill_rate;    ///< in tokens per ms
    double prefill_done_ms; ///< time at which all prompts are prefilled
    int running;            ///< requests in the batch
    int runs;               ///< requests that started here
    int incarnation;        ///< number of failures
    bool down; ///< failed; the owner clears it when the engine returns
};

/// Initializes an engine with `slots` empty slots.
/// @param prefill_rate in tokens per ms.
void
Engine_Init(struct engine *engine, struct sim *sim, struct weight_store *store,
            int slots, double prefill_rate);

void
Engine_Finish(struct engine *engine);

/// Executes all orders that the agent has for the engine now.
void
Engine_ExecuteOrders(struct engine *engine);

/// @return time until all prompts so far are prefilled, in ms.
double
Engine_BacklogMs(const struct engine *engine);

/// Adds a request to the batch; the caller counts `running` down at its end.
/// @param first_event_ms set to the time until its first event, in ms.
/// @return time until its end, in ms.
double
Engine_Run(struct engine *engine, double prompt_tokens, double output_tokens,
           double *first_event_ms);

/// Takes the engine down. It loses its requests, its adapters in slots and
/// its loads in progress.
void
Engine_Fail(struct engine *engine);

#endif
