/// @file popularity.h
/// Exponentially decayed request rate of each adapter.

#ifndef PLACEMENT_POPULARITY_H
#define PLACEMENT_POPULARITY_H

#include <glib.h>
#include <time.h>

/// Time in which the rate of an adapter without requests halves.
#define CM_POPULARITY_HALF_LIFE_S 120.0
/// Number of adapters from which adding another one first drops those with
/// negligible rates. The table may grow beyond it.
#define CM_POPULARITY_MAX 65536

struct cm_popularity {
    GHashTable *rates; ///< adapter name to struct rate
};

void
CmPopularity_Init(struct cm_popularity *popularity);

void
CmPopularity_Finish(struct cm_popularity *popularity);

/// Counts one request for `adapter`.
void
CmPopularity_RecordRequest(struct cm_popularity *popularity,
                           const char *adapter, struct timespec now);

/// @return the decayed rate of `adapter` in requests per second.
double
CmPopularity_Rate(const struct cm_popularity *popularity, const char *adapter,
                  struct timespec now);

/// Sets a rate, in requests per second, that was restored from a snapshot.
void
CmPopularity_Set(struct cm_popularity *popularity, const char *adapter,
                 double rate_per_s, struct timespec now);

/// Calls `each` for every adapter whose rate is at least `minimum` requests
/// per second.
void
CmPopularity_ForEach(const struct cm_popularity *popularity,
                     struct timespec now, double minimum,
                     void (*each)(void *context, const char *adapter,
                                  double rate),
                     void *context);

#endif
