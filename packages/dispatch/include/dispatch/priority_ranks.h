/// @file priority_ranks.h
/// Order of requests by two priorities: the client account's goes before the
/// route's, which decides between requests of equal accounts. Both are mapped
/// to one number, and to the few levels that engines know. Pure.

#ifndef DISPATCH_PRIORITY_RANKS_H
#define DISPATCH_PRIORITY_RANKS_H

#include <glib.h>
#include <stdint.h>

/// Levels that engines know; 0 is the most urgent.
#define CM_PRIORITY_LEVELS 10

/// Priorities in use, each once and in order once CmPriorityRanks_Sort() was
/// called.
struct cm_priority_ranks {
    GArray *first;  ///< of int64_t, of accounts, or of routes without one
    GArray *second; ///< of int64_t, of routes
};

void
CmPriorityRanks_Init(struct cm_priority_ranks *ranks);

void
CmPriorityRanks_Finish(struct cm_priority_ranks *ranks);

void
CmPriorityRanks_AddRoute(struct cm_priority_ranks *ranks, int64_t priority);

void
CmPriorityRanks_AddAccount(struct cm_priority_ranks *ranks, int64_t priority);

void
CmPriorityRanks_Sort(struct cm_priority_ranks *ranks);

/// @param first the account's priority, or the route's if it has none.
/// @param second the route's priority.
/// @return rank of a request, 0 for the most urgent.
int64_t
CmPriorityRanks_Of(const struct cm_priority_ranks *ranks, int64_t first,
                   int64_t second);

/// @return the level of a rank: itself if there are enough levels, otherwise
/// neighbouring ranks share one.
int64_t
CmPriorityRanks_Level(const struct cm_priority_ranks *ranks, int64_t rank);

#endif
