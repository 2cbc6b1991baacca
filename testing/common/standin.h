/// @file standin.h
/// What all stand-ins share: start-up, a log of runs, and a way to end.

#ifndef STANDIN_H
#define STANDIN_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/// Lines of JSON that `GET /executions` returns, oldest first.
struct standin_log {
    GString *lines;
    size_t count;
};

/// Prepares an empty journal.
void
StandinLog_Init(struct standin_log *journal);

/// Frees the journal.
void
StandinLog_Finish(struct standin_log *journal);

/// Adds one entry; takes the reference to `entry`.
void
StandinLog_Append(struct standin_log *journal, json_t *entry);

/// Answers `GET /executions`.
void
StandinLog_Reply(const struct standin_log *journal,
                 struct evhttp_request *request);

/// Listens on 127.0.0.1:`port`; ends the process where that fails.
struct evhttp *
Standin_Listen(struct event_base *base, int port,
               void (*handle)(struct evhttp_request *, void *), void *context);

/// Runs the loop until SIGTERM or SIGINT.
void
Standin_Run(struct event_base *base);

/// Parses "--NAME VALUE" options into `*values`, in the order of `names`.
/// Prints the usage and ends the process on anything else.
void
Standin_ParseOptions(int argc, char **argv, const char *const *names,
                     const char **values, size_t n);

/// Number member of an object, or `fallback` where it is missing.
double
Standin_JsonNumber(const json_t *object, const char *name, double fallback);

#endif
