/// @file decisions_test.c
/// Routes, client timeouts, retry decisions and event streams.

#include <string.h>

#include "cm_test.h"
#include "base/clock.h"
#include "dispatch/catalog.h"
#include "dispatch/event_stream.h"
#include "dispatch/retry.h"
#include "dispatch/refusal.h"
#include "dispatch/retry_after.h"

static struct cm_catalog *
sample_catalog(void)
{
    static const struct {
        const char *name;
        const char *host;
        const char *prefix;
    } routes[] = {
        {"short", "a.example", "/x/"},
        {"long", "a.example", "/x/y/"},
        {"other", "b.example", "/x/"},
    };
    struct cm_catalog *catalog = CmCatalog_New(G_N_ELEMENTS(routes), 0);
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        struct cm_route *route = &catalog->routes[i];
        route->name = g_strdup(routes[i].name);
        route->host = g_strdup(routes[i].host);
        route->prefix = g_strdup(routes[i].prefix);
        route->splits = g_new0(struct cm_split, 2);
        route->splits[0] = (struct cm_split){g_strdup("s"), 90};
        route->splits[1] = (struct cm_split){g_strdup("t"), 10};
        route->n_splits = 2;
    }
    CmCatalog_SortRoutes(catalog);
    return catalog;
}

static void
test_routes(void)
{
    static const struct {
        const char *host;
        const char *path;
        const char *route; ///< NULL for none
    } cases[] = {
        {"a.example", "/x/1", "short"},      {"a.example", "/x/y/1", "long"},
        {"a.example", "/x/y/", "long"},      {"a.example", "/x/y", "short"},
        {"A.Example:8080", "/x/1", "short"}, {"b.example", "/x/y/1", "other"},
        {"c.example", "/x/1", NULL},         {"a.example", "/z/x/", NULL},
        {"a.example", "/x", NULL},           {"a.example", "/q?/x/", NULL},
    };
    struct cm_catalog *catalog = sample_catalog();
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct cm_route *route =
            CmCatalog_FindRoute(catalog, cases[i].host, cases[i].path);
        CU_ASSERT_EQUAL(route == NULL, cases[i].route == NULL);
        if (route != NULL) {
            CU_ASSERT_STRING_EQUAL(route->name, cases[i].route);
        }
    }
    CmCatalog_Unref(catalog);
}

static void
test_client_idle_timeout(void)
{
    static const struct {
        int64_t target_ms;
        int64_t gap_ms;
        int64_t timeout_ms;
    } cases[] = {{100, 100, 2000}, {800, 300, 3200}, {800, 500, 4000}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_route route = {.target_latency_ms = cases[i].target_ms,
                                 .target_gap_ms = cases[i].gap_ms};
        CU_ASSERT_EQUAL(CmRoute_ClientIdleTimeoutMs(&route),
                        cases[i].timeout_ms);
    }
}

/// Callers that return before there is room, or all at once, or the less
/// urgent ones first.
static void
test_retry_after(void)
{
    static const struct {
        int64_t queue_wait_ms;
        int64_t priority;
        int64_t min_ms;
        int64_t max_ms;
    } cases[] = {{0, 0, 150, 400},        {100, 0, 150, 400},
                 {600, 0, 600, 900},      {9000, 0, 3000, 4500},
                 {600, 1, 750, 1050},     {600, 3, 1050, 1350},
                 {600, 1000, 1050, 1350}, {600, -1, 600, 900}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(
            CmRetryAfter_Ms(cases[i].queue_wait_ms, cases[i].priority, 0),
            cases[i].min_ms);
        CU_ASSERT_EQUAL(
            CmRetryAfter_Ms(cases[i].queue_wait_ms, cases[i].priority, 1),
            cases[i].max_ms);
    }
}

