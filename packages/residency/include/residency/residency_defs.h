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

/// One adapter in a slot, or on its way into one.
struct cm_resident {
    LIST_ENTRY(cm_resident) link;
    char *adapter;
    int64_t version;
    bool incoming; ///< not usable yet
    bool reported; ///< seen in the report that is being read
    int pins;      ///< runs that use it
    double uses;   ///< decayed count
    struct timespec used;
};

struct cm_lease;

/// The lease's adapter is in its slot.
typedef void (*cm_lease_granted)(struct cm_lease *lease);

/// A request's claim on an adapter; on its owner's memory.
struct cm_lease {
    TAILQ_ENTRY(cm_lease) link;
    char *adapter;
    int64_t version;  ///< at least; 0 for any
    int64_t priority; ///< 0 is the most urgent
    bool granted;
    struct cm_resident *resident; ///< while granted
    struct timespec since;
    cm_lease_granted notify;
    void *context;
};

enum cm_lease_result {
    CM_LEASE_GRANTED,
    CM_LEASE_WAITS,  ///< `notify` follows
    CM_LEASE_PINNED, ///< all slots serve runs or other waiting requests
};

/// An order that the engine should be given next.
struct cm_residency_order {
    bool load;
    char *adapter; ///< to be freed
    int64_t version;
};

struct cm_residency {
    int64_t slots;
    LIST_HEAD(, cm_resident) residents;
    TAILQ_HEAD(, cm_lease) waiting;
    TAILQ_HEAD(, cm_lease) granted;
};

#endif
