/// @file snapshot.h
/// What a gateway knows, as one text for another gateway: the configuration
/// as the store has it, the targets with the adapters in their slots, and the
/// announced versions.

#ifndef GATEWAY_SNAPSHOT_H
#define GATEWAY_SNAPSHOT_H

#include "gateway.h"

/// @return the text, to be freed with free(); NULL if the gateway could not
/// place requests itself.
char *
Snapshot_Compose(const struct gateway *gateway);

/// Takes another gateway's text over. Nothing of it goes back behind what is
/// known: configuration and versions only rise.
/// @return whether it was understood; nothing is taken otherwise.
bool
Snapshot_Apply(struct gateway *gateway, const char *text, size_t size);

#endif
