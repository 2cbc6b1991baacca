/// @file base_test.c
/// Time arithmetic, the manual clock, the report of findings, the text format
/// of counters, log levels, and digests.

#include "base/clock.h"
#include "base/counter.h"
#include "base/finding.h"
#include "base/hash.h"
#include "base/log.h"
#include "cm_test.h"

static void
test_add_ms(void)
{
    static const struct {
        struct timespec start;
        int64_t ms;
        struct timespec end;
    } cases[] = {
        {{1, 0}, 1, {1, 1000000}},    {{1, 999000000}, 1, {2, 0}},
        {{1, 0}, -1, {0, 999000000}}, {{5, 500000000}, -5500, {0, 0}},
        {{0, 0}, 3600000, {3600, 0}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct timespec end = CmTime_AddMs(cases[i].start, cases[i].ms);
        CU_ASSERT_EQUAL(end.tv_sec, cases[i].end.tv_sec);
        CU_ASSERT_EQUAL(end.tv_nsec, cases[i].end.tv_nsec);
        CU_ASSERT_EQUAL(CmTime_DiffMs(end, cases[i].start), cases[i].ms);
        CU_ASSERT_EQUAL(CmTime_Before(cases[i].start, end), cases[i].ms > 0);
    }
}

static void
test_manual_clock(void)
{
    struct cm_manual_clock clock;
    CmManualClock_Init(&clock);
    struct timespec start = CmClock_Now(&clock.base);
    CmManualClock_Advance(&clock, 1234);
    CU_ASSERT_EQUAL(CmTime_DiffMs(CmClock_Now(&clock.base), start), 1234);
}

static void
test_findings_report(void)
{
    struct cm_findings findings;
    CmFindings_Init(&findings, "a.yaml", 2);
    CmFindings_Add(&findings, 3, 7, "bad %s", "thing");
    CmFindings_Add(&findings, 4, 1, "other");
    CmFindings_Add(&findings, 5, 1, "beyond the limit");
    char *report = CmFindings_Report(&findings);
    CU_ASSERT_STRING_EQUAL(report, "a.yaml:3:7: error: bad thing\n"
                                   "a.yaml:4:1: error: other\n"
                                   "a.yaml: 1 further findings not shown\n");
    CU_ASSERT_EQUAL(findings.count, 3);
    g_free(report);
    CmFindings_Finish(&findings);
}

static void
test_counters_text(void)
{
    struct cm_counters counters;
    struct cm_counter counter;
    struct cm_counter gauge;
    CmCounters_Init(&counters);
    CmCounters_Add(&counters, &counter, "cm_a_total", "Things.");
    CmCounters_AddGauge(&counters, &gauge, "cm_b", "Level.");
    counter.value = 3;
    gauge.value = -1;
    GString *text = g_string_new(NULL);
    CmCounters_Write(&counters, text);
    CU_ASSERT_STRING_EQUAL(text->str,
                           "# HELP cm_a_total Things.\n"
                           "# TYPE cm_a_total counter\ncm_a_total 3\n"
                           "# HELP cm_b Level.\n# TYPE cm_b gauge\ncm_b -1\n");
    g_string_free(text, TRUE);
}

static void
test_log_levels(void)
{
    static const struct {
        const char *name;
        bool known;
    } cases[] = {{"error", true}, {"warning", true}, {"info", true},
                 {"debug", true}, {"loud", false},   {"", false}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GLogLevelFlags level;
        CU_ASSERT_EQUAL(CmLog_ParseLevel(cases[i].name, &level),
                        cases[i].known);
    }
}

static void
test_digest_of_parts(void)
{
    static const struct iovec parts[] = {
        {(void *)"a", 1}, {(void *)"", 0}, {(void *)"bc", 2}};
    char whole[CM_DIGEST_SIZE];
    char in_parts[CM_DIGEST_SIZE];
    CmHash_Digest("abc", 3, whole);
    CmHash_DigestParts(parts, G_N_ELEMENTS(parts), in_parts);
    CU_ASSERT_STRING_EQUAL(whole, in_parts);
    CU_ASSERT_NSTRING_EQUAL(whole, "ba7816bf8f01cfea", 16);
}

static const struct cm_test tests[] = {
    {"add milliseconds", test_add_ms},
    {"manual clock", test_manual_clock},
    {"findings report", test_findings_report},
    {"counters in Prometheus text format", test_counters_text},
    {"log levels", test_log_levels},
    {"digest of parts", test_digest_of_parts},
};

CM_TEST_MAIN("base", tests)