/// A late refusal, and a wait for what comes after the caller's timeout.
static void
test_refusal(void)
{
    static const struct {
        const char *guards_against;
        struct cm_unplaced unplaced;
        bool keeps_place;
        int64_t pause_ms;
    } cases[] = {
        {"waiting where a refusal is early", {180, 400, 2000, 0, 0}, false, 0},
        {"a refusal after half of the latency",
         {181, 400, 2000, 0, 0},
         true,
         40},
        {"asking too often", {300, 400, 2000, 0, 500}, true, 125},
        {"a long pause", {300, 400, 2000, 0, 9000}, true, 200},
        {"a wait past the caller's timeout", {2350, 400, 20, 0, 0}, false, 0},
        {"asking targets that pause", {300, 400, 2000, 700, 0}, true, 700},
        {"a wait for a pause that ends too late",
         {300, 400, 2000, 2500, 0},
         false,
         0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(CmRefusal_KeepsPlace(&cases[i].unplaced),
                        cases[i].keeps_place);
        if (cases[i].keeps_place) {
            CU_ASSERT_EQUAL(CmRefusal_PauseMs(&cases[i].unplaced),
                            cases[i].pause_ms);
        }
    }
}

/// At a rate limit the delay follows the permits that are missing.
static void
test_retry_after_at_limit(void)
{
    static const struct {
        int64_t permit_ms;
        int64_t refused;
        int64_t min_ms;
        int64_t max_ms;
    } cases[] = {{10, 0, 150, 400},
                 {500, 0, 500, 750},
                 {500, 3, 2000, 3000},
                 {500, 99, 5000, 7500},
                 {9000, 0, 5000, 7500}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(
            CmRetryAfter_AtLimitMs(cases[i].permit_ms, cases[i].refused, 0),
            cases[i].min_ms);
        CU_ASSERT_EQUAL(
            CmRetryAfter_AtLimitMs(cases[i].permit_ms, cases[i].refused, 1),
            cases[i].max_ms);
    }
}

/// While all targets pause, the delay is never shorter than the first pause.
static void
test_retry_after_at_pause(void)
{
    static const struct {
        int64_t pause_ms;
        int64_t max_ms;
    } cases[] = {{1, 251}, {2000, 2250}, {3600000, 3600250}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(CmRetryAfter_AtPauseMs(cases[i].pause_ms, 0),
                        cases[i].pause_ms);
        CU_ASSERT_EQUAL(CmRetryAfter_AtPauseMs(cases[i].pause_ms, 1),
                        cases[i].max_ms);
    }
}

static void
test_traffic_split(void)
{
    static const struct {
        double draw;
        const char *service;
    } cases[] = {{0, "s"}, {0.89, "s"}, {0.91, "t"}, {0.9999, "t"}};
    struct cm_catalog *catalog = sample_catalog();
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_STRING_EQUAL(
            CmRoute_ChooseService(&catalog->routes[0], cases[i].draw),
            cases[i].service);
    }
    CmCatalog_Unref(catalog);
}

static void
test_retry_steps(void)
{
    static const struct {
        struct cm_retry_state state;
        enum cm_attempt_end end;
        enum cm_retry_step step;
        enum cm_retry_step final_step;
    } cases[] = {
        // Nothing has run: always another target, or a refusal that says so.
        {{CM_RETRY_MODE_NEVER, 1, 0, 900, false},
         CM_ATTEMPT_UNSENT,
         CM_RETRY_RESEND,
         CM_RETRY_REFUSE},
        {{CM_RETRY_MODE_NEVER, 1, 0, 900, false},
         CM_ATTEMPT_REJECTED,
         CM_RETRY_RESEND,
         CM_RETRY_REFUSE},
        // It may have run once: no retry, and no statement whether it ran.
        {{CM_RETRY_MODE_NEVER, 1, 1, 900, false},
         CM_ATTEMPT_LOST,
         CM_RETRY_UNKNOWN,
         CM_RETRY_UNKNOWN},
        {{CM_RETRY_MODE_NEVER, 3, 1, 900, false},
         CM_ATTEMPT_LOST,
         CM_RETRY_UNKNOWN,
         CM_RETRY_UNKNOWN},
        {{CM_RETRY_MODE_NEVER, 1, 1, 900, false},
         CM_ATTEMPT_FAILED,
         CM_RETRY_PASS_FAILURE,
         CM_RETRY_PASS_FAILURE},
        // An idempotent request is retried within its attempts and its time.
        {{CM_RETRY_MODE_IDEMPOTENT, 2, 1, 900, false},
         CM_ATTEMPT_FAILED,
         CM_RETRY_RESEND,
         CM_RETRY_PASS_FAILURE},
        {{CM_RETRY_MODE_IDEMPOTENT, 2, 2, 900, false},
         CM_ATTEMPT_FAILED,
         CM_RETRY_PASS_FAILURE,
         CM_RETRY_PASS_FAILURE},
        {{CM_RETRY_MODE_IDEMPOTENT, 2, 1, 10, false},
         CM_ATTEMPT_LOST,
         CM_RETRY_UNKNOWN,
         CM_RETRY_UNKNOWN},
        // Rejected after a possible earlier run: no refusal any more.
        {{CM_RETRY_MODE_IDEMPOTENT, 2, 1, 10, false},
         CM_ATTEMPT_REJECTED,
         CM_RETRY_UNKNOWN,
         CM_RETRY_UNKNOWN},
        // A stream that has started is resumed or visibly cut.
        {{CM_RETRY_MODE_RESUME, 2, 1, 900, true},
         CM_ATTEMPT_LOST,
         CM_RETRY_RESEND,
         CM_RETRY_CUT},
        {{CM_RETRY_MODE_RESUME, 2, 2, 900, true},
         CM_ATTEMPT_LOST,
         CM_RETRY_CUT,
         CM_RETRY_CUT},
        {{CM_RETRY_MODE_NEVER, 1, 1, 900, true},
         CM_ATTEMPT_LOST,
         CM_RETRY_CUT,
         CM_RETRY_CUT},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(CmRetry_NextStep(&cases[i].state, cases[i].end),
                        cases[i].step);
        CU_ASSERT_EQUAL(CmRetry_FinalStep(&cases[i].state, cases[i].end),
                        cases[i].final_step);
    }
}

