/// @file successor.h
/// Search for a target that takes over from a stalled attempt.
///
/// The attempt goes on during the search and ends only when its successor is
/// about to be sent. A target that was silent for a moment thus loses no
/// response for want of a lease, a permit, a trial, a retry or a connection.

#ifndef GATEWAY_SUCCESSOR_H
#define GATEWAY_SUCCESSOR_H

#include "request_defs.h"

/// Prepares the searches of a new request.
void
Successor_Init(struct successor_search *search);

/// Ends a search, if there is one, as the attempt goes on.
void
Successor_CountProgress(struct request *request);

/// Looks for a successor of the stalled attempt. If the retry rules or the
/// retry budget allow none now, tries again after a pause.
void
Successor_Search(struct request *request);

/// Ends a search without result, and tries again after a pause.
/// @param reason for the log.
void
Successor_Postpone(struct request *request, const char *reason);

/// Ends a search, if there is one, and gives back what it was granted.
void
Successor_Abandon(struct request *request);

/// Turns a search, if there is one, into the placement of a retry, as the
/// attempt has ended by itself.
void
Successor_KeepForRetry(struct request *request);

/// Opens a connection to the successor, unless there is an idle one.
/// @return whether it is open. Otherwise Request_SendTo() is called again
/// later, or the request is placed at another target.
bool
Successor_Connect(struct request *request, struct cm_live_target *target);

/// Ends the search and the stalled attempt. The successor is sent next.
void
Successor_TakeOver(struct request *request);

/// Ends a connect that is under way.
void
Successor_Finish(struct request *request);

#endif
