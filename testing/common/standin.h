/// @file standin.h
/// Start-up, command line and execution log of the stand-in servers.

#ifndef STANDIN_H
#define STANDIN_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/// Log of executed operations, one JSON object per line, oldest first.
/// `GET /executions` returns it.
struct standin_log {
    GString *lines;
    size_t count;
};

/// Prepares an empty log.
void
StandinLog_Init(struct standin_log *log);

/// Frees the log.
void
StandinLog_Finish(struct standin_log *log);

/// Adds the wall-clock time as "at_ms" to `entry` and appends it to the log.
/// Takes the reference to `entry`.
void
StandinLog_Append(struct standin_log *log, json_t *entry);

/// Replies to `GET /executions` with the whole log.
void
StandinLog_Reply(const struct standin_log *log,
                 struct evhttp_request *request);

/// Serves HTTP on 127.0.0.1:`port`. Exits the process if it can't listen.
struct evhttp *
Standin_Listen(struct event_base *base, int port,
               void (*handle)(struct evhttp_request *, void *), void *context);

/// Runs the event loop until SIGTERM or SIGINT.
void
Standin_Run(struct event_base *base);

/// Parses "--NAME VALUE" options into `*values`, in the order of `names`.
/// Prints the usage and exits on anything else.
void
Standin_ParseOptions(int argc, char **argv, const char *const *names,
                     const char **values, size_t n);

/// @return member `name` of a JSON object, or `fallback` if it is missing or
///         not a number.
double
Standin_JsonNumber(const json_t *object, const char *name, double fallback);

#endif
