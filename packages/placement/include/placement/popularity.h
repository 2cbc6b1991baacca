/// @file popularity.h
/// Exponentially decayed request rates by adapter.

#ifndef PLACEMENT_POPULARITY_H
#define PLACEMENT_POPULARITY_H

#include <glib.h>
#include <time.h>

/// Half-life of a rate.
#define CM_POPULARITY_HALF_LIFE_S 120.0
/// Adapters remembered; the least popular ones are forgotten beyond it.
#define CM_POPULARITY_MAX 65536

struct cm_popularity {
    GHashTable *rates; ///< adapter text to struct
};

/// Prepares an empty table.
void
CmPopularity_Init(struct cm_popularity *popularity);

/// Frees the table.
void
CmPopularity_Finish(struct cm_popularity *popularity);

/// Counts one request for `adapter`.
void
CmPopularity_RecordRequest(struct cm_popularity *popularity,
                           const char *adapter, struct timespec now);

/// @return the decayed rate of `adapter` in requests a second.
double
CmPopularity_Rate(const struct cm_popularity *popularity, const char *adapter,
                  struct timespec now);

/// Sets a rate, for a restart from a snapshot.
void
CmPopularity_Set(struct cm_popularity *popularity, const char *adapter,
                 double rate, struct timespec now);

/// Calls `each` for every adapter whose rate is at least `minimum`.
void
CmPopularity_ForEach(const struct cm_popularity *popularity,
                     struct timespec now, double minimum,
                     void (*each)(void *context, const char *adapter,
                                  double rate),
                     void *context);

#endif
