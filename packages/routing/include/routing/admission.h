/// @file admission.h
/// Admission control: limits the requests in progress at an entry and shares
/// them fairly among callers. While the entry is less than half full, a caller
/// may use any free capacity; above that, no caller exceeds its share.

#ifndef ROUTING_ADMISSION_H
#define ROUTING_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/// Percentage of the limit in use from which the per-caller share applies.
#define CM_ADMISSION_BUSY_PERCENT 50

enum cm_admission_result {
    CM_ADMITTED,
    CM_ADMISSION_FULL,       ///< the entry has reached its limit
    CM_ADMISSION_OVER_SHARE, ///< the caller has reached its share
};

struct cm_admission {
    size_t limit;        ///< requests in progress of all callers
    size_t caller_share; ///< requests of one caller while the entry is busy
    size_t in_progress;
    GHashTable *callers; ///< caller to its requests in progress
};

/// @param limit requests in progress of all callers.
/// @param share_percent of `limit` for one caller while the entry is busy.
void
CmAdmission_Init(struct cm_admission *admission, size_t limit,
                 size_t share_percent);

void
CmAdmission_Finish(struct cm_admission *admission);

/// Admits or rejects one request. An admitted request must end with
/// CmAdmission_Release().
enum cm_admission_result
CmAdmission_Acquire(struct cm_admission *admission, const char *caller);

/// Ends an admitted request.
void
CmAdmission_Release(struct cm_admission *admission, const char *caller);

#endif
