/// @file once_flow.c
/// Requests that must not be repeated.

#include "once_flow.h"

#include <string.h>

#include "attempts.h"
#include "base/hash.h"
#include "base/log.h"
#include "links.h"

/// Age of a claim beyond which its agent may have forgotten the request.
#define CLAIM_ASKABLE_MS 600000
#define STATUS_BAD_REQUEST 400
#define STATUS_UNPROCESSABLE 422
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503

static void
on_claimed(void *context, enum cm_once_result result,
           const struct cm_once_record *present);

void
OnceFlow_Begin(struct exchange *exchange)
{
    if (exchange->key == NULL) {
        Exchange_Refuse(exchange, STATUS_BAD_REQUEST, "missing_key",
                        "a request that must not be repeated needs an "
                        "Idempotency-Key",
                        CM_OUTCOME_NOT_RUN, 0);
        return;
    }
    CmOnce_HashKey(exchange->service->name, exchange->key, exchange->key_hash);
    Exchange_Route(exchange);
}

static struct cm_once_record
claim_record(const struct exchange *exchange, const struct attempt *attempt)
{
    return (struct cm_once_record){
        .state = CM_ONCE_CLAIMED,
        .digest = exchange->fingerprint,
        .attempt_id = attempt->id,
        .target = attempt->link->member->name,
        .incarnation = attempt->incarnation,
    };
}

void
OnceFlow_Claim(struct exchange *exchange, struct attempt *attempt)
{
    struct entry *entry = exchange->entry;
    attempt->held = true;
    if (attempt->incarnation == 0) {
        // Never heard: its claim could not name who might run it.
        Exchange_Failed(exchange, attempt, CM_ATTEMPT_NOT_RUN,
                        CM_REASON_UNREACHABLE);
        return;
    }
    struct cm_once_record record = claim_record(exchange, attempt);
    entry->count.claims.value++;
    bool replaces = exchange->claim != NULL;
    CmOnce_Start(&entry->once, &exchange->once_op,
                 replaces ? CM_ONCE_REPLACE : CM_ONCE_CLAIM,
                 exchange->key_hash, exchange->claim, &record, on_claimed,
                 exchange);
}

/// Drops the attempt that was to run, as another record stands.
static void
drop_held_attempt(struct exchange *exchange)
{
    struct attempt *attempt = TAILQ_FIRST(&exchange->attempts);
    if (attempt != NULL) {
        Attempt_Free(attempt, false);
    }
}

static void
answer_lost(struct exchange *exchange)
{
    Exchange_Refuse(exchange, STATUS_BAD_GATEWAY, "target_lost",
                    "an earlier request with this key may have run",
                    CM_OUTCOME_UNKNOWN, 0);
}

static void
send_seal(struct exchange *exchange, struct agent_link *link)
{
    struct cm_message message = {.type = CM_MSG_SEAL};
    message.seal.id = CmBytes_FromText(exchange->seal_id);
    Link_Send(link, &message);
}

static void
mark_lost(struct exchange *exchange);

/// Asks the agent that the record names what became of the earlier attempt.
static void
ask_agent(struct exchange *exchange, const struct cm_once_record *record)
{
    g_free(exchange->seal_id);
    g_free(exchange->seal_target);
    exchange->seal_id = g_strdup(record->attempt_id);
    exchange->seal_target = g_strdup(record->target);
    exchange->seal_incarnation = record->incarnation;
    struct cm_member *member =
        CmMembers_Find(&exchange->entry->members, record->target);
    struct agent_link *link = member != NULL ? member->owner : NULL;
    if (record->age_ms > CLAIM_ASKABLE_MS) {
        mark_lost(exchange);
        return;
    }
    if (link == NULL) {
        return; // the deadline ends the wait
    }
    if (!link->open) {
        Link_Open(link);
    }
    if (link->ready) {
        OnceFlow_LinkReady(link);
    }
}

static void
answer_done(struct exchange *exchange, const struct cm_once_record *record)
{
    if (record->body != NULL) {
        Exchange_Replay(exchange, (int)record->status, record->headers,
                        record->body);
        return;
    }
    // Too long for the record: the agent may still have it.
    ask_agent(exchange, record);
}

/// Another request with this key came first.
static void
meet_record(struct exchange *exchange, const struct cm_once_record *record)
{
    if (strcmp(record->digest, exchange->fingerprint) != 0) {
        Exchange_Refuse(exchange, STATUS_UNPROCESSABLE, "key_reused",
                        "the Idempotency-Key belongs to another request",
                        CM_OUTCOME_NOT_RUN, 0);
        return;
    }
    switch (record->state) {
    case CM_ONCE_DONE:
        answer_done(exchange, record);
        return;
    case CM_ONCE_UNKNOWN:
        answer_lost(exchange);
        return;
    case CM_ONCE_CLAIMED:
        ask_agent(exchange, record);
        return;
    }
}

