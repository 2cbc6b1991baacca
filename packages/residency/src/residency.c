/// @file residency.c
/// Decides which adapters one engine loads and unloads.
///
/// Load pattern: constant requests for a few adapters, occasional ones for a
/// long tail, and few slots. Requests for one adapter share its load. The
/// adapter with the fewest recent uses is evicted, but never one that a run or
/// a waiting request needs.

#include "residency/residency.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"

void
CmResidency_Init(struct cm_residency *residency, int64_t slots)
{
    *residency = (struct cm_residency){
        .slots = slots, .cold_window = CM_RESIDENCY_COLD_WINDOW_START};
    g_queue_init(&residency->recent_copies);
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
    g_queue_clear_full(&residency->recent_copies, g_free);
}

static int
same_name(const void *a, const void *b)
{
    return strcmp(a, b);
}

/// Records that the engine has a copy of an adapter.
static void
add_recent_copy(struct cm_residency *residency, const char *adapter)
{
    GList *entry =
        g_queue_find_custom(&residency->recent_copies, adapter, same_name);
    if (entry != NULL) {
        g_queue_unlink(&residency->recent_copies, entry);
        g_queue_push_head_link(&residency->recent_copies, entry);
        return;
    }
    g_queue_push_head(&residency->recent_copies, g_strdup(adapter));
    if (g_queue_get_length(&residency->recent_copies) >
        CM_RESIDENCY_COPIES_MAX) {
        g_free(g_queue_pop_tail(&residency->recent_copies));
    }
}

static bool
has_recent_copy(const struct cm_residency *residency, const char *adapter)
{
    // The queue is not changed; GLib's parameter is not const.
    return g_queue_find_custom((GQueue *)&residency->recent_copies, adapter,
                               same_name) != NULL;
}

static struct cm_resident *
find_resident(const struct cm_residency *residency, const char *adapter)
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
add_resident(struct cm_residency *residency, const char *adapter,
             struct timespec now)
{
    struct cm_resident *resident = g_new0(struct cm_resident, 1);
    resident->adapter = g_strdup(adapter);
    resident->last_used = now;
    LIST_INSERT_HEAD(&residency->residents, resident, link);
    return resident;
}

/// @return use count, decayed until `now`.
static double
uses_at(const struct cm_resident *resident, struct timespec now)
{
    double age_ms = (double)CmTime_DiffMs(now, resident->last_used);
    return resident->uses * exp2(-age_ms / CM_RESIDENCY_HALF_LIFE_MS);
}

static bool
can_serve(const struct cm_resident *resident, const struct cm_lease *lease)
{
    return resident != NULL && !resident->incoming &&
           resident->version >= lease->version;
}

static void
grant(struct cm_residency *residency, struct cm_lease *lease,
      struct cm_resident *resident, struct timespec now)
{
    resident->uses = uses_at(resident, now) + 1;
    resident->last_used = now;
    resident->pins++;
    lease->granted = true;
    lease->granted_at = now;
    lease->resident = resident;
    TAILQ_INSERT_TAIL(&residency->granted, lease, link);
}

static bool
is_waited_for(const struct cm_residency *residency, const char *adapter)
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
           is_waited_for(residency, resident->adapter);
}

