/// @file blocking_http.h
/// Synchronous HTTP client for the control and admin APIs.

#ifndef BLOCKING_HTTP_H
#define BLOCKING_HTTP_H

#include <event2/http.h>
#include <jansson.h>

/// Sends a request and blocks until the response is complete.
/// @param address IP:PORT
/// @param body NULL for none
/// @param[out] status HTTP status, 0 without a response; may be NULL
/// @return the response body, to be freed with g_free(), or NULL if the call
///         failed or timed out.
char *
BlockingHttp_Call(const char *address, enum evhttp_cmd_type method,
                  const char *path, const char *body, int *status);

/// Like BlockingHttp_Call() with PUT and an If-Match header.
/// @param if_match value of the header; NULL to omit it
char *
BlockingHttp_Put(const char *address, const char *path, const char *if_match,
                 const char *body, int *status);

/// @return the JSON body of a GET response as a new reference, or NULL if the
///         call failed or the body isn't JSON.
json_t *
BlockingHttp_GetJson(const char *address, const char *path);

#endif
