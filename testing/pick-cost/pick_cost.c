/// @file pick_cost.c
/// Picks engines for adapters of realistically skewed popularity, so that a
/// profiler can count the instructions of one pick.
/// Usage: pick-cost ENGINES PICKS

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "dispatch/pick.h"

/// Adapters that requests are drawn from.
#define ADAPTERS 24000
/// Copies of adapters at an engine; with more, all but the latest are evicted.
#define SLOTS 5
/// Skew of the adapters' popularity: the number of a random adapter is
/// ADAPTERS * u^(4 * skew), with u uniformly distributed from 0 to 1.
#define POPULARITY_SKEW 1.1
/// Simulated time between two picks.
#define PICK_INTERVAL_MS 1

static void
add_engine(struct cm_targets *targets, int i)
{
    char id[16];
    char address[32];
    snprintf(id, sizeof(id), "e%d", i);
    snprintf(address, sizeof(address), "10.%d.%d.%d:80", i / 65536,
             i / 256 % 256, i % 256);
    struct cm_target_info info = {.id = id,
                                  .service = "s",
                                  .address = address,
                                  .zone = i % 2 == 0 ? "a" : "b",
                                  .max_requests = 64,
                                  .has_model = true};
    CmTargets_Update(targets, &info);
}

/// @return key of a random adapter, valid until the next call. Adapters with
/// low numbers are popular.
static const char *
draw_adapter(GRand *random)
{
    static char key[32];
    double share = pow(g_rand_double(random), POPULARITY_SKEW * 4);
    snprintf(key, sizeof(key), "m/a%d", (int)(share * ADAPTERS));
    return key;
}

int
main(int argc, char **argv)
{
    if (argc != 3) {
        fprintf(stderr, "usage: pick-cost ENGINES PICKS\n");
        return EXIT_FAILURE;
    }
    int engines = (int)strtol(argv[1], NULL, 10);
    int picks = (int)strtol(argv[2], NULL, 10);
    struct timespec now = {.tv_sec = 1000};
    GRand *random = g_rand_new_with_seed(1);
    struct cm_targets targets;
    CmTargets_Init(&targets, "a", 1);
    for (int i = 0; i < engines; i++) {
        add_engine(&targets, i);
    }
    for (int i = 0; i < picks; i++) {
        const char *adapter = draw_adapter(random);
        struct cm_pick_request request = {
            .service = "s", .adapter = adapter, .needs_model = true};
        struct cm_pick pick;
        CmPick_Engine(&targets, &request, now, &pick);
        CmTarget_SetResident(pick.target, adapter, true, now);
        // With copies of more adapters than slots, only the latest one stays
        // resident. The list is dated ahead, as it does not override a grant
        // that is younger than CM_COPY_FRESH_MS.
        if (g_hash_table_size(pick.target->copies) > SLOTS) {
            CmTarget_BeginAdapterList(pick.target);
            CmTarget_ListAdapter(pick.target, adapter, now);
            CmTarget_EndAdapterList(pick.target,
                                    CmTime_AddMs(now, CM_COPY_FRESH_MS));
        }
        now = CmTime_AddMs(now, PICK_INTERVAL_MS);
    }
    CmTargets_Finish(&targets);
    g_rand_free(random);
    return EXIT_SUCCESS;
}
