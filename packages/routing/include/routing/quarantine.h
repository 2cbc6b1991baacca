/// @file quarantine.h
/// Detects request contents that crash targets. Each crash report names the
/// contents that ran. A content that ran in a second crash is refused from
/// then on, if no other content of that crash ran in an earlier one; otherwise
/// the crash does not show which of them caused it. Contents that only ran
/// beside the crashing one are not refused, and completing clears them of
/// suspicion.

#ifndef ROUTING_QUARANTINE_H
#define ROUTING_QUARANTINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/// Crashes after which a content may be refused.
#define CM_QUARANTINE_CRASHES 2
/// Time after its last crash after which a content's record expires.
#define CM_QUARANTINE_EXPIRY_MS 3600000
/// Most contents with a record.
#define CM_QUARANTINE_MAX 10000

struct cm_quarantine {
    GHashTable *contents; ///< fingerprint to its record
};

void
CmQuarantine_Init(struct cm_quarantine *quarantine);

void
CmQuarantine_Finish(struct cm_quarantine *quarantine);

/// Records the crash of a target that ran `n` contents.
/// @param crash identifies the crash; repeated reports of it count once.
void
CmQuarantine_RecordCrash(struct cm_quarantine *quarantine, const char *crash,
                         const char *const *fingerprints, size_t n,
                         struct timespec now);

/// Removes the record of a content that completed, unless it is refused
/// already.
void
CmQuarantine_ClearSuspect(struct cm_quarantine *quarantine,
                          const char *fingerprint);

/// @return whether the content is refused.
bool
CmQuarantine_IsRefused(const struct cm_quarantine *quarantine,
                       const char *fingerprint, struct timespec now);

/// @return whether the content ran in a crash and has not completed since.
bool
CmQuarantine_IsSuspect(const struct cm_quarantine *quarantine,
                       const char *fingerprint, struct timespec now);

/// Calls `each` for every refused content.
void
CmQuarantine_ForEach(const struct cm_quarantine *quarantine,
                     struct timespec now,
                     void (*each)(void *context, const char *fingerprint),
                     void *context);

#endif
