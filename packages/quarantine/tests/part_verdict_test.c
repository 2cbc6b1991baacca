/// @file part_verdict_test.c
/// Verdicts on parts of prompts, by tables of records.

#include <string.h>

#include "base/clock.h"
#include "cm_test.h"
#include "quarantine/quarantine.h"

#define CRASHES 3
/// Time of the first record.
#define START_MS 1000000
/// Runs of one content overlap in the cases with copies of a request.
#define RAN_MS 200

#define CRASH CM_CRASH_RECORD_CRASH
#define COMPLETED CM_CRASH_RECORD_COMPLETED
#define ALIVE CM_CRASH_RECORD_ALIVE
#define LIFTED CM_CRASH_RECORD_LIFTED

/// One record of a case. Small letters of `runs` are contents, capitals parts
/// of prompts: A to H come first in prompts, I to P second, Q to Z third. An
/// exclamation mark precedes what is tried.
struct entry {
    int64_t at_ms;
    enum cm_crash_record_kind kind;
    const char *target;
    const char *runs;
};

static const struct {
    const char *what;
    struct entry entries[10];
    const char *refused;
    const char *on_trial;
    const char *together; ///< only refused in one request
} cases[] = {
    {"two crashes",
     {{0, CRASH, "1", "aAGQ"}, {400, CRASH, "2", "bAGQ"}},
     "",
     "",
     ""},
    {"three crashes, no two requests alike: the deepest part is tried",
     {{0, CRASH, "1", "aAI"},
      {400, CRASH, "2", "bAI"},
      {900, CRASH, "3", "cAI"}},
     "",
     "I",
     ""},
    {"sound parts before and after it are cleared",
     {{0, CRASH, "1", "aAIQ"},
      {200, COMPLETED, "", "AQ"},
      {400, CRASH, "2", "bAIQ"},
      {600, COMPLETED, "", "AQ"},
      {900, CRASH, "3", "cAIQ"}},
     "",
     "I",
     ""},
    {"the first part, whose companions differ",
     {{0, CRASH, "1", "aAI"},
      {400, CRASH, "2", "bAJ"},
      {900, CRASH, "3", "cAK"}},
     "",
     "A",
     ""},
    {"parts of other requests that the crashes cut off",
     {{0, CRASH, "1", "aAIbBJ"},
      {400, CRASH, "2", "cAIdBK"},
      {900, CRASH, "3", "eAIfBJ"}},
     "",
     "I",
     ""},
    {"a rack ends",
     {{0, CRASH, "1", "aAI"},
      {20, CRASH, "2", "bAI"},
      {60, CRASH, "3", "cAI"},
      {99, CRASH, "4", "dAI"}},
     "",
     "",
     ""},
    {"one crash, seen by three",
     {{0, CRASH, "1", "aAI"},
      {150, CRASH, "1", "bAI"},
      {300, CRASH, "1", "cAI"}},
     "",
     "",
     ""},
    {"completed between the crashes",
     {{0, CRASH, "1", "aI"},
      {400, CRASH, "2", "bI"},
      {500, COMPLETED, "", "I"},
      {900, CRASH, "3", "cI"},
      {1400, CRASH, "4", "dI"}},
     "",
     "",
     ""},
    {"a target that responds did not crash",
     {{0, CRASH, "1", "aI"},
      {400, CRASH, "2", "bI"},
      {900, CRASH, "3", "cI"},
      {1400, ALIVE, "2", ""}},
     "",
     "",
     ""},
    {"a crashed trial",
     {{0, CRASH, "1", "aAI"},
      {200, COMPLETED, "", "A"},
      {400, CRASH, "2", "bAI"},
      {900, CRASH, "3", "cAI"},
      {1500, CRASH, "4", "dA!I"}},
     "I",
     "",
     ""},
    {"a crashed trial of parts that were in the same crashes",
     {{0, CRASH, "1", "aAI"},
      {400, CRASH, "2", "bAI"},
      {900, CRASH, "3", "cAI"},
      {1500, CRASH, "4", "dA!I"}},
     "",
     "AI",
     "AI"},
    {"one of them completes elsewhere",
     {{0, CRASH, "1", "aAI"},
      {400, CRASH, "2", "bAI"},
      {900, CRASH, "3", "cAI"},
      {1500, CRASH, "4", "dA!I"},
      {1900, COMPLETED, "", "I"}},
     "",
     "A",
     ""},
    {"a crashed trial while another target crashes",
     {{0, CRASH, "1", "aAI"},
      {400, CRASH, "2", "bAI"},
      {900, CRASH, "3", "cAI"},
      {1500, CRASH, "4", "dA!I"},
      {1520, CRASH, "5", "eB"}},
     "",
     "I",
     ""},
    {"a crashed trial with a more suspicious part beside it",
     {{0, CRASH, "1", "aIbJ"},
      {400, CRASH, "2", "cIdJ"},
      {900, CRASH, "3", "eIfJ"},
      {1200, CRASH, "4", "gI"},
      {1500, CRASH, "5", "hI"},
      {1900, CRASH, "6", "i!JjI"}},
     "",
     "I",
     ""},
    {"the same after the other part was refused",
     {{0, CRASH, "1", "aIbJ"},
      {400, CRASH, "2", "cIdJ"},
      {900, CRASH, "3", "eIfJ"},
      {1200, CRASH, "4", "gI"},
      {1500, CRASH, "5", "hI"},
      {1900, CRASH, "6", "i!JjI"},
      {2500, CRASH, "7", "k!I"}},
     "I",
     "",
     ""},
    {"one more crash, without the companion, whose trial then shows nothing",
     {{0, CRASH, "1", "aAI"},
      {400, CRASH, "2", "bAI"},
      {900, CRASH, "3", "cAI"},
      {1500, CRASH, "4", "dA!I"},
      {2000, CRASH, "5", "eAJ"}},
     "",
     "A",
     ""},
    {"the first part's trial crashes: the companion is cleared",
     {{0, CRASH, "1", "aAI"},
      {400, CRASH, "2", "bAI"},
      {900, CRASH, "3", "cAI"},
      {1500, CRASH, "4", "dA!I"},
      {2000, CRASH, "5", "eAJ"},
      {2500, CRASH, "6", "f!AK"}},
     "A",
     "",
     ""},
    {"one request that is repeated: its content explains the crashes",
     {{0, CRASH, "1", "aAI"},
      {400, CRASH, "2", "aAI"},
      {900, CRASH, "3", "aAI"}},
     "a",
     "",
     ""},
    {"a further request with the part",
     {{0, CRASH, "1", "aAI"},
      {400, CRASH, "2", "aAI"},
      {900, CRASH, "3", "aAI"},
      {1500, CRASH, "4", "bBI"}},
     "a",
     "I",
     ""},
    {"copies of one request: its content is tried, not the part",
     {{0, CRASH, "1", "aAI"},
      {150, CRASH, "2", "aAI"},
      {300, CRASH, "3", "aAI"}},
     "",
     "",
     ""},
    {"a crashed trial beside that of a content",
     {{0, CRASH, "1", "aAI"},
      {150, CRASH, "2", "aAI"},
      {300, CRASH, "3", "bAI"},
      {450, CRASH, "4", "aAI"},
      {900, CRASH, "5", "!ab!I"}},
     "a",
     "I",
     ""},
    {"crashes of a refused part don't count for a bystander's content",
     {{0, CRASH, "1", "aIx"},
      {400, CRASH, "2", "bIx"},
      {900, CRASH, "3", "cIx"},
      {1500, CRASH, "4", "d!Ix"}},
     "I",
     "",
     ""},
    {"two parts that crash targets, one after the other",
     {{0, CRASH, "1", "aI"},
      {400, CRASH, "2", "bJ"},
      {800, CRASH, "3", "cI"},
      {1200, CRASH, "4", "dJ"},
      {1600, CRASH, "5", "eI"},
      {2000, CRASH, "6", "fJ"},
      {2400, CRASH, "7", "g!I"}},
     "I",
     "J",
     ""},
    {"lifted by an operator",
     {{0, CRASH, "1", "aI"},
      {400, CRASH, "2", "bI"},
      {900, CRASH, "3", "cI"},
      {1500, CRASH, "4", "d!I"},
      {2000, LIFTED, "", "I"}},
     "",
     "",
     ""},
};

