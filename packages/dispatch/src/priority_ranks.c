/// @file priority_ranks.c
/// Order of requests by account and route.
///
/// Load pattern: all accounts have the same priority, and urgent short
/// requests compete with long ones of another route for adapter slots and
/// engines. By the accounts alone, none would go first.

#include "dispatch/priority_ranks.h"

#include <stdlib.h>

void
CmPriorityRanks_Init(struct cm_priority_ranks *ranks)
{
    ranks->first = g_array_new(FALSE, FALSE, sizeof(int64_t));
    ranks->second = g_array_new(FALSE, FALSE, sizeof(int64_t));
}

void
CmPriorityRanks_Finish(struct cm_priority_ranks *ranks)
{
    g_array_free(ranks->first, TRUE);
    g_array_free(ranks->second, TRUE);
}

void
CmPriorityRanks_AddRoute(struct cm_priority_ranks *ranks, int64_t priority)
{
    g_array_append_val(ranks->first, priority);
    g_array_append_val(ranks->second, priority);
}

void
CmPriorityRanks_AddAccount(struct cm_priority_ranks *ranks, int64_t priority)
{
    g_array_append_val(ranks->first, priority);
}

static int
compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return (x > y) - (x < y);
}

/// Sorts the values and drops repeated ones.
static void
sort(GArray *values)
{
    g_array_sort(values, compare);
    guint n = 0;
    for (guint i = 0; i < values->len; i++) {
        int64_t value = g_array_index(values, int64_t, i);
        if (n == 0 || g_array_index(values, int64_t, n - 1) != value) {
            g_array_index(values, int64_t, n++) = value;
        }
    }
    g_array_set_size(values, n);
}

void
CmPriorityRanks_Sort(struct cm_priority_ranks *ranks)
{
    sort(ranks->first);
    sort(ranks->second);
}

/// @return the number of smaller values.
static int64_t
rank_in(const GArray *values, int64_t value)
{
    guint low = 0;
    guint high = values->len;
    while (low < high) {
        guint middle = (low + high) / 2;
        if (g_array_index(values, int64_t, middle) < value) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

int64_t
CmPriorityRanks_Of(const struct cm_priority_ranks *ranks, int64_t first,
                   int64_t second)
{
    return rank_in(ranks->first, first) * MAX((int64_t)ranks->second->len, 1) +
           rank_in(ranks->second, second);
}

int64_t
CmPriorityRanks_Level(const struct cm_priority_ranks *ranks, int64_t rank)
{
    int64_t n = (int64_t)ranks->first->len * (int64_t)ranks->second->len;
    int64_t level =
        n > CM_PRIORITY_LEVELS ? rank * CM_PRIORITY_LEVELS / n : rank;
    return CLAMP(level, 0, CM_PRIORITY_LEVELS - 1);
}
