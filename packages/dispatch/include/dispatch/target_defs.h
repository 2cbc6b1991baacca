/// @file target_defs.h
/// Targets as one gateway sees them.

#ifndef DISPATCH_TARGET_DEFS_H
#define DISPATCH_TARGET_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"
#include "dispatch/index.h"

/// What the platform's list says of one target.
struct cm_target_info {
    const char *id;      ///< of this incarnation, mostly
    const char *service; ///< NULL if what is listed is unusable
    const char *address; ///< IP:PORT
    const char *zone;
    int64_t slots;      ///< requests it runs at once
    int64_t started_ms; ///< Unix time of its start, tells incarnations apart
    bool draining;      ///< gets no new work
    bool has_model;     ///< holds its base model
};

/// Time for which a target is likely to keep a copy of an adapter that has
/// left its slots: it keeps some thirty, and fetches one or two a second.
#define CM_COPY_WARM_MS 20000
/// Prompt tokens that an engine reads in a ms while it also generates.
#define CM_PREFILL_TOKENS_PER_MS 18.0
/// Age of a grant beyond which the platform's list is believed instead.
#define CM_COPY_FRESH_MS 2000

/// One adapter's copy at a target.
struct cm_adapter_copy {
    bool resident;                 ///< in a slot; otherwise it loads quickly
    bool listed;                   ///< in the list that is being read
    struct timespec last_resident; ///< last known to be in a slot
};

/// What an agent last told of its engine; adapted to what was sent since.
struct cm_agent_report {
    int64_t slot_wait_ms;        ///< until another adapter's load could start
    double backlog_ms;           ///< time that prompts ahead take to be read
    struct timespec received_at; ///< 0 for never
};

struct cm_targets;

/// One target.
struct cm_live_target {
    LIST_ENTRY(cm_live_target) link;
    struct cm_targets *table; ///< NULL once it is gone
    char *id;
    char *service;
    char *address;
    char *zone;
    char *agent_address; ///< address of the agent beside it
    uint64_t hash;
    bool same_zone;
    bool draining;
    bool has_model;
    struct timespec model_missing_since; ///< seen without its model
    bool model_requested;                ///< its agent is being asked
    bool listed; ///< seen in the list that is being read
    int64_t slots;
    int64_t started_ms;
    int references;     ///< the table and each attempt
    bool removed;       ///< no longer in the table
    uint64_t last_pick; ///< number of the last pick that looked at it

    int64_t in_flight;                   ///< of this gateway
    struct cm_agent_report agent_report; ///< by its agent
    int64_t reported_requests;   ///< running and waiting, by its last response
    int64_t in_flight_at_report; ///< of this gateway at that time
    struct timespec reported_at;

    GHashTable *copies; ///< adapter key to struct cm_adapter_copy

    double failure_ratio; ///< of recent answers, as of `answered`
    struct timespec last_outcome_at;
    int consecutive_failures; ///< in a row
    struct timespec ejected_until;
    struct timespec agent_down_until;
};

LIST_HEAD(cm_target_list, cm_live_target);

/// All targets.
struct cm_targets {
    struct cm_target_list list;
    struct cm_target_index index;
    uint64_t picks; ///< made so far
    size_t count;
    const char *zone; ///< of this gateway
    int agent_port;
    GHashTable *versions; ///< adapter key to int64_t, announced versions
};

#endif
