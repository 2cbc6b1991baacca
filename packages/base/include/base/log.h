/// @file log.h
/// Structured logging through GLib: one JSON object per line (time, level,
/// component, request, message and the fields of the event), or plain text for
/// a terminal. Lines go to standard output without blocking, at a limited rate
/// for each component.

#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <glib.h>
#include <stdbool.h>

enum cm_log_format { CM_LOG_JSON, CM_LOG_TEXT };

/// Installs the log writer.
/// @param level   least severe level that is written.
/// @param process name of the process, written with each JSON line.
void
CmLog_Init(enum cm_log_format format, GLogLevelFlags level,
           const char *process);

/// Parses a level name: error, warning, info or debug.
/// @return whether `name` is known; `*level` is set only then.
bool
CmLog_ParseLevel(const char *name, GLogLevelFlags *level);

/// @return whether lines of `level` are written, so that callers can skip the
/// work of composing one.
bool
CmLog_Enabled(GLogLevelFlags level);

/// Writes one event, unless the rate limit of `component` is reached.
/// @param request id of the request that the event belongs to, or NULL.
void
CmLog_Event(GLogLevelFlags level, const char *component, const char *request,
            const char *format, ...) G_GNUC_PRINTF(4, 5);

/// Writes one routing or placement decision at level info, unless the rate
/// limit of `component` is reached. Any argument but `component` may be NULL.
/// @param subject    what the decision is about.
/// @param choice     the chosen candidate, or "none".
/// @param candidates the candidates considered, in one short text.
/// @param reason     why this candidate was chosen, in one short text.
void
CmLog_Decision(const char *component, const char *request, const char *subject,
               const char *choice, const char *candidates, const char *reason);

#endif
