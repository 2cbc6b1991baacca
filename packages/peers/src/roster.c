/// @file roster.c
/// Gateways that one gateway knows.
///
/// Load pattern: gateways start, end and come back at other addresses, up to
/// all of them at once, while each hears from a few others a second.

#include "peers/roster.h"

#include <string.h>

/// Pause before a peer that didn't respond is asked again. Doubles with each
/// failure, up to the maximum, within which a healed link is used again.
#define RETRY_MIN_MS 500
#define RETRY_MAX_MS 4000
/// Time without contact after which a peer is forgotten. A candidate that is
/// cut off still holds its part of what all may use.
#define PEER_EXPIRY_MS 60000
#define CANDIDATE_EXPIRY_MS 600000
/// Delays of messages make the same start look different by less than this.
#define SAME_START_MS 2000
/// Time for which a change is told before other news.
#define CHANGE_NEWS_MS (2 * CM_ROSTER_SETTLE_MS)

static struct timespec
now_of(const struct cm_roster *roster)
{
    return CmClock_BootTime(roster->clock);
}

static bool
is_set(struct timespec time)
{
    return time.tv_sec != 0;
}

/// @return the age of `time` for a message.
static int64_t
age_ms(const struct cm_roster *roster, struct timespec time)
{
    return is_set(time) ? MAX(CmTime_DiffMs(now_of(roster), time), 0)
                        : CM_PEER_NEVER;
}

static struct timespec
time_of_age(const struct cm_roster *roster, int64_t ms)
{
    return ms >= 0 ? CmTime_AddMs(now_of(roster), -ms) : (struct timespec){0};
}

void
CmRoster_Init(struct cm_roster *roster, struct cm_clock *clock,
              const char *self, GRand *random)
{
    *roster = (struct cm_roster){
        .clock = clock,
        .random = random,
        .peers = g_array_new(FALSE, TRUE, sizeof(struct cm_roster_peer)),
    };
    struct timespec now = now_of(roster);
    g_strlcpy(roster->self.address, self, sizeof(roster->self.address));
    roster->started_at = now;
    roster->self.steady_since = now;
    roster->counted_since = now;
    roster->contact_at = now;
    roster->ticked_at = now;
}

void
CmRoster_Finish(struct cm_roster *roster)
{
    g_array_free(roster->peers, TRUE);
}

static bool
is_self(const struct cm_roster *roster, const char *address)
{
    return strcmp(address, roster->self.address) == 0;
}

static struct cm_roster_peer *
find_peer(const struct cm_roster *roster, const char *address)
{
    for (guint i = 0; i < roster->peers->len; i++) {
        if (strcmp(CmRoster_PeerAt(roster, i)->address, address) == 0) {
            return CmRoster_PeerAt(roster, i);
        }
    }
    return NULL;
}

/// @return the peer, or NULL if it is this gateway or the roster is full.
static struct cm_roster_peer *
find_or_add(struct cm_roster *roster, const char *address)
{
    if (address[0] == '\0' || is_self(roster, address)) {
        return NULL;
    }
    struct cm_roster_peer *known = find_peer(roster, address);
    if (known != NULL || roster->peers->len >= CM_ROSTER_PEERS_MAX) {
        return known;
    }
    struct cm_roster_peer peer = {0};
    g_strlcpy(peer.address, address, sizeof(peer.address));
    g_array_append_val(roster->peers, peer);
    return CmRoster_PeerAt(roster, roster->peers->len - 1);
}

/// Records a candidacy; the earliest known time applies.
/// @return whether it is new.
static bool
set_candidate(struct cm_roster *roster, struct cm_roster_peer *peer,
              struct timespec since)
{
    bool is_new = !CmRosterPeer_IsCandidate(peer);
    if (is_set(since) &&
        (is_new || CmTime_Before(since, peer->candidate_since))) {
        peer->candidate_since = since;
    }
    if (is_new && is_set(since)) {
        peer->changed_at = now_of(roster);
    }
    return is_new && is_set(since);
}

