/// @file arbiter.c
/// Choice of the gateway that decides for all.

#include "peers/arbiter.h"

#include "base/hash.h"

/// Gateways that start within this time of each other start together: then
/// none of them decided anything before.
#define START_TOGETHER_MS 2000

/// How far a gateway is preferred; the lowest value first.
enum arbiter_rank {
    RANK_SETTLED_CANDIDATE,
    RANK_SETTLED,
    RANK_CANDIDATE,
    RANK_OTHER,
};

/// Whom a choice takes into account.
struct electorate {
    const struct cm_roster *roster;
    struct timespec now;
    int64_t settle_ms; ///< least age of a settled gateway
    bool with_silent;  ///< also those that have just stopped responding
    bool (*may)(void *context, const char *address); ///< NULL for all
    void *context;
};

/// The best gateway so far.
struct choice {
    const char *address;
    enum arbiter_rank rank;
    uint64_t hash;
};

static int64_t
age_ms(const struct electorate *electorate, struct timespec since)
{
    return since.tv_sec != 0 ? CmTime_DiffMs(electorate->now, since) : -1;
}

static bool
is_eligible(const struct electorate *electorate,
            const struct cm_roster_peer *peer)
{
    return CmRosterPeer_Responds(peer) ||
           (electorate->with_silent &&
            CmTime_DiffMs(electorate->now, peer->heard) <
                CM_ROSTER_INTERRUPTION_MS);
}

static enum arbiter_rank
rank_of(const struct electorate *electorate, const struct cm_roster_peer *peer)
{
    int64_t steady_ms = age_ms(electorate, peer->steady_since);
    int64_t candidate_ms = age_ms(electorate, peer->candidate_since);
    bool settled = steady_ms >= 0 && steady_ms >= electorate->settle_ms;
    if (settled && candidate_ms >= 0 &&
        candidate_ms >= electorate->settle_ms) {
        return RANK_SETTLED_CANDIDATE;
    }
    if (settled) {
        return RANK_SETTLED;
    }
    return candidate_ms >= 0 ? RANK_CANDIDATE : RANK_OTHER;
}

static void
consider(const struct electorate *electorate, struct choice *choice,
         const struct cm_roster_peer *peer, const char *key)
{
    if (electorate->may != NULL &&
        !electorate->may(electorate->context, peer->address)) {
        return;
    }
    struct choice next = {
        .address = peer->address,
        .rank = rank_of(electorate, peer),
        .hash = CmHash_Text(peer->address, CmHash_Text(key, 0)),
    };
    if (choice->address == NULL || next.rank < choice->rank ||
        (next.rank == choice->rank && next.hash > choice->hash)) {
        *choice = next;
    }
}

/// Sets the age from which on a gateway is settled. It is lower while all of
/// them have started a short time ago.
static void
set_settle_ms(struct electorate *electorate)
{
    const struct cm_roster *roster = electorate->roster;
    int64_t oldest_ms = age_ms(electorate, roster->self.steady_since);
    for (guint i = 0; i < roster->peers->len; i++) {
        const struct cm_roster_peer *peer = CmRoster_PeerAt(roster, i);
        if (is_eligible(electorate, peer)) {
            oldest_ms = MAX(oldest_ms, age_ms(electorate, peer->steady_since));
        }
    }
    electorate->settle_ms =
        MIN(CM_ROSTER_SETTLE_MS, oldest_ms - START_TOGETHER_MS);
}

static const char *
choose(struct electorate *electorate, const char *key)
{
    const struct cm_roster *roster = electorate->roster;
    struct choice choice = {0};
    electorate->now = CmClock_BootTime(roster->clock);
    set_settle_ms(electorate);
    consider(electorate, &choice, &roster->self, key);
    for (guint i = 0; i < roster->peers->len; i++) {
        const struct cm_roster_peer *peer = CmRoster_PeerAt(roster, i);
        if (is_eligible(electorate, peer)) {
            consider(electorate, &choice, peer, key);
        }
    }
    return choice.address;
}

const char *
CmArbiter_Choose(const struct cm_roster *roster, const char *key)
{
    return CmArbiter_ChooseAmong(roster, key, NULL, NULL);
}

const char *
CmArbiter_ChooseAmong(const struct cm_roster *roster, const char *key,
                      bool (*may)(void *context, const char *address),
                      void *context)
{
    struct electorate electorate = {
        .roster = roster, .may = may, .context = context};
    const char *chosen = choose(&electorate, key);
    if (chosen == NULL) {
        electorate.may = NULL;
        chosen = choose(&electorate, key);
    }
    return chosen == roster->self.address ? NULL : chosen;
}

bool
CmArbiter_IsContested(const struct cm_roster *roster, const char *key)
{
    struct electorate electorate = {.roster = roster, .with_silent = true};
    return choose(&electorate, key) != roster->self.address;
}
