/// @file timeline.c
/// Parses log lines, corrects clock skew between processes and prints request
/// timelines.

#include "explain/timeline.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/// Component of the log line that ends a request.
#define ANSWER_COMPONENT "answer"
/// Outcome of requests that were answered by a target.
#define ANSWERED_OUTCOME "answered"

static void
clear_record(void *data)
{
    struct cm_timeline_record *record = data;
    g_free(record->process);
    g_free(record->component);
    g_free(record->request);
    g_free(record->message);
}

void
CmTimeline_Init(struct cm_timeline *timeline)
{
    *timeline = (struct cm_timeline){
        .records =
            g_array_new(FALSE, FALSE, sizeof(struct cm_timeline_record))};
    g_array_set_clear_func(timeline->records, clear_record);
}

void
CmTimeline_Finish(struct cm_timeline *timeline)
{
    g_array_free(timeline->records, TRUE);
}

static const char *
get_text(const json_t *json, const char *name)
{
    const char *text = json_string_value(json_object_get(json, name));
    return text != NULL ? text : "";
}

static void
add_record(struct cm_timeline *timeline, const char *text, size_t size)
{
    const char *brace = memchr(text, '{', size);
    if (brace == NULL) {
        timeline->skipped += size > 0;
        return;
    }
    json_t *json = json_loadb(brace, size - (size_t)(brace - text), 0, NULL);
    if (!json_is_object(json) || json_object_get(json, "message") == NULL) {
        timeline->skipped++;
        json_decref(json);
        return;
    }
    const char *request = json_string_value(json_object_get(json, "request"));
    struct cm_timeline_record record = {
        .time_ms = json_integer_value(json_object_get(json, "time_ms")),
        .process = g_strdup(get_text(json, "process")),
        .component = g_strdup(get_text(json, "component")),
        .request = g_strdup(request),
        .message = g_strdup(get_text(json, "message")),
        .sequence = timeline->records->len,
    };
    g_array_append_val(timeline->records, record);
    json_decref(json);
}

void
CmTimeline_AddLog(struct cm_timeline *timeline, const char *text, size_t size)
{
    const char *end = text + size;
    while (text < end) {
        const char *newline = memchr(text, '\n', (size_t)(end - text));
        const char *line_end = newline != NULL ? newline : end;
        add_record(timeline, text, (size_t)(line_end - text));
        text = line_end + 1;
    }
}

/// Time range of one process's lines on a request.
struct process_span {
    int64_t first_ms;
    int64_t last_ms;
    int64_t clock_shift_ms;
};

static void
extend_span(GHashTable *spans, const struct cm_timeline_record *record)
{
    struct process_span *span = g_hash_table_lookup(spans, record->process);
    if (span == NULL) {
        span = g_new0(struct process_span, 1);
        span->first_ms = record->time_ms;
        span->last_ms = record->time_ms;
        g_hash_table_insert(spans, record->process, span);
    }
    span->first_ms = MIN(span->first_ms, record->time_ms);
    span->last_ms = MAX(span->last_ms, record->time_ms);
}

/// Computes for each process the clock shift that moves its span into that of
/// the `reference` process. If the span is too long, the first lines of both
/// are aligned.
static void
align_clocks(GHashTable *spans, const char *reference)
{
    const struct process_span *bounds = g_hash_table_lookup(spans, reference);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, spans);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct process_span *span = value;
        if (span->first_ms < bounds->first_ms) {
            span->clock_shift_ms = bounds->first_ms - span->first_ms;
        }
        else if (span->last_ms > bounds->last_ms) {
            span->clock_shift_ms = MAX(bounds->last_ms - span->last_ms,
                                       bounds->first_ms - span->first_ms);
        }
    }
}

/// A line with its time by the clock of the reference process.
struct aligned_record {
    const struct cm_timeline_record *record;
    int64_t time_ms;
    int64_t clock_shift_ms;
};

static int
compare_times(const void *a, const void *b)
{
    const struct aligned_record *left = a;
    const struct aligned_record *right = b;
    if (left->time_ms != right->time_ms) {
        return left->time_ms < right->time_ms ? -1 : 1;
    }
    return left->record->sequence < right->record->sequence ? -1 : 1;
}

static void
append_record(const struct aligned_record *aligned, int64_t start_ms,
              bool is_answer, GString *out)
{
    g_string_append_printf(
        out, "%s%8" PRId64 " ms  %-22s %-8s %s", is_answer ? "=> " : "   ",
        aligned->time_ms - start_ms, aligned->record->process,
        aligned->record->component, aligned->record->message);
    if (aligned->clock_shift_ms != 0) {
        g_string_append_printf(out, "  (clock shifted by %" PRId64 " ms)",
                               aligned->clock_shift_ms);
    }
    g_string_append_c(out, '\n');
}

/// Collects the lines of a request.
/// @param[out] reference the process that answered the request, or the process
///                       of the first line if no answer was logged.
/// @return of struct aligned_record; empty if there are no lines.
static GArray *
collect_records(const struct cm_timeline *timeline, const char *request,
                const char **reference)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(struct aligned_record));
    *reference = NULL;
    for (guint i = 0; i < timeline->records->len; i++) {
        const struct cm_timeline_record *record =
            &g_array_index(timeline->records, struct cm_timeline_record, i);
        if (g_strcmp0(record->request, request) != 0) {
            continue;
        }
        struct aligned_record aligned = {.record = record};
        g_array_append_val(records, aligned);
        if (*reference == NULL ||
            strcmp(record->component, ANSWER_COMPONENT) == 0) {
            *reference = record->process;
        }
    }
    return records;
}

