/// @file incarnation.c
/// Tells the present incarnation of an engine from former ones.

#include "residency/incarnation.h"

#include <glib.h>

void
CmIncarnation_Init(struct cm_incarnation *incarnation)
{
    *incarnation = (struct cm_incarnation){0};
}

void
CmIncarnation_Forget(struct cm_incarnation *incarnation)
{
    g_clear_pointer(&incarnation->id, g_free);
    g_clear_pointer(&incarnation->rejected, g_free);
    incarnation->confirmed = false;
}

void
CmIncarnation_Finish(struct cm_incarnation *incarnation)
{
    CmIncarnation_Forget(incarnation);
    g_clear_pointer(&incarnation->ordered, g_free);
}

bool
CmIncarnation_Is(const struct cm_incarnation *incarnation, const char *id)
{
    return g_strcmp0(incarnation->id, id) == 0;
}

/// @return whether another id was known before.
static bool
set_id(struct cm_incarnation *incarnation, const char *id)
{
    bool replaces =
        incarnation->id != NULL && !CmIncarnation_Is(incarnation, id);
    char *copy = g_strdup(id);
    g_free(incarnation->id);
    incarnation->id = copy;
    return replaces;
}

bool
CmIncarnation_Expect(struct cm_incarnation *incarnation, const char *id)
{
    if (incarnation->confirmed || g_strcmp0(incarnation->rejected, id) == 0) {
        return false;
    }
    return set_id(incarnation, id);
}

const char *
CmIncarnation_BeginOrder(struct cm_incarnation *incarnation)
{
    g_free(incarnation->ordered);
    incarnation->ordered = g_strdup(incarnation->id);
    return incarnation->ordered;
}

bool
CmIncarnation_OrderAccepted(struct cm_incarnation *incarnation)
{
    // A gateway may have named another id since the order was sent.
    incarnation->confirmed = true;
    return set_id(incarnation, incarnation->ordered);
}

bool
CmIncarnation_OrderRejected(struct cm_incarnation *incarnation,
                            const char *actual)
{
    if (actual != NULL) {
        incarnation->confirmed = true;
        return set_id(incarnation, actual);
    }
    g_free(incarnation->rejected);
    incarnation->rejected = g_strdup(incarnation->ordered);
    if (CmIncarnation_Is(incarnation, incarnation->rejected)) {
        g_clear_pointer(&incarnation->id, g_free);
        incarnation->confirmed = false;
    }
    return false;
}
