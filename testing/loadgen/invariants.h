/// @file invariants.h
/// Whether the promises held: from callers' answers, the stand-ins' record of
/// runs and the entries' revisions.

#ifndef INVARIANTS_H
#define INVARIANTS_H

#include "fault_injector.h"

/// Revisions seen while faults were drawn.
struct revision_monitor {
    struct deployment *deployment;
    GHashTable *last_revision; ///< entry address to highest revision seen
    int n_checks;
    int decreases;
    GThread *thread;
    gint stop_requested;
};

/// Prepares the watch.
void
RevisionMonitor_Init(struct revision_monitor *monitor,
                     struct deployment *deployment);

/// Frees the watch.
void
RevisionMonitor_Finish(struct revision_monitor *monitor);

/// Starts reading the revision of every entry that answers, again and again,
/// in a thread of its own.
void
RevisionMonitor_Start(struct revision_monitor *monitor);

/// Ends that thread.
void
RevisionMonitor_Stop(struct revision_monitor *monitor);

/// Prints one line a promise. @return number of violations.
int
Invariants_Check(const struct sender *sender,
                 const struct fault_injector *injector,
                 const struct revision_monitor *monitor);

#endif
