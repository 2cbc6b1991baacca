/// @file target_defs.h
/// State of the targets as one gateway knows it.

#ifndef DISPATCH_TARGET_DEFS_H
#define DISPATCH_TARGET_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"
#include "dispatch/index.h"
#include "dispatch/pace.h"

/// One target's entry in the platform's list.
struct cm_target_info {
    const char *id;      ///< of this incarnation; a restart usually changes it
    const char *service; ///< NULL if the entry is unusable
    const char *address; ///< IP:PORT
    const char *zone;
    const char *software; ///< version of its software; "" or NULL if unnamed
    int64_t max_requests; ///< requests that it runs at once
    int64_t started_ms; ///< Unix time of its start, distinguishes incarnations
    bool draining;      ///< must get no new work
    bool is_engine;     ///< it serves models and has an agent
    bool has_model;     ///< its base model is loaded
};

/// Time for which an engine is expected to keep a copy of an adapter outside
/// its slots: an engine keeps about 30 copies and fetches one or two a second.
#define CM_COPY_WARM_MS 20000
/// Prefill rate of an engine that also generates tokens.
#define CM_PREFILL_TOKENS_PER_MS 18.0
/// Age of a grant from which the platform's list, which lags behind, overrides
/// it.
#define CM_COPY_FRESH_MS 2000

/// Copy of one adapter at a target.
struct cm_adapter_copy {
    bool resident; ///< in a slot; otherwise a copy outside the slots
    bool listed;   ///< found in the list that is being read
    struct timespec last_resident; ///< when it was last known in a slot
};

/// Last report of an agent on its engine. The backlog also includes prompts
/// that this gateway has sent since.
struct cm_agent_report {
    int64_t slot_wait_ms;        ///< until a load of another adapter can start
    double backlog_ms;           ///< time for the prefill of queued prompts
    struct timespec received_at; ///< 0 if there was no report
};

/// What one incarnation of a target has said of itself in its responses.
/// Reference-counted, as its entries in the table come and go.
struct cm_notice {
    char *id;
    char *incarnation;             ///< id and start, the key in the table
    bool leaving;                  ///< it ends soon; is never withdrawn
    bool listed;                   ///< it has had an entry in the table
    struct timespec leaving_since; ///< when it was first heard
    bool gone;                     ///< its end has been noticed
    struct timespec paused_until;  ///< it wants no requests before
    struct timespec pause_began;
    bool pausing;          ///< until the end of the pause has been noticed
    struct timespec heard; ///< when it last said something
};

struct cm_targets;

/// One target of the table; attempts hold references to it.
struct cm_live_target {
    LIST_ENTRY(cm_live_target) link;
    struct cm_targets *table; ///< NULL once it is removed
    char *id;
    char *service;
    char *address;
    char *zone;
    char *software;      ///< version of its software, "" if unnamed
    char *agent_address; ///< agent on the same instance
    uint64_t hash;
    bool same_zone;
    bool draining;
    bool is_engine;
    bool has_model;
    /// When it was added, or last known without its model.
    struct timespec model_missing_since;
    bool is_new;          ///< its last update has added it
    bool model_requested; ///< a load request to its agent is pending
    bool listed;          ///< found in the list that is being read
    int64_t max_requests;
    int64_t started_ms;
    int references;     ///< by the table and by each attempt
    bool removed;       ///< no longer in the table
    uint64_t last_pick; ///< last pick that has it as a candidate

    int64_t in_flight; ///< of this gateway
    struct cm_agent_report agent_report;
    /// Running and waiting, by its last response or its agent's last reply.
    int64_t reported_requests;
    int64_t in_flight_at_report; ///< `in_flight` at `reported_at`
    struct timespec reported_at;
    struct cm_pace pace; ///< how long work takes there, by its responses

    GHashTable *copies; ///< adapter key to struct cm_adapter_copy

    double failure_ratio; ///< moving average as of `last_outcome_at`
    struct timespec last_outcome_at;
    int consecutive_failures; ///< lost attempts since the last answer
    struct timespec ejected_until;
    struct timespec agent_down_until;
    bool rate_limited;              ///< names a rate limit
    struct timespec limit_heard;    ///< when it last named it
    struct timespec at_limit_until; ///< no permit is to be had before
    struct cm_notice *notice;       ///< NULL until it says something
};

LIST_HEAD(cm_target_list, cm_live_target);

struct cm_targets {
    struct cm_target_list list;
    struct cm_target_index index;
    uint64_t picks; ///< number of the last pick
    size_t count;
    const char *zone; ///< of this gateway
    int agent_port;
    GHashTable *versions; ///< adapter key to int64_t, announced versions
    GHashTable *notices;  ///< incarnation to struct cm_notice
};

#endif
