/// @file client.h
/// HTTP client with headers in lists, timeouts, and streamed responses that
/// can be paused, over the connection pools of h1. The result of a call tells
/// whether the server may have received the request.

#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "http/client_defs.h"

/// Initializes a client on `base`.
void
CmHttpClient_Init(struct cm_http_client *client, struct event_base *base);

/// Cancels all calls without callbacks and closes all connections.
void
CmHttpClient_Finish(struct cm_http_client *client);

/// Starts a call. The handler's `done` is called exactly once, unless the call
/// is cancelled, and never from within this function.
void
CmHttpCall_Start(struct cm_http_call *call, struct cm_http_client *client,
                 const struct cm_http_request *request,
                 const struct cm_http_handler *handler, void *context);

/// Cancels a call: no callback follows and the connection is closed. Does
/// nothing if no call is in progress.
void
CmHttpCall_Cancel(struct cm_http_call *call);

/// @return whether the call is in progress.
bool
CmHttpCall_Active(const struct cm_http_call *call);

/// Pauses or resumes reading the response, which passes the backpressure of a
/// slow downstream reader on to the server.
void
CmHttpCall_SetReading(struct cm_http_call *call, bool reading);

/// Splits "HOST:PORT".
/// @return whether `address` is well formed.
bool
CmHttp_SplitAddress(const char *address, char host[CM_HTTP_ADDRESS_MAX_BYTES],
                    uint16_t *port);

#endif
