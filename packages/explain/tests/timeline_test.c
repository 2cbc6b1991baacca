/// @file timeline_test.c
/// Request timelines and summaries from logs with truncated lines, foreign
/// text and clock skew between processes.

#include "explain/timeline.h"

#include <stdio.h>
#include <string.h>

#include "cm_test.h"

#define LINE(time, process, component, request, message)                      \
    "{\"time_ms\":" #time ",\"level\":\"info\",\"process\":\"" process        \
    "\",\"component\":\"" component "\",\"request\":\"" request               \
    "\",\"message\":\"" message "\"}\n"

/// @return the position of `text` in `timeline`, or -1.
static long
position(const char *timeline, const char *text)
{
    const char *found = strstr(timeline, text);
    return found != NULL ? (long)(found - timeline) : -1;
}

static void
test_request_timeline(void)
{
    static const struct {
        const char *name;
        const char *log;
        const char *parts[4]; ///< texts that the output contains, in order
    } cases[] = {
        {"one process",
         LINE(100, "g", "lease", "r", "asks e1")
             LINE(150, "g", "answer", "r", "refused 503: no room"),
         {"asks e1", "=>", "refused 503", NULL}},
        {"agent clock ahead of the gateway's",
         LINE(9000, "agent", "lease", "r", "no slot")
             LINE(100, "g", "lease", "r", "asks e1")
                 LINE(150, "g", "answer", "r", "refused 503: no room"),
         {"asks e1", "no slot  (clock shifted by -8850 ms)", "=> ", NULL}},
        {"agent clock behind the gateway's",
         LINE(1, "agent", "lease", "r", "no slot")
             LINE(100, "g", "lease", "r", "asks e1")
                 LINE(150, "g", "answer", "r", "refused 503: no room"),
         {"no slot  (clock shifted by 99 ms)", "=> ", NULL, NULL}},
        {"truncated lines and foreign text",
         "e\":\"half of a line\"}\nplain text\n"
         "  12.5 host " LINE(100, "g", "lease", "r", "asks e1")
             LINE(150, "g", "answer", "r", "cut 0: gone") "{\"time_ms\":16",
         {"asks e1", "cut 0: gone", NULL, NULL}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_timeline timeline;
        CmTimeline_Init(&timeline);
        CmTimeline_AddLog(&timeline, cases[i].log, strlen(cases[i].log));
        GString *out = g_string_new(NULL);
        CU_ASSERT(CmTimeline_AppendRequest(&timeline, "r", out));
        long last = -1;
        for (size_t p = 0; p < 4 && cases[i].parts[p] != NULL; p++) {
            long at = position(out->str, cases[i].parts[p]);
            if (at <= last) {
                printf("\n%s: %s\n", cases[i].name, out->str);
            }
            CU_ASSERT(at > last);
            last = at;
        }
        CU_ASSERT_FALSE(CmTimeline_AppendRequest(&timeline, "other", out));
        g_string_free(out, TRUE);
        CmTimeline_Finish(&timeline);
    }
}

static void
test_summary(void)
{
    static const char log[] = LINE(1, "g", "answer", "a",
                                   "answered 200 after 5 ms, route x")
        LINE(2, "g", "answer", "b", "refused 503 after 1 ms: no room")
            LINE(3, "g", "answer", "c", "refused 503 after 9 ms: no room")
                LINE(4, "h", "answer", "d", "answered 500 after 5 ms, route x")
                    LINE(5, "h", "lease", "e", "no slot")
                        LINE(6, "h", "answer", "f", "refused")
                            LINE(7, "g", "store", "",
                                 "the store came back from an older copy, "
                                 "era 2 begins")
                                LINE(8, "h", "store", "",
                                     "the store came back from an older copy, "
                                     "era 2 begins")
                                    LINE(9, "g", "quarantine", "",
                                         "content 1.2 is refused from now on: "
                                         "3 crashes") "torn";
    struct cm_timeline timeline;
    CmTimeline_Init(&timeline);
    CmTimeline_AddLog(&timeline, log, strlen(log));
    GString *out = g_string_new(NULL);
    CmTimeline_AppendSummary(&timeline, out);
    CU_ASSERT(position(out->str, "5 requests, 1 answered with success, "
                                 "1 lines skipped") == 0);
    CU_ASSERT(position(out->str, "2  refused: no room  (for example b)") > 0);
    CU_ASSERT(position(out->str, "1  answered 500  (for example d)") >
              position(out->str, "refused: no room"));
    CU_ASSERT(position(out->str, "2  the store came back from an older copy") >
              position(out->str, "answered 500"));
    CU_ASSERT(position(out->str, "1  a content is refused") > 0);
    CU_ASSERT(position(out->str, "a target crashed") < 0);
    g_string_free(out, TRUE);
    CmTimeline_Finish(&timeline);
}

static const struct cm_test tests[] = {
    {"timeline of one request", test_request_timeline},
    {"summary of failure causes", test_summary},
};

CM_TEST_MAIN("explain", tests)