static void
set_steady(struct cm_roster *roster, struct cm_roster_peer *peer,
           struct timespec since)
{
    bool is_change = !is_set(peer->steady_since) ||
                     CmTime_DiffMs(since, peer->steady_since) > SAME_START_MS;
    peer->steady_since = since;
    peer->steady_guessed = false;
    if (is_change) {
        peer->changed_at = now_of(roster);
    }
}

static void
forget_silent_peers(struct cm_roster *roster)
{
    for (guint i = roster->peers->len; i > 0; i--) {
        const struct cm_roster_peer *peer = CmRoster_PeerAt(roster, i - 1);
        int64_t expiry_ms = CmRosterPeer_IsCandidate(peer)
                                ? CANDIDATE_EXPIRY_MS
                                : PEER_EXPIRY_MS;
        if (!peer->seed &&
            CmTime_DiffMs(now_of(roster), peer->heard) > expiry_ms) {
            g_array_remove_index_fast(roster->peers, i - 1);
        }
    }
}

void
CmRoster_SetSeeds(struct cm_roster *roster, const char *const seeds[],
                  size_t n)
{
    struct timespec now = now_of(roster);
    for (guint i = 0; i < roster->peers->len; i++) {
        CmRoster_PeerAt(roster, i)->seed = false;
    }
    for (size_t i = 0; i < n; i++) {
        struct cm_roster_peer *peer = find_or_add(roster, seeds[i]);
        if (peer != NULL) {
            peer->seed = true;
            set_candidate(roster, peer, now);
        }
        else if (is_self(roster, seeds[i]) &&
                 set_candidate(roster, &roster->self, now) &&
                 CmTime_DiffMs(now, roster->started_at) > SAME_START_MS) {
            roster->counted_since = CmTime_AddMs(now, CM_ROSTER_SETTLE_MS);
        }
    }
    forget_silent_peers(roster);
}

void
CmRoster_Add(struct cm_roster *roster, const char *address)
{
    if (find_peer(roster, address) != NULL) {
        return;
    }
    struct cm_roster_peer *peer = find_or_add(roster, address);
    if (peer != NULL) {
        peer->heard = now_of(roster);
    }
}

void
CmRoster_LearnSender(struct cm_roster *roster, const char *address,
                     const struct cm_peer_news *news)
{
    struct cm_roster_peer *peer = find_or_add(roster, address);
    if (peer == NULL) {
        return;
    }
    if (news != NULL) {
        set_candidate(roster, peer, time_of_age(roster, news->candidate_ms));
        set_steady(roster, peer, time_of_age(roster, MAX(news->steady_ms, 0)));
    }
}

void
CmRoster_LearnOther(struct cm_roster *roster, const struct cm_peer_news *news)
{
    struct timespec heard = time_of_age(roster, news->heard_ms);
    if (!is_set(heard) || news->heard_ms > PEER_EXPIRY_MS) {
        return;
    }
    struct cm_roster_peer *peer = find_or_add(roster, news->address);
    if (peer == NULL) {
        return;
    }
    if (CmTime_Before(peer->heard, heard)) {
        peer->heard = heard;
    }
    set_candidate(roster, peer, time_of_age(roster, news->candidate_ms));
    struct timespec steady = time_of_age(roster, news->steady_ms);
    // What the gateway told itself is replaced by a later start only.
    if (is_set(steady) &&
        (!is_set(peer->steady_since) || peer->steady_guessed ||
         CmTime_DiffMs(steady, peer->steady_since) > SAME_START_MS)) {
        set_steady(roster, peer, steady);
    }
}

