/// @file decisions_test.c
/// Routes, budget of repeats, what follows an attempt, events of a stream.

#include <string.h>

#include "cm_test.h"
#include "base/clock.h"
#include "dispatch/retry_window.h"
#include "dispatch/catalog.h"
#include "dispatch/event_stream.h"
#include "dispatch/retry.h"
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
test_patience(void)
{
    static const struct {
        int64_t target_ms;
        int64_t gap_ms;
        int64_t patience_ms;
    } cases[] = {{100, 100, 2000}, {800, 300, 3200}, {800, 500, 4000}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_route route = {.target_latency_ms = cases[i].target_ms,
                                 .target_gap_ms = cases[i].gap_ms};
        CU_ASSERT_EQUAL(CmRoute_ClientIdleTimeoutMs(&route),
                        cases[i].patience_ms);
    }
}

/// Refused callers come back when the wait is over, spread out.
static void
test_retry_after(void)
{
    static const struct {
        int64_t ahead_ms;
        int64_t first_ms;
        int64_t last_ms;
    } cases[] = {
        {0, 150, 400}, {100, 150, 400}, {600, 600, 900}, {9000, 1200, 1800}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        CU_ASSERT_EQUAL(CmRetryAfter_Ms(cases[i].ahead_ms, 0),
                        cases[i].first_ms);
        CU_ASSERT_EQUAL(CmRetryAfter_Ms(cases[i].ahead_ms, 1),
                        cases[i].last_ms);
    }
}

static void
test_splits(void)
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

/// Replays requests and repeats; no window of any position may hold more
/// repeats than the bound.
static void
test_budget_in_every_window(void)
{
    static const struct {
        int requests_per_s;
        int wanted_per_s; ///< repeats asked for
        double ratio;
        double reserve;
    } cases[] = {
        {30, 30, 0.2, 9}, {5, 100, 0.2, 9}, {0, 50, 0.2, 3}, {100, 5, 0.2, 0}};
    enum { WINDOW_S = 10, LENGTH_S = 40, MS = 1000 };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_retry_window budget;
        CmRetryWindow_Init(&budget, cases[i].ratio, cases[i].reserve,
                           (int64_t)WINDOW_S * MS);
        static int spent[LENGTH_S * 10];
        static int asked[LENGTH_S * 10];
        memset(spent, 0, sizeof(spent));
        memset(asked, 0, sizeof(asked));
        struct timespec now = {.tv_sec = 100};
        for (int tenth = 0; tenth < LENGTH_S * 10; tenth++) {
            for (int r = 0; r < (cases[i].requests_per_s + tenth % 10) / 10;
                 r++) {
                CmRetryWindow_CountRequest(&budget, now);
                asked[tenth]++;
            }
            for (int r = 0; r < (cases[i].wanted_per_s + tenth % 10) / 10;
                 r++) {
                spent[tenth] += CmRetryWindow_Consume(&budget, now);
            }
            now = CmTime_AddMs(now, MS / 10);
        }
        for (int end = WINDOW_S * 10; end <= LENGTH_S * 10; end++) {
            int repeats = 0;
            int requests = 0;
            int earlier = 0;
            for (int t = end - WINDOW_S * 10; t < end; t++) {
                repeats += spent[t];
                requests += asked[t];
                earlier += t >= WINDOW_S * 10 ? asked[t - WINDOW_S * 10] : 0;
            }
            double most =
                MAX(requests, earlier) * cases[i].ratio + cases[i].reserve;
            CU_ASSERT(repeats <= most + 1e-9);
        }
    }
}

