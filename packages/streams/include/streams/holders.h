/// @file holders.h
/// Chooses the agents that hold the record of a stream: those that follow its
/// hash among the agents of all engines. All gateways with the same list of
/// targets choose the same ones, also after a restart.

#ifndef STREAMS_HOLDERS_H
#define STREAMS_HOLDERS_H

#include <stddef.h>

#include "dispatch/target_defs.h"

/// Agents that get a record.
#define CM_STREAM_HOLDERS 2
/// Agents that are asked for one. More than those that get it, as the lists of
/// two gateways may differ by a target.
#define CM_STREAM_HOLDERS_ASKED 3

/// @param n number of holders wanted.
/// @param[out] addresses of distinct agents, valid until the next change of
/// the targets.
/// @return their number.
size_t
CmStreamHolders_Choose(const struct cm_targets *targets, const char *id,
                       size_t n, const char *addresses[]);

#endif
