/// @file invariants.h
/// Whether the promises held: from callers' answers, the stand-ins' record of
/// runs and the entries' revisions.

#ifndef VERDICT_H
#define VERDICT_H

#include "fault_injector.h"

/// Revisions seen while faults were drawn.
struct revision_watch {
    struct stack *stack;
    GHashTable *highest; ///< entry address to highest revision seen
    int checks;
    int went_down;
    GThread *thread;
    gint stopping;
};

/// Prepares the watch.
void
RevisionWatch_Init(struct revision_watch *watch, struct stack *stack);

/// Frees the watch.
void
RevisionWatch_Finish(struct revision_watch *watch);

/// Starts reading the revision of every entry that answers, again and again,
/// in a thread of its own.
void
RevisionWatch_Start(struct revision_watch *watch);

/// Ends that thread.
void
RevisionWatch_Stop(struct revision_watch *watch);

/// Prints one line a promise. @return number of violations.
int
Verdict_Print(const struct sender *sender, const struct plan *plan,
              const struct revision_watch *watch);

#endif
