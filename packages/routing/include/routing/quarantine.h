/// @file quarantine.h
/// Contents that crash targets. Each crash names the contents that ran; a
/// content that ran in crashes of two targets is refused from then on.
/// Requests that merely stood beside it are not held against.

#ifndef ROUTING_QUARANTINE_H
#define ROUTING_QUARANTINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/// Crashes after which a content is refused.
#define CM_QUARANTINE_CRASHES 2
/// Time after which a content's crashes are forgotten.
#define CM_QUARANTINE_EXPIRY_MS 3600000
/// Contents remembered.
#define CM_QUARANTINE_MAX 10000

struct cm_quarantine {
    GHashTable *contents; ///< fingerprint to its record
};

/// Prepares an empty table.
void
CmQuarantine_Init(struct cm_quarantine *quarantine);

/// Frees the table.
void
CmQuarantine_Finish(struct cm_quarantine *quarantine);

/// A target fell while `n` contents ran. `crash` names the crash, so that
/// hearing of it twice counts once.
void
CmQuarantine_RecordCrash(struct cm_quarantine *quarantine, const char *crash,
                         const char *const *fingerprints, size_t n,
                         struct timespec now);

/// The content ran to its end: it is no suspect any more.
void
CmQuarantine_ClearSuspect(struct cm_quarantine *quarantine,
                          const char *fingerprint);

/// @return whether the content is refused.
bool
CmQuarantine_IsRefused(const struct cm_quarantine *quarantine,
                       const char *fingerprint, struct timespec now);

/// @return whether the content ran in some crash.
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
