/// @file event_stream.h
/// Splits a text/event-stream body into events and forwards complete ones
/// only, each id once, also across a resume at another target.

#ifndef DISPATCH_EVENT_STREAM_H
#define DISPATCH_EVENT_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// Longest event that is accepted.
#define CM_EVENT_MAX_BYTES ((gsize)256 * 1024)

struct cm_event_stream {
    GString *partial;   ///< start of an incomplete event
    int64_t last_id;    ///< id of the last event forwarded; -1 for none
    int64_t forwarded;  ///< number of events forwarded, without comments
    size_t scanned;     ///< part of `partial` that holds no end of an event
    size_t line_length; ///< of the line in which that part ends
};

/// Initializes a stream whose client has all events up to `last_id`, -1 for
/// none.
void
CmEventStream_Init(struct cm_event_stream *events, int64_t last_id);

/// Frees the buffer; safe to call again.
void
CmEventStream_Finish(struct cm_event_stream *events);

/// Drops the incomplete event, as another target will send it again.
void
CmEventStream_Resume(struct cm_event_stream *events);

/// Consumes bytes of the stream and appends the events that are now complete
/// and whose ids are new to `out`.
/// @return false if an id is skipped or an event is too long.
bool
CmEventStream_Feed(struct cm_event_stream *events, const void *data,
                   size_t size, GString *out);

/// @return memory in bytes that the incomplete event takes.
size_t
CmEventStream_HeldBytes(const struct cm_event_stream *events);

/// @return whether the bytes so far end with a complete event.
bool
CmEventStream_AtBoundary(const struct cm_event_stream *events);

#endif
