/// @file target_notices.h
/// Records what targets say of themselves in their responses, and logs when it
/// begins and ends.

#ifndef GATEWAY_TARGET_NOTICES_H
#define GATEWAY_TARGET_NOTICES_H

#include "gateway.h"

/// @return whether another incarnation than the intended one has answered the
/// request with status 421. A request for a model may get that from the
/// intended one, too, which then names itself or nobody.
bool
TargetNotices_IsAbsent(const struct request *request);

/// Reads the head of a target's response.
void
TargetNotices_CountResponse(struct request *request);

/// @return ms until a target of the request's service may get work again; 0
/// unless all that could run it have asked for a pause.
int64_t
TargetNotices_PauseLeftMs(const struct request *request);

/// Notices what has ended.
void
TargetNotices_Tick(struct gateway *gateway);

/// Updates the gauges of the metrics output.
void
TargetNotices_UpdateGauges(struct gateway *gateway);

#endif
