/// @file engine.h
/// A simulated model engine: adapter slots, continuous batching, prefix cache,
/// request priorities, and calls that resume or cancel a request.

#ifndef ENGINE_H
#define ENGINE_H

#include "base/list.h"
#include "shared_state.h"

#define ENGINE_NAME_MAX 64
/// Prompts in the prefix cache.
#define ENGINE_PREFIXES_MAX 256
/// Bytes at the start of a prompt that identify it in the prefix cache.
#define ENGINE_PREFIX_BYTES 64

struct engine_run;
struct engine_load;

/// Injected faults of one engine, set through `PUT /faults`.
struct engine_faults {
    char *crash_on; ///< text in a request body that crashes the engine
    double load_failure_rate; ///< probability that a load fails
    bool silent;              ///< unused; see struct engine_run
    int token_delay_ms;       ///< added to each decode step
};

/// Load as `GET /load` returns it.
struct engine_load_report {
    int running;
    int waiting;
    int loading; ///< 1 while any load is in progress, else 0
};

struct engine {
    struct shared_state *shared;
    struct evhttp *server;
    char name[ENGINE_NAME_MAX];
    GHashTable *adapters; ///< name to struct engine_adapter
    TAILQ_HEAD(, engine_run) running;
    TAILQ_HEAD(, engine_run) waiting;   ///< most urgent first
    TAILQ_HEAD(, engine_run) completed; ///< resumable runs that have ended
    size_t n_completed;
    LIST_HEAD(, engine_load) loads;
    GHashTable *streams; ///< request id to struct engine_run
    struct event *decode_timer;
    struct event *restart_timer;
    struct event *report_timer;
    struct engine_faults faults;
    struct engine_load_report report;            ///< sampled, lags behind
    uint64_t prefix_hashes[ENGINE_PREFIXES_MAX]; ///< prefix cache, oldest
                                                 ///< overwritten
    size_t next_prefix_slot;
    GQueue events; ///< lines of JSON about cached prefixes, not yet read
    uint64_t last_event_number;
    uint64_t last_fence;   ///< highest fencing token since the last restart
    char *role;            ///< as set through `/v1/role`
    bool down;             ///< crashed, not yet restarted
    double batch_size_sum; ///< sum of the batch sizes of all decode steps
    uint64_t decode_steps;
    uint64_t evicted_in_use; ///< adapters unloaded while runs used them
};

/// Starts an engine called `name` that listens on `port`.
void
Engine_Init(struct engine *engine, struct shared_state *shared,
            const char *name, int port);

/// Aborts all runs and loads, stops listening and frees the members.
void
Engine_Finish(struct engine *engine);

/// Applies the faults in `body`; those that it doesn't name stay as they are.
void
Engine_SetFaults(struct engine *engine, const json_t *body);

/// @return counters since the start of the process; new reference.
json_t *
Engine_Stats(const struct engine *engine);

#endif
