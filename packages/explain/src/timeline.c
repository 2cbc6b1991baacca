/// @file timeline.c
/// Log lines to stories.

#include "explain/timeline.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/// Component whose line ends a request.
#define ANSWER "answer"
/// Outcome of requests that a target answered.
#define ANSWERED "answered"

static void
line_clear(void *data)
{
    struct cm_timeline_record *line = data;
    g_free(line->process);
    g_free(line->component);
    g_free(line->request);
    g_free(line->message);
}

void
CmTimeline_Init(struct cm_timeline *story)
{
    *story = (struct cm_timeline){
        .lines = g_array_new(FALSE, FALSE, sizeof(struct cm_timeline_record))};
    g_array_set_clear_func(story->lines, line_clear);
}

void
CmTimeline_Finish(struct cm_timeline *story)
{
    g_array_free(story->lines, TRUE);
}

static const char *
text_of(const json_t *json, const char *name)
{
    const char *text = json_string_value(json_object_get(json, name));
    return text != NULL ? text : "";
}

static void
add_line(struct cm_timeline *story, const char *text, size_t size)
{
    const char *brace = memchr(text, '{', size);
    if (brace == NULL) {
        story->skipped += size > 0;
        return;
    }
    json_t *json = json_loadb(brace, size - (size_t)(brace - text), 0, NULL);
    if (!json_is_object(json) || json_object_get(json, "message") == NULL) {
        story->skipped++;
        json_decref(json);
        return;
    }
    const char *request = json_string_value(json_object_get(json, "request"));
    struct cm_timeline_record line = {
        .time_ms = json_integer_value(json_object_get(json, "time_ms")),
        .process = g_strdup(text_of(json, "process")),
        .component = g_strdup(text_of(json, "component")),
        .request = g_strdup(request),
        .message = g_strdup(text_of(json, "message")),
        .number = story->lines->len,
    };
    g_array_append_val(story->lines, line);
    json_decref(json);
}

void
CmTimeline_AddLog(struct cm_timeline *story, const char *text, size_t size)
{
    const char *end = text + size;
    while (text < end) {
        const char *newline = memchr(text, '\n', (size_t)(end - text));
        const char *line_end = newline != NULL ? newline : end;
        add_line(story, text, (size_t)(line_end - text));
        text = line_end + 1;
    }
}

/// Times of one process's lines about a request.
struct span {
    int64_t first_ms;
    int64_t last_ms;
    int64_t shift_ms;
};

static void
widen(GHashTable *spans, const struct cm_timeline_record *line)
{
    struct span *span = g_hash_table_lookup(spans, line->process);
    if (span == NULL) {
        span = g_new0(struct span, 1);
        span->first_ms = line->time_ms;
        span->last_ms = line->time_ms;
        g_hash_table_insert(spans, line->process, span);
    }
    span->first_ms = MIN(span->first_ms, line->time_ms);
    span->last_ms = MAX(span->last_ms, line->time_ms);
}

/// Moves all spans into that of the process that answered.
static void
align(GHashTable *spans, const char *reference)
{
    const struct span *bounds = g_hash_table_lookup(spans, reference);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, spans);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct span *span = value;
        if (span->first_ms < bounds->first_ms) {
            span->shift_ms = bounds->first_ms - span->first_ms;
        }
        else if (span->last_ms > bounds->last_ms) {
            span->shift_ms = MAX(bounds->last_ms - span->last_ms,
                                 bounds->first_ms - span->first_ms);
        }
    }
}

/// A line with its time on the reference's clock.
struct told {
    const struct cm_timeline_record *line;
    int64_t time_ms;
    int64_t shift_ms;
};

static int
by_time(const void *a, const void *b)
{
    const struct told *one = a;
    const struct told *two = b;
    if (one->time_ms != two->time_ms) {
        return one->time_ms < two->time_ms ? -1 : 1;
    }
    return one->line->number < two->line->number ? -1 : 1;
}

static void
tell_line(const struct told *told, int64_t start_ms, bool decides,
          GString *out)
{
    g_string_append_printf(out, "%s%8" PRId64 " ms  %-22s %-8s %s",
                           decides ? "=> " : "   ", told->time_ms - start_ms,
                           told->line->process, told->line->component,
                           told->line->message);
    if (told->shift_ms != 0) {
        g_string_append_printf(out, "  (clock shifted by %" PRId64 " ms)",
                               told->shift_ms);
    }
    g_string_append_c(out, '\n');
}