bool
CmTimeline_AppendRequest(const struct cm_timeline *timeline,
                         const char *request, GString *out)
{
    const char *reference;
    GArray *records = collect_records(timeline, request, &reference);
    if (records->len == 0) {
        g_array_free(records, TRUE);
        return false;
    }
    GHashTable *spans =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (guint i = 0; i < records->len; i++) {
        extend_span(spans,
                    g_array_index(records, struct aligned_record, i).record);
    }
    align_clocks(spans, reference);
    for (guint i = 0; i < records->len; i++) {
        struct aligned_record *aligned =
            &g_array_index(records, struct aligned_record, i);
        const struct process_span *span =
            g_hash_table_lookup(spans, aligned->record->process);
        aligned->clock_shift_ms = span->clock_shift_ms;
        aligned->time_ms = aligned->record->time_ms + span->clock_shift_ms;
    }
    g_array_sort(records, compare_times);
    int64_t start_ms =
        g_array_index(records, struct aligned_record, 0).time_ms;
    for (guint i = 0; i < records->len; i++) {
        const struct aligned_record *aligned =
            &g_array_index(records, struct aligned_record, i);
        append_record(
            aligned, start_ms,
            strcmp(aligned->record->component, ANSWER_COMPONENT) == 0, out);
    }
    g_hash_table_destroy(spans);
    g_array_free(records, TRUE);
    return true;
}

/// Extracts the cause of a failure from an answer line: the outcome and the
/// text after the last ": ", or the outcome and status if there is none.
/// @return the cause, to be freed with g_free().
static char *
failure_cause(const char *message)
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

/// A failure cause and the number of requests that had it.
struct cause {
    const char *text;
    size_t count;
    const char *example; ///< id of the first such request
};

static int
compare_causes(const void *a, const void *b)
{
    const struct cause *left = *(struct cause *const *)a;
    const struct cause *right = *(struct cause *const *)b;
    if (left->count != right->count) {
        return left->count > right->count ? -1 : 1;
    }
    return strcmp(left->text, right->text);
}

static void
count_cause(GHashTable *causes, const struct cm_timeline_record *record)
{
    char *text = failure_cause(record->message);
    struct cause *cause = g_hash_table_lookup(causes, text);
    if (cause == NULL) {
        cause = g_new0(struct cause, 1);
        cause->text = text;
        cause->example = record->request != NULL ? record->request : "-";
        g_hash_table_insert(causes, text, cause);
    }
    else {
        g_free(text);
    }
    cause->count++;
}

/// Log lines that explain failures of many requests at once.
static const struct {
    const char *component;
    const char *part; ///< of the message
    const char *text; ///< printed with the number of such lines
} incidents[] = {
    {"store", "came back from an older copy",
     "the store came back from an older copy (lines, one per gateway)"},
    {"quarantine", "is refused from now on",
     "a content is refused, as it crashes targets (lines, one per gateway)"},
    {"quarantine", "is only run alone from now on",
     "a content is on trial after several crashes (lines, one per gateway)"},
    {"limit", "names a limit of",
     "a target named or changed a rate limit (lines, one per gateway)"},
    {"notice", "says that it leaves",
     "a target said that it leaves (lines, one per gateway)"},
    {"notice", "asks for a pause",
     "a target asked for a pause (lines, one per gateway)"},
    {"accounts", "keys are not accepted",
     "a gateway ceased to accept keys (lines, one per gateway)"},
    {"quota", "does not answer",
     "a gateway used its own share of the quotas (lines, one per gateway)"},
    {"quarantine", "crashed and cut off",
     "a target crashed (lines, one per gateway that lost requests)"},
};

/// Appends which incidents the logs tell of.
static void
append_incidents(const struct cm_timeline *timeline, GString *out)
{
    for (size_t i = 0; i < G_N_ELEMENTS(incidents); i++) {
        size_t count = 0;
        for (guint j = 0; j < timeline->records->len; j++) {
            const struct cm_timeline_record *record = &g_array_index(
                timeline->records, struct cm_timeline_record, j);
            count += strcmp(record->component, incidents[i].component) == 0 &&
                     strstr(record->message, incidents[i].part) != NULL;
        }
        if (count > 0) {
            g_string_append_printf(out, "%7zu  %s\n", count,
                                   incidents[i].text);
        }
    }
}

void
CmTimeline_AppendSummary(const struct cm_timeline *timeline, GString *out)
{
    GHashTable *causes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    size_t n_requests = 0;
    size_t n_answered = 0;
    for (guint i = 0; i < timeline->records->len; i++) {
        const struct cm_timeline_record *record =
            &g_array_index(timeline->records, struct cm_timeline_record, i);
        if (strcmp(record->component, ANSWER_COMPONENT) != 0) {
            continue;
        }
        n_requests++;
        if (g_str_has_prefix(record->message, ANSWERED_OUTCOME " 2")) {
            n_answered++;
        }
        else {
            count_cause(causes, record);
        }
    }
    g_string_append_printf(
        out, "%zu requests, %zu answered with success, %zu lines skipped\n",
        n_requests, n_answered, timeline->skipped);
    GPtrArray *ranked = g_ptr_array_new();
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, causes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(ranked, value);
    }
    g_ptr_array_sort(ranked, compare_causes);
    for (guint i = 0; i < ranked->len; i++) {
        const struct cause *cause = g_ptr_array_index(ranked, i);
        g_string_append_printf(out, "%7zu  %s  (for example %s)\n",
                               cause->count, cause->text, cause->example);
    }
    g_ptr_array_free(ranked, TRUE);
    g_hash_table_destroy(causes);
    append_incidents(timeline, out);
}
