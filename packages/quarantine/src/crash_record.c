/// @file crash_record.c
/// Memory and contents of crash records.

#include "quarantine/crash_record.h"

#include <glib.h>
#include <string.h>

struct cm_crash_record *
CmCrashRecord_New(enum cm_crash_record_kind kind, uint64_t id,
                  const char *target, const char *observer, struct timespec at)
{
    struct cm_crash_record *record = g_new0(struct cm_crash_record, 1);
    record->kind = kind;
    record->id = id;
    record->at = at;
    g_strlcpy(record->target, target, sizeof(record->target));
    g_strlcpy(record->observer, observer, sizeof(record->observer));
    return record;
}

void
CmCrashRecord_Free(struct cm_crash_record *record)
{
    g_free(record->runs);
    g_free(record);
}

void
CmCrashRecord_AddRun(struct cm_crash_record *record,
                     const struct cm_crash_run *run)
{
    if (record->n_runs >= CM_CRASH_RUNS_MAX) {
        return;
    }
    record->runs =
        g_renew(struct cm_crash_run, record->runs, record->n_runs + 1);
    record->runs[record->n_runs++] = *run;
}

void
CmCrashRecord_AddContent(struct cm_crash_record *record, const char *content)
{
    struct cm_crash_run run = {0};
    g_strlcpy(run.content, content, sizeof(run.content));
    CmCrashRecord_AddRun(record, &run);
}

bool
CmCrashRecord_HasContent(const struct cm_crash_record *record,
                         const char *content)
{
    for (size_t i = 0; i < record->n_runs; i++) {
        if (strncmp(record->runs[i].content, content, CM_CONTENT_SIZE - 1) ==
            0) {
            return true;
        }
    }
    return false;
}
