/// @file replies.h
/// Writes HTTP responses to callers: errors, whole answers and streams with
/// flow control.

#ifndef REPLIES_H
#define REPLIES_H

#include "exchange.h"

/// @return whether the header lines are those of an event stream.
bool
Reply_IsStream(const char *headers);

/// Sends an error that the entry itself produces, in the OpenAI error format.
/// @param retry_after_s value of Retry-After, or 0 for no such header.
void
Reply_SendError(struct exchange *exchange, int status, const char *type,
                const char *message, enum cm_outcome outcome,
                int retry_after_s);

/// Sends the target's whole answer.
void
Reply_SendAnswer(struct exchange *exchange);

/// Sends the status and headers of a streamed response.
void
Reply_StartStream(struct exchange *exchange);

/// Sends the bytes not yet delivered. Credits the agent while little waits in
/// the caller's connection, else after the write.
void
Reply_ContinueStream(struct exchange *exchange, struct attempt *attempt);

/// Ends a streamed response.
void
Reply_EndStream(struct exchange *exchange);

/// Aborts a streamed response that cannot be continued: sends an error event
/// and closes the connection without the last chunk, so that the caller does
/// not take the response for complete.
void
Reply_AbortStream(struct exchange *exchange, const char *message);

#endif
