/// @file timeline.h
/// Merges the JSON logs of several processes and prints the timeline of one
/// request, or a summary of all requests and the causes of their failures.

#ifndef EXPLAIN_TIMELINE_H
#define EXPLAIN_TIMELINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// One log line.
struct cm_timeline_record {
    int64_t time_ms; ///< by the clock of the process
    char *process;
    char *component;
    char *request; ///< id, or NULL if the line belongs to no request
    char *message;
    size_t sequence; ///< position in the input; orders lines of equal time
};

struct cm_timeline {
    GArray *records; ///< of struct cm_timeline_record
    size_t skipped;  ///< lines that could not be read
};

/// Initializes an empty timeline.
void
CmTimeline_Init(struct cm_timeline *timeline);

/// Frees all records.
void
CmTimeline_Finish(struct cm_timeline *timeline);

/// Adds the lines of one log. Text before the first brace of a line, such as a
/// prefix added by a log collector, is ignored. A line without a complete JSON
/// object, such as a truncated one, is skipped and counted.
void
CmTimeline_AddLog(struct cm_timeline *timeline, const char *text, size_t size);

/// Appends the log lines of one request to `out`, ordered by time. To correct
/// clock skew, the times of every other process are shifted so that they lie
/// between the first and the last line of the process that answered the
/// request.
/// @return whether the request has any lines.
bool
CmTimeline_AppendRequest(const struct cm_timeline *timeline,
                         const char *request, GString *out);

/// Appends the number of requests, of successful ones (status 2xx) and of
/// skipped lines, then the causes of failures with counts, most frequent
/// first, then crashes of targets and returns of the store from an older copy.
void
CmTimeline_AppendSummary(const struct cm_timeline *timeline, GString *out);

#endif
