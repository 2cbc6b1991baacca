/// @file admission.c
/// Requests held at once, shared among callers.

#include "routing/admission.h"

void
CmAdmission_Init(struct cm_admission *admission, size_t limit,
                 size_t share_percent)
{
    admission->limit = limit;
    admission->caller_share = limit * share_percent / 100;
    if (admission->caller_share == 0) {
        admission->caller_share = 1;
    }
    admission->in_progress = 0;
    admission->callers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
CmAdmission_Finish(struct cm_admission *admission)
{
    g_hash_table_destroy(admission->callers);
}

/// Share that each of the present callers can have at least.
static size_t
fair_share(const struct cm_admission *admission)
{
    guint callers = g_hash_table_size(admission->callers);
    size_t even = callers > 1 ? admission->limit / callers : admission->limit;
    return even < admission->caller_share ? even : admission->caller_share;
}

enum cm_admission_result
CmAdmission_Acquire(struct cm_admission *admission, const char *caller)
{
    if (admission->in_progress >= admission->limit) {
        return CM_ADMISSION_FULL;
    }
    size_t held =
        GPOINTER_TO_SIZE(g_hash_table_lookup(admission->callers, caller));
    bool busy = admission->in_progress * 100 >=
                admission->limit * CM_ADMISSION_BUSY_PERCENT;
    if (busy && held >= fair_share(admission)) {
        return CM_ADMISSION_OVER_SHARE;
    }
    admission->in_progress++;
    g_hash_table_replace(admission->callers, g_strdup(caller),
                         GSIZE_TO_POINTER(held + 1));
    return CM_ADMITTED;
}

void
CmAdmission_Release(struct cm_admission *admission, const char *caller)
{
    size_t held =
        GPOINTER_TO_SIZE(g_hash_table_lookup(admission->callers, caller));
    admission->in_progress--;
    if (held <= 1) {
        g_hash_table_remove(admission->callers, caller);
        return;
    }
    g_hash_table_replace(admission->callers, g_strdup(caller),
                         GSIZE_TO_POINTER(held - 1));
}
