/// @file simulated_retries.c
/// Simulated gateways that retry.

#include "simulated_retries.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#define RATIO 0.2
#define WINDOW_MS 10000
#define WINDOW_STEPS (WINDOW_MS / SIM_STEP_MS)
#define SERVICE "s"
/// Attempts of one request beyond its first.
#define RETRIES_MAX 5
#define CUT_FROM_MS 20000
#define SUSPENDED_FROM_MS 21000
#define SUSPENDED_UNTIL_MS 29000
#define MOVE_MS 7000

struct sim_gateway {
    struct cm_retry_window window;
    struct cm_retry_permits permits;
    struct cm_retry_reserve granted;
    double received; ///< fractions of a request that are due
    int down_until_ms;
    int late; ///< permits that wait until they are as good as over
    struct timespec late_until;
};

struct fleet {
    const struct sim_retries *pattern;
    struct sim_gateway *gateways;
    int ms;
    struct timespec now;
};

static void
start(const struct fleet *fleet, struct sim_gateway *gateway)
{
    size_t number = (size_t)(gateway - fleet->gateways);
    CmRetryWindow_Init(&gateway->window, RATIO, WINDOW_MS, fleet->now);
    CmRetryPermits_Init(&gateway->permits, number, fleet->now);
    CmRetryReserve_Init(&gateway->granted, fleet->now);
    gateway->received = 0;
    gateway->late = 0;
}

static void
stop(struct sim_gateway *gateway)
{
    CmRetryPermits_Finish(&gateway->permits);
    CmRetryReserve_Finish(&gateway->granted);
}

static bool
is_running(const struct fleet *fleet, int number)
{
    bool suspended = number < fleet->pattern->suspended &&
                     fleet->ms >= SUSPENDED_FROM_MS &&
                     fleet->ms < SUSPENDED_UNTIL_MS;
    return fleet->ms >= fleet->gateways[number].down_until_ms && !suspended;
}

static bool
is_cut(const struct fleet *fleet, int number)
{
    return fleet->ms >= CUT_FROM_MS &&
           number >= fleet->pattern->n_gateways - fleet->pattern->n_cut;
}

static void
kill_some(struct fleet *fleet)
{
    const struct sim_retries *pattern = fleet->pattern;
    if (pattern->kill_every_ms == 0 || fleet->ms == 0 ||
        fleet->ms % pattern->kill_every_ms != 0) {
        return;
    }
    int round = fleet->ms / pattern->kill_every_ms;
    for (int i = 0; i < pattern->kills; i++) {
        int number = (round * pattern->kills + i) % pattern->n_gateways;
        struct sim_gateway *gateway = &fleet->gateways[number];
        stop(gateway);
        gateway->down_until_ms = fleet->ms + pattern->down_ms;
        start(fleet, gateway);
        // It starts at the end of that time.
        gateway->granted.since = CmTime_AddMs(fleet->now, pattern->down_ms);
    }
}

static struct cm_retry_part
part_of(const struct fleet *fleet, int seed)
{
    const struct sim_retries *pattern = fleet->pattern;
    bool doubled = pattern->other_settings && seed % 2 == 1;
    return (struct cm_retry_part){pattern->reserve * (doubled ? 2 : 1) /
                                      MAX(pattern->n_seeds, 1),
                                  WINDOW_MS};
}

/// Claims one permit.
/// @return whether it was granted.
static bool
claim(struct fleet *fleet, int number)
{
    struct sim_gateway *gateway = &fleet->gateways[number];
    struct cm_retry_part whole = {fleet->pattern->reserve, WINDOW_MS};
    struct cm_retry_claim wanted = {SERVICE, 1};
    struct cm_retry_holders holders = {
        .n = (size_t)MAX(fleet->pattern->n_seeds, 1)};
    static const char *const addresses[] = {"0", "1", "2"};
    memcpy(holders.addresses, addresses, sizeof(addresses));
    int holder;
    while ((holder = CmRetryPermits_ChooseHolder(
                &gateway->permits, SERVICE, &holders, &whole, fleet->now)) !=
           CM_RETRY_NO_HOLDER) {
        bool answers = is_running(fleet, holder) &&
                       (holder == number ||
                        (!is_cut(fleet, holder) && !is_cut(fleet, number)));
        struct cm_retry_part part = part_of(fleet, holder);
        struct cm_retry_grant grant = {0};
        if (answers) {
            grant = CmRetryReserve_Grant(&fleet->gateways[holder].granted,
                                         &wanted, &part, fleet->now);
        }
        CmRetryPermits_Apply(&gateway->permits, SERVICE, addresses[holder],
                             answers ? &grant : NULL, &whole, fleet->now,
                             fleet->now);
        struct cm_retry_permit permit;
        if (CmRetryPermits_Take(&gateway->permits, SERVICE, &permit,
                                fleet->now)) {
            return true;
        }
    }
    return false;
}

