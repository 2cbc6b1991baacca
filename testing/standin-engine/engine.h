/// @file engine.h
/// One model engine: adapter slots, continuous batching, prefix cache,
/// priorities, resume and cancel.

#ifndef ENGINE_H
#define ENGINE_H

#include "base/list.h"
#include "shared_state.h"

#define ENGINE_NAME_MAX 64
#define ENGINE_PREFIX_MAX 256
#define ENGINE_PREFIX_BYTES 64

struct engine_run;
struct engine_load;

/// Faults of one target, set through `PUT /faults`.
struct engine_faults {
    char *crash_on; ///< a run whose body holds this text fells the engine
    double load_failure_rate;
    bool silent; ///< connections that stand now send nothing more
    int token_delay_ms;
};

struct engine_load_report {
    int running;
    int waiting;
    int loading;
};

struct engine {
    struct fleet *fleet;
    struct evhttp *server;
    char name[ENGINE_NAME_MAX];
    GHashTable *adapters; ///< name to struct engine_adapter
    TAILQ_HEAD(, engine_run) running;
    TAILQ_HEAD(, engine_run) waiting; ///< most urgent first
    TAILQ_HEAD(, engine_run) retired; ///< finished, kept for a resume
    size_t n_retired;
    LIST_HEAD(, engine_load) loads;
    GHashTable *streams; ///< id to struct engine_run, for resume
    struct event *step;
    struct event *restarted;
    struct event *report_timer;
    struct engine_faults faults;
    struct engine_load_report report;     ///< lags
    uint64_t prefixes[ENGINE_PREFIX_MAX]; ///< ring of cached prefixes
    size_t next_prefix;
    GQueue events; ///< text lines of cache events
    uint64_t event_number;
    uint64_t fence;
    char *role;
    bool down;
    double batch_sum; ///< requests in each step, summed
    uint64_t steps;
    uint64_t evicted_in_use;
};

/// Prepares an engine called `name` that listens on `port`.
void
Engine_Init(struct engine *engine, struct fleet *fleet, const char *name,
            int port);

/// Frees the engine.
void
Engine_Finish(struct engine *engine);

/// Applies the fault controls in `body`.
void
Engine_SetFaults(struct engine *engine, const json_t *body);

/// @return figures of the engine since its start; new reference.
json_t *
Engine_Stats(const struct engine *engine);

#endif
