/// @file admission.h
/// How many requests an entry holds at once, and how they are shared among
/// callers: a lone caller may use everything, but under load no caller holds
/// more than its share.

#ifndef ROUTING_ADMISSION_H
#define ROUTING_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/// Fill of the entry above which callers are held to their share, percent.
#define CM_ADMISSION_BUSY_PERCENT 50

enum cm_admission_result {
    CM_ADMITTED,
    CM_ADMISSION_FULL,       ///< the entry holds all that it may
    CM_ADMISSION_OVER_SHARE, ///< this caller holds its share
};

struct cm_admission {
    size_t limit;
    size_t caller_share; ///< most of one caller while the entry is busy
    size_t in_progress;
    GHashTable *callers; ///< caller to number of requests held
};

/// Prepares an admission of `limit` requests, `share_percent` a caller.
void
CmAdmission_Init(struct cm_admission *admission, size_t limit,
                 size_t share_percent);

/// Frees the table.
void
CmAdmission_Finish(struct cm_admission *admission);

/// Asks for one place; an admitted request returns it by
/// CmAdmission_Release().
enum cm_admission_result
CmAdmission_Acquire(struct cm_admission *admission, const char *caller);

/// Returns the place.
void
CmAdmission_Release(struct cm_admission *admission, const char *caller);

#endif