static void
on_claimed(void *context, enum cm_once_result result,
           const struct cm_once_record *present)
{
    struct exchange *exchange = context;
    struct attempt *attempt = TAILQ_FIRST(&exchange->attempts);
    if (result == CM_ONCE_APPLIED) {
        g_free(exchange->claim);
        exchange->claim = g_strdup(attempt->id);
        Attempt_Send(attempt);
        return;
    }
    drop_held_attempt(exchange);
    if (result == CM_ONCE_SHARD_FULL) {
        Exchange_Refuse(exchange, STATUS_UNAVAILABLE, "records_full",
                        "no room for a further record of a key",
                        CM_OUTCOME_NOT_RUN, 1);
        return;
    }
    if (present != NULL) {
        meet_record(exchange, present);
        return;
    }
    // The record went away meanwhile: claim anew.
    g_free(exchange->claim);
    exchange->claim = NULL;
    Exchange_Route(exchange);
}

/// One record to be written after its exchange has ended.
struct late_write {
    struct cm_once_op op;
    char *expected;
};

static void
on_late_written(void *context, enum cm_once_result result,
                const struct cm_once_record *present)
{
    struct late_write *write = context;
    g_free(write->expected);
    g_free(write);
}

static void
write_late(struct exchange *exchange, enum cm_once_kind kind,
           const struct cm_once_record *record)
{
    struct late_write *write = g_new0(struct late_write, 1);
    write->expected = g_strdup(exchange->claim);
    CmOnce_Start(&exchange->entry->once, &write->op, kind, exchange->key_hash,
                 write->expected, record, on_late_written, write);
}

void
OnceFlow_Record(struct exchange *exchange, const struct attempt *attempt)
{
    bool keep = exchange->answer->len <= CM_ONCE_ANSWER_MAX &&
                !exchange->overflowed &&
                strlen(exchange->answer->str) == exchange->answer->len;
    if (exchange->claim == NULL) {
        return; // read along with the request that owns the record
    }
    struct cm_once_record record = {
        .state = CM_ONCE_DONE,
        .digest = exchange->fingerprint,
        .attempt_id = exchange->claim,
        .target = attempt->link->member->name,
        .incarnation = attempt->incarnation,
        .status = exchange->status,
        .headers = exchange->answer_headers,
        .body = keep ? exchange->answer->str : NULL,
    };
    write_late(exchange, CM_ONCE_REPLACE, &record);
}

void
OnceFlow_Abandon(struct exchange *exchange, enum cm_outcome outcome)
{
    if (exchange->claim == NULL) {
        return;
    }
    if (outcome == CM_OUTCOME_NOT_RUN) {
        write_late(exchange, CM_ONCE_REMOVE, NULL);
    }
    // An unknown outcome leaves the claim: a resend asks the agent again.
}

/// The earlier attempt never started and never will: run under a new claim.
static void
take_over(struct exchange *exchange)
{
    CmLog_Event(G_LOG_LEVEL_INFO, "once", exchange->id,
                "takes over from %s, which never started", exchange->seal_id);
    g_free(exchange->claim);
    exchange->claim = exchange->seal_id;
    exchange->seal_id = NULL;
    Exchange_Route(exchange);
}

/// The earlier attempt runs or has run: its answer is this one's too.
static void
read_along(struct exchange *exchange, struct agent_link *link)
{
    char *job = exchange->seal_id;
    exchange->seal_id = NULL;
    struct attempt *attempt =
        Attempt_NewAttached(exchange, link, job, exchange->seal_incarnation);
    g_free(job);
    Attempt_Send(attempt);
}

/// @return an exchange that waits for word on `id`, or NULL.
static struct exchange *
find_sealing(struct entry *entry, struct cm_bytes id)
{
    struct exchange *exchange;
    CmTailq_FOREACH (exchange, &entry->exchanges, link) {
        if (exchange->seal_id != NULL &&
            CmBytes_Equal(id, exchange->seal_id)) {
            return exchange;
        }
    }
    return NULL;
}

void
OnceFlow_Sealed(struct agent_link *link, const struct cm_msg_sealed *sealed)
{
    struct exchange *exchange;
    while ((exchange = find_sealing(link->entry, sealed->id)) != NULL) {
        if (sealed->incarnation != exchange->seal_incarnation) {
            answer_lost(exchange);
        }
        else if (sealed->state == CM_SEAL_NEVER_STARTED) {
            take_over(exchange);
        }
        else {
            read_along(exchange, link);
        }
    }
}

/// The incarnation that the record names is gone for good.
static void
mark_lost(struct exchange *exchange)
{
    g_free(exchange->claim);
    exchange->claim = g_strdup(exchange->seal_id);
    struct cm_once_record record = {
        .state = CM_ONCE_UNKNOWN,
        .digest = exchange->fingerprint,
        .attempt_id = exchange->claim,
        .target = exchange->seal_target,
        .incarnation = exchange->seal_incarnation,
    };
    write_late(exchange, CM_ONCE_REPLACE, &record);
    answer_lost(exchange);
}

void
OnceFlow_LinkReady(struct agent_link *link)
{
    struct exchange *exchange;
    struct exchange *next;
    CmTailq_FOREACH_SAFE (exchange, &link->entry->exchanges, link, next) {
        if (exchange->seal_id == NULL ||
            strcmp(exchange->seal_target, link->member->name) != 0) {
            continue;
        }
        if (link->incarnation != exchange->seal_incarnation) {
            mark_lost(exchange);
        }
        else {
            send_seal(exchange, link);
        }
    }
}
