/// @file crash_record.h
/// What one process observed of a crash. Records never change, and every
/// process derives the same verdicts from the same set of them.

#ifndef QUARANTINE_CRASH_RECORD_H
#define QUARANTINE_CRASH_RECORD_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "base/list.h"
#include "quarantine/content_name.h"

/// Size of the names of targets and observers; longer names are truncated.
#define CM_CRASH_NAME_SIZE 64
/// Most runs of one record: what an engine runs at once, and as many parts of
/// their prompts.
#define CM_CRASH_RUNS_MAX 128

enum cm_crash_record_kind {
    CM_CRASH_RECORD_CRASH,     ///< a target ended; `runs` were in progress
    CM_CRASH_RECORD_COMPLETED, ///< the content in `runs` ran to its end
    CM_CRASH_RECORD_ALIVE,     ///< a target that counts as crashed responded
    CM_CRASH_RECORD_LIFTED,    ///< an operator lifts the content's verdict
    CM_CRASH_RECORD_TRIAL,     ///< the content in `runs` may be run once
    CM_CRASH_RECORD_UNUSED,    ///< such a run did not reach a target
    N_CM_CRASH_RECORD_KINDS
};

/// One request in progress when its target ended, or a part of the prompts of
/// such requests.
struct cm_crash_run {
    char content[CM_CONTENT_SIZE]; ///< or the name of the part
    int position;   ///< of the part in its prompt, from 1; 0 for a content
    int64_t ran_ms; ///< time from its send until the target ended
    /// The target ended long after the run started. A content crashes a target
    /// when it starts to run, so this is weak evidence.
    bool late;
    bool trial; ///< the only run of a suspect at that time
};

struct cm_crash_record {
    TAILQ_ENTRY(cm_crash_record) link;
    uint64_t id; ///< random, from the observer
    enum cm_crash_record_kind kind;
    struct timespec at; ///< when it happened, by the clock of this process
    char target[CM_CRASH_NAME_SIZE]; ///< incarnation, "" for a content
    char observer[CM_CRASH_NAME_SIZE];
    struct cm_crash_run *runs;
    size_t n_runs;
};

TAILQ_HEAD(cm_crash_records, cm_crash_record);

/// @return a record without runs, to be freed with CmCrashRecord_Free().
struct cm_crash_record *
CmCrashRecord_New(enum cm_crash_record_kind kind, uint64_t id,
                  const char *target, const char *observer,
                  struct timespec at);

void
CmCrashRecord_Free(struct cm_crash_record *record);

/// Adds a run, unless the record is full.
void
CmCrashRecord_AddRun(struct cm_crash_record *record,
                     const struct cm_crash_run *run);

/// Adds a content that a record is about, unless the record is full.
void
CmCrashRecord_AddContent(struct cm_crash_record *record, const char *content);

/// @return whether `content` is among the record's runs.
bool
CmCrashRecord_HasContent(const struct cm_crash_record *record,
                         const char *content);

#endif
