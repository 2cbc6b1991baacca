/// @file engines.h
/// Engines with their agents: slots, loads from a store that slows down,
/// prompts read one after the other, tokens made in batches.

#ifndef REPLAY_ENGINES_H
#define REPLAY_ENGINES_H

#include "residency/residency.h"
#include "sim.h"

/// What loads from the store share.
struct weight_store {
    int in_transit;
    int full_speed_loads; ///< loads at once at full speed
    int cold_loads;       ///< loads so far
};

struct engine {
    struct sim *sim;
    struct weight_store *store;
    struct cm_residency residency;
    GHashTable *resident; ///< adapters in slots
    GHashTable *loading;  ///< adapters on their way
    GQueue
        cached_adapters; ///< adapters it keeps outside its slots, latest first
    double prefill_done_ms; ///< when all prompts will have been read
    int running;
    int incarnation; ///< goes up when the engine is lost and comes back
    bool down;
};

void
Engine_Init(struct engine *engine, struct sim *sim, struct weight_store *store,
            int slots);

void
Engine_Finish(struct engine *engine);

/// Gives the orders that are due.
void
Engine_ExecuteOrders(struct engine *engine);

/// @return time that the prompts ahead take to be read, in ms.
double
Engine_BacklogMs(const struct engine *engine);

/// Begins a run.
/// @param first_ms set to the time until its first event.
/// @return time until its end, in ms.
double
Engine_Run(struct engine *engine, double prompt_tokens, double output_tokens,
           double *first_event_ms);

/// All runs and slots are lost; Engine_Return() ends that.
void
Engine_Fail(struct engine *engine);

#endif
