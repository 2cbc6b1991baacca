/// @file demand.h
/// How often each adapter was requested in the last seconds at one gateway.

#ifndef DISPATCH_DEMAND_H
#define DISPATCH_DEMAND_H

#include <glib.h>
#include <time.h>

struct cm_demand {
    GHashTable *counts; ///< adapter key to struct demand_count
    size_t sweep_at;    ///< number of entries at which old ones are dropped
};

/// Initializes an empty table.
void
CmDemand_Init(struct cm_demand *demand);

/// Frees the table.
void
CmDemand_Finish(struct cm_demand *demand);

/// Counts one request.
void
CmDemand_Count(struct cm_demand *demand, const char *adapter,
               struct timespec now);

/// @return number of requests, each weighted by its age.
double
CmDemand_Of(const struct cm_demand *demand, const char *adapter,
            struct timespec now);

#endif
