/// @file log.c
/// GLib log writer that prints JSON or text lines to standard output. A line
/// that does not fit into the pipe is dropped and counted instead of blocking
/// the process. The lines of each component are rate limited.

#include "base/log.h"

#include <errno.h>
#include <jansson.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"

#define LOG_DOMAIN "coriandermoor"
/// Longest line: PIPE_BUF, the size that a writable pipe accepts in one write.
#define LINE_MAX_BYTES ((size_t)4096)
/// Bytes that one byte of a value takes in a JSON line at most: "\\u001f".
#define ESCAPED_MAX_BYTES 6
/// Rate limit of one component: one or two decisions for each request at the
/// highest request rate of one process. Warnings and errors have a higher
/// limit, so that they are dropped last.
#define LINES_MAX_PER_S 400
#define WARNING_LINES_MAX_PER_S 800

static struct {
    enum cm_log_format format;
    GLogLevelFlags level;
    char process[64];
} settings = {CM_LOG_TEXT, G_LOG_LEVEL_INFO, ""};

/// Lines that one component wrote and lost to the rate limit in `second`.
struct rate_limit {
    char component[16];
    time_t second;
    int lines;
    int dropped;
};

/// Components with a rate limit of their own; further ones share the last.
#define RATE_LIMITS_MAX 32
static struct rate_limit rate_limits[RATE_LIMITS_MAX];
/// Lines dropped because standard output was not writable; the next line that
/// is written reports the count.
static uint64_t unwritten_lines;

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

/// Writes one line if that does not block: poll() reports a pipe as writable
/// only if it accepts PIPE_BUF bytes.
/// @param reported unwritten lines that the line reports.
static void
write_line(const char *line, size_t size, uint64_t reported)
{
    struct pollfd ready = {.fd = STDOUT_FILENO, .events = POLLOUT};
    if (poll(&ready, 1, 0) != 1 || !(ready.revents & POLLOUT) ||
        write(STDOUT_FILENO, line, size) < 0) {
        unwritten_lines++;
        return;
    }
    unwritten_lines -= reported;
}

/// @return the longest length up to `size` at which `text` can be cut between
/// two characters.
static size_t
cut_length(const char *text, size_t size)
{
    while (size > 0 && (text[size] & 0xC0) == 0x80) {
        size--;
    }
    return size;
}

static void
write_text(const GLogField *fields, gsize n_fields, const char *level)
{
    GString *line = g_string_new(NULL);
    uint64_t unwritten = unwritten_lines;
    g_string_append_printf(line, "%-7s", level);
    if (unwritten > 0) {
        g_string_append_printf(line, " unwritten_before=%" G_GUINT64_FORMAT,
                               unwritten);
    }
    for (gsize i = 0; i < n_fields; i++) {
        if (fields[i].length >= 0 ||
            strcmp(fields[i].key, "GLIB_DOMAIN") == 0 ||
            strcmp(fields[i].key, "PRIORITY") == 0) {
            continue;
        }
        g_string_append_printf(line, " %s", (const char *)fields[i].value);
    }
    if (line->len >= LINE_MAX_BYTES) {
        g_string_truncate(line, cut_length(line->str, LINE_MAX_BYTES - 1));
    }
    g_string_append_c(line, '\n');
    write_line(line->str, line->len, unwritten);
    g_string_free(line, TRUE);
}

/// Shortens the longest value of a line that is `excess` bytes too long.
/// @return false if there is nothing to shorten.
static bool
shorten_line(json_t *line, size_t excess)
{
    const char *key;
    json_t *value;
    json_t *longest = NULL;
    json_object_foreach(line, key, value)
    {
        if (json_is_string(value) &&
            (longest == NULL ||
             json_string_length(value) > json_string_length(longest))) {
            longest = value;
        }
    }
    size_t length = longest != NULL ? json_string_length(longest) : 0;
    if (length == 0) {
        return false;
    }
    size_t removed = MIN(length, excess / ESCAPED_MAX_BYTES + 1);
    const char *text = json_string_value(longest);
    length = MIN(length - removed, LINE_MAX_BYTES);
    char *shortened = g_strndup(text, cut_length(text, length));
    json_string_set(longest, shortened);
    g_free(shortened);
    return true;
}

/// @return the line with its newline, to be freed.
static char *
dump_line(json_t *line)
{
    for (;;) {
        char *dump = json_dumps(line, JSON_COMPACT);
        size_t size = strlen(dump) + 1;
        if (size <= LINE_MAX_BYTES ||
            !shorten_line(line, size - LINE_MAX_BYTES)) {
            char *text = g_strconcat(dump, "\n", NULL);
            free(dump);
            return text;
        }
        free(dump);
    }
}

static void
write_json(const GLogField *fields, gsize n_fields, const char *level)
{
    json_t *line = json_object();
    uint64_t unwritten = unwritten_lines;
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
    if (unwritten > 0) {
        json_object_set_new(line, "unwritten_before",
                            json_integer((json_int_t)unwritten));
    }
    char *text = dump_line(line);
    write_line(text, strlen(text), unwritten);
    g_free(text);
    json_decref(line);
}

static GLogWriterOutput
write_event(GLogLevelFlags level, const GLogField *fields, gsize n_fields,
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
    // GLib accepts a writer function only once in the life of a process.
    static bool installed;
    if (!installed) {
        g_log_set_writer_func(write_event, NULL, NULL);
        installed = true;
    }
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

/// Appends a string field unless `value` is NULL.
/// @return the new number of fields.
static gsize
add_field(GLogField *fields, gsize n, const char *key, const char *value)
{
    if (value == NULL) {
        return n;
    }
    fields[n] = (GLogField){key, value, -1};
    return n + 1;
}

static struct rate_limit *
find_rate_limit(const char *component)
{
    size_t i = 0;
    while (i < RATE_LIMITS_MAX - 1 && rate_limits[i].component[0] != '\0' &&
           strncmp(rate_limits[i].component, component,
                   sizeof(rate_limits[i].component) - 1) != 0) {
        i++;
    }
    if (rate_limits[i].component[0] == '\0') {
        g_strlcpy(rate_limits[i].component, component,
                  sizeof(rate_limits[i].component));
    }
    return &rate_limits[i];
}

/// Counts one line against the rate limit of `component`. The first line after
/// a second with dropped lines is preceded by their number.
/// @return whether the line may be written.
static bool
admit_line(const char *component, GLogLevelFlags level)
{
    struct rate_limit *rate_limit = find_rate_limit(component);
    time_t second = CmClock_Now(CmClock_System()).tv_sec;
    if (rate_limit->second != second) {
        int dropped = rate_limit->dropped;
        rate_limit->second = second;
        rate_limit->lines = 0;
        rate_limit->dropped = 0;
        if (dropped > 0) {
            CmLog_Event(G_LOG_LEVEL_WARNING, "log", NULL,
                        "rate limit: dropped %d lines of component %s in one "
                        "second",
                        dropped, component);
        }
    }
    int lines_max = level <= G_LOG_LEVEL_WARNING ? WARNING_LINES_MAX_PER_S
                                                 : LINES_MAX_PER_S;
    if (rate_limit->lines >= lines_max) {
        rate_limit->dropped++;
        return false;
    }
    rate_limit->lines++;
    return true;
}

void
CmLog_Event(GLogLevelFlags level, const char *component, const char *request,
            const char *format, ...)
{
    if (!CmLog_Enabled(level) || !admit_line(component, level)) {
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
    if (!CmLog_Enabled(G_LOG_LEVEL_INFO) ||
        !admit_line(component, G_LOG_LEVEL_INFO)) {
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
