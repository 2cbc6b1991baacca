/// @file event_stream.h
/// Events of a stream: whole ones only are passed on, each once.

#ifndef DISPATCH_EVENT_STREAM_H
#define DISPATCH_EVENT_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// Longest event that is accepted.
#define CM_EVENT_MAX_BYTES ((gsize)256 * 1024)

struct cm_event_stream {
    GString *partial;  ///< start of an event that is not whole yet
    int64_t last_id;   ///< id of the last event passed on; -1 for none
    int64_t forwarded; ///< events passed on
};

/// Prepares a stream whose reader has events up to `last` (-1 for none).
void
CmEventStream_Init(struct cm_event_stream *events, int64_t last);

/// Frees the rest.
void
CmEventStream_Finish(struct cm_event_stream *events);

/// The stream goes on at another target: drops an unfinished event.
void
CmEventStream_Resume(struct cm_event_stream *events);

/// Takes bytes of the stream and appends all events that have become whole
/// and are new to `out`.
/// @return false if an event is missing or too long.
bool
CmEventStream_Feed(struct cm_event_stream *events, const void *data,
                   size_t size, GString *out);

/// @return whether the stream ends here between two events.
bool
CmEventStream_AtBoundary(const struct cm_event_stream *events);

#endif