void
CmRoster_LearnSelf(struct cm_roster *roster, const char *teller,
                   int64_t candidate_ms)
{
    struct timespec since = time_of_age(roster, candidate_ms);
    const struct cm_roster_peer *peer = find_peer(roster, teller);
    if (set_candidate(roster, &roster->self, since)) {
        roster->counted_since = CmTime_AddMs(since, CM_ROSTER_SETTLE_MS);
    }
    else if (CmRosterPeer_IsCandidate(&roster->self) && !is_set(since) &&
             peer != NULL &&
             CmTime_DiffMs(roster->self.candidate_since, peer->steady_since) >
                 SAME_START_MS) {
        struct timespec counted =
            CmTime_AddMs(roster->self.candidate_since, CM_ROSTER_SETTLE_MS);
        if (CmTime_Before(roster->counted_since, counted)) {
            roster->counted_since = counted;
        }
    }
}

int64_t
CmRoster_CandidateMs(const struct cm_roster *roster, const char *address)
{
    const struct cm_roster_peer *peer = find_peer(roster, address);
    return peer != NULL ? age_ms(roster, peer->candidate_since)
                        : CM_PEER_NEVER;
}

static void
describe(const struct cm_roster *roster, const struct cm_roster_peer *peer,
         struct cm_peer_news *news)
{
    *news = (struct cm_peer_news){
        .candidate_ms = age_ms(roster, peer->candidate_since),
        .steady_ms = age_ms(roster, peer->steady_since),
        .heard_ms = age_ms(roster, peer->heard),
    };
    g_strlcpy(news->address, peer->address, sizeof(news->address));
}

void
CmRoster_DescribeSelf(const struct cm_roster *roster,
                      struct cm_peer_news *news)
{
    describe(roster, &roster->self, news);
    news->heard_ms = 0;
}

static bool
is_told(const struct cm_peer_news news[], size_t n,
        const struct cm_roster_peer *peer)
{
    for (size_t i = 0; i < n; i++) {
        if (strcmp(news[i].address, peer->address) == 0) {
            return true;
        }
    }
    return false;
}

/// @return the candidate that changed last, of those that are not told yet.
static const struct cm_roster_peer *
latest_change(const struct cm_roster *roster, const struct cm_peer_news news[],
              size_t n)
{
    struct timespec now = now_of(roster);
    const struct cm_roster_peer *latest = NULL;
    for (guint i = 0; i < roster->peers->len; i++) {
        const struct cm_roster_peer *peer = CmRoster_PeerAt(roster, i);
        if (CmRosterPeer_IsCandidate(peer) && peer->failures == 0 &&
            is_set(peer->heard) &&
            CmTime_DiffMs(now, peer->changed_at) < CHANGE_NEWS_MS &&
            (latest == NULL ||
             CmTime_Before(latest->changed_at, peer->changed_at)) &&
            !is_told(news, n, peer)) {
            latest = peer;
        }
    }
    return latest;
}

/// @return a random peer of those that are not told yet, or NULL.
static const struct cm_roster_peer *
random_peer(const struct cm_roster *roster, const struct cm_peer_news news[],
            size_t n, bool candidates_only)
{
    guint len = roster->peers->len;
    guint first =
        len > 0 ? (guint)g_rand_int_range(roster->random, 0, (gint32)len) : 0;
    for (guint i = 0; i < len; i++) {
        const struct cm_roster_peer *peer =
            CmRoster_PeerAt(roster, (first + i) % len);
        if (peer->failures == 0 && is_set(peer->heard) &&
            (CmRosterPeer_IsCandidate(peer) || !candidates_only) &&
            !is_told(news, n, peer)) {
            return peer;
        }
    }
    return NULL;
}

size_t
CmRoster_ChooseNews(const struct cm_roster *roster, bool to_newcomer,
                    struct cm_peer_news news[], size_t max)
{
    size_t n = 0;
    const struct cm_roster_peer *peer;
    while (!to_newcomer && n < max / 2 &&
           (peer = latest_change(roster, news, n)) != NULL) {
        describe(roster, peer, &news[n++]);
    }
    size_t n_candidates = to_newcomer ? max : MIN(n + 1, max);
    while (n < n_candidates &&
           (peer = random_peer(roster, news, n, true)) != NULL) {
        describe(roster, peer, &news[n++]);
    }
    while (n < max && (peer = random_peer(roster, news, n, false)) != NULL) {
        describe(roster, peer, &news[n++]);
    }
    return n;
}

