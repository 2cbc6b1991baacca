/// @file residency.c
/// Which adapters an engine loads and unloads.
///
/// Load pattern: a few adapters are asked for all the time, a long tail now
/// and then, and slots are scarce. Requests for one adapter share its load;
/// the adapter with the fewest recent uses makes room, never one that a run
/// or a waiting request needs.

#include "residency/residency.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"

void
CmResidency_Init(struct cm_residency *residency, int64_t slots)
{
    *residency = (struct cm_residency){.slots = slots};
    LIST_INIT(&residency->residents);
    TAILQ_INIT(&residency->waiting);
    TAILQ_INIT(&residency->granted);
}

static void
remove_resident(struct cm_residency *residency, struct cm_resident *resident)
{
    struct cm_lease *lease;
    CmTailq_FOREACH (lease, &residency->granted, link) {
        if (lease->resident == resident) {
            lease->resident = NULL;
        }
    }
    LIST_REMOVE(resident, link);
    g_free(resident->adapter);
    g_free(resident);
}

void
CmResidency_Finish(struct cm_residency *residency)
{
    struct cm_resident *resident;
    struct cm_resident *next;
    CmList_FOREACH_SAFE (resident, &residency->residents, link, next) {
        remove_resident(residency, resident);
    }
}

static struct cm_resident *
find(const struct cm_residency *residency, const char *adapter)
{
    struct cm_resident *resident;
    CmList_FOREACH (resident, &residency->residents, link) {
        if (strcmp(resident->adapter, adapter) == 0) {
            return resident;
        }
    }
    return NULL;
}

static struct cm_resident *
add(struct cm_residency *residency, const char *adapter, struct timespec now)
{
    struct cm_resident *resident = g_new0(struct cm_resident, 1);
    resident->adapter = g_strdup(adapter);
    resident->used = now;
    LIST_INSERT_HEAD(&residency->residents, resident, link);
    return resident;
}

static double
uses_at(const struct cm_resident *resident, struct timespec now)
{
    double age = (double)CmTime_DiffMs(now, resident->used);
    return resident->uses * exp2(-age / CM_RESIDENCY_HALF_LIFE_MS);
}

static bool
serves(const struct cm_resident *resident, const struct cm_lease *lease)
{
    return resident != NULL && !resident->incoming &&
           resident->version >= lease->version;
}

static void
grant(struct cm_residency *residency, struct cm_lease *lease,
      struct cm_resident *resident, struct timespec now)
{
    resident->uses = uses_at(resident, now) + 1;
    resident->used = now;
    resident->pins++;
    lease->granted = true;
    lease->resident = resident;
    TAILQ_INSERT_TAIL(&residency->granted, lease, link);
}

