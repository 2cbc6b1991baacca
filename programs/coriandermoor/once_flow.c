/// @file once_flow.c
/// Requests that are not idempotent: claim, seal, replay of recorded answers.

#include "once_flow.h"

#include <string.h>

#include "attempts.h"
#include "base/hash.h"
#include "base/log.h"
#include "links.h"

/// Age of a claim beyond which its agent may have dropped the request, so that
/// a query could not tell whether it ran.
#define CLAIM_QUERY_MAX_AGE_MS 600000
#define STATUS_BAD_REQUEST 400
#define STATUS_UNPROCESSABLE 422
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503

static void
handle_claim_result(void *context, enum cm_once_result result,
                    const struct cm_once_record *present);

void
OnceFlow_Begin(struct exchange *exchange)
{
    if (exchange->key == NULL) {
        Exchange_Fail(exchange, STATUS_BAD_REQUEST, "missing_key",
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
    attempt->awaits_claim = true;
    if (attempt->incarnation == 0) {
        // The agent has not reported yet, so a claim could not name the
        // incarnation that might run the request.
        Exchange_HandleAttemptFailure(exchange, attempt, CM_ATTEMPT_NOT_RUN,
                                      CM_REASON_UNREACHABLE);
        return;
    }
    struct cm_once_record record = claim_record(exchange, attempt);
    entry->count.claims.value++;
    bool replaces_claim = exchange->claim_attempt_id != NULL;
    CmOnce_Start(&entry->once, &exchange->once_op,
                 replaces_claim ? CM_ONCE_REPLACE : CM_ONCE_CLAIM,
                 exchange->key_hash, exchange->claim_attempt_id, &record,
                 handle_claim_result, exchange);
}

/// Frees the unsent attempt, as its claim was not granted.
static void
drop_unsent_attempt(struct exchange *exchange)
{
    struct attempt *attempt = TAILQ_FIRST(&exchange->attempts);
    if (attempt != NULL) {
        Attempt_Free(attempt, false);
    }
}

static void
fail_as_unknown(struct exchange *exchange)
{
    Exchange_Fail(exchange, STATUS_BAD_GATEWAY, "target_lost",
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
record_unknown_outcome(struct exchange *exchange);

/// Asks the agent that the record names to seal the earlier attempt, once the
/// link is ready.
static void
query_earlier_attempt(struct exchange *exchange,
                      const struct cm_once_record *record)
{
    g_free(exchange->seal_id);
    g_free(exchange->seal_target);
    exchange->seal_id = g_strdup(record->attempt_id);
    exchange->seal_target = g_strdup(record->target);
    exchange->seal_incarnation = record->incarnation;
    struct cm_member *member =
        CmMembers_Find(&exchange->entry->members, record->target);
    struct agent_link *link = member != NULL ? member->owner : NULL;
    if (record->age_ms > CLAIM_QUERY_MAX_AGE_MS) {
        record_unknown_outcome(exchange);
        return;
    }
    if (link == NULL) {
        return; // unknown agent: wait until the deadline
    }
    if (!link->open) {
        Link_Open(link);
    }
    if (link->ready) {
        OnceFlow_ResumeSeals(link);
    }
}

static void
replay_or_query(struct exchange *exchange, const struct cm_once_record *record)
{
    if (record->body != NULL) {
        Exchange_Replay(exchange, (int)record->status, record->headers,
                        record->body);
        return;
    }
    // The answer was too long for the record, but the agent may still have it.
    query_earlier_attempt(exchange, record);
}

/// Answers or queries by the record that an earlier request with this key has
/// written.
static void
resolve_by_record(struct exchange *exchange,
                  const struct cm_once_record *record)
{
    if (strcmp(record->digest, exchange->fingerprint) != 0) {
        Exchange_Fail(exchange, STATUS_UNPROCESSABLE, "key_reused",
                      "the Idempotency-Key belongs to another request",
                      CM_OUTCOME_NOT_RUN, 0);
        return;
    }
    switch (record->state) {
    case CM_ONCE_DONE:
        replay_or_query(exchange, record);
        return;
    case CM_ONCE_UNKNOWN:
        fail_as_unknown(exchange);
        return;
    case CM_ONCE_CLAIMED:
        query_earlier_attempt(exchange, record);
        return;
    }
}

static void
handle_claim_result(void *context, enum cm_once_result result,
                    const struct cm_once_record *present)
{
    struct exchange *exchange = context;
    struct attempt *attempt = TAILQ_FIRST(&exchange->attempts);
    if (result == CM_ONCE_APPLIED) {
        g_free(exchange->claim_attempt_id);
        exchange->claim_attempt_id = g_strdup(attempt->id);
        Attempt_Send(attempt);
        return;
    }
    drop_unsent_attempt(exchange);
    if (result == CM_ONCE_SHARD_FULL) {
        Exchange_Fail(exchange, STATUS_UNAVAILABLE, "records_full",
                      "no room for a further record of a key",
                      CM_OUTCOME_NOT_RUN, 1);
        return;
    }
    if (present != NULL) {
        resolve_by_record(exchange, present);
        return;
    }
    // The record was removed in the meantime: route again under a new claim.
    g_free(exchange->claim_attempt_id);
    exchange->claim_attempt_id = NULL;
    Exchange_Route(exchange);
}

/// A write of a record that outlives its exchange.
struct deferred_write {
    struct cm_once_op op;
    char *expected; ///< attempt id in the record that is replaced
};

static void
free_deferred_write(void *context, enum cm_once_result result,
                    const struct cm_once_record *present)
{
    struct deferred_write *write = context;
    g_free(write->expected);
    g_free(write);
}

static void
start_deferred_write(struct exchange *exchange, enum cm_once_kind kind,
                     const struct cm_once_record *record)
{
    struct deferred_write *write = g_new0(struct deferred_write, 1);
    write->expected = g_strdup(exchange->claim_attempt_id);
    CmOnce_Start(&exchange->entry->once, &write->op, kind, exchange->key_hash,
                 write->expected, record, free_deferred_write, write);
}

void
OnceFlow_RecordAnswer(struct exchange *exchange, const struct attempt *attempt)
{
    bool store_body = exchange->answer->len <= CM_ONCE_ANSWER_MAX &&
                      !exchange->overflowed &&
                      strlen(exchange->answer->str) == exchange->answer->len;
    if (exchange->claim_attempt_id == NULL) {
        return; // the exchange that owns the record writes it
    }
    struct cm_once_record record = {
        .state = CM_ONCE_DONE,
        .digest = exchange->fingerprint,
        .attempt_id = exchange->claim_attempt_id,
        .target = attempt->link->member->name,
        .incarnation = attempt->incarnation,
        .status = exchange->status,
        .headers = exchange->answer_headers,
        .body = store_body ? exchange->answer->str : NULL,
    };
    start_deferred_write(exchange, CM_ONCE_REPLACE, &record);
}

void
OnceFlow_ReleaseClaim(struct exchange *exchange, enum cm_outcome outcome)
{
    if (exchange->claim_attempt_id == NULL) {
        return;
    }
    if (outcome == CM_OUTCOME_NOT_RUN) {
        start_deferred_write(exchange, CM_ONCE_REMOVE, NULL);
    }
    // With an unknown outcome the claim stays: a resend queries the agent.
}

/// Routes the request again, to replace the claim of the earlier attempt,
/// which never started and never will.
static void
take_over_claim(struct exchange *exchange)
{
    CmLog_Event(G_LOG_LEVEL_INFO, "once", exchange->id,
                "earlier attempt %s never started; taking over its claim",
                exchange->seal_id);
    g_free(exchange->claim_attempt_id);
    exchange->claim_attempt_id = exchange->seal_id;
    exchange->seal_id = NULL;
    Exchange_Route(exchange);
}

/// Reads the answer of the earlier attempt, which is running or has run.
static void
attach_to_job(struct exchange *exchange, struct agent_link *link)
{
    char *job = exchange->seal_id;
    exchange->seal_id = NULL;
    struct attempt *attempt =
        Attempt_NewAttached(exchange, link, job, exchange->seal_incarnation);
    g_free(job);
    Attempt_Send(attempt);
}

/// @return an exchange that waits for the seal of job `id`, or NULL.
static struct exchange *
find_awaiting_seal(struct entry *entry, struct cm_bytes id)
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
OnceFlow_HandleSealed(struct agent_link *link,
                      const struct cm_msg_sealed *sealed)
{
    struct exchange *exchange;
    while ((exchange = find_awaiting_seal(link->entry, sealed->id)) != NULL) {
        if (sealed->incarnation != exchange->seal_incarnation) {
            fail_as_unknown(exchange);
        }
        else if (sealed->state == CM_SEAL_NEVER_STARTED) {
            take_over_claim(exchange);
        }
        else {
            attach_to_job(exchange, link);
        }
    }
}

/// Sets the record's state to unknown, as the incarnation that it names is
/// gone or the claim is too old to be queried. Fails the exchange with an
/// unknown outcome.
static void
record_unknown_outcome(struct exchange *exchange)
{
    g_free(exchange->claim_attempt_id);
    exchange->claim_attempt_id = g_strdup(exchange->seal_id);
    struct cm_once_record record = {
        .state = CM_ONCE_UNKNOWN,
        .digest = exchange->fingerprint,
        .attempt_id = exchange->claim_attempt_id,
        .target = exchange->seal_target,
        .incarnation = exchange->seal_incarnation,
    };
    start_deferred_write(exchange, CM_ONCE_REPLACE, &record);
    fail_as_unknown(exchange);
}

void
OnceFlow_ResumeSeals(struct agent_link *link)
{
    struct exchange *exchange;
    struct exchange *next;
    CmTailq_FOREACH_SAFE (exchange, &link->entry->exchanges, link, next) {
        if (exchange->seal_id == NULL ||
            strcmp(exchange->seal_target, link->member->name) != 0) {
            continue;
        }
        if (link->incarnation != exchange->seal_incarnation) {
            record_unknown_outcome(exchange);
        }
        else {
            send_seal(exchange, link);
        }
    }
}
