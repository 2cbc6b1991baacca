/// @file timeline.h
/// Reads log lines of any number of processes and tells what happened to one
/// request, or which causes failures had.

#ifndef EXPLAIN_TIMELINE_H
#define EXPLAIN_TIMELINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// One log line.
struct cm_timeline_record {
    int64_t time_ms; ///< as the process saw it
    char *process;
    char *component;
    char *request; ///< NULL if the line concerns none
    char *message;
    size_t number; ///< order of reading, for equal times
};

struct cm_timeline {
    GArray *lines;  ///< of struct cm_timeline_record
    size_t skipped; ///< lines that could not be read
};

/// Prepares an empty story.
void
CmTimeline_Init(struct cm_timeline *story);

/// Frees it.
void
CmTimeline_Finish(struct cm_timeline *story);

/// Adds the lines of one log. What is no whole JSON line, as at a cut, is
/// counted and skipped; so is what stands before the first brace of a line.
void
CmTimeline_AddLog(struct cm_timeline *story, const char *text, size_t size);

/// Appends the lines of one request in order. The clocks of other processes
/// are shifted so that their lines lie between the first and the last line of
/// the process that answered.
/// @return whether there are any.
bool
CmTimeline_AppendRequest(const struct cm_timeline *story, const char *request,
                         GString *out);

/// Appends how many requests ended how, and the causes of those that were not
/// answered, most frequent first.
void
CmTimeline_AppendSummary(const struct cm_timeline *story, GString *out);

#endif
