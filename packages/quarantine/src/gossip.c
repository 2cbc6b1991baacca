/// @file gossip.c
/// Pushes and polls of a gateway's crash records.

#include "quarantine/gossip.h"

#include "base/clock.h"
#include "quarantine/trial.h"

#define MS_PER_S 1000.0
/// Pause of lists of ids to gateways that have dropped records, after one that
/// brought nothing. Doubles each time, up to the maximum.
#define LIST_PAUSE_MIN_MS 1000
#define LIST_PAUSE_MAX_MS 8000

void
CmGossip_Init(struct cm_gossip *gossip, struct cm_quarantine *quarantine,
              struct cm_clock *clock, const char *self, GRand *random)
{
    *gossip = (struct cm_gossip){
        .quarantine = quarantine,
        .random = random,
        .pending = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
        .credit = CM_EXCHANGE_RECORDS_MAX,
    };
    CmRoster_Init(&gossip->roster, clock, self, random);
}

void
CmGossip_Finish(struct cm_gossip *gossip)
{
    CmRoster_Finish(&gossip->roster);
    g_array_free(gossip->pending, TRUE);
}

/// @return whether one of the record's contents was in another crash before.
static bool
is_urgent(const struct cm_gossip *gossip, const struct cm_crash_record *record)
{
    for (size_t i = 0; i < record->n_runs; i++) {
        const struct cm_suspect *suspect =
            CmQuarantine_Find(gossip->quarantine, record->runs[i].content);
        if (suspect != NULL && suspect->crashes > 1) {
            return true;
        }
    }
    return false;
}

/// Marks a record to be pushed.
static void
enqueue(struct cm_gossip *gossip, uint64_t id)
{
    const struct cm_crash_record *record =
        g_hash_table_lookup(gossip->quarantine->by_id, &id);
    if (record != NULL && is_urgent(gossip, record)) {
        g_array_prepend_val(gossip->pending, id);
    }
    else {
        g_array_append_val(gossip->pending, id);
    }
    if (gossip->pending->len > CM_QUARANTINE_RECORDS_MAX) {
        g_array_set_size(gossip->pending, CM_QUARANTINE_RECORDS_MAX);
    }
}

/// Ends the pause of lists: others may lack a new record, too.
static void
resume_lists(struct cm_gossip *gossip)
{
    gossip->list_pause_ms = 0;
    gossip->list_at = (struct timespec){0};
}

void
CmGossip_Observe(struct cm_gossip *gossip, struct cm_crash_record *record,
                 struct timespec now)
{
    uint64_t id = record->id;
    if (CmQuarantine_Add(gossip->quarantine, record, now)) {
        CmQuarantine_Update(gossip->quarantine);
        enqueue(gossip, id);
        resume_lists(gossip);
    }
}

/// Tells of this gateway and of others.
static void
describe_gateways(const struct cm_gossip *gossip, bool to_newcomer,
                  struct cm_exchange *exchange)
{
    exchange->has_self = true;
    CmRoster_DescribeSelf(&gossip->roster, &exchange->self);
    exchange->n_others = CmRoster_ChooseNews(
        &gossip->roster, to_newcomer, exchange->others, CM_EXCHANGE_PEERS_MAX);
}

/// Copies a record into a message.
static void
append_copy(struct cm_exchange *exchange, const struct cm_crash_record *record)
{
    struct cm_crash_record *copy =
        CmCrashRecord_New(record->kind, record->id, record->target,
                          record->observer, record->at);
    for (size_t i = 0; i < record->n_runs; i++) {
        CmCrashRecord_AddRun(copy, &record->runs[i]);
    }
    TAILQ_INSERT_TAIL(&exchange->records, copy, link);
}

static void
add_credit(struct cm_gossip *gossip, struct timespec now)
{
    if (gossip->credit_at.tv_sec != 0) {
        gossip->credit += (double)CmTime_DiffMs(now, gossip->credit_at) *
                          CM_GOSSIP_RECORDS_PER_S / MS_PER_S;
        gossip->credit = MIN(gossip->credit, CM_EXCHANGE_RECORDS_MAX);
    }
    gossip->credit_at = now;
}

/// Tells which records this gateway has.
static void
describe_records(const struct cm_gossip *gossip, struct cm_exchange *exchange)
{
    exchange->digest = gossip->quarantine->digest;
    exchange->horizon = gossip->quarantine->horizon;
}

bool
CmGossip_ComposePush(struct cm_gossip *gossip, struct timespec now,
                     struct cm_exchange *push)
{
    add_credit(gossip, now);
    guint taken = 0;
    bool any = false;
    while (taken < gossip->pending->len && gossip->credit >= 1) {
        uint64_t id = g_array_index(gossip->pending, uint64_t, taken++);
        const struct cm_crash_record *record =
            g_hash_table_lookup(gossip->quarantine->by_id, &id);
        if (record != NULL) {
            append_copy(push, record);
            gossip->credit -=
                1 + (double)record->n_runs / CM_GOSSIP_RUNS_PER_RECORD;
            any = true;
        }
    }
    g_array_remove_range(gossip->pending, 0, taken);
    describe_records(gossip, push);
    return any;
}

