/// @file snapshot.h
/// Serializes adapter popularity as JSON, so that a restarted fleet can load
/// the adapters that were in use first.

#ifndef PLACEMENT_SNAPSHOT_H
#define PLACEMENT_SNAPSHOT_H

#include <jansson.h>
#include <stdbool.h>

#include "placement/popularity.h"

#define CM_SNAPSHOT_FORMAT 1
/// Most popular adapters of one service that a snapshot contains.
#define CM_SNAPSHOT_ADAPTERS_MAX 8000

enum cm_snapshot_result {
    CM_SNAPSHOT_RESTORED,
    CM_SNAPSHOT_MALFORMED,    ///< not well formed; nothing restored
    CM_SNAPSHOT_NEWER_FORMAT, ///< of a later format; nothing restored
};

struct cm_adapter_rate {
    char *adapter;
    double rate; ///< requests per second
};

/// @param minimum in requests per second.
/// @return array of struct cm_adapter_rate with the adapters of at least that
///         rate, most popular first; freeing it frees the names too.
GArray *
CmSnapshot_Rank(const struct cm_popularity *popularity, struct timespec now,
                double minimum);

/// @param factor converts the rates of this process to those of the fleet.
/// @return the popularity as [["adapter", rate], ...]; new reference.
json_t *
CmSnapshot_Encode(const struct cm_popularity *popularity, struct timespec now,
                  double factor);

/// Restores the output of CmSnapshot_Encode() into `popularity`, all or
/// nothing.
/// @param factor converts the rates of the fleet to those of this process.
enum cm_snapshot_result
CmSnapshot_Decode(const json_t *json, struct cm_popularity *popularity,
                  struct timespec now, double factor);

#endif
