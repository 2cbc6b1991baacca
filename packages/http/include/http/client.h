/// @file client.h
/// HTTP client over evhttp: keeps connections per address, streams answers,
/// and tells "never connected" from "broke off after sending".

#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "http/client_defs.h"

/// Prepares a client on `base`.
void
CmHttpClient_Init(struct cm_http_client *client, struct event_base *base);

/// Ends all exchanges without callbacks and closes all connections.
void
CmHttpClient_Finish(struct cm_http_client *client);

/// Starts a call. `end` of the handler is called exactly once, unless the
/// call is cancelled, and never from inside this function.
void
CmHttpCall_Start(struct cm_http_call *call, struct cm_http_client *client,
                 const struct cm_http_request *request,
                 const struct cm_http_handler *handler, void *context);

/// Gives the call up: no callback follows, the connection is closed.
/// Harmless on a call that is idle or over.
void
CmHttpCall_Cancel(struct cm_http_call *call);

/// @return whether the call is in progress.
bool
CmHttpCall_Active(const struct cm_http_call *call);

/// Stops or continues reading the answer, so that a slow reader further on
/// slows the sender down.
void
CmHttpCall_SetReading(struct cm_http_call *call, bool reading);

/// Splits "IP:PORT".
/// @return whether `address` is well formed.
bool
CmHttp_SplitAddress(const char *address, char host[CM_HTTP_ADDRESS_MAX_BYTES],
                    uint16_t *port);

#endif
