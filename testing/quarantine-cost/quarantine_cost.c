/// @file quarantine_cost.c
/// Measures what the quarantine costs a gateway: hashing a content, looking it
/// up, merging a record, and the memory of a full set.

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "quarantine/exchange.h"
#include "quarantine/quarantine.h"

#define CRASHES 3
#define RUNS 20
#define LOOKUPS 1000000
#define ROUNDS 200
#define NS_PER_S 1e9
#define US_PER_S 1e6

static double
elapsed_s(struct timespec since)
{
    return CmTime_DiffS(CmClock_Now(CmClock_System()), since);
}

static void
measure_hash(size_t size)
{
    char *body = g_malloc0(size);
    struct iovec part = {body, size};
    char digest[CM_DIGEST_SIZE];
    struct timespec start = CmClock_Now(CmClock_System());
    for (int i = 0; i < ROUNDS; i++) {
        CmHash_DigestParts(&part, 1, digest);
    }
    printf("hash of %7zu bytes        %10.2f us\n", size,
           elapsed_s(start) / ROUNDS * US_PER_S);
    g_free(body);
}

static void
measure_lookups(const struct cm_quarantine *quarantine, const char *what)
{
    size_t found = 0;
    struct timespec start = CmClock_Now(CmClock_System());
    for (int i = 0; i < LOOKUPS; i++) {
        char content[CM_CONTENT_SIZE];
        g_strlcpy(content, "0123456789abcdef", sizeof(content));
        content[i % 16] = 'x';
        found += CmQuarantine_Find(quarantine, content) != NULL;
    }
    printf("look-up, %-18s %10.1f ns%s\n", what,
           elapsed_s(start) / LOOKUPS * NS_PER_S, found > 0 ? " (found)" : "");
}

static struct cm_crash_record *
make_record(int number, struct timespec now)
{
    char target[CM_CRASH_NAME_SIZE];
    g_snprintf(target, sizeof(target), "i-%08x/1796357963526", number);
    struct cm_crash_record *record =
        CmCrashRecord_New(CM_CRASH_RECORD_CRASH, (uint64_t)number + 1, target,
                          "front-saint-brieuc-1", now);
    for (int i = 0; i < RUNS; i++) {
        char content[CM_CONTENT_SIZE];
        g_snprintf(content, sizeof(content), "%08x%08x", number, i);
        struct cm_crash_run run = {.ran_ms = 20};
        g_strlcpy(run.content, content, sizeof(run.content));
        CmCrashRecord_AddRun(record, &run);
    }
    return record;
}

/// Adds records to a full set, as a peer sends them: new ones, and ones that
/// the set has dropped.
static void
measure_overflow(struct cm_quarantine *quarantine, struct timespec now)
{
    static const char *const what[] = {"new", "dropped"};
    for (int dropped = 0; dropped < 2; dropped++) {
        struct timespec start = CmClock_Now(CmClock_System());
        for (int i = 0; i < ROUNDS; i++) {
            int number = dropped ? i : CM_QUARANTINE_RECORDS_MAX + i;
            struct timespec at = CmTime_AddMs(now, dropped ? 0 : i + 1);
            CmQuarantine_Add(quarantine, make_record(number, at), at);
        }
        printf("%-7s record, full set    %10.1f us\n", what[dropped],
               elapsed_s(start) / ROUNDS * US_PER_S);
    }
}

static void
measure_message(const struct cm_quarantine *quarantine, struct timespec now)
{
    struct cm_exchange exchange;
    CmExchange_Init(&exchange, "10.0.0.1:8144", quarantine->digest);
    char *poll = CmExchange_Encode(&exchange, now);
    struct cm_crash_record *record = make_record(0, now);
    TAILQ_INSERT_TAIL(&exchange.records, record, link);
    char *push = CmExchange_Encode(&exchange, now);
    printf("poll %zu bytes, each record of %d runs %zu bytes\n", strlen(poll),
           RUNS, strlen(push) - strlen(poll));
    free(poll);
    free(push);
    CmExchange_Finish(&exchange);
}

int
main(void)
{
    static const size_t sizes[] = {100, 600, 4700, 28000, 1000000};
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        measure_hash(sizes[i]);
    }
    struct timespec now = CmClock_Now(CmClock_System());
    struct cm_quarantine quarantine;
    CmQuarantine_Init(&quarantine, CRASHES, NULL, NULL);
    measure_lookups(&quarantine, "empty set");
    size_t before = mallinfo2().uordblks;
    for (int i = 0; i < CM_QUARANTINE_RECORDS_MAX; i++) {
        CmQuarantine_Add(&quarantine, make_record(i, now), now);
    }
    struct timespec start = CmClock_Now(CmClock_System());
    for (int i = 0; i < ROUNDS; i++) {
        quarantine.outdated = true;
        CmQuarantine_Update(&quarantine);
    }
    printf("verdicts of %d records     %10.0f us\n", CM_QUARANTINE_RECORDS_MAX,
           elapsed_s(start) / ROUNDS * US_PER_S);
    measure_lookups(&quarantine, "full set");
    printf("memory of a full set       %10.0f kB\n",
           (double)(mallinfo2().uordblks - before) / 1000);
    measure_message(&quarantine, now);
    measure_overflow(&quarantine, now);
    CmQuarantine_Finish(&quarantine);
    return 0;
}
