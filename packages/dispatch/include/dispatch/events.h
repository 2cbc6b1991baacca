/// @file events.h
/// Events of a stream: whole ones only are passed on, each once.

#ifndef DISPATCH_EVENTS_H
#define DISPATCH_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// Longest event that is accepted.
#define CM_EVENT_MAX ((gsize)256 * 1024)

struct cm_events {
    GString *partial; ///< start of an event that is not whole yet
    int64_t last;     ///< id of the last event passed on; -1 for none
    int64_t passed;   ///< events passed on
};

/// Prepares a stream whose reader has events up to `last` (-1 for none).
void
CmEvents_Init(struct cm_events *events, int64_t last);

/// Frees the rest.
void
CmEvents_Finish(struct cm_events *events);

/// The stream goes on at another target: drops an unfinished event.
void
CmEvents_Resume(struct cm_events *events);

/// Takes bytes of the stream and appends all events that have become whole
/// and are new to `out`.
/// @return false if an event is missing or too long.
bool
CmEvents_Feed(struct cm_events *events, const void *data, size_t size,
              GString *out);

/// @return whether the stream ends here between two events.
bool
CmEvents_AtBoundary(const struct cm_events *events);

#endif
