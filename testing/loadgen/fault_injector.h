/// @file fault_injector.h
/// Faults: drawn by seed, applied, and taken back.

#ifndef FAULT_INJECTOR_H
#define FAULT_INJECTOR_H

#include <event2/event.h>

#include "sender.h"

enum fault_kind {
    FAULT_ENGINE_RESTART,
    FAULT_ENGINE_SILENT,
    FAULT_ENGINE_SLOW,
    FAULT_LOAD_FAILURES,
    FAULT_PLATFORM_DOWN,
    FAULT_PLATFORM_SLOW,
    FAULT_PLATFORM_LOST_RESPONSES,
    FAULT_PLATFORM_SILENT_WATCHES,
    FAULT_PLAIN_RESTART,
    FAULT_AGENT_KILLED,
    FAULT_AGENT_PAUSED,
    FAULT_AGENT_STOPPED, ///< planned
    FAULT_ENTRY_KILLED,
    FAULT_ENTRY_PAUSED,
    FAULT_ENTRY_STOPPED, ///< planned
    FAULT_CONFLICTING_APPLY,
    FAULT_INSTANCE_DRAINING, ///< by the instance list only
    FAULT_KIND_COUNT,
};

/// One fault that happened.
struct fault {
    enum fault_kind kind;
    char victim[64]; ///< process or target
    double start_s;
    double end_s;
    int64_t start_wall_ms;
    int64_t end_wall_ms;
};

struct fault_injector {
    struct event_base *base;
    struct deployment *deployment;
    struct sender *sender;
    GRand *random;
    GArray *faults;    ///< of struct fault
    json_t *instances; ///< the platform's list as it was at the start
    struct event *draw_timer;
    double end_s;
    bool drawing_ended;
    int conflict_pairs;               ///< conflicting pairs sent
    int conflict_pairs_both_accepted; ///< pairs of which both were accepted: a
                                      ///< violation
    GPtrArray *active_victims;        ///< names that have a fault now
    unsigned n_active;                ///< faults not yet taken back
    GPtrArray *operator_threads;      ///< threads of conflicting applies
};

/// Prepares a plan; faults are drawn until `until_s`.
void
FaultInjector_Init(struct fault_injector *injector, struct event_base *base,
                   struct deployment *deployment, struct sender *sender,
                   guint32 seed, double end_s);

/// Frees the plan.
void
FaultInjector_Finish(struct fault_injector *injector);

/// Waits until all operators have their answers.
void
FaultInjector_JoinOperators(struct fault_injector *injector);

/// Starts drawing.
void
FaultInjector_Start(struct fault_injector *injector);

/// @return when the fault could be known: the instance list is not readable
///         while the object API is down or slow.
int64_t
FaultInjector_VisibleFromMs(const struct fault_injector *injector,
                            const struct fault *fault);

/// @return a short name of the kind.
const char *
FaultKind_Name(enum fault_kind kind);

/// @return whether the fault is a planned stop.
bool
FaultKind_IsPlanned(enum fault_kind kind);

#endif
