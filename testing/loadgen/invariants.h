/// @file invariants.h
/// Checks the system's guarantees after a fault-injection run against the
/// callers' results, the stand-ins' execution log and the entries' revisions.

#ifndef INVARIANTS_H
#define INVARIANTS_H

#include "fault_injector.h"

/// Polls the configuration revision of the entries during a run.
struct revision_monitor {
    struct deployment *deployment;
    GHashTable *last_revision; ///< entry address to last revision seen
    int n_checks;
    int decreases; ///< each one is a violation
    GThread *thread;
    gint stop_requested;
};

/// Prepares the monitor.
void
RevisionMonitor_Init(struct revision_monitor *monitor,
                     struct deployment *deployment);

/// Frees the monitor.
void
RevisionMonitor_Finish(struct revision_monitor *monitor);

/// Starts a thread that polls the revision of every reachable entry.
void
RevisionMonitor_Start(struct revision_monitor *monitor);

/// Stops the thread and waits for it.
void
RevisionMonitor_Stop(struct revision_monitor *monitor);

/// Checks all invariants and prints a line for each.
/// @return number of violations.
int
Invariants_Check(const struct sender *sender,
                 const struct fault_injector *injector,
                 const struct revision_monitor *monitor);

#endif
