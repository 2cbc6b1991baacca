/// @file residency_defs.h
/// State of one engine's adapter slots: resident adapters, the runs that pin
/// them, and the leases that wait for a load.

#ifndef RESIDENCY_RESIDENCY_DEFS_H
#define RESIDENCY_RESIDENCY_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"
#include "residency/slot_wait.h"

/// Loads that an engine may have in progress at once; the platform's limit.
#define CM_RESIDENCY_INCOMING_MAX 4
/// Half-life of an adapter's use count: spans several requests for a popular
/// adapter.
#define CM_RESIDENCY_HALF_LIFE_MS 8000
/// Adapters that may wait for their load. Any further one would wait longer
/// than a load at another engine takes.
#define CM_RESIDENCY_QUEUE_MAX 3
/// Window of concurrent cold loads (loads from the weight store) of one
/// engine. It grows by a step per load while loads take less than the grow
/// ratio times the fastest one, and is halved when they exceed the shrink
/// ratio: the store slows down for all engines at once.
#define CM_RESIDENCY_COLD_WINDOW_START 2.0
#define CM_RESIDENCY_COLD_WINDOW_STEP 0.25
#define CM_RESIDENCY_COLD_GROW_RATIO 1.25
#define CM_RESIDENCY_COLD_SHRINK_RATIO 1.5
/// Adapters of which an engine keeps copies outside its slots.
#define CM_RESIDENCY_COPIES_MAX 30
/// Time by which the load for a lease must have begun if another engine can
/// take the request: a later one makes the answer late. Shorter times move
/// more adapters to further engines and cost loads.
#define CM_RESIDENCY_SLOT_WAIT_MAX_MS 350
/// Shortest duration of a cold load.
#define CM_RESIDENCY_COLD_LOAD_MIN_MS 250
/// Time after which a replacement that no report has shown is ordered again.
#define CM_RESIDENCY_REPLACE_TIMEOUT_MS 1500
/// Time for which an adapter is not evicted after the engine refused to unload
/// it, as runs that this agent does not know of use it.
#define CM_RESIDENCY_UNLOAD_RETRY_MS 500

/// One adapter in a slot or being loaded into one.
struct cm_resident {
    LIST_ENTRY(cm_resident) link;
    char *adapter;
    int64_t version;
    bool incoming;              ///< its load is in progress
    bool cold;                  ///< loaded from the weight store
    struct timespec ordered_at; ///< time of the order to load it
    bool reported;              ///< found in the report that is being read
    int pins;                   ///< runs that use it
    double uses;                ///< count of uses with exponential decay
    struct timespec last_used;
    /// A newer version has been ordered. Leases for that version wait, while
    /// the older one serves other leases.
    bool replacing;
    struct timespec replace_ordered_at; ///< time of that order
    struct timespec unload_retry_at;    ///< not evicted before this time
};

struct cm_lease;

/// Called when a waiting lease is granted.
typedef void (*cm_lease_granted)(struct cm_lease *lease);

/// Use of an adapter by one request, in memory of the owner. A granted lease
/// pins the adapter in its slot.
struct cm_lease {
    TAILQ_ENTRY(cm_lease) link;
    char *adapter;
    int64_t version;    ///< lowest acceptable one, 0 for any
    int64_t priority;   ///< 0 is the most urgent
    int64_t on_time_ms; ///< longest wait with which the answer is on time
    bool granted;
    struct cm_resident *resident; ///< NULL if not granted or dropped
    struct timespec requested_at;
    struct timespec granted_at;
    cm_lease_granted notify;
    void *context;
};

enum cm_lease_result {
    CM_LEASE_GRANTED,
    CM_LEASE_WAITING, ///< `notify` will be called
    /// At least CM_RESIDENCY_QUEUE_MAX other adapters wait for a load.
    CM_LEASE_QUEUE_FULL,
};

/// An order to the engine, either a load or an unload.
struct cm_residency_order {
    bool load;
    char *adapter; ///< the receiver of the order frees it
    int64_t version;
};

struct cm_residency {
    int64_t slots;
    double cold_window;      ///< cold loads that may be in progress at once
    int64_t cold_fastest_ms; ///< shortest cold load so far, 0 for none
    struct cm_slot_durations durations;
    GQueue recent_copies; ///< adapters with a copy at the engine, latest first
    LIST_HEAD(, cm_resident) residents;
    TAILQ_HEAD(, cm_lease) waiting;
    TAILQ_HEAD(, cm_lease) granted;
};

#endif