static bool
is_wanted(const struct cm_residency *residency, const char *adapter)
{
    const struct cm_lease *lease;
    CmTailq_FOREACH (lease, &residency->waiting, link) {
        if (strcmp(lease->adapter, adapter) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_needed(const struct cm_residency *residency,
          const struct cm_resident *resident)
{
    return resident->pins > 0 || resident->incoming ||
           is_wanted(residency, resident->adapter);
}

/// @return whether an earlier waiting lease is for the same adapter.
static bool
is_first_of_its_adapter(const struct cm_residency *residency,
                        const struct cm_lease *lease)
{
    const struct cm_lease *other;
    CmTailq_FOREACH (other, &residency->waiting, link) {
        if (other == lease) {
            return true;
        }
        if (strcmp(other->adapter, lease->adapter) == 0) {
            return false;
        }
    }
    return true;
}

/// @return slots that are needed, or will be by the waiting leases.
static int64_t
needed_slots(const struct cm_residency *residency)
{
    int64_t needed = 0;
    const struct cm_resident *resident;
    CmList_FOREACH (resident, &residency->residents, link) {
        needed += is_needed(residency, resident);
    }
    const struct cm_lease *lease;
    CmTailq_FOREACH (lease, &residency->waiting, link) {
        needed += find(residency, lease->adapter) == NULL &&
                  is_first_of_its_adapter(residency, lease);
    }
    return needed;
}

enum cm_lease_result
CmResidency_Ask(struct cm_residency *residency, struct cm_lease *lease,
                struct timespec now)
{
    lease->since = now;
    lease->granted = false;
    lease->resident = NULL;
    struct cm_resident *resident = find(residency, lease->adapter);
    if (serves(resident, lease)) {
        grant(residency, lease, resident, now);
        return CM_LEASE_GRANTED;
    }
    if (resident == NULL && !is_wanted(residency, lease->adapter) &&
        needed_slots(residency) >= residency->slots) {
        return CM_LEASE_PINNED;
    }
    struct cm_lease *before = NULL;
    CmTailq_FOREACH (before, &residency->waiting, link) {
        if (before->priority > lease->priority) {
            break;
        }
    }
    if (before != NULL) {
        TAILQ_INSERT_BEFORE(before, lease, link);
    }
    else {
        TAILQ_INSERT_TAIL(&residency->waiting, lease, link);
    }
    return CM_LEASE_WAITS;
}

void
CmResidency_Release(struct cm_residency *residency, struct cm_lease *lease)
{
    if (lease->granted) {
        TAILQ_REMOVE(&residency->granted, lease, link);
        if (lease->resident != NULL) {
            lease->resident->pins--;
        }
    }
    else {
        TAILQ_REMOVE(&residency->waiting, lease, link);
    }
    lease->granted = false;
    lease->resident = NULL;
}

void
CmResidency_BeginReport(struct cm_residency *residency)
{
    struct cm_resident *resident;
    CmList_FOREACH (resident, &residency->residents, link) {
        resident->reported = false;
    }
}

void
CmResidency_Reported(struct cm_residency *residency, const char *adapter,
                     int64_t version, bool incoming, struct timespec now)
{
    struct cm_resident *resident = find(residency, adapter);
    if (resident == NULL) {
        resident = add(residency, adapter, now);
    }
    resident->reported = true;
    resident->incoming = incoming;
    resident->version = version;
}

void
CmResidency_EndReport(struct cm_residency *residency, struct timespec now)
{
    struct cm_resident *resident;
    struct cm_resident *next_resident;
    CmList_FOREACH_SAFE (resident, &residency->residents, link,
                         next_resident) {
        if (!resident->reported) {
            remove_resident(residency, resident);
        }
    }
    struct cm_lease *lease;
    struct cm_lease *next_lease;
    CmTailq_FOREACH_SAFE (lease, &residency->waiting, link, next_lease) {
        resident = find(residency, lease->adapter);
        if (serves(resident, lease)) {
            TAILQ_REMOVE(&residency->waiting, lease, link);
            grant(residency, lease, resident, now);
            lease->notify(lease);
        }
    }
}

/// @return the resident that is missed least, or NULL if all are needed.
static struct cm_resident *
choose_victim(const struct cm_residency *residency, struct timespec now)
{
    struct cm_resident *victim = NULL;
    struct cm_resident *resident;
    CmList_FOREACH (resident, &residency->residents, link) {
        if (!is_needed(residency, resident) &&
            (victim == NULL ||
             uses_at(resident, now) < uses_at(victim, now))) {
            victim = resident;
        }
    }
    return victim;
}

bool
CmResidency_NextOrder(struct cm_residency *residency, struct timespec now,
                      struct cm_residency_order *order)
{
    int64_t held = 0;
    int64_t incoming = 0;
    struct cm_resident *resident;
    CmList_FOREACH (resident, &residency->residents, link) {
        held++;
        incoming += resident->incoming;
    }
    if (incoming >= CM_RESIDENCY_INCOMING_MAX) {
        return false;
    }
    const struct cm_lease *lease;
    CmTailq_FOREACH (lease, &residency->waiting, link) {
        resident = find(residency, lease->adapter);
        if (resident != NULL && resident->incoming) {
            continue;
        }
        if (resident != NULL || held < residency->slots) {
            *order = (struct cm_residency_order){
                true, g_strdup(lease->adapter), lease->version};
            return true;
        }
        struct cm_resident *victim = choose_victim(residency, now);
        if (victim != NULL) {
            *order = (struct cm_residency_order){false,
                                                 g_strdup(victim->adapter), 0};
            return true;
        }
    }
    return false;
}

void
CmResidency_Ordered(struct cm_residency *residency,
                    const struct cm_residency_order *order, bool done,
                    struct timespec now)
{
    struct cm_resident *resident = find(residency, order->adapter);
    if (!order->load) {
        if (resident != NULL && done) {
            remove_resident(residency, resident);
        }
        return;
    }
    if (resident == NULL) {
        resident = add(residency, order->adapter, now);
    }
    resident->incoming = true;
}

bool
CmResidency_Busy(const struct cm_residency *residency)
{
    const struct cm_resident *resident;
    CmList_FOREACH (resident, &residency->residents, link) {
        if (resident->incoming) {
            return true;
        }
    }
    return !TAILQ_EMPTY(&residency->waiting);
}

int64_t
CmResidency_FreeSlots(const struct cm_residency *residency)
{
    return MAX(residency->slots - needed_slots(residency), 0);
}