static void
test_life(void)
{
    static const struct {
        struct cm_retry_state life;
        enum cm_attempt_end end;
        enum cm_retry_step step;
        enum cm_retry_step given_up;
    } cases[] = {
        // Nothing has run: always another target, or a true refusal.
        {{CM_RETRY_MODE_NEVER, 1, 0, 900, false},
         CM_ATTEMPT_UNSENT,
         CM_RETRY_RESEND,
         CM_RETRY_REFUSE},
        {{CM_RETRY_MODE_NEVER, 1, 0, 900, false},
         CM_ATTEMPT_REJECTED,
         CM_RETRY_RESEND,
         CM_RETRY_REFUSE},
        // It may have run once: never again, and no promise.
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
        // A repeatable one goes on within its attempts and its time.
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
        // Rejected after an earlier run: not a refusal any more.
        {{CM_RETRY_MODE_IDEMPOTENT, 2, 1, 10, false},
         CM_ATTEMPT_REJECTED,
         CM_RETRY_UNKNOWN,
         CM_RETRY_UNKNOWN},
        // A stream that has begun is resumed or broken off visibly.
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
        CU_ASSERT_EQUAL(CmRetry_NextStep(&cases[i].life, cases[i].end),
                        cases[i].step);
        CU_ASSERT_EQUAL(CmRetry_FinalStep(&cases[i].life, cases[i].end),
                        cases[i].given_up);
    }
}

/// Without the target's statement a status that promises "not run" is taken
/// for a lost answer.
static void
test_answer_end(void)
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

/// No state of a request that must not run twice leads to another attempt
/// once it may have run, and no refusal follows a possible run.
static void
test_life_exhaustive(void)
{
    for (int repeat = CM_RETRY_MODE_NEVER; repeat <= CM_RETRY_MODE_RESUME;
         repeat++) {
        for (int runs = 0; runs <= 3; runs++) {
            for (int end = CM_ATTEMPT_UNSENT; end <= CM_ATTEMPT_LOST; end++) {
                for (int began = 0; began <= 1; began++) {
                    struct cm_retry_state life = {(enum cm_retry_mode)repeat,
                                                  2, runs, 500, began != 0};
                    bool ran =
                        end == CM_ATTEMPT_FAILED || end == CM_ATTEMPT_LOST;
                    if (ran && runs == 0) {
                        continue;
                    }
                    enum cm_retry_step step =
                        CmRetry_NextStep(&life, (enum cm_attempt_end)end);
                    if (repeat == CM_RETRY_MODE_NEVER && ran) {
                        CU_ASSERT_NOT_EQUAL(step, CM_RETRY_RESEND);
                    }
                    if (runs > 0) {
                        CU_ASSERT_NOT_EQUAL(step, CM_RETRY_REFUSE);
                    }
                    if (began) {
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
test_events(void)
{
    static const struct {
        int64_t last;
        const char *input;
        const char *output;
        bool sound;
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
        // Whole, and byte by byte.
        for (size_t step = 1; step <= 1000; step += 999) {
            struct cm_event_stream events;
            CmEventStream_Init(&events, cases[i].last);
            GString *out = g_string_new(NULL);
            bool sound = true;
            size_t length = strlen(cases[i].input);
            for (size_t at = 0; at < length && sound; at += step) {
                sound = CmEventStream_Feed(&events, cases[i].input + at,
                                           MIN(step, length - at), out);
            }
            CU_ASSERT_EQUAL(sound, cases[i].sound);
            CU_ASSERT_STRING_EQUAL(out->str, cases[i].output);
            if (sound) {
                CU_ASSERT_EQUAL(CmEventStream_AtBoundary(&events),
                                cases[i].at_boundary);
            }
            g_string_free(out, TRUE);
            CmEventStream_Finish(&events);
        }
    }
}

/// A stream that goes on at another target repeats nothing and drops the
/// unfinished event.
static void
test_events_resume(void)
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
    {"when refused callers come back", test_retry_after},
    {"how long callers wait", test_patience},
    {"routes", test_routes},
    {"splits", test_splits},
    {"budget in every window", test_budget_in_every_window},
    {"what follows an attempt", test_life},
    {"answers that promise too much", test_answer_end},
    {"what follows an attempt, all states", test_life_exhaustive},
    {"events", test_events},
    {"events, resumed", test_events_resume},
};

CM_TEST_MAIN("decisions", tests)
