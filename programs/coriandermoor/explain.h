/// @file explain.h
/// What the logs say of one request, or of all failures.

#ifndef EXPLAIN_H
#define EXPLAIN_H

#include <stddef.h>

/// Prints the story of `request`, or a summary of all if it is NULL, from the
/// log files at `paths` (standard input if there are none).
/// @return the exit code of the process.
int
Explain_PrintTimeline(const char *request, char *const *paths, size_t n);

#endif
