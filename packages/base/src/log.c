/// @file log.c
/// GLib log writer that prints JSON or text lines to standard error.

#include "base/log.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"

#define LOG_DOMAIN "coriandermoor"

static struct {
    enum cm_log_format format;
    GLogLevelFlags level;
    char process[64];
} settings = {CM_LOG_TEXT, G_LOG_LEVEL_INFO, ""};

static const struct {
    const char *name;
    GLogLevelFlags level;
} level_names[] = {
    {"error", G_LOG_LEVEL_CRITICAL},
    {"warning", G_LOG_LEVEL_WARNING},
    {"info", G_LOG_LEVEL_INFO},
    {"debug", G_LOG_LEVEL_DEBUG},
};

static const char *
level_name(GLogLevelFlags level)
{
    for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
        if (level_names[i].level & level) {
            return level_names[i].name;
        }
    }
    return "error";
}

static void
write_text(const GLogField *fields, gsize n_fields, const char *level)
{
    GString *line = g_string_new(NULL);
    g_string_append_printf(line, "%-7s", level);
    for (gsize i = 0; i < n_fields; i++) {
        if (fields[i].length >= 0 ||
            strcmp(fields[i].key, "GLIB_DOMAIN") == 0 ||
            strcmp(fields[i].key, "PRIORITY") == 0) {
            continue;
        }
        g_string_append_printf(line, " %s", (const char *)fields[i].value);
    }
    g_string_append_c(line, '\n');
    fwrite(line->str, 1, line->len, stderr);
    g_string_free(line, TRUE);
}

static void
write_json(const GLogField *fields, gsize n_fields, const char *level)
{
    json_t *line = json_object();
    json_object_set_new(line, "time_ms",
                        json_integer(CmClock_WallMs(CmClock_System())));
    json_object_set_new(line, "level", json_string(level));
    json_object_set_new(line, "process", json_string(settings.process));
    for (gsize i = 0; i < n_fields; i++) {
        if (fields[i].length >= 0 ||
            strcmp(fields[i].key, "GLIB_DOMAIN") == 0 ||
            strcmp(fields[i].key, "PRIORITY") == 0) {
            continue;
        }
        char *key = g_ascii_strdown(fields[i].key, -1);
        char *text = g_utf8_make_valid(fields[i].value, -1);
        json_object_set_new(line, key, json_string(text));
        g_free(text);
        g_free(key);
    }
    char *dump = json_dumps(line, JSON_COMPACT);
    fprintf(stderr, "%s\n", dump);
    free(dump);
    json_decref(line);
}

static GLogWriterOutput
writer(GLogLevelFlags level, const GLogField *fields, gsize n_fields,
       gpointer data)
{
    if (!CmLog_Enabled(level)) {
        return G_LOG_WRITER_HANDLED;
    }
    if (settings.format == CM_LOG_JSON) {
        write_json(fields, n_fields, level_name(level));
    }
    else {
        write_text(fields, n_fields, level_name(level));
    }
    return G_LOG_WRITER_HANDLED;
}

void
CmLog_Init(enum cm_log_format format, GLogLevelFlags level,
           const char *process)
{
    settings.format = format;
    settings.level = level;
    g_strlcpy(settings.process, process, sizeof(settings.process));
    g_log_set_writer_func(writer, NULL, NULL);
}

bool
CmLog_ParseLevel(const char *name, GLogLevelFlags *level)
{
    for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
        if (strcmp(level_names[i].name, name) == 0) {
            *level = level_names[i].level;
            return true;
        }
    }
    return false;
}

bool
CmLog_Enabled(GLogLevelFlags level)
{
    return (level & G_LOG_LEVEL_MASK) <= settings.level;
}

/// Adds a text field unless it is NULL.
static gsize
add_field(GLogField *fields, gsize n, const char *key, const char *value)
{
    if (value == NULL) {
        return n;
    }
    fields[n] = (GLogField){key, value, -1};
    return n + 1;
}

void
CmLog_Event(GLogLevelFlags level, const char *component, const char *request,
            const char *format, ...)
{
    if (!CmLog_Enabled(level)) {
        return;
    }
    va_list args;
    va_start(args, format);
    char *message = g_strdup_vprintf(format, args);
    va_end(args);
    GLogField fields[4];
    gsize n = add_field(fields, 0, "GLIB_DOMAIN", LOG_DOMAIN);
    n = add_field(fields, n, "COMPONENT", component);
    n = add_field(fields, n, "REQUEST", request);
    n = add_field(fields, n, "MESSAGE", message);
    g_log_structured_array(level, fields, n);
    g_free(message);
}

void
CmLog_Decision(const char *component, const char *request, const char *subject,
               const char *choice, const char *candidates, const char *reason)
{
    if (!CmLog_Enabled(G_LOG_LEVEL_INFO)) {
        return;
    }
    GLogField fields[8];
    gsize n = add_field(fields, 0, "GLIB_DOMAIN", LOG_DOMAIN);
    n = add_field(fields, n, "COMPONENT", component);
    n = add_field(fields, n, "REQUEST", request);
    n = add_field(fields, n, "MESSAGE", "decision");
    n = add_field(fields, n, "SUBJECT", subject);
    n = add_field(fields, n, "CHOICE", choice);
    n = add_field(fields, n, "CANDIDATES", candidates);
    n = add_field(fields, n, "REASON", reason);
    g_log_structured_array(G_LOG_LEVEL_INFO, fields, n);
}