/// @return retries that the gateway sends in this step, at most `wanted`.
static int
retry(struct fleet *fleet, int number, int wanted)
{
    struct sim_gateway *gateway = &fleet->gateways[number];
    int late_ms = fleet->pattern->late_ms;
    int sent = 0;
    if (gateway->late > 0 && !CmTime_Before(fleet->now, gateway->late_until)) {
        sent = gateway->late;
        gateway->late = 0;
    }
    while (sent < wanted &&
           CmRetryWindow_Allows(&gateway->window, fleet->now)) {
        CmRetryWindow_CountRetry(&gateway->window, fleet->now);
        sent++;
    }
    while (sent + gateway->late < wanted && claim(fleet, number)) {
        if (late_ms == 0) {
            sent++;
        }
        else if (gateway->late++ == 0) {
            gateway->late_until = CmTime_AddMs(fleet->now, late_ms);
        }
    }
    return sent;
}

static bool
refuses(const struct sim_retries *pattern, int ms)
{
    if (pattern->refused_every_ms > 0 && ms >= pattern->refused_from_ms) {
        ms = pattern->refused_from_ms +
             (ms - pattern->refused_from_ms) % pattern->refused_every_ms;
    }
    return ms >= pattern->refused_from_ms && ms < pattern->refused_until_ms;
}

static bool
has_callers(const struct fleet *fleet, int number)
{
    return !fleet->pattern->callers_move ||
           number % 2 == fleet->ms / MOVE_MS % 2;
}

static void
step(struct fleet *fleet, struct sim_counts *counts, int index)
{
    const struct sim_retries *pattern = fleet->pattern;
    kill_some(fleet);
    for (int i = 0; i < pattern->n_gateways; i++) {
        struct sim_gateway *gateway = &fleet->gateways[i];
        if (!has_callers(fleet, i)) {
            continue;
        }
        gateway->received += pattern->requests_per_s * SIM_STEP_MS / 1000;
        int received = (int)gateway->received;
        gateway->received -= received;
        // Callers count their requests whether or not a gateway runs.
        counts->requests[index] += received;
        if (!is_running(fleet, i)) {
            continue;
        }
        for (int r = 0; r < received; r++) {
            CmRetryWindow_CountRequest(&gateway->window, fleet->now);
        }
        if (refuses(pattern, fleet->ms)) {
            counts->retries[index] += retry(fleet, i, received * RETRIES_MAX);
        }
    }
}

void
SimRetries_Run(const struct sim_retries *pattern, struct sim_counts *counts)
{
    struct fleet fleet = {
        .pattern = pattern,
        .now = CmTime_AddMs((struct timespec){0}, pattern->start_ms)};
    memset(counts, 0, sizeof(*counts));
    counts->steps = pattern->length_ms / SIM_STEP_MS;
    fleet.gateways = g_new0(struct sim_gateway, (gsize)pattern->n_gateways);
    for (int i = 0; i < pattern->n_gateways; i++) {
        start(&fleet, &fleet.gateways[i]);
    }
    for (int i = 0; i < counts->steps; i++) {
        step(&fleet, counts, i);
        fleet.ms += SIM_STEP_MS;
        fleet.now = CmTime_AddMs(fleet.now, SIM_STEP_MS);
    }
    for (int i = 0; i < pattern->n_gateways; i++) {
        stop(&fleet.gateways[i]);
    }
    g_free(fleet.gateways);
}

static int
sum(const int *values, int from, int until)
{
    int total = 0;
    for (int i = MAX(from, 0); i < until; i++) {
        total += values[i];
    }
    return total;
}

double
SimCounts_WorstExcess(const struct sim_counts *counts,
                      const struct sim_retries *pattern, double *used)
{
    double worst = -1e9;
    double shares = 0;
    int windows = 0;
    for (int from = 0; from + WINDOW_STEPS <= counts->steps; from++) {
        int until = from + WINDOW_STEPS;
        const int half = WINDOW_STEPS / 2;
        int requests = sum(counts->requests, from, until);
        requests =
            MAX(requests, sum(counts->requests, from - half, until - half));
        requests =
            MAX(requests, sum(counts->requests, from - WINDOW_STEPS, from));
        int retries = sum(counts->retries, from, until);
        double allowed = requests * RATIO + pattern->reserve;
        worst = MAX(worst, retries - allowed);
        if (from * SIM_STEP_MS >= pattern->refused_from_ms &&
            until * SIM_STEP_MS <= pattern->refused_until_ms) {
            shares += retries / allowed;
            windows++;
        }
    }
    *used = windows > 0 ? shares / windows : 0;
    return worst;
}