size_t
CmRoster_ChoosePeers(struct cm_roster *roster, size_t n,
                     const char *addresses[])
{
    struct timespec now = now_of(roster);
    size_t chosen = 0;
    guint left = roster->peers->len;
    // A partial shuffle: each step takes a random peer of the remaining ones.
    for (guint i = 0; i < left && chosen < n; i++) {
        guint other =
            (guint)g_rand_int_range(roster->random, (gint32)i, (gint32)left);
        struct cm_roster_peer peer = *CmRoster_PeerAt(roster, other);
        *CmRoster_PeerAt(roster, other) = *CmRoster_PeerAt(roster, i);
        *CmRoster_PeerAt(roster, i) = peer;
        if (!CmTime_Before(now, peer.retry_at)) {
            addresses[chosen++] = CmRoster_PeerAt(roster, i)->address;
        }
    }
    return chosen;
}

/// @return the number of peers chosen, which is 0 or 1, by whether calls to
/// them fail.
static size_t
choose_one(const struct cm_roster *roster, bool failing, const char **address)
{
    struct timespec now = now_of(roster);
    guint n = roster->peers->len;
    guint first =
        n > 0 ? (guint)g_rand_int_range(roster->random, 0, (gint32)n) : 0;
    for (guint i = 0; i < n; i++) {
        const struct cm_roster_peer *peer =
            CmRoster_PeerAt(roster, (first + i) % n);
        if ((peer->failures > 0) == failing &&
            !CmTime_Before(now, peer->retry_at)) {
            *address = peer->address;
            return 1;
        }
    }
    return 0;
}

size_t
CmRoster_ChooseForPoll(const struct cm_roster *roster,
                       const char *addresses[CM_ROSTER_POLLED_MAX])
{
    size_t n = choose_one(roster, false, &addresses[0]);
    return n + choose_one(roster, true, &addresses[n]);
}

/// After an interruption others may have taken over what this gateway decided.
static void
note_interruption(struct cm_roster *roster, struct timespec since, int64_t ms)
{
    struct timespec now = now_of(roster);
    if (CmTime_DiffMs(now, since) > ms) {
        roster->self.steady_since = now;
    }
}

void
CmRoster_CountCall(struct cm_roster *roster, const char *address, bool success)
{
    struct timespec now = now_of(roster);
    struct cm_roster_peer *peer = find_peer(roster, address);
    if (peer != NULL && success) {
        note_interruption(roster, roster->contact_at,
                          CM_ROSTER_INTERRUPTION_MS);
        roster->contact_at = now;
        peer->heard = now;
        peer->failures = 0;
        peer->retry_at = now;
        if (!is_set(peer->steady_since)) {
            peer->steady_since = now;
            peer->steady_guessed = true;
        }
    }
    else if (peer != NULL) {
        int64_t pause_ms = (int64_t)RETRY_MIN_MS << MIN(peer->failures, 8);
        peer->failures++;
        peer->retry_at = CmTime_AddMs(now, MIN(pause_ms, RETRY_MAX_MS));
    }
    forget_silent_peers(roster);
}

void
CmRoster_Tick(struct cm_roster *roster)
{
    note_interruption(roster, roster->ticked_at, CM_ROSTER_STALL_MS);
    roster->ticked_at = now_of(roster);
}

size_t
CmRoster_CountCandidates(const struct cm_roster *roster)
{
    size_t n = CmRosterPeer_IsCandidate(&roster->self);
    for (guint i = 0; i < roster->peers->len; i++) {
        n += CmRosterPeer_IsCandidate(CmRoster_PeerAt(roster, i));
    }
    return n;
}
