/// @file replies.h
/// Writing answers to callers.

#ifndef REPLIES_H
#define REPLIES_H

#include "exchange.h"

/// @return whether the header lines are those of an event stream.
bool
Reply_IsStream(const char *headers);

/// Sends an error of our own, in the shape of the OpenAI API.
void
Reply_SendError(struct exchange *exchange, int status, const char *type,
                const char *message, enum cm_outcome outcome,
                int retry_after_s);

/// Sends the whole answer.
void
Reply_SendAnswer(struct exchange *exchange);

/// Begins a streamed reply.
void
Reply_StartStream(struct exchange *exchange);

/// Sends the bytes not yet delivered; credits the agent once they are out.
void
Reply_ContinueStream(struct exchange *exchange, struct attempt *attempt);

/// Ends a streamed reply.
void
Reply_EndStream(struct exchange *exchange);

/// Ends a streamed reply that cannot be continued: an error event, then the
/// connection closes without a proper end, so that nobody takes it for whole.
void
Reply_AbortStream(struct exchange *exchange, const char *message);

#endif