static struct cm_crash_record *
make_record(const struct entry *entry, uint64_t id, struct timespec start)
{
    struct cm_crash_record *record =
        CmCrashRecord_New(entry->kind, id, entry->target, "gateway",
                          CmTime_AddMs(start, entry->at_ms));
    bool trial = false;
    for (const char *letter = entry->runs; *letter != '\0'; letter++) {
        if (*letter == '!') {
            trial = true;
            continue;
        }
        struct cm_crash_run run = {
            .content = {*letter, '\0'}, .ran_ms = RAN_MS, .trial = trial};
        if (g_ascii_isupper(*letter)) {
            run.position = 1 + (*letter >= 'I') + (*letter >= 'Q');
        }
        CmCrashRecord_AddRun(record, &run);
        trial = false;
    }
    return record;
}

/// Checks for each letter whether it is refused, and whether it is a part on
/// trial.
static void
check_verdicts(const struct cm_quarantine *quarantine, size_t row, int order)
{
    for (int letter = 'A'; letter <= 'z'; letter++) {
        char content[2] = {(char)letter, '\0'};
        const struct cm_suspect *suspect =
            CmQuarantine_Find(quarantine, content);
        bool refused = suspect != NULL && suspect->refused;
        bool on_trial = suspect != NULL && suspect->on_trial;
        bool together = strchr(cases[row].together, letter) != NULL;
        CU_ASSERT_EQUAL(suspect != NULL && suspect->group > 0, together);
        if (refused != (strchr(cases[row].refused, letter) != NULL) ||
            (g_ascii_isupper(letter) &&
             on_trial != (strchr(cases[row].on_trial, letter) != NULL))) {
            CU_FAIL();
            printf("\n    %s, order %d: %s is%s refused, is%s on trial\n",
                   cases[row].what, order, content, refused ? "" : " not",
                   on_trial ? "" : " not");
        }
    }
}

/// Adds the records in order, in reverse, and each of them twice: the verdicts
/// are the same.
static void
test_verdicts(void)
{
    struct cm_manual_clock clock;
    CmManualClock_Init(&clock);
    CmManualClock_Advance(&clock, START_MS);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        size_t n = 0;
        while (n < G_N_ELEMENTS(cases[i].entries) &&
               cases[i].entries[n].target != NULL) {
            n++;
        }
        for (int order = 0; order < 3; order++) {
            struct cm_quarantine quarantine;
            CmQuarantine_Init(&quarantine, CRASHES, NULL, NULL);
            for (size_t j = 0; j < n * 2; j++) {
                size_t at = order == 0   ? j / 2
                            : order == 1 ? j % n
                                         : n - 1 - j % n;
                CmQuarantine_Add(
                    &quarantine,
                    make_record(&cases[i].entries[at], at + 1, clock.now),
                    clock.now);
            }
            CmQuarantine_Update(&quarantine);
            check_verdicts(&quarantine, i, order);
            CmQuarantine_Finish(&quarantine);
        }
    }
}

static const struct cm_test tests[] = {
    {"verdicts", test_verdicts},
};

CM_TEST_MAIN("part verdicts", tests)