void
CmGossip_ComposePoll(struct cm_gossip *gossip, struct timespec now,
                     struct cm_exchange *poll)
{
    poll->seeks_ids = !CmTime_Before(now, gossip->list_at);
    describe_records(gossip, poll);
    describe_gateways(gossip, false, poll);
}

static void
add_ids(const struct cm_gossip *gossip, struct cm_exchange *exchange)
{
    exchange->has_ids = true;
    const struct cm_crash_record *record;
    CmTailq_FOREACH (record, &gossip->quarantine->records, link) {
        g_array_append_val(exchange->ids, record->id);
    }
}

/// Adds the records that a peer lacks and would take.
/// @return their number.
static size_t
add_missing_records(const struct cm_gossip *gossip,
                    const struct cm_exchange *peer,
                    struct cm_exchange *exchange)
{
    const GArray *ids = peer->ids;
    GHashTable *known = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (guint i = 0; i < ids->len; i++) {
        g_hash_table_add(known, &g_array_index(ids, uint64_t, i));
    }
    size_t added = 0;
    const struct cm_crash_record *record;
    CmTailq_FOREACH (record, &gossip->quarantine->records, link) {
        if (added < CM_EXCHANGE_RECORDS_MAX &&
            CmTime_Before(peer->horizon, record->at) &&
            !g_hash_table_contains(known, &record->id)) {
            append_copy(exchange, record);
            added++;
        }
    }
    g_hash_table_destroy(known);
    return added;
}

/// Takes peers and records from a message.
/// @return the number of new records.
static size_t
merge(struct cm_gossip *gossip, struct cm_exchange *exchange, bool push,
      struct timespec now)
{
    CmRoster_LearnSender(&gossip->roster, exchange->from,
                         exchange->has_self ? &exchange->self : NULL);
    CmRoster_CountCall(&gossip->roster, exchange->from, true);
    for (size_t i = 0; i < exchange->n_others; i++) {
        CmRoster_LearnOther(&gossip->roster, &exchange->others[i]);
    }
    if (exchange->has_reader) {
        CmRoster_LearnSelf(&gossip->roster, exchange->from,
                           exchange->reader_candidate_ms);
    }
    GArray *added = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    struct cm_crash_record *record;
    while ((record = TAILQ_FIRST(&exchange->records)) != NULL) {
        TAILQ_REMOVE(&exchange->records, record, link);
        uint64_t id = record->id;
        if (CmQuarantine_Add(gossip->quarantine, record, now)) {
            g_array_append_val(added, id);
        }
    }
    if (added->len > 0) {
        CmQuarantine_Update(gossip->quarantine);
        resume_lists(gossip);
    }
    for (guint i = 0; push && i < added->len; i++) {
        enqueue(gossip, g_array_index(added, uint64_t, i));
    }
    size_t n_added = added->len;
    g_array_free(added, TRUE);
    return n_added;
}

/// Full sets differ by what each gateway has dropped, which lists of ids don't
/// change.
/// @return whether to list ids to a peer with other records.
static bool
may_list(const struct cm_gossip *gossip, const struct cm_exchange *request,
         struct timespec now)
{
    return request->seeks_ids || request->horizon.tv_sec == 0 ||
           gossip->quarantine->horizon.tv_sec == 0 ||
           !CmTime_Before(now, gossip->list_at);
}

/// To be called after a list that brought nothing.
static void
pause_lists(struct cm_gossip *gossip, struct timespec now)
{
    gossip->list_pause_ms =
        CLAMP(2 * gossip->list_pause_ms, LIST_PAUSE_MIN_MS, LIST_PAUSE_MAX_MS);
    gossip->list_at = CmTime_AddMs(now, gossip->list_pause_ms);
}

void
CmGossip_Answer(struct cm_gossip *gossip, struct cm_exchange *request,
                struct timespec now, struct cm_exchange *response)
{
    bool is_push = !TAILQ_EMPTY(&request->records) && !request->has_ids;
    // There are many pushes at times, and they tell nothing of gateways.
    if (!is_push && !request->has_ids) {
        response->has_reader = true;
        response->reader_candidate_ms =
            CmRoster_CandidateMs(&gossip->roster, request->from);
        describe_gateways(gossip,
                          request->has_self &&
                              CmPeerNews_IsOfNewcomer(&request->self),
                          response);
    }
    size_t n_added = merge(gossip, request, is_push, now);
    response->granted = request->claim[0] != '\0' &&
                        CmTrial_Grant(gossip, request->claim, request->from,
                                      request->claim_id, now);
    describe_records(gossip, response);
    if (request->has_ids) {
        if (add_missing_records(gossip, request, response) + n_added == 0) {
            pause_lists(gossip, now);
        }
    }
    else if (!is_push && request->digest != response->digest &&
             may_list(gossip, request, now)) {
        add_ids(gossip, response);
    }
}

bool
CmGossip_HandleResponse(struct cm_gossip *gossip, struct cm_exchange *response,
                        struct timespec now, struct cm_exchange *followup)
{
    merge(gossip, response, false, now);
    gossip->synced = gossip->synced || !response->has_ids;
    if (!response->has_ids || response->digest == gossip->quarantine->digest) {
        return false;
    }
    describe_records(gossip, followup);
    add_ids(gossip, followup);
    if (add_missing_records(gossip, response, followup) == 0) {
        pause_lists(gossip, now);
    }
    return true;
}
