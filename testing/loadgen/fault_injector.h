/// @file fault_injector.h
/// Faults: drawn by seed, applied, and taken back.

#ifndef PLAN_H
#define PLAN_H

#include <event2/event.h>

#include "sender.h"

enum fault_kind {
    FAULT_ENGINE_RESTART,
    FAULT_ENGINE_SILENT,
    FAULT_ENGINE_SLOW,
    FAULT_LOAD_FAILURES,
    FAULT_PLATFORM_DOWN,
    FAULT_PLATFORM_SLOW,
    FAULT_PLATFORM_LOSES_ANSWERS,
    FAULT_PLATFORM_SILENT_WATCHES,
    FAULT_PLAIN_RESTART,
    FAULT_AGENT_KILLED,
    FAULT_AGENT_PAUSED,
    FAULT_AGENT_STOPPED, ///< planned
    FAULT_ENTRY_KILLED,
    FAULT_ENTRY_PAUSED,
    FAULT_ENTRY_STOPPED, ///< planned
    FAULT_CONFLICTING_APPLY,
    FAULT_INSTANCE_LEAVING, ///< by the instance list only
    FAULT_KINDS,
};

/// One fault that happened.
struct fault {
    enum fault_kind kind;
    char name[64]; ///< process or target
    double start_s;
    double end_s;
    int64_t start_wall_ms;
    int64_t end_wall_ms;
};

struct plan {
    struct event_base *base;
    struct stack *stack;
    struct sender *sender;
    GRand *random;
    GArray *faults;    ///< of struct fault
    json_t *instances; ///< the platform's list as it was at the start
    struct event *next;
    double until_s;
    bool stopped;
    int applies;          ///< conflicting pairs sent
    int applies_both;     ///< pairs of which both were accepted: a violation
    GPtrArray *open;      ///< names that have a fault now
    unsigned pending;     ///< faults not yet taken back
    GPtrArray *operators; ///< threads of conflicting applies
};

/// Prepares a plan; faults are drawn until `until_s`.
void
Plan_Init(struct plan *plan, struct event_base *base, struct stack *stack,
          struct sender *sender, guint32 seed, double until_s);

/// Frees the plan.
void
Plan_Finish(struct plan *plan);

/// Waits until all operators have their answers.
void
Plan_JoinOperators(struct plan *plan);

/// Starts drawing.
void
Plan_Start(struct plan *plan);

/// @return when the fault could be known: the instance list is not readable
///         while the object API is down or slow.
int64_t
Plan_KnownFromMs(const struct plan *plan, const struct fault *fault);

/// @return a short name of the kind.
const char *
Plan_KindName(enum fault_kind kind);

/// @return whether the fault is a planned stop.
bool
Plan_IsPlanned(enum fault_kind kind);

#endif
