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

/// @return whether the request's stream has begun and may go on at a target
/// that can take it later.
bool
Request_MayResumeLater(struct request *request);

/// Places such a request again after a pause. Until then it holds neither a
/// lease nor a permit.
/// @param reason why it can't go on now
void
Request_ResumeLater(struct request *request, const char *reason);

/// Places the request again after a pause if it hasn't run and has waited for
/// too long to be refused (dispatch/refusal.h).
/// @param reason why no target takes it now
/// @return false if it is to be refused.
bool
Request_KeepPlace(struct request *request, const char *reason);

#endif
