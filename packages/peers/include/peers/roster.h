/// @file roster.h
/// The gateways that one gateway knows, without sockets.
///
/// A gateway is a candidate for decisions once the settings of some gateway
/// name it as a seed, and stays one: settings differ between gateways and may
/// be stale, but whoever hears of a candidate tells it on, so that all
/// gateways soon know the same candidates. Gateways also tell since when they
/// run without interruption; see arbiter.h for what that decides.

#ifndef PEERS_ROSTER_H
#define PEERS_ROSTER_H

#include <glib.h>
#include <stdbool.h>

#include "base/clock.h"
#include "peers/peer_news.h"

/// Most gateways that a roster holds.
#define CM_ROSTER_PEERS_MAX 512
/// Peers of one periodic poll.
#define CM_ROSTER_POLLED_MAX 2
/// Time in which all gateways hear of a new candidate, or of one that starts
/// again.
#define CM_ROSTER_SETTLE_MS 8000
/// Failed calls in a row after which a gateway is taken not to respond.
#define CM_ROSTER_FAILURES_MAX 2
/// Time without any contact, or without a tick, after which a gateway may have
/// been replaced by others in what it decides.
#define CM_ROSTER_INTERRUPTION_MS 3000
#define CM_ROSTER_STALL_MS 1000

/// One gateway. Times are by the time since boot, 0 for never.
struct cm_roster_peer {
    char address[CM_PEER_ADDRESS_SIZE];
    bool
        seed; ///< in this gateway's settings: kept although it doesn't respond
    struct timespec candidate_since;
    struct timespec steady_since; ///< runs without interruption
    bool steady_guessed; ///< first contact with one that has told nothing yet
    struct timespec changed_at; ///< last change that others should hear of
    struct timespec heard;      ///< last contact, here or elsewhere
    struct timespec retry_at;   ///< not asked before, after failures
    int failures;               ///< in a row
};

struct cm_roster {
    struct cm_clock *clock;
    GRand *random;
    GArray *peers;              ///< of struct cm_roster_peer
    struct cm_roster_peer self; ///< this gateway; `address` may be ""
    struct timespec started_at;
    /// Time from which on all others count this gateway as a candidate.
    struct timespec counted_since;
    struct timespec contact_at; ///< last one with any other gateway
    struct timespec ticked_at;
};

/// @param clock and `random` are borrowed.
void
CmRoster_Init(struct cm_roster *roster, struct cm_clock *clock,
              const char *self, GRand *random);

void
CmRoster_Finish(struct cm_roster *roster);

/// Replaces the seeds of the settings. Former ones stay candidates, and are
/// forgotten like other gateways once they don't respond.
void
CmRoster_SetSeeds(struct cm_roster *roster, const char *const seeds[],
                  size_t n);

/// Adds a gateway of which just the address is known.
void
CmRoster_Add(struct cm_roster *roster, const char *address);

/// Applies what a gateway tells of itself, in a message that is just read.
/// @param news NULL if it tells nothing.
void
CmRoster_LearnSender(struct cm_roster *roster, const char *address,
                     const struct cm_peer_news *news);

/// Applies what a gateway tells of a third one.
void
CmRoster_LearnOther(struct cm_roster *roster, const struct cm_peer_news *news);

/// Applies what another gateway knew of this one before it got its message.
/// @param teller its address.
/// @param candidate_ms age of this gateway's candidacy, CM_PEER_NEVER if it
///                     didn't know of one.
void
CmRoster_LearnSelf(struct cm_roster *roster, const char *teller,
                   int64_t candidate_ms);

/// @return age of the candidacy of a gateway, or CM_PEER_NEVER.
int64_t
CmRoster_CandidateMs(const struct cm_roster *roster, const char *address);

/// Describes this gateway to others.
void
CmRoster_DescribeSelf(const struct cm_roster *roster,
                      struct cm_peer_news *news);

/// Chooses what to tell of others: the latest changes of candidates, a random
/// candidate and random gateways.
/// @param to_newcomer for one that has just started: candidates first.
/// @return their number.
size_t
CmRoster_ChooseNews(const struct cm_roster *roster, bool to_newcomer,
                    struct cm_peer_news news[], size_t max);

/// Chooses up to `n` random peers that are not waiting for a retry.
/// @param[out] addresses valid until the next change of the roster.
/// @return their number.
size_t
CmRoster_ChoosePeers(struct cm_roster *roster, size_t n,
                     const char *addresses[]);

/// Chooses the random peers of a periodic poll: one that responds, and one
/// that has failed to, so that lost peers don't keep a gateway from hearing of
/// the others.
/// @param[out] addresses valid until the next change of the roster.
/// @return their number.
size_t
CmRoster_ChooseForPoll(const struct cm_roster *roster,
                       const char *addresses[CM_ROSTER_POLLED_MAX]);

/// Records whether a call to a peer succeeded, or a message of it arrived.
/// Peers that are no seeds are removed after a while without contact.
void
CmRoster_CountCall(struct cm_roster *roster, const char *address,
                   bool success);

/// To be called several times a second: notices that this process stood still.
void
CmRoster_Tick(struct cm_roster *roster);

/// @return whether what a gateway tells of itself says that it has just
/// started, so that it may know few others.
static inline bool
CmPeerNews_IsOfNewcomer(const struct cm_peer_news *news)
{
    return news->steady_ms < CM_ROSTER_SETTLE_MS;
}

static inline bool
CmRosterPeer_IsCandidate(const struct cm_roster_peer *peer)
{
    return peer->candidate_since.tv_sec != 0;
}

static inline bool
CmRosterPeer_Responds(const struct cm_roster_peer *peer)
{
    return peer->failures < CM_ROSTER_FAILURES_MAX;
}

static inline struct cm_roster_peer *
CmRoster_PeerAt(const struct cm_roster *roster, guint i)
{
    return &g_array_index(roster->peers, struct cm_roster_peer, i);
}

/// @return the number of candidates, this gateway included, whether or not
/// they respond.
size_t
CmRoster_CountCandidates(const struct cm_roster *roster);

#endif
