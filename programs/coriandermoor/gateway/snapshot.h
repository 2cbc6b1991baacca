/// @file snapshot.h
/// JSON snapshot of a gateway's state, from which a peer can start while the
/// store is unreachable: the configuration as read from the store, the targets
/// with the adapters in their slots, and the announced adapter versions.

#ifndef GATEWAY_SNAPSHOT_H
#define GATEWAY_SNAPSHOT_H

#include "gateway.h"

/// @return the JSON text, to be freed with free(), or NULL if this gateway
/// can't place requests itself yet.
char *
Snapshot_Compose(const struct gateway *gateway);

/// @return the JSON text of what stays true whatever the store shows: the
/// newest configuration and adapter versions, and which targets are draining;
/// NULL if this gateway can't place requests itself yet. To be freed with
/// free().
char *
Snapshot_ComposeFacts(const struct gateway *gateway);

/// Applies the facts of another gateway, so that a gateway that starts while
/// the store shows an older copy doesn't fall behind the others.
/// @return false if they are malformed; nothing is applied then.
bool
Snapshot_ApplyFacts(struct gateway *gateway, const char *text, size_t size);

/// Applies a snapshot of another gateway. The configuration and the adapter
/// versions are applied only if they are newer than the known ones. An invalid
/// configuration or target is skipped and logged.
/// @return false if the snapshot itself is malformed or of an earlier era of
/// the store than this gateway knows; nothing is applied then.
bool
Snapshot_Apply(struct gateway *gateway, const char *text, size_t size);

#endif
