/// @file responses.h
/// What a caller gets. All but Answer_Log() and Answer_Events() end the
/// request and free it.

#ifndef GATEWAY_ANSWERS_H
#define GATEWAY_ANSWERS_H

#include "request_defs.h"

/// Writes the log line of a request's end.
void
Answer_Log(const struct request *request, const char *outcome, int status,
           const char *reason);

/// Answers with a status of the gateway's own; 503 tells when to come back.
void
Answer_Own(struct request *request, int status, const char *reason);

/// Passes the target's response on as it is.
void
Answer_Pass(struct request *request);

/// Breaks an answer off that has begun.
void
Answer_Cut(struct request *request, const char *reason);

/// Ends the request by a step that is no further attempt.
void
Answer_By(struct request *request, enum cm_retry_step step,
          const char *reason);

/// Writes whole events of a stream, the head before the first.
void
Answer_Events(struct request *request, const GString *events);

/// Completes a stream.
void
Answer_EndStream(struct request *request);

#endif
