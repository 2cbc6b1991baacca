/// @file simulated_gateways.h
/// Gateways in simulated time whose messages may be lost, repeated and late.

#ifndef SIMULATED_GATEWAYS_H
#define SIMULATED_GATEWAYS_H

#include "base/clock.h"
#include "peers/introduction.h"
#include "quarantine/trial.h"

#define SIM_GATEWAYS_MAX 420
#define SIM_CRASHES 3

/// How messages between gateways are disturbed.
struct sim_links {
    int loss_percent;
    int repeat_percent;
    int64_t delay_max_ms;
    int64_t cut_until_ms; ///< a third of the gateways is cut until then
};

struct sim_gateway {
    struct cm_quarantine quarantine;
    struct cm_gossip gossip;
    GRand *random;
    char address[CM_CRASH_NAME_SIZE];
    int64_t next_poll_ms;
    int64_t next_introduction_ms;
    int64_t started_ms;
    bool down;
    bool cut; ///< its messages reach only other gateways that are cut
};

struct sim_transit;

struct sim_fleet {
    const struct sim_links *links;
    int n_gateways;
    struct cm_manual_clock clock;
    struct timespec start;
    GRand *random;
    struct sim_gateway gateways[SIM_GATEWAYS_MAX];
    TAILQ_HEAD(, sim_transit) transits;
    struct cm_introducer introducer; ///< agents, as far as all reach them
    size_t messages;
    size_t bytes;
    /// Told of the answer to a claim; NULL if there are none.
    void (*answered)(void *context, uint64_t claim_id, bool granted);
    void *context;
};

struct sim_fleet *
SimFleet_New(const struct sim_links *links, int n_gateways, guint32 seed);

void
SimFleet_Free(struct sim_fleet *fleet);

/// @return ms since the start.
int64_t
SimFleet_NowMs(const struct sim_fleet *fleet);

/// Starts gateway `i` again, without records.
void
SimFleet_Restart(struct sim_fleet *fleet, int i);

/// @return the gateway of an address.
struct sim_gateway *
SimFleet_Find(struct sim_fleet *fleet, const char *address);

/// Ends gateway `i`.
void
SimFleet_Stop(struct sim_fleet *fleet, int i);

/// Starts gateway `i`, or starts it again, with these seeds.
void
SimFleet_Start(struct sim_fleet *fleet, int i, const int seeds[], size_t n);

/// Has gateway `i` read its settings again, with these seeds.
void
SimFleet_SetSeeds(struct sim_fleet *fleet, int i, const int seeds[], size_t n);

/// Delivers the messages that are due.
void
SimFleet_Deliver(struct sim_fleet *fleet);

/// Sends the pushes and polls that are due, then lets `step_ms` pass.
void
SimFleet_Step(struct sim_fleet *fleet, int64_t step_ms);

/// Adds a crash record with one run.
void
SimFleet_Observe(struct sim_fleet *fleet, int at, const char *target,
                 const struct cm_crash_run *run);

/// Sends a claim from gateway `from`.
void
SimFleet_Claim(struct sim_fleet *fleet, int from, const char *arbiter,
               const char *content, uint64_t claim_id);

#endif
