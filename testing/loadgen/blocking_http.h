/// @file blocking_http.h
/// One HTTP call after the other, waiting for each answer.

#ifndef BLOCKING_H
#define BLOCKING_H

#include <event2/http.h>
#include <jansson.h>

/// @return the answer's body, to be freed, or NULL where none came.
char *
Blocking_Call(const char *address, enum evhttp_cmd_type method,
              const char *path, const char *body, int *status);

/// PUTs with an If-Match header.
char *
Blocking_Put(const char *address, const char *path, const char *match,
             const char *body, int *status);

/// @return the answer to a GET as JSON; new reference, or NULL.
json_t *
Blocking_GetJson(const char *address, const char *path);

#endif
