/// @file log.h
/// Structured logging through GLib: one JSON object a line (time, level,
/// component, request, message and the event's own fields), or plain text
/// for a terminal. Goes to standard output, never blocks on it, and holds each
/// component to a number of lines a second.

#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <glib.h>
#include <stdbool.h>

enum cm_log_format { CM_LOG_JSON, CM_LOG_TEXT };

/// Installs the log writer.
/// @param level   least severe level that is written.
/// @param process name of the process, written with each line.
void
CmLog_Init(enum cm_log_format format, GLogLevelFlags level,
           const char *process);

/// Parses a level name: error, warning, info or debug.
/// @return whether `name` is known; `*level` is set only then.
bool
CmLog_ParseLevel(const char *name, GLogLevelFlags *level);

/// @return whether lines of `level` are written; lets callers skip work.
bool
CmLog_Enabled(GLogLevelFlags level);

/// Writes one event. `request` may be NULL.
void
CmLog_Event(GLogLevelFlags level, const char *component, const char *request,
            const char *format, ...) G_GNUC_PRINTF(4, 5);

/// Writes one routing or placement decision.
/// @param choice     what was chosen ("none" where nothing could be).
/// @param candidates what was weighed, one short text.
/// @param reason     why, one short text.
void
CmLog_Decision(const char *component, const char *request, const char *subject,
               const char *choice, const char *candidates, const char *reason);

#endif
