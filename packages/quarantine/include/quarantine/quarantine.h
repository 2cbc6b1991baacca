/// @file quarantine.h
/// Set of crash records with the verdicts that follow from it. Sets of several
/// processes that hold the same records have the same verdicts, in whichever
/// order and however often the records arrived.

#ifndef QUARANTINE_QUARANTINE_H
#define QUARANTINE_QUARANTINE_H

#include "quarantine/crash_record.h"
#include "quarantine/verdict.h"

/// Time after which a record, and a verdict whose last crash is that old,
/// ends.
#define CM_QUARANTINE_EXPIRY_MS 3600000
/// Most records. Beyond it the oldest ones that support no verdict are
/// dropped, and not taken back from other processes.
#define CM_QUARANTINE_RECORDS_MAX 512

/// Told of changes of the verdicts; may be NULL.
struct cm_quarantine_listener {
    /// A content is refused from now on, or no longer.
    void (*decided)(void *context, const struct cm_suspect *suspect,
                    bool refused);
    /// A content is on trial from now on. May be NULL.
    void (*on_trial)(void *context, const struct cm_suspect *suspect);
};

struct cm_quarantine {
    int crashes; ///< after which a content is refused
    struct cm_crash_records records;
    size_t n_records;
    GHashTable *by_id;    ///< record id to struct cm_crash_record
    GHashTable *counts;   ///< content to the number of its crash records
    GHashTable *suspects; ///< content to struct cm_suspect
    GHashTable *sizes;    ///< sizes of the suspects' contents
    bool outdated;        ///< the verdicts may have changed
    size_t n_refused;
    size_t n_on_trial;
    size_t n_parts;          ///< suspects that are parts of prompts
    GHashTable *clearances;  ///< content to the last record that clears it
    GArray *droppable;       ///< of uint64_t, ids to drop next, oldest last
    struct timespec horizon; ///< time of the newest dropped record; 0 if none
    uint64_t digest;         ///< of all record ids; equal for equal sets
    const struct cm_quarantine_listener *listener;
    void *context;
};

/// @param crashes after which a content is refused.
void
CmQuarantine_Init(struct cm_quarantine *quarantine, int crashes,
                  const struct cm_quarantine_listener *listener,
                  void *context);

void
CmQuarantine_Finish(struct cm_quarantine *quarantine);

/// Adds a record, which the quarantine owns from then on. Known and expired
/// ones are freed. The verdicts change with the next CmQuarantine_Update().
/// @return whether it is new.
bool
CmQuarantine_Add(struct cm_quarantine *quarantine,
                 struct cm_crash_record *record, struct timespec now);

/// Brings the verdicts up to date with the records and tells the listener what
/// has changed.
void
CmQuarantine_Update(struct cm_quarantine *quarantine);

/// Drops expired records; to be called periodically.
void
CmQuarantine_Expire(struct cm_quarantine *quarantine, struct timespec now);

/// @return whether a suspect's content has this size. If not, the content
/// needs no name and no look-up.
bool
CmQuarantine_HasSize(const struct cm_quarantine *quarantine, size_t size);

/// @return what is held against a content, or NULL.
const struct cm_suspect *
CmQuarantine_Find(const struct cm_quarantine *quarantine, const char *content);

/// @return whether the content is refused.
bool
CmQuarantine_IsRefused(const struct cm_quarantine *quarantine,
                       const char *content);

/// Records the crash of a target that ran `n` contents, as its agent reports
/// it.
/// @param crash identifies the crash; repeated reports of it count once.
void
CmQuarantine_RecordCrash(struct cm_quarantine *quarantine, const char *crash,
                         const char *const *contents, size_t n,
                         struct timespec now);

/// Clears a content that completed of suspicion, unless it is refused already.
void
CmQuarantine_ClearSuspect(struct cm_quarantine *quarantine,
                          const char *content, struct timespec now);

/// Calls `each` for every content that is refused or on trial.
void
CmQuarantine_ForEach(const struct cm_quarantine *quarantine,
                     void (*each)(void *context,
                                  const struct cm_suspect *suspect),
                     void *context);

#endif
