/// @file target_defs.h
/// Targets as one entry sees them.

#ifndef DISPATCH_TARGET_DEFS_H
#define DISPATCH_TARGET_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"

/// What the platform's list says of one target.
struct cm_target_info {
    const char *id;      ///< of this incarnation, mostly
    const char *service; ///< NULL if the entry is unusable
    const char *address; ///< IP:PORT
    const char *zone;
    int64_t slots;      ///< requests it runs at once
    int64_t started_ms; ///< Unix time of its start, tells incarnations apart
    bool draining;      ///< gets no new work
    bool has_model;     ///< holds its base model
};

/// One target.
struct cm_live_target {
    LIST_ENTRY(cm_live_target) link;
    char *id;
    char *service;
    char *address;
    char *agent; ///< address of the agent beside it
    uint64_t hash;
    bool same_zone;
    bool draining;
    bool has_model;
    bool listed; ///< seen in the list that is being read
    int64_t slots;
    int64_t started_ms;
    int references; ///< the table and each attempt
    bool gone;      ///< no longer in the table

    int64_t in_flight;      ///< of this entry
    double prefill_tokens;  ///< sent by this entry and not begun
    int64_t reported;       ///< running and waiting, by its last response
    int64_t in_flight_then; ///< of this entry at that time
    struct timespec reported_at;

    int failures; ///< in a row
    struct timespec ejected_until;
    struct timespec agent_down_until;
    struct timespec returned;
};

LIST_HEAD(cm_target_list, cm_live_target);

/// All targets, and which adapters they are believed to hold.
struct cm_targets {
    struct cm_target_list list;
    size_t count;
    const char *zone; ///< of this entry
    int agent_port;
    GHashTable *holders; ///< adapter key to GPtrArray of struct cm_live_target
    GHashTable *versions; ///< adapter key to int64_t, announced versions
};

#endif
