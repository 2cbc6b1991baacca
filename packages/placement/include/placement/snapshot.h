/// @file snapshot.h
/// Popularity as a JSON object, so that a restarted fleet knows which
/// adapters were in use.

#ifndef PLACEMENT_SNAPSHOT_H
#define PLACEMENT_SNAPSHOT_H

#include <jansson.h>
#include <stdbool.h>

#include "placement/popularity.h"

#define CM_SNAPSHOT_FORMAT 1
/// Adapters kept of one service, the most popular ones.
#define CM_SNAPSHOT_ADAPTERS_MAX 8000

enum cm_snapshot_result {
    CM_SNAPSHOT_RESTORED,
    CM_SNAPSHOT_MALFORMED,    ///< not well formed: nothing was taken
    CM_SNAPSHOT_NEWER_FORMAT, ///< of a later format: nothing was taken
};

/// One adapter and its rate.
struct cm_adapter_rate {
    char *adapter;
    double rate; ///< requests a second
};

/// @return the adapters of at least `minimum`, most popular first; of struct
///         cm_adapter_rate, freed with the array.
GArray *
CmSnapshot_Rank(const struct cm_popularity *popularity, struct timespec now,
                double minimum);

/// @return the popularity as [["adapter", rate], ...]; new reference.
/// @param factor from own rates to those of the fleet.
json_t *
CmSnapshot_Encode(const struct cm_popularity *popularity, struct timespec now,
                  double factor);

/// Takes what CmSnapshot_Encode() made into `popularity`, all or nothing.
/// @param factor from rates of the fleet to own ones.
enum cm_snapshot_result
CmSnapshot_Decode(const json_t *json, struct cm_popularity *popularity,
                  struct timespec now, double factor);

#endif