/// @return whether no earlier waiting lease is for the same adapter.
static bool
is_first_for_adapter(const struct cm_residency *residency,
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

int64_t
CmResidency_WaitingAdapters(const struct cm_residency *residency)
{
    int64_t waiting = 0;
    const struct cm_lease *lease;
    CmTailq_FOREACH (lease, &residency->waiting, link) {
        waiting += find_resident(residency, lease->adapter) == NULL &&
                   is_first_for_adapter(residency, lease);
    }
    return waiting;
}

enum cm_lease_result
CmResidency_Request(struct cm_residency *residency, struct cm_lease *lease,
                    struct timespec now)
{
    lease->requested_at = now;
    lease->granted = false;
    lease->resident = NULL;
    struct cm_resident *resident = find_resident(residency, lease->adapter);
    if (can_serve(resident, lease)) {
        grant(residency, lease, resident, now);
        return CM_LEASE_GRANTED;
    }
    if (resident == NULL && !is_waited_for(residency, lease->adapter) &&
        CmResidency_WaitingAdapters(residency) >= CM_RESIDENCY_QUEUE_MAX) {
        return CM_LEASE_QUEUE_FULL;
    }
    struct cm_lease *next = NULL;
    CmTailq_FOREACH (next, &residency->waiting, link) {
        if (next->priority > lease->priority) {
            break;
        }
    }
    if (next != NULL) {
        TAILQ_INSERT_BEFORE(next, lease, link);
    }
    else {
        TAILQ_INSERT_TAIL(&residency->waiting, lease, link);
    }
    return CM_LEASE_WAITING;
}

bool
CmResidency_IsLoading(const struct cm_residency *residency,
                      const struct cm_lease *lease)
{
    const struct cm_resident *resident =
        find_resident(residency, lease->adapter);
    return resident != NULL && (resident->incoming || resident->replacing);
}

void
CmResidency_RecordRun(struct cm_residency *residency,
                      const struct cm_lease *lease, struct timespec now)
{
    if (lease->granted) {
        CmSlotWait_AddRun(&residency->durations,
                          CmTime_DiffMs(now, lease->granted_at));
    }
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

/// Adapts the window of cold loads to the duration of one that has ended.
static void
adapt_cold_window(struct cm_residency *residency, int64_t duration_ms)
{
    // The engine had a copy that this agent did not know of, from before the
    // agent's own start.
    if (duration_ms < CM_RESIDENCY_COLD_LOAD_MIN_MS / 2) {
        return;
    }
    if (residency->cold_fastest_ms == 0 ||
        duration_ms < residency->cold_fastest_ms) {
        residency->cold_fastest_ms = duration_ms;
    }
    CmSlotWait_AddLoad(&residency->durations, duration_ms);
    double ratio = (double)duration_ms / (double)residency->cold_fastest_ms;
    if (ratio < CM_RESIDENCY_COLD_GROW_RATIO) {
        residency->cold_window =
            MIN(residency->cold_window + CM_RESIDENCY_COLD_WINDOW_STEP,
                CM_RESIDENCY_INCOMING_MAX);
    }
    else if (ratio > CM_RESIDENCY_COLD_SHRINK_RATIO) {
        residency->cold_window = MAX(residency->cold_window / 2, 1.0);
    }
}

void
CmResidency_ReportAdapter(struct cm_residency *residency, const char *adapter,
                          int64_t version, bool incoming, struct timespec now)
{
    struct cm_resident *resident = find_resident(residency, adapter);
    if (resident == NULL) {
        resident = add_resident(residency, adapter, now);
    }
    else if (resident->reported && incoming) {
        // A newer version is being loaded beside the resident one.
        if (!resident->replacing) {
            resident->replacing = true;
            resident->replace_ordered_at = now;
        }
        return;
    }
    resident->reported = true;
    if (resident->incoming && resident->cold && !incoming) {
        adapt_cold_window(residency, CmTime_DiffMs(now, resident->ordered_at));
    }
    if (!incoming) {
        add_recent_copy(residency, adapter);
    }
    resident->incoming = incoming;
    if (resident->version != version) {
        resident->replacing = false;
    }
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
        resident = find_resident(residency, lease->adapter);
        if (can_serve(resident, lease)) {
            TAILQ_REMOVE(&residency->waiting, lease, link);
            grant(residency, lease, resident, now);
            lease->notify(lease);
        }
    }
}

/// @return the adapter to evict, with the fewest recent uses, or NULL if none
/// can be evicted.
static struct cm_resident *
choose_victim(const struct cm_residency *residency, struct timespec now)
{
    struct cm_resident *victim = NULL;
    struct cm_resident *resident;
    CmList_FOREACH (resident, &residency->residents, link) {
        if (!is_needed(residency, resident) &&
            !CmTime_Before(now, resident->unload_retry_at) &&
            (victim == NULL ||
             uses_at(resident, now) < uses_at(victim, now))) {
            victim = resident;
        }
    }
    return victim;
}

static bool
is_being_replaced(const struct cm_resident *resident, struct timespec now)
{
    return resident->replacing &&
           CmTime_DiffMs(now, resident->replace_ordered_at) <
               CM_RESIDENCY_REPLACE_TIMEOUT_MS;
}

/// Slots in use, and loads in progress.
struct occupancy {
    int64_t slots_used;
    int64_t incoming;
    int64_t cold;
};

static struct occupancy
occupancy_of(const struct cm_residency *residency)
{
    struct occupancy occupancy = {0};
    const struct cm_resident *resident;
    CmList_FOREACH (resident, &residency->residents, link) {
        // A newer version takes a slot beside the one that it replaces.
        occupancy.slots_used += resident->replacing ? 2 : 1;
        occupancy.incoming += resident->incoming;
        occupancy.cold += resident->incoming && resident->cold;
    }
    return occupancy;
}

/// @return whether the lease's adapter can be loaded now, given a free slot.
static bool
may_load(struct cm_residency *residency, const struct cm_lease *lease,
         const struct occupancy *occupancy, struct timespec now)
{
    const struct cm_resident *resident =
        find_resident(residency, lease->adapter);
    if (resident != NULL &&
        (resident->incoming || is_being_replaced(resident, now))) {
        return false;
    }
    return (double)occupancy->cold + 1 <= residency->cold_window ||
           has_recent_copy(residency, lease->adapter);
}

/// Urgency of a load; compared by is_more_urgent().
struct load_rank {
    int64_t priority; ///< of the most urgent lease, 0 first
    bool on_time;     ///< still possible for at least one of its leases
    int leases;       ///< number of leases that wait for it
};

static bool
is_on_time(const struct cm_lease *lease, struct timespec now)
{
    return CmTime_DiffMs(now, lease->requested_at) +
               CM_RESIDENCY_COLD_LOAD_MIN_MS <=
           lease->on_time_ms;
}

static struct load_rank
rank_of(const struct cm_residency *residency, const struct cm_lease *lease,
        struct timespec now)
{
    struct load_rank rank = {.priority = lease->priority};
    const struct cm_lease *other;
    CmTailq_FOREACH (other, &residency->waiting, link) {
        if (strcmp(other->adapter, lease->adapter) == 0) {
            rank.priority = MIN(rank.priority, other->priority);
            rank.on_time = rank.on_time || is_on_time(other, now);
            rank.leases++;
        }
    }
    return rank;
}

/// @return whether load `a` comes first: one that can be on time, then the
/// more urgent one, then the one with more leases.
static bool
is_more_urgent(const struct load_rank *a, const struct load_rank *b)
{
    if (a->on_time != b->on_time) {
        return a->on_time;
    }
    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    return a->leases > b->leases;
}

/// @return the lease whose adapter is loaded next, or NULL.
static const struct cm_lease *
choose_lease(struct cm_residency *residency, const struct occupancy *occupancy,
             struct timespec now)
{
    const struct cm_lease *best = NULL;
    struct load_rank best_rank = {0};
    const struct cm_lease *lease;
    CmTailq_FOREACH (lease, &residency->waiting, link) {
        if (!is_first_for_adapter(residency, lease) ||
            !may_load(residency, lease, occupancy, now)) {
            continue;
        }
        struct load_rank rank = rank_of(residency, lease, now);
        if (best == NULL || is_more_urgent(&rank, &best_rank)) {
            best = lease;
            best_rank = rank;
        }
    }
    return best;
}

bool
CmResidency_NextOrder(struct cm_residency *residency, struct timespec now,
                      struct cm_residency_order *order)
{
    struct occupancy occupancy = occupancy_of(residency);
    if (occupancy.incoming >= CM_RESIDENCY_INCOMING_MAX) {
        return false;
    }
    const struct cm_lease *lease = choose_lease(residency, &occupancy, now);
    if (lease == NULL) {
        return false;
    }
    if (occupancy.slots_used < residency->slots) {
        *order = (struct cm_residency_order){true, g_strdup(lease->adapter),
                                             lease->version};
        return true;
    }
    const struct cm_resident *victim = choose_victim(residency, now);
    if (victim == NULL) {
        // An older version without runs is evicted for its own replacement.
        victim = find_resident(residency, lease->adapter);
        if (victim == NULL || victim->pins > 0 ||
            CmTime_Before(now, victim->unload_retry_at)) {
            return false;
        }
    }
    *order = (struct cm_residency_order){false, g_strdup(victim->adapter), 0};
    return true;
}

void
CmResidency_OrderAccepted(struct cm_residency *residency,
                          const struct cm_residency_order *order, bool done,
                          struct timespec now)
{
    struct cm_resident *resident = find_resident(residency, order->adapter);
    if (!order->load) {
        if (resident != NULL && done) {
            remove_resident(residency, resident);
        }
        return;
    }
    if (resident != NULL && !resident->incoming) {
        resident->replacing = true;
        resident->replace_ordered_at = now;
        return;
    }
    if (resident == NULL) {
        resident = add_resident(residency, order->adapter, now);
        resident->cold = !has_recent_copy(residency, order->adapter);
        resident->ordered_at = now;
    }
    resident->incoming = true;
}

void
CmResidency_OrderRefused(struct cm_residency *residency,
                         const struct cm_residency_order *order,
                         struct timespec now)
{
    struct cm_resident *resident = find_resident(residency, order->adapter);
    if (!order->load && resident != NULL) {
        resident->unload_retry_at =
            CmTime_AddMs(now, CM_RESIDENCY_UNLOAD_RETRY_MS);
    }
}

bool
CmResidency_HasPending(const struct cm_residency *residency)
{
    const struct cm_resident *resident;
    CmList_FOREACH (resident, &residency->residents, link) {
        if (resident->incoming) {
            return true;
        }
    }
    return !TAILQ_EMPTY(&residency->waiting);
}

/// @return rest of a load that is in progress; of one that takes longer than
/// expected, half of the expected duration.
static double
remaining_load_ms(const struct cm_residency *residency,
                  const struct cm_resident *resident, struct timespec now)
{
    double load_ms = CmSlotWait_LoadMs(&residency->durations);
    double age_ms = (double)CmTime_DiffMs(now, resident->ordered_at);
    return age_ms < load_ms ? load_ms - age_ms : load_ms / 2;
}

/// @return expected time until the resident can be evicted.
static double
eviction_wait_ms(const struct cm_residency *residency,
                 const struct cm_resident *resident, struct timespec now)
{
    const struct cm_slot_durations *durations = &residency->durations;
    if (!is_needed(residency, resident)) {
        return (double)MAX(CmTime_DiffMs(resident->unload_retry_at, now), 0);
    }
    double wait_ms = 0;
    if (resident->pins == 0) {
        // Its load, and a run of a lease that waits for it.
        wait_ms = remaining_load_ms(residency, resident, now) +
                  CmSlotWait_RemainingRunMs(durations, 0);
    }
    const struct cm_lease *lease;
    CmTailq_FOREACH (lease, &residency->granted, link) {
        if (lease->resident == resident) {
            double age_ms = (double)CmTime_DiffMs(now, lease->granted_at);
            wait_ms =
                MAX(wait_ms, CmSlotWait_RemainingRunMs(durations, age_ms));
        }
    }
    double uses_per_ms =
        uses_at(resident, now) * M_LN2 / CM_RESIDENCY_HALF_LIFE_MS;
    return wait_ms + CmSlotWait_FurtherUseMs(durations, uses_per_ms);
}

/// @param ahead adapters whose loads start before.
/// @param cold  whether the load is one from the weight store.
/// @return expected time until a load can start.
static int64_t
load_wait_ms(const struct cm_residency *residency, int64_t ahead, bool cold,
             struct timespec now)
{
    GArray *slots = g_array_new(FALSE, TRUE, sizeof(double));
    GArray *loads = g_array_new(FALSE, TRUE, sizeof(double));
    int64_t free_slots = residency->slots;
    const struct cm_resident *resident;
    CmList_FOREACH (resident, &residency->residents, link) {
        double wait_ms = eviction_wait_ms(residency, resident, now);
        g_array_append_val(slots, wait_ms);
        if (resident->incoming && resident->cold) {
            wait_ms = remaining_load_ms(residency, resident, now);
            g_array_append_val(loads, wait_ms);
        }
        free_slots -= resident->replacing ? 2 : 1;
    }
    for (; free_slots > 0; free_slots--) {
        double none = 0;
        g_array_append_val(slots, none);
    }
    struct cm_slot_queue queue = {
        .slots_ms = (double *)(void *)slots->data,
        .n_slots = slots->len,
        .loads_ms = (double *)(void *)loads->data,
        .n_loads = loads->len,
        .window = (size_t)residency->cold_window,
        .ahead = (size_t)ahead,
        .load_ms = CmSlotWait_LoadMs(&residency->durations),
        .run_ms = CmSlotWait_RemainingRunMs(&residency->durations, 0),
    };
    int64_t wait_ms = CmSlotWait_StartMs(&queue, cold);
    g_array_free(slots, TRUE);
    g_array_free(loads, TRUE);
    return wait_ms;
}

int64_t
CmResidency_SlotWaitMs(const struct cm_residency *residency,
                       struct timespec now)
{
    return load_wait_ms(residency, CmResidency_WaitingAdapters(residency),
                        true, now);
}

/// @return adapters without a slot that leases wait for before those for
/// `adapter`.
static int64_t
adapters_ahead(const struct cm_residency *residency, const char *adapter)
{
    int64_t ahead = 0;
    const struct cm_lease *lease;
    CmTailq_FOREACH (lease, &residency->waiting, link) {
        if (strcmp(lease->adapter, adapter) == 0) {
            break;
        }
        ahead += find_resident(residency, lease->adapter) == NULL &&
                 is_first_for_adapter(residency, lease);
    }
    return ahead;
}

int64_t
CmResidency_QueueWaitMs(const struct cm_residency *residency,
                        const char *adapter, int64_t version,
                        struct timespec now)
{
    const struct cm_resident *resident = find_resident(residency, adapter);
    if (resident != NULL &&
        (resident->version >= version || is_waited_for(residency, adapter))) {
        return 0;
    }
    return load_wait_ms(residency, adapters_ahead(residency, adapter),
                        !has_recent_copy(residency, adapter), now);
}

int64_t
CmResidency_WaitingLeases(const struct cm_residency *residency)
{
    int64_t waiting = 0;
    const struct cm_lease *lease;
    CmTailq_FOREACH (lease, &residency->waiting, link) {
        waiting++;
    }
    return waiting;
}

void
CmResidency_Describe(const struct cm_residency *residency, GString *out)
{
    const struct cm_resident *resident;
    CmList_FOREACH (resident, &residency->residents, link) {
        g_string_append_printf(
            out, "%s:%spins=%d%s ", resident->adapter,
            resident->incoming ? "incoming," : "", resident->pins,
            is_waited_for(residency, resident->adapter) ? ",awaited" : "");
    }
    g_string_append_printf(out, "%d leases waiting for %d adapters",
                           (int)CmResidency_WaitingLeases(residency),
                           (int)CmResidency_WaitingAdapters(residency));
}
