/// @file stream_holder.h
/// Holds records of streams for gateways, which may end at any moment.

#ifndef SLOTS_STREAM_HOLDER_H
#define SLOTS_STREAM_HOLDER_H

#include "slots.h"

void
StreamHolder_Init(struct slots *slots);

/// Receives datagrams on the gateways' address.
/// @return whether the port is open; sets `error` otherwise.
gboolean
StreamHolder_Listen(struct slots *slots, GError **error);

/// Forgets old records.
void
StreamHolder_Expire(struct slots *slots);

void
StreamHolder_Finish(struct slots *slots);

#endif
