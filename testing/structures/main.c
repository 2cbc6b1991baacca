/// @file main.c
/// Fills the pure structures to a given size and prints what they cost, one
/// JSON line a structure: bytes of heap, seconds, and cost of one decision.
///
/// usage: structures TARGETS ADAPTERS PICKS [TEXT]

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "config/config.h"
#include "config/settings.h"
#include "membership/members.h"
#include "placement/scheduler.h"
#include "routing/router.h"

#define SLOTS 8
#define CAPACITY 32

static size_t
heap(void)
{
    return mallinfo2().uordblks;
}

static double
now_s(void)
{
    return CmTime_DiffS(CmClock_Now(CmClock_System()), (struct timespec){0});
}

static void
print(const char *what, int n, size_t bytes, double seconds)
{
    printf("{\"what\":\"%s\",\"n\":%d,\"bytes\":%zu,\"bytes_each\":%.1f,"
           "\"seconds\":%.6f}\n",
           what, n, bytes, n > 0 ? (double)bytes / n : 0, seconds);
}

static void
fill_members(int n)
{
    size_t before = heap();
    double start = now_s();
    struct cm_members members;
    CmMembers_Init(&members);
    for (int i = 0; i < n; i++) {
        char name[32];
        snprintf(name, sizeof(name), "engine-%05d", i);
        CmMembers_UpdateListed(&members, name, "10.0.0.1:7000", "zone-1",
                               false);
    }
    print("members", n, heap() - before, now_s() - start);
    CmMembers_Finish(&members);
}

/// Routes `picks` requests, adapter after adapter.
static void
pick_all(struct cm_router *router, struct cm_route_service *service,
         int n_adapters, int picks, struct timespec now, const char *what)
{
    size_t before = heap();
    double start = now_s();
    char name[32];
    for (int i = 0; i < picks; i++) {
        snprintf(name, sizeof(name), "adapter-%05d@1", i % n_adapters);
        struct cm_route_request request = {
            .id = "r", .adapter = name, .left_ms = 30000};
        struct cm_route_decision decision;
        CmRouter_Pick(router, service, &request, now, &decision);
    }
    print(what, picks, heap() - before, now_s() - start);
}

static void
fill_router(int n_targets, int n_adapters, int picks)
{
    size_t before = heap();
    double start = now_s();
    GRand *random = g_rand_new_with_seed(1);
    struct cm_router router;
    CmRouter_Init(&router, CmPolicy_Find("expected-wait"), random);
    struct cm_route_service *service =
        CmRouter_FindOrAddService(&router, "s", true);
    struct timespec now = {.tv_sec = 100};
    char name[32];
    for (int i = 0; i < n_targets; i++) {
        snprintf(name, sizeof(name), "engine-%05d", i);
        struct cm_route_target *target =
            CmRouter_FindOrAddTarget(&router, service, name, i % 3 != 0);
        target->capacity = CAPACITY;
        CmRouter_SetUsable(&router, target, true, now);
        for (int j = 0; j < SLOTS; j++) {
            snprintf(name, sizeof(name), "adapter-%05d@1",
                     (i * SLOTS + j) % n_adapters);
            CmRouter_AddCopy(target, name, true);
        }
    }
    print("router targets", n_targets, heap() - before, now_s() - start);
    now.tv_sec += 100;
    pick_all(&router, service, n_adapters, n_adapters, now,
             "router picks, homes computed");
    pick_all(&router, service, n_adapters, picks, now,
             "router picks, homes known");
    CmRouter_Finish(&router);
    g_rand_free(random);
}

static void
fill_scheduler(int n)
{
    size_t before = heap();
    struct cm_scheduler scheduler;
    CmScheduler_Init(&scheduler, CmEviction_Find("value"), SLOTS, CAPACITY);
    struct cm_job *jobs = g_new0(struct cm_job, n);
    struct timespec now = {.tv_sec = 100};
    double start = now_s();
    for (int i = 0; i < n; i++) {
        char name[32];
        snprintf(name, sizeof(name), "adapter-%05d@1", i);
        jobs[i].arrived = now;
        jobs[i].deadline = CmTime_AddMs(now, 1000 + i);
        CmScheduler_Add(&scheduler, &jobs[i], name, now);
        CmScheduler_NextAction(&scheduler, now);
    }
    print("scheduler jobs", n, heap() - before, now_s() - start);
    for (int i = 0; i < n; i++) {
        CmScheduler_Remove(&scheduler, &jobs[i], now);
    }
    CmScheduler_Finish(&scheduler);
    g_free(jobs);
}

static void
check_text(const char *path)
{
    size_t size;
    char *text = CmSettings_LoadFile(path, &size, NULL);
    if (text == NULL) {
        return;
    }
    size_t before = heap();
    double start = now_s();
    struct cm_findings findings;
    CmFindings_Init(&findings, path, CM_FINDINGS_MAX);
    struct cm_config config;
    bool sound = CmConfig_Init(&config, text, size, &findings);
    print(sound ? "text checked" : "text NOT sound", (int)config.n_adapters,
          heap() - before, now_s() - start);
    CmConfig_Finish(&config);
    CmFindings_Finish(&findings);
    g_free(text);
}

int
main(int argc, char **argv)
{
    if (argc < 4) {
        fprintf(stderr, "usage: structures TARGETS ADAPTERS PICKS [TEXT]\n");
        return EXIT_FAILURE;
    }
    fill_members(atoi(argv[1]));
    fill_router(atoi(argv[1]), atoi(argv[2]), atoi(argv[3]));
    fill_scheduler(atoi(argv[3]) < 1000 ? atoi(argv[3]) : 1000);
    if (argc > 4) {
        check_text(argv[4]);
    }
    return EXIT_SUCCESS;
}
