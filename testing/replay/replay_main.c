/// @file replay_main.c
/// Simulates all load patterns with all policies and prints a table. Of its
/// columns, "worth" is the goodput share, "refused" counts rejected requests,
/// "left" abandoned ones, "fetched" cold loads, and "asked" the adapters that
/// were requested at least once. "waited" counts late requests that waited for
/// a load or a slot, and "busiest" compares the busiest engine with the mean.

#include <stdio.h>
#include <stdlib.h>

#include "replay.h"

int
main(void)
{
    printf("%-34s %-13s %6s %8s %6s %6s %8s %6s %8s %6s %9s %10s %7s\n",
           "pattern", "policy", "worth", "on time", "late", "waited",
           "refused", "left", "fetched", "asked", "wait p95", "event p99",
           "busiest");
    for (size_t p = 0; p < n_patterns; p++) {
        for (size_t i = 0; i < n_policies; i++) {
            struct replay_result r =
                Replay_Simulate(&patterns[p], &policies[i]);
            printf("%-34s %-13s %6.3f %8d %6d %6d %8d %6d %8d %6d %6.0f ms "
                   "%7.0f ms %7.2f\n",
                   patterns[p].name, policies[i].name, Replay_GoodputShare(&r),
                   r.on_time, r.late, r.late_waits, r.rejected, r.abandoned,
                   r.cold_loads, r.adapters, r.slot_wait_p95_ms,
                   r.first_event_p99_ms, r.busiest);
        }
    }
    return EXIT_SUCCESS;
}