/// @return the lines of a request; the process that answered goes to
/// `reference`.
static GArray *
lines_of(const struct cm_timeline *story, const char *request,
         const char **reference)
{
    GArray *found = g_array_new(FALSE, FALSE, sizeof(struct told));
    *reference = NULL;
    for (guint i = 0; i < story->lines->len; i++) {
        const struct cm_timeline_record *line =
            &g_array_index(story->lines, struct cm_timeline_record, i);
        if (g_strcmp0(line->request, request) != 0) {
            continue;
        }
        struct told told = {.line = line};
        g_array_append_val(found, told);
        if (*reference == NULL || strcmp(line->component, ANSWER) == 0) {
            *reference = line->process;
        }
    }
    return found;
}

bool
CmTimeline_AppendRequest(const struct cm_timeline *story, const char *request,
                         GString *out)
{
    const char *reference;
    GArray *found = lines_of(story, request, &reference);
    if (found->len == 0) {
        g_array_free(found, TRUE);
        return false;
    }
    GHashTable *spans =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (guint i = 0; i < found->len; i++) {
        widen(spans, g_array_index(found, struct told, i).line);
    }
    align(spans, reference);
    for (guint i = 0; i < found->len; i++) {
        struct told *told = &g_array_index(found, struct told, i);
        const struct span *span =
            g_hash_table_lookup(spans, told->line->process);
        told->shift_ms = span->shift_ms;
        told->time_ms = told->line->time_ms + span->shift_ms;
    }
    g_array_sort(found, by_time);
    int64_t start_ms = g_array_index(found, struct told, 0).time_ms;
    for (guint i = 0; i < found->len; i++) {
        const struct told *told = &g_array_index(found, struct told, i);
        tell_line(told, start_ms, strcmp(told->line->component, ANSWER) == 0,
                  out);
    }
    g_hash_table_destroy(spans);
    g_array_free(found, TRUE);
    return true;
}

/// @return the cause of an answer line, to be freed: its outcome, and what
/// stands after the last ": ", or the outcome and status alone.
static char *
cause_of(const char *message)
{
    const char *colon = g_strrstr(message, ": ");
    size_t outcome = strcspn(message, " ");
    if (message[outcome] == '\0') {
        return g_strdup(message);
    }
    if (colon == NULL) {
        size_t status = outcome + 1 + strcspn(message + outcome + 1, " ");
        return g_strndup(message, MIN(status, strlen(message)));
    }
    return g_strdup_printf("%.*s: %s", (int)outcome, message, colon + 2);
}

struct cause {
    const char *text;
    size_t count;
    const char *example; ///< id of a request
};

static int
by_count(const void *a, const void *b)
{
    const struct cause *one = *(struct cause *const *)a;
    const struct cause *two = *(struct cause *const *)b;
    if (one->count != two->count) {
        return one->count > two->count ? -1 : 1;
    }
    return strcmp(one->text, two->text);
}

static void
count_cause(GHashTable *causes, const struct cm_timeline_record *line)
{
    char *text = cause_of(line->message);
    struct cause *cause = g_hash_table_lookup(causes, text);
    if (cause == NULL) {
        cause = g_new0(struct cause, 1);
        cause->text = text;
        cause->example = line->request != NULL ? line->request : "-";
        g_hash_table_insert(causes, text, cause);
    }
    else {
        g_free(text);
    }
    cause->count++;
}

void
CmTimeline_AppendSummary(const struct cm_timeline *story, GString *out)
{
    GHashTable *causes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    size_t all = 0;
    size_t answered = 0;
    for (guint i = 0; i < story->lines->len; i++) {
        const struct cm_timeline_record *line =
            &g_array_index(story->lines, struct cm_timeline_record, i);
        if (strcmp(line->component, ANSWER) != 0) {
            continue;
        }
        all++;
        if (g_str_has_prefix(line->message, ANSWERED " 2")) {
            answered++;
        }
        else {
            count_cause(causes, line);
        }
    }
    g_string_append_printf(
        out, "%zu requests, %zu answered with success, %zu lines skipped\n",
        all, answered, story->skipped);
    GPtrArray *ranked = g_ptr_array_new();
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, causes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(ranked, value);
    }
    g_ptr_array_sort(ranked, by_count);
    for (guint i = 0; i < ranked->len; i++) {
        const struct cause *cause = g_ptr_array_index(ranked, i);
        g_string_append_printf(out, "%7zu  %s  (for example %s)\n",
                               cause->count, cause->text, cause->example);
    }
    g_ptr_array_free(ranked, TRUE);
    g_hash_table_destroy(causes);
}
