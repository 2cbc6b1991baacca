/// @file story.h
/// Reads log lines of any number of processes and tells what happened to one
/// request, or which causes failures had.

#ifndef EXPLAIN_STORY_H
#define EXPLAIN_STORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// One log line.
struct cm_story_line {
    int64_t time_ms; ///< as the process saw it
    char *process;
    char *component;
    char *request; ///< NULL if the line concerns none
    char *message;
    size_t number; ///< order of reading, for equal times
};

struct cm_story {
    GArray *lines;  ///< of struct cm_story_line
    size_t skipped; ///< lines that could not be read
};

/// Prepares an empty story.
void
CmStory_Init(struct cm_story *story);

/// Frees it.
void
CmStory_Finish(struct cm_story *story);

/// Adds the lines of one log. What is no whole JSON line, as at a cut, is
/// counted and skipped; so is what stands before the first brace of a line.
void
CmStory_Add(struct cm_story *story, const char *text, size_t size);

/// Appends the lines of one request in order. The clocks of other processes
/// are shifted so that their lines lie between the first and the last line of
/// the process that answered.
/// @return whether there are any.
bool
CmStory_Tell(const struct cm_story *story, const char *request, GString *out);

/// Appends how many requests ended how, and the causes of those that were not
/// answered, most frequent first.
void
CmStory_Summarize(const struct cm_story *story, GString *out);

#endif
