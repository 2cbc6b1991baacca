/// @file responses.h
/// What a caller gets. All but Response_Log() and Response_WriteEvents() end
/// the request and free it.

#ifndef GATEWAY_RESPONSES_H
#define GATEWAY_RESPONSES_H

#include "request_defs.h"

/// Writes the log line of a request's end.
void
Response_Log(const struct request *request, const char *outcome, int status,
             const char *reason);

/// Answers with a status of the gateway's own; 503 tells when to come back.
void
Response_SendLocal(struct request *request, int status, const char *reason);

/// Passes the target's response on as it is.
void
Response_Forward(struct request *request);

/// Breaks an answer off that has begun.
void
Response_Abort(struct request *request, const char *reason);

/// Ends the request by a step that is no further attempt.
void
Response_EndByStep(struct request *request, enum cm_life_step step,
                   const char *reason);

/// Writes whole events of a stream, the head before the first.
void
Response_WriteEvents(struct request *request, const GString *events);

/// Completes a stream.
void
Response_EndStream(struct request *request);

#endif
