/// @file explain.h
/// The `explain` command: the timeline of one request, or a summary of all
/// failures, from log files.

#ifndef EXPLAIN_H
#define EXPLAIN_H

#include <stddef.h>

/// Prints the timeline of `request`, or a summary of all requests if it is
/// NULL, from the log files at `paths` (standard input if there are none).
/// @return the exit code of the process.
int
Explain_PrintTimeline(const char *request, char *const *paths, size_t n);

#endif
