/// @file placement.h
/// Picks the target of a request.

#ifndef GATEWAY_PLACEMENT_H
#define GATEWAY_PLACEMENT_H

#include "request_defs.h"

/// Picks a target and sends the request there. For an adapter, requests a
/// lease first. If no target can take the request, waits for engines that are
/// starting or ends the request. While another attempt goes on, gives up the
/// search for its successor instead.
void
Request_Place(struct request *request);

#endif
