/// @file verdict_defs.h
/// Working state of a computation of verdicts, shared by the rules for
/// contents and for parts of prompts.

#ifndef QUARANTINE_VERDICT_DEFS_H
#define QUARANTINE_VERDICT_DEFS_H

#include "quarantine/verdict.h"

/// Crashes of two targets within this time may have one cause, such as a rack.
#define CM_SAME_MOMENT_MS 100

/// What a crash counts against a content, twice as much if the run had just
/// started as if the target ended late in it.
#define EARLY_WEIGHT CM_VERDICT_CRASH_WEIGHT
#define LATE_WEIGHT 1

/// The end of one target, from the records of all that observed it.
struct crash {
    const char *target;
    struct timespec at;
    size_t number;  ///< order in which the computation met it, from 0
    bool explained; ///< a refused content or part ran in it
};

/// What one content, or one part of prompts, had to do with one crash.
struct involvement {
    struct crash *crash;
    int weight;
    struct timespec from; ///< when the run was sent
    struct timespec to;   ///< when the target ended
    bool trial;           ///< the content ran alone
};

/// A suspect with its crashes, ordered by time.
struct candidate {
    struct cm_suspect *suspect;
    GArray *involvements; ///< of struct involvement
    uint64_t *seen;       ///< bit set of the numbers of its crashes
    /// Of a content's unexplained crashes; of a part's, the number of moments.
    int weight;
};

/// Working state of one computation.
struct evaluation {
    int threshold;          ///< weight from which on a content is refused
    int min_records;        ///< of a content to be a suspect
    GHashTable *counts;     ///< content to the number of its crash records
    GHashTable *alive;      ///< target to the time of its last response
    GHashTable *cleared;    ///< content to the end of its last good run
    GHashTable *crashes;    ///< target to struct crash
    GHashTable *candidates; ///< content to struct candidate
    GHashTable *suspects;   ///< result
    size_t seen_words;      ///< length of a candidate's `seen`
};

/// @return whether the candidate ran in the crash.
bool
CmCandidate_WasIn(const struct candidate *candidate,
                  const struct crash *crash);

/// @return whether a target without the candidate crashed at the same moment.
bool
CmCandidate_OthersCrashed(const struct evaluation *evaluation,
                          const struct candidate *candidate,
                          struct timespec at);

/// Refuses the candidate, which explains all crashes in which it ran.
void
CmCandidate_Refuse(struct candidate *candidate);

#endif
