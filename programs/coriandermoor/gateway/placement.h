/// @file placement.h
/// Finds the target of a request.

#ifndef GATEWAY_PLACING_H
#define GATEWAY_PLACING_H

#include "request_defs.h"

/// Places the request, now or after an agent's answer; refuses it if no
/// target can take it.
void
Request_Place(struct request *request);

#endif