/// A stalled attempt may be replaced where a lost one would be retried.
static void
test_successor_allowed(void)
{
    static const struct {
        struct cm_retry_state state;
        bool allowed;
    } cases[] = {
        {{CM_RETRY_MODE_RESUME, 2, 1, 900, true}, true},
        {{CM_RETRY_MODE_RESUME, 2, 1, 900, false}, true},
        {{CM_RETRY_MODE_IDEMPOTENT, 2, 1, 900, false}, true},
        // No attempt is left.
        {{CM_RETRY_MODE_RESUME, 2, 2, 900, true}, false},
        {{CM_RETRY_MODE_IDEMPOTENT, 1, 1, 900, false}, false},
        // Too little time is left.
        {{CM_RETRY_MODE_RESUME, 2, 1, 10, true}, false},
        // The response can't be continued elsewhere.
        {{CM_RETRY_MODE_IDEMPOTENT, 2, 1, 900, true}, false},
        // The request must not run twice.
        {{CM_RETRY_MODE_NEVER, 2, 1, 900, false}, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(CmRetry_AllowsSuccessor(&cases[i].state),
                        cases[i].allowed);
    }
}

/// A status that implies "not run" counts as a lost answer if the target does
/// not state that it did not run the request.
static void
test_classify_status(void)
{
    static const struct {
        int status;
        enum cm_attempt_end end;
    } cases[] = {
        {503, CM_ATTEMPT_LOST},   {429, CM_ATTEMPT_LOST},
        {408, CM_ATTEMPT_LOST},   {421, CM_ATTEMPT_LOST},
        {500, CM_ATTEMPT_FAILED}, {504, CM_ATTEMPT_FAILED},
        {404, CM_ATTEMPT_FAILED}, {301, CM_ATTEMPT_FAILED},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(CmRetry_ClassifyStatus(cases[i].status), cases[i].end);
    }
}

/// In all states: a request that must not run twice is not retried once it may
/// have run, and a request that may have run is not refused.
static void
test_retry_steps_exhaustive(void)
{
    for (int mode = CM_RETRY_MODE_NEVER; mode <= CM_RETRY_MODE_RESUME;
         mode++) {
        for (int runs = 0; runs <= 3; runs++) {
            for (int end = CM_ATTEMPT_UNSENT; end <= CM_ATTEMPT_LOST; end++) {
                for (int started = 0; started <= 1; started++) {
                    struct cm_retry_state state = {(enum cm_retry_mode)mode, 2,
                                                   runs, 500, started != 0};
                    bool ran =
                        end == CM_ATTEMPT_FAILED || end == CM_ATTEMPT_LOST;
                    if (ran && runs == 0) {
                        continue;
                    }
                    enum cm_retry_step step =
                        CmRetry_NextStep(&state, (enum cm_attempt_end)end);
                    if (mode == CM_RETRY_MODE_NEVER && ran) {
                        CU_ASSERT_NOT_EQUAL(step, CM_RETRY_RESEND);
                    }
                    if (runs > 0) {
                        CU_ASSERT_NOT_EQUAL(step, CM_RETRY_REFUSE);
                    }
                    if (started) {
                        CU_ASSERT(step == CM_RETRY_RESEND ||
                                  step == CM_RETRY_CUT);
                    }
                }
            }
        }
    }
}

#define EVENT(id) "id: " #id "\ndata: x\n\n"

static void
test_event_stream(void)
{
    static const struct {
        int64_t last;
        const char *input;
        const char *output;
        bool valid;
        bool at_boundary;
    } cases[] = {
        {-1, EVENT(1) EVENT(2), EVENT(1) EVENT(2), true, true},
        {-1, EVENT(1) "id: 2\nda", EVENT(1), true, false},
        {1, EVENT(1) EVENT(2), EVENT(2), true, true},
        {1, EVENT(3), "", false, true},
        {-1, "id: 0\r\ndata: y\r\n\r\n", "id: 0\r\ndata: y\r\n\r\n", true,
         true},
        {0, "x-versions: 3\nid: 1\ndata: y\n\n",
         "x-versions: 3\nid: 1\ndata: y\n\n", true, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        // At once, and byte by byte.
        for (size_t step = 1; step <= 1000; step += 999) {
            struct cm_event_stream events;
            CmEventStream_Init(&events, cases[i].last);
            GString *out = g_string_new(NULL);
            bool valid = true;
            size_t length = strlen(cases[i].input);
            for (size_t at = 0; at < length && valid; at += step) {
                valid = CmEventStream_Feed(&events, cases[i].input + at,
                                           MIN(step, length - at), out);
            }
            CU_ASSERT_EQUAL(valid, cases[i].valid);
            CU_ASSERT_STRING_EQUAL(out->str, cases[i].output);
            if (valid) {
                CU_ASSERT_EQUAL(CmEventStream_AtBoundary(&events),
                                cases[i].at_boundary);
            }
            g_string_free(out, TRUE);
            CmEventStream_Finish(&events);
        }
    }
}

/// The limit of an event's length holds whether or not the event is complete
/// when it is read. Events before it are forwarded.
static void
test_event_stream_limit(void)
{
    static const struct {
        size_t length; ///< of the second event
        bool complete;
        bool valid;
    } cases[] = {
        {CM_EVENT_MAX_BYTES, true, true},
        {CM_EVENT_MAX_BYTES + 1, true, false},
        {CM_EVENT_MAX_BYTES, false, true},
        {CM_EVENT_MAX_BYTES + 1, false, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GString *event = g_string_new("data: ");
        while (event->len < cases[i].length) {
            g_string_append_c(event, 'x');
        }
        if (cases[i].complete) {
            memset(event->str + event->len - 2, '\n', 2);
        }
        g_string_prepend(event, EVENT(1));
        struct cm_event_stream events;
        CmEventStream_Init(&events, -1);
        GString *out = g_string_new(NULL);
        CU_ASSERT_EQUAL(
            CmEventStream_Feed(&events, event->str, event->len, out),
            cases[i].valid);
        bool forwarded = cases[i].complete && cases[i].valid;
        CU_ASSERT_EQUAL(out->len, forwarded ? event->len : strlen(EVENT(1)));
        g_string_free(out, TRUE);
        g_string_free(event, TRUE);
        CmEventStream_Finish(&events);
    }
}

/// A stream that another target resumes repeats no event, and its incomplete
/// event is dropped.
static void
test_event_stream_resume(void)
{
    struct cm_event_stream events;
    CmEventStream_Init(&events, -1);
    GString *out = g_string_new(NULL);
    CU_ASSERT(CmEventStream_Feed(&events, EVENT(1) "id: 2\nda",
                                 strlen(EVENT(1) "id: 2\nda"), out));
    CmEventStream_Resume(&events);
    CU_ASSERT_EQUAL(events.last_id, 1);
    CU_ASSERT(CmEventStream_Feed(&events, EVENT(2) EVENT(3),
                                 strlen(EVENT(2) EVENT(3)), out));
    CU_ASSERT_STRING_EQUAL(out->str, EVENT(1) EVENT(2) EVENT(3));
    g_string_free(out, TRUE);
    CmEventStream_Finish(&events);
}

static const struct cm_test tests[] = {
    {"delay of Retry-After", test_retry_after},
    {"refusal", test_refusal},
    {"delay of Retry-After at a rate limit", test_retry_after_at_limit},
    {"delay of Retry-After during pauses", test_retry_after_at_pause},
    {"idle timeout of clients", test_client_idle_timeout},
    {"routes", test_routes},
    {"traffic split", test_traffic_split},
    {"retry decisions", test_retry_steps},
    {"statuses that imply that nothing ran", test_classify_status},
    {"successor of a stalled attempt", test_successor_allowed},
    {"retry decisions, all states", test_retry_steps_exhaustive},
    {"event stream", test_event_stream},
    {"event stream, longest event", test_event_stream_limit},
    {"event stream, resumed", test_event_stream_resume},
};

CM_TEST_MAIN("decisions", tests)
