/// @file budget.c
/// Bounds the memory held for crowds of peers that send without end, stop just
/// before the end of a message, or do not read: each class of memory has a
/// limit, and the peers whose end costs the least give theirs back.

#include "memory/budget.h"

#define MS_PER_S 1000

/// Part of a class that is left to small holds.
#define SMALL_PART 8
/// Time without progress after which a peer whose message goes alone makes
/// room for another one.
#define STILL_MS 2000

/// Order in which the holds of a class are released.
struct release_order {
    const char *name;
    /// @return whether the first one is released before the second one.
    bool (*is_worse)(const struct cm_memory_hold *first,
                     const struct cm_memory_hold *second, struct timespec now);
};

/// Age from which the mean rate of a message tells whether it is slow.
#define SLOW_MIN_MS 1000
/// Mean rate in bytes per ms below which a message that holds SLOW_MIN_BYTES
/// is slow: half a minute for the usual largest body (4 MiB).
#define SLOW_BYTES_PER_MS 128
#define SLOW_MIN_BYTES ((size_t)16 * 1024)

/// @return whether the message arrives slowly, whatever its pauses.
static bool
is_slow(const struct cm_memory_hold *hold, struct timespec now)
{
    int64_t age_ms = CmTime_DiffMs(now, hold->begun_at);
    return hold->bytes >= SLOW_MIN_BYTES && age_ms > SLOW_MIN_MS &&
           hold->bytes < (size_t)age_ms * SLOW_BYTES_PER_MS;
}

/// Weighs the size with the time for which the peer has sent nothing, so that
/// a large message that stands still goes before one that still arrives, and
/// short messages stay.
static double
stalled_bytes(const struct cm_memory_hold *hold, struct timespec now)
{
    return (double)hold->bytes *
           (1 + (double)CmTime_DiffMs(now, hold->progress_at) / MS_PER_S);
}

static bool
is_stalled_longer(const struct cm_memory_hold *first,
                  const struct cm_memory_hold *second, struct timespec now)
{
    bool first_slow = is_slow(first, now);
    bool second_slow = is_slow(second, now);
    return first_slow != second_slow
               ? first_slow
               : stalled_bytes(first, now) > stalled_bytes(second, now);
}

static bool
is_larger(const struct cm_memory_hold *first,
          const struct cm_memory_hold *second, struct timespec now)
{
    return first->bytes > second->bytes;
}

/// Peers that have read nothing for the longest time go first.
static bool
is_unread_longer(const struct cm_memory_hold *first,
                 const struct cm_memory_hold *second, struct timespec now)
{
    int64_t first_ms = CmTime_DiffMs(now, first->progress_at);
    int64_t second_ms = CmTime_DiffMs(now, second->progress_at);
    return first_ms != second_ms ? first_ms > second_ms
                                 : first->bytes > second->bytes;
}

static const struct release_order orders[CM_MEMORY_CLASSES] = {
    [CM_MEMORY_ARRIVING] = {"arriving", is_stalled_longer},
    [CM_MEMORY_REQUESTS] = {"requests", is_larger},
    [CM_MEMORY_RESPONSES] = {"responses", is_larger},
    [CM_MEMORY_OUTPUT] = {"output", is_unread_longer},
};

void
CmMemoryBudget_Init(struct cm_memory_budget *budget, struct cm_clock *clock,
                    size_t max_bytes)
{
    *budget = (struct cm_memory_budget){.clock = clock};
    for (size_t i = 0; i < CM_MEMORY_CLASSES; i++) {
        TAILQ_INIT(&budget->classes[i].holds);
    }
    CmMemoryBudget_SetMax(budget, max_bytes);
}

void
CmMemoryBudget_SetMax(struct cm_memory_budget *budget, size_t max_bytes)
{
    budget->class_max_bytes = max_bytes / CM_MEMORY_CLASSES;
}

/// @return the largest hold that may go alone and doesn't yet, or NULL.
static struct cm_memory_hold *
find_large(const struct cm_memory_budget *budget, enum cm_memory_class class)
{
    struct cm_memory_hold *large = NULL;
    struct cm_memory_hold *hold;
    CmTailq_FOREACH (hold, &budget->classes[class].holds, link) {
        if (hold->may_go_alone && hold != budget->classes[class].alone &&
            (large == NULL || hold->bytes > large->bytes)) {
            large = hold;
        }
    }
    return large;
}

/// Releases the hold that goes alone if its peer stands still.
static void
release_still(struct cm_memory_budget *budget, enum cm_memory_class class)
{
    struct cm_memory_hold *alone = budget->classes[class].alone;
    struct timespec now = CmClock_Now(budget->clock);
    if (alone != NULL && alone->release != NULL &&
        CmTime_DiffMs(now, alone->progress_at) > STILL_MS) {
        budget->classes[class].released++;
        alone->release(alone);
    }
}

