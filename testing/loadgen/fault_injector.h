/// @file fault_injector.h
/// Injects random faults into the deployment, in a sequence determined by a
/// seed, and reverts each after its duration.

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
    FAULT_AGENT_STOPPED, ///< planned: SIGTERM
    FAULT_ENTRY_KILLED,
    FAULT_ENTRY_PAUSED,
    FAULT_ENTRY_STOPPED, ///< planned: SIGTERM
    FAULT_CONFLICTING_APPLY,
    FAULT_INSTANCE_DRAINING, ///< state "leaving" in the instance list
    FAULT_KIND_COUNT,
};

/// One injected fault.
struct fault {
    enum fault_kind kind;
    char victim[64]; ///< process or target
    double start_s;  ///< since the sender's start
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
    json_t *instances; ///< instance list of the platform at the start
    struct event *draw_timer;
    double end_s; ///< no fault is drawn after this time
    bool drawing_ended;
    int conflict_pairs;               ///< pairs of conflicting applies sent
    int conflict_pairs_both_accepted; ///< each one is a violation
    GPtrArray *active_victims;        ///< of char *, victims of active faults
    unsigned n_active;                ///< faults not yet reverted
    GPtrArray *operator_threads;      ///< threads of conflicting applies
};

/// Prepares a fault injector.
/// @param end_s end of fault injection, since the sender's start
void
FaultInjector_Init(struct fault_injector *injector, struct event_base *base,
                   struct deployment *deployment, struct sender *sender,
                   guint32 seed, double end_s);

/// Frees the fault injector.
void
FaultInjector_Finish(struct fault_injector *injector);

/// Waits for the threads that send conflicting applies.
void
FaultInjector_JoinOperators(struct fault_injector *injector);

/// Schedules the first fault.
void
FaultInjector_Start(struct fault_injector *injector);

/// @return wall-clock time from which the agents and entries can know of the
///         fault. A change of the instance list is invisible while the object
///         API is down or slow.
int64_t
FaultInjector_VisibleFromMs(const struct fault_injector *injector,
                            const struct fault *fault);

/// @return display name of the kind.
const char *
FaultKind_Name(enum fault_kind kind);

/// @return whether the fault is a planned operation, which must not interrupt
///         any request.
bool
FaultKind_IsPlanned(enum fault_kind kind);

#endif
