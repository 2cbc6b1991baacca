/// @file residency_defs.h
/// Adapters of one engine: which it holds, which runs need them, and which
/// requests wait for one.

#ifndef RESIDENCY_RESIDENCY_DEFS_H
#define RESIDENCY_RESIDENCY_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"

/// Loads from the store that an engine may have under way at once; the
/// platform's limit.
#define CM_RESIDENCY_INCOMING_MAX 4
/// Half-life of an adapter's use count: several requests of a popular one.
#define CM_RESIDENCY_HALF_LIFE_MS 8000
/// Adapters that may wait for their load; more would wait longer than a load
/// at another engine takes.
#define CM_RESIDENCY_QUEUE_MAX 3
/// Loads from the store that one engine may have under way: the window opens
/// while they take little more than the quickest one, and closes when the
/// store slows down, which it does for all engines at once.
#define CM_RESIDENCY_COLD_WINDOW_START 2.0
#define CM_RESIDENCY_COLD_WINDOW_STEP 0.25
#define CM_RESIDENCY_COLD_GROW_RATIO 1.25
#define CM_RESIDENCY_COLD_SHRINK_RATIO 1.5
/// Adapters that an engine keeps copies of outside its slots.
#define CM_RESIDENCY_COPIES_MAX 30
/// Expected wait for a slot while all are needed, and for each load that is
/// due before: a short run's and a load's time.
#define CM_RESIDENCY_SLOT_WAIT_MS 200
#define CM_RESIDENCY_QUEUED_LOAD_MS 150
/// Time that a load from the store takes at least.
#define CM_RESIDENCY_COLD_LOAD_MIN_MS 250
/// Time after which a replacement that has not shown is ordered again.
#define CM_RESIDENCY_REPLACE_TIMEOUT_MS 1500
/// Time for which an adapter that the engine would not unload, as runs use it
/// that this agent does not know of, is not chosen again.
#define CM_RESIDENCY_UNLOAD_RETRY_MS 500

/// One adapter in a slot, or on its way into one.
struct cm_resident {
    LIST_ENTRY(cm_resident) link;
    char *adapter;
    int64_t version;
    bool incoming;              ///< not usable yet
    bool cold;                  ///< its load comes from the store
    struct timespec ordered_at; ///< when its load was ordered
    bool reported;              ///< seen in the report that is being read
    int pins;                   ///< runs that use it
    double uses;                ///< decayed count
    struct timespec last_used;
    /// A newer version has been ordered; no new run begins until it is here.
    bool replacing;
    struct timespec replace_ordered_at; ///< when that was ordered
    struct timespec unload_retry_at;    ///< not chosen to make room before
};

struct cm_lease;

/// The lease's adapter is in its slot.
typedef void (*cm_lease_granted)(struct cm_lease *lease);

/// A request's claim on an adapter; on its owner's memory.
struct cm_lease {
    TAILQ_ENTRY(cm_lease) link;
    char *adapter;
    int64_t version;    ///< at least; 0 for any
    int64_t priority;   ///< 0 is the most urgent
    int64_t on_time_ms; ///< an answer is on time if granted within this time
    bool granted;
    struct cm_resident *resident; ///< while granted
    struct timespec requested_at;
    cm_lease_granted notify;
    void *context;
};

enum cm_lease_result {
    CM_LEASE_GRANTED,
    CM_LEASE_WAITING, ///< `notify` follows
    CM_LEASE_PINNED,  ///< all slots serve runs or other waiting requests
};

/// An order that the engine should be given next.
struct cm_residency_order {
    bool load;
    char *adapter; ///< to be freed
    int64_t version;
};

struct cm_residency {
    int64_t slots;
    double cold_window;      ///< loads from the store at once
    int64_t cold_fastest_ms; ///< shortest load from the store so far
    GQueue recent_copies;    ///< names of adapters held lately, latest first
    LIST_HEAD(, cm_resident) residents;
    TAILQ_HEAD(, cm_lease) waiting;
    TAILQ_HEAD(, cm_lease) granted;
};

#endif
