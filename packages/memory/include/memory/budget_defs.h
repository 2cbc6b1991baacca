/// @file budget_defs.h
/// Types of the memory budget.

#ifndef MEMORY_BUDGET_DEFS_H
#define MEMORY_BUDGET_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/list.h"

/// What memory is held for. Each class has an equal part of the budget, so
/// that peers that fill one of them take nothing from the others.
enum cm_memory_class {
    /// Messages that have not arrived whole. Nothing has been done for them,
    /// so that they can be refused at any time.
    CM_MEMORY_ARRIVING,
    /// Requests in progress. They are admitted or refused when they begin, and
    /// not released then, as a target may run them already.
    CM_MEMORY_REQUESTS,
    /// Responses that have not arrived whole from a target.
    CM_MEMORY_RESPONSES,
    /// Output that its peer has not read.
    CM_MEMORY_OUTPUT,
    CM_MEMORY_CLASSES
};

struct cm_memory_budget;

/// Memory held for one peer, in memory of its owner.
struct cm_memory_hold {
    TAILQ_ENTRY(cm_memory_hold) link; ///< in its class, unless it is empty
    struct cm_memory_budget *budget;
    enum cm_memory_class class;
    size_t bytes;
    struct timespec begun_at;    ///< when the peer began what it is held for
    struct timespec progress_at; ///< when the peer last sent or read something
    /// It is for a message that may need more than the limit of its class, and
    /// goes beyond it alone (CmMemoryHold_GoAlone()).
    bool may_go_alone;
    /// Gives the memory back, usually by ending the connection; NULL if it is
    /// never released.
    void (*release)(struct cm_memory_hold *hold);
};

/// Memory that peers can make the process hold, over all connections.
struct cm_memory_budget {
    struct cm_clock *clock;
    size_t class_max_bytes; ///< limit of each class
    struct {
        size_t bytes; ///< without `alone`
        TAILQ_HEAD(, cm_memory_hold) holds;
        struct cm_memory_hold *alone; ///< beyond the limit, or NULL
        int64_t released; ///< holds that were released to keep the limit
        int64_t denied;   ///< holds that were not admitted
    } classes[CM_MEMORY_CLASSES];
};

#endif