static struct cm_memory_hold *
find_worst(const struct cm_memory_budget *budget, enum cm_memory_class class)
{
    struct timespec now = CmClock_Now(budget->clock);
    struct cm_memory_hold *worst = NULL;
    struct cm_memory_hold *hold;
    CmTailq_FOREACH (hold, &budget->classes[class].holds, link) {
        if (hold->release != NULL && hold != budget->classes[class].alone &&
            (worst == NULL || orders[class].is_worse(hold, worst, now))) {
            worst = hold;
        }
    }
    return worst;
}

void
CmMemoryBudget_Enforce(struct cm_memory_budget *budget,
                       enum cm_memory_class class)
{
    while (budget->classes[class].bytes > budget->class_max_bytes) {
        struct cm_memory_hold *large = find_large(budget, class);
        if (large != NULL) {
            release_still(budget, class);
        }
        if (large != NULL && CmMemoryHold_GoAlone(large)) {
            continue;
        }
        struct cm_memory_hold *worst = find_worst(budget, class);
        if (worst == NULL) {
            return;
        }
        budget->classes[class].released++;
        size_t before = budget->classes[class].bytes;
        worst->release(worst);
        // What a release cannot free at once is freed later.
        if (budget->classes[class].bytes >= before) {
            return;
        }
    }
}

bool
CmMemoryBudget_Admit(struct cm_memory_budget *budget,
                     enum cm_memory_class class, size_t bytes)
{
    size_t used = budget->classes[class].bytes;
    size_t max = budget->class_max_bytes;
    size_t room = used < max ? max - used : 0;
    bool admitted = room > 0 && (used + bytes <= max - max / SMALL_PART ||
                                 bytes <= (used > 0 ? room / 2 : room));
    budget->classes[class].denied += !admitted;
    return admitted;
}

size_t
CmMemoryBudget_Total(const struct cm_memory_budget *budget)
{
    size_t total = 0;
    for (size_t i = 0; i < CM_MEMORY_CLASSES; i++) {
        const struct cm_memory_hold *alone = budget->classes[i].alone;
        total += budget->classes[i].bytes;
        total += alone != NULL ? alone->bytes : 0;
    }
    return total;
}

const char *CmMemoryClass_Name(enum cm_memory_class class)
{
    return orders[class].name;
}

void
CmMemoryHold_Init(struct cm_memory_hold *hold, struct cm_memory_budget *budget,
                  enum cm_memory_class class,
                  void (*release)(struct cm_memory_hold *hold))
{
    *hold = (struct cm_memory_hold){
        .budget = budget, .class = class, .release = release};
}

void
CmMemoryHold_Finish(struct cm_memory_hold *hold)
{
    CmMemoryHold_Set(hold, 0);
}

void
CmMemoryHold_Set(struct cm_memory_hold *hold, size_t bytes)
{
    if (bytes == hold->bytes) {
        return;
    }
    struct cm_memory_budget *budget = hold->budget;
    if (hold->bytes == 0) {
        hold->begun_at = CmClock_Now(budget->clock);
        hold->progress_at = hold->begun_at;
        TAILQ_INSERT_TAIL(&budget->classes[hold->class].holds, hold, link);
    }
    else if (bytes == 0) {
        TAILQ_REMOVE(&budget->classes[hold->class].holds, hold, link);
    }
    if (budget->classes[hold->class].alone != hold) {
        budget->classes[hold->class].bytes += bytes - hold->bytes;
    }
    else if (bytes == 0) {
        budget->classes[hold->class].alone = NULL;
    }
    hold->bytes = bytes;
}

bool
CmMemoryHold_GoAlone(struct cm_memory_hold *hold)
{
    struct cm_memory_budget *budget = hold->budget;
    if (!hold->may_go_alone || hold->bytes == 0 ||
        budget->classes[hold->class].alone != NULL) {
        return false;
    }
    budget->classes[hold->class].alone = hold;
    budget->classes[hold->class].bytes -= hold->bytes;
    return true;
}

void
CmMemoryHold_CountProgress(struct cm_memory_hold *hold)
{
    hold->progress_at = CmClock_Now(hold->budget->clock);
}

void
CmMemoryHold_Move(struct cm_memory_hold *hold, enum cm_memory_class class)
{
    size_t bytes = hold->bytes;
    struct timespec progress_at = hold->progress_at;
    CmMemoryHold_Set(hold, 0);
    hold->class = class;
    CmMemoryHold_Set(hold, bytes);
    hold->progress_at = progress_at;
}
