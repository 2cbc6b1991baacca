/// @file event_stream.c
/// Forwards the complete events of a text/event-stream body, each id once.

#include "dispatch/event_stream.h"

#include <stdlib.h>
#include <string.h>

void
CmEventStream_Init(struct cm_event_stream *events, int64_t last_id)
{
    *events = (struct cm_event_stream){.partial = g_string_new(NULL),
                                       .last_id = last_id};
}

void
CmEventStream_Finish(struct cm_event_stream *events)
{
    if (events->partial != NULL) {
        g_string_free(events->partial, TRUE);
        events->partial = NULL;
    }
}

void
CmEventStream_Resume(struct cm_event_stream *events)
{
    g_string_free(events->partial, TRUE);
    events->partial = g_string_new(NULL);
    events->scanned = 0;
    events->line_length = 0;
}

/// Scans on for the end of the event that begins at `begin`. What was scanned
/// is not read again, as an event may arrive in many small parts.
/// @return length of the event including its blank line, or 0 if it is
/// incomplete.
static size_t
complete_event_length(struct cm_event_stream *events, size_t begin)
{
    const char *text = events->partial->str;
    for (size_t i = events->scanned; i < events->partial->len; i++) {
        if (text[i] == '\n') {
            if (events->line_length == 0) {
                events->scanned = i + 1;
                return i + 1 - begin;
            }
            events->line_length = 0;
        }
        else if (text[i] != '\r') {
            events->line_length++;
        }
    }
    events->scanned = events->partial->len;
    return 0;
}

/// @return the event's id, or -1 if it has none.
static int64_t
event_id(const char *text, size_t size)
{
    const char *end = text + size;
    while (text < end) {
        if (end - text > 3 && strncmp(text, "id:", 3) == 0) {
            return strtoll(text + 3, NULL, 10);
        }
        const char *line_end = memchr(text, '\n', (size_t)(end - text));
        if (line_end == NULL) {
            break;
        }
        text = line_end + 1;
    }
    return -1;
}

/// @return whether the event has a field. Others are comments and blank lines,
/// which a server may send while its work stands still.
static bool
has_field(const char *text, size_t size)
{
    bool line_begins = true;
    for (size_t i = 0; i < size; i++) {
        if (line_begins && strchr(":\r\n", text[i]) == NULL) {
            return true;
        }
        line_begins = text[i] == '\n';
    }
    return false;
}

bool
CmEventStream_Feed(struct cm_event_stream *events, const void *data,
                   size_t size, GString *out)
{
    g_string_append_len(events->partial, data, (gssize)size);
    size_t consumed = 0;
    for (;;) {
        const char *text = events->partial->str + consumed;
        size_t length = complete_event_length(events, consumed);
        if (length == 0) {
            break;
        }
        if (length > CM_EVENT_MAX_BYTES) {
            return false;
        }
        consumed += length;
        int64_t id = event_id(text, length);
        if (id >= 0 && id <= events->last_id) {
            continue;
        }
        // `id` is greater than `last_id` here, so that this doesn't overflow.
        if (id >= 0 && events->last_id >= 0 && id - 1 != events->last_id) {
            return false;
        }
        g_string_append_len(out, text, (gssize)length);
        events->forwarded += has_field(text, length);
        if (id >= 0) {
            events->last_id = id;
        }
    }
    g_string_erase(events->partial, 0, (gssize)consumed);
    events->scanned -= consumed;
    return events->partial->len <= CM_EVENT_MAX_BYTES;
}

size_t
CmEventStream_HeldBytes(const struct cm_event_stream *events)
{
    return events->partial != NULL ? events->partial->allocated_len : 0;
}

bool
CmEventStream_AtBoundary(const struct cm_event_stream *events)
{
    return events->partial->len == 0;
}
