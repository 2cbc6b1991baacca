/// @file exchange.c
/// Exchanges: admission, routing, retries and hedges, outcome and response of
/// one request.

#include "exchange.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "attempts.h"
#include "base/hash.h"
#include "base/log.h"
#include "links.h"
#include "once_flow.h"
#include "replies.h"

/// Delay until routing is retried if no target can take a request.
#define ROUTING_RETRY_MS 50
/// Time since the arrival after which routing is not retried.
#define ROUTING_RETRY_MAX_MS 3000
/// Limit of attempts of one request if the failed one certainly did not run.
/// Other retries are limited by the service and the retry budget.
#define NOT_RUN_ATTEMPTS_MAX 8
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504
#define STATUS_UNPROCESSABLE 422
#define STATUS_TOO_MANY 429

static void
fail_at_deadline(evutil_socket_t fd, short what, void *context);
static void
retry_routing(evutil_socket_t fd, short what, void *context);
static void
send_hedge(evutil_socket_t fd, short what, void *context);
static void
handle_disconnect(struct evhttp_connection *connection, void *context);

void
Exchange_DiscardAnswer(struct exchange *exchange)
{
    exchange->discarded_bytes += exchange->answer->len;
    g_string_free(exchange->answer, TRUE);
    exchange->answer = g_string_new(NULL);
    CmMemoryHold_Finish(&exchange->answer_hold);
}

/// Gives the memory of the answer back, as the answers of all exchanges take
/// too much. A stream goes on, but cannot be continued by a retry; any other
/// exchange fails, from the event loop, as data of it may be in hand.
static void
release_answer(struct cm_memory_hold *hold)
{
    struct exchange *exchange =
        (struct exchange *)((char *)hold -
                            offsetof(struct exchange, answer_hold));
    if (!exchange->streaming) {
        exchange->answer_dropped = true;
        event_active(exchange->deadline_timer, EV_TIMEOUT, 0);
    }
    exchange->overflowed = true;
    if (exchange->answer_dropped ||
        exchange->delivered_bytes ==
            exchange->discarded_bytes + exchange->answer->len) {
        Exchange_DiscardAnswer(exchange);
    }
    CmMemoryHold_Finish(hold);
}

struct exchange *
Exchange_New(struct entry *entry, struct evhttp_request *request)
{
    struct exchange *exchange = g_new0(struct exchange, 1);
    exchange->entry = entry;
    exchange->request = request;
    exchange->config = EntryConfig_Ref(entry->config);
    exchange->id = g_strdup_printf("%s-%" G_GUINT64_FORMAT, entry->identity,
                                   entry->next_request++);
    exchange->arrived_at = Entry_Now(entry);
    exchange->body = g_string_new(NULL);
    exchange->answer = g_string_new(NULL);
    exchange->excluded_targets = g_ptr_array_new_with_free_func(g_free);
    exchange->deadline_timer =
        evtimer_new(entry->base, fail_at_deadline, exchange);
    exchange->routing_timer =
        evtimer_new(entry->base, retry_routing, exchange);
    exchange->hedge_timer = evtimer_new(entry->base, send_hedge, exchange);
    CmMemoryHold_Init(&exchange->answer_hold, &entry->guard.budget,
                      CM_MEMORY_RESPONSES, release_answer);
    TAILQ_INIT(&exchange->attempts);
    TAILQ_INSERT_TAIL(&entry->exchanges, exchange, link);
    entry->count.requests.value++;
    entry->count.in_progress.value++;
    return exchange;
}

static void
exchange_free(struct exchange *exchange)
{
    struct entry *entry = exchange->entry;
    Exchange_CancelAttempts(exchange, NULL);
    CmOnce_Cancel(&exchange->once_op);
    if (exchange->admitted) {
        CmAdmission_Release(&entry->admission, exchange->caller);
    }
    entry->count.in_progress.value--;
    TAILQ_REMOVE(&entry->exchanges, exchange, link);
    event_free(exchange->deadline_timer);
    event_free(exchange->routing_timer);
    event_free(exchange->hedge_timer);
    g_ptr_array_free(exchange->excluded_targets, TRUE);
    g_string_free(exchange->body, TRUE);
    CmMemoryHold_Finish(&exchange->answer_hold);
    g_string_free(exchange->answer, TRUE);
    EntryConfig_Unref(exchange->config);
    g_free(exchange->id);
    g_free(exchange->caller);
    g_free(exchange->adapter);
    g_free(exchange->method);
    g_free(exchange->path);
    g_free(exchange->headers);
    g_free(exchange->answer_headers);
    g_free(exchange->key);
    g_free(exchange->claim_attempt_id);
    g_free(exchange->seal_id);
    g_free(exchange->seal_target);
    g_free(exchange);
}

int64_t
Exchange_RemainingMs(const struct exchange *exchange)
{
    return CmTime_DiffMs(exchange->deadline, Entry_Now(exchange->entry));
}

void
Exchange_CancelAttempts(struct exchange *exchange, const struct attempt *keep)
{
    struct attempt *attempt;
    struct attempt *next;
    CmTailq_FOREACH_SAFE (attempt, &exchange->attempts, in_exchange, next) {
        if (attempt != keep) {
            Attempt_Cancel(attempt);
        }
    }
}

static void
count_outcome(struct entry *entry, enum cm_outcome outcome)
{
    switch (outcome) {
    case CM_OUTCOME_RAN:
        entry->count.ran.value++;
        break;
    case CM_OUTCOME_NOT_RUN:
        entry->count.not_run.value++;
        break;
    case CM_OUTCOME_UNKNOWN:
        entry->count.unknown.value++;
        break;
    }
}

void
Exchange_Fail(struct exchange *exchange, int status, const char *type,
              const char *message, enum cm_outcome outcome, int retry_after_s)
{
    CmLog_Event(G_LOG_LEVEL_INFO, "exchange", exchange->id, "%d %s: %s",
                status, CmOutcome_Name(outcome), message);
    count_outcome(exchange->entry, outcome);
    OnceFlow_ReleaseClaim(exchange, outcome);
    if (exchange->request != NULL && exchange->streaming) {
        Reply_AbortStream(exchange, message);
    }
    else if (exchange->request != NULL) {
        Reply_SendError(exchange, status, type, message, outcome,
                        retry_after_s);
    }
    exchange_free(exchange);
}

void
Exchange_Replay(struct exchange *exchange, int status, const char *headers,
                const char *body)
{
    exchange->entry->count.replays.value++;
    count_outcome(exchange->entry, CM_OUTCOME_RAN);
    exchange->status = status;
    exchange->answer_headers = g_strdup(headers);
    g_string_assign(exchange->answer, body);
    if (exchange->request != NULL) {
        Reply_SendAnswer(exchange);
    }
    exchange_free(exchange);
}

/// Applies admission control: the limits of requests in progress at the entry
/// and of one caller.
/// @return whether the request is admitted; if not, ends the exchange.
static bool
admit(struct exchange *exchange)
{
    struct entry *entry = exchange->entry;
    switch (CmAdmission_Acquire(&entry->admission, exchange->caller)) {
    case CM_ADMITTED:
        exchange->admitted = true;
        return true;
    case CM_ADMISSION_FULL:
        entry->count.refused_full.value++;
        Exchange_Fail(exchange, STATUS_UNAVAILABLE, "overloaded",
                      "too many requests are waiting", CM_OUTCOME_NOT_RUN, 1);
        return false;
    case CM_ADMISSION_OVER_SHARE:
        entry->count.refused_share.value++;
        Exchange_Fail(exchange, STATUS_TOO_MANY, "rate_limit_exceeded",
                      "this caller has too many requests waiting",
                      CM_OUTCOME_NOT_RUN, 1);
        return false;
    }
    return false;
}

static struct cm_retry_budget *
retry_budget(struct exchange *exchange)
{
    struct entry *entry = exchange->entry;
    const char *service = exchange->service->name;
    struct cm_retry_budget *budget =
        g_hash_table_lookup(entry->retry_budgets, service);
    if (budget == NULL) {
        budget = g_new0(struct cm_retry_budget, 1);
        CmRetryBudget_Init(budget);
        g_hash_table_insert(entry->retry_budgets, g_strdup(service), budget);
    }
    return budget;
}

static void
compute_fingerprint(struct exchange *exchange)
{
    GString *content = g_string_new(exchange->service->name);
    g_string_append_printf(content, "\n%s\n%s\n%s\n",
                           exchange->adapter != NULL ? exchange->adapter : "",
                           exchange->method, exchange->path);
    g_string_append_len(content, exchange->body->str,
                        (gssize)exchange->body->len);
    CmHash_Digest(content->str, content->len, exchange->fingerprint);
    g_string_free(content, TRUE);
}

/// Rejects content that is quarantined because it made targets crash.
/// @return whether it is quarantined; if so, ends the exchange.
static bool
reject_quarantined(struct exchange *exchange)
{
    struct entry *entry = exchange->entry;
    if (!CmQuarantine_IsRefused(&entry->quarantine, exchange->fingerprint)) {
        return false;
    }
    entry->count.quarantined.value++;
    Exchange_Fail(exchange, STATUS_UNPROCESSABLE, "content_quarantined",
                  "this content made targets crash; it is refused",
                  exchange->possible_runs > 0 ? CM_OUTCOME_UNKNOWN
                                              : CM_OUTCOME_NOT_RUN,
                  0);
    return true;
}

void
Exchange_Start(struct exchange *exchange)
{
    CmHttp_WatchClose(exchange->request, handle_disconnect, exchange);
    compute_fingerprint(exchange);
    if (reject_quarantined(exchange)) {
        return;
    }
    if (!admit(exchange)) {
        return;
    }
    CmRetryBudget_Deposit(retry_budget(exchange));
    int64_t remaining_ms = Exchange_RemainingMs(exchange);
    struct timeval limit = CmTime_Timeval(remaining_ms > 0 ? remaining_ms : 0);
    event_add(exchange->deadline_timer, &limit);
    if (exchange->idempotent) {
        Exchange_Route(exchange);
    }
    else {
        OnceFlow_Begin(exchange);
    }
}

static void
log_decision(const struct exchange *exchange,
             const struct cm_route_decision *decision)
{
    if (!CmLog_Enabled(G_LOG_LEVEL_INFO)) {
        return;
    }
    char *candidates = CmRouter_DescribeCandidates(decision);
    bool picked = decision->result == CM_ROUTE_PICKED;
    CmLog_Decision("routing", exchange->id,
                   exchange->adapter != NULL ? exchange->adapter
                                             : exchange->service->name,
                   picked ? decision->target->name : "none", candidates,
                   decision->reason);
    g_free(candidates);
}

static void
schedule_hedge(struct exchange *exchange)
{
    int64_t hedge_ms = exchange->service->hedge_ms;
    if (hedge_ms > 0 && exchange->idempotent && exchange->n_attempts == 1) {
        struct timeval delay = CmTime_Timeval(hedge_ms);
        event_add(exchange->hedge_timer, &delay);
    }
}

static void
start_attempt(struct exchange *exchange,
              const struct cm_route_decision *decision)
{
    struct agent_link *link =
        Links_FindByTarget(exchange->entry, decision->target);
    struct attempt *attempt =
        Attempt_New(exchange, link, decision->needs_load);
    exchange->n_attempts++;
    if (exchange->idempotent) {
        Attempt_Send(attempt);
        schedule_hedge(exchange);
    }
    else {
        OnceFlow_Claim(exchange, attempt);
    }
}

/// Retries routing after a delay, or fails the exchange if the time for that
/// is over.
static void
schedule_routing_retry(struct exchange *exchange)
{
    int64_t waited_ms =
        CmTime_DiffMs(Entry_Now(exchange->entry), exchange->arrived_at);
    if (waited_ms < ROUTING_RETRY_MAX_MS &&
        Exchange_RemainingMs(exchange) > ROUTING_RETRY_MS) {
        // A target that failed before may have recovered by then.
        g_ptr_array_set_size(exchange->excluded_targets, 0);
        struct timeval delay = CmTime_Timeval(ROUTING_RETRY_MS);
        event_add(exchange->routing_timer, &delay);
        return;
    }
    bool possibly_ran = exchange->possible_runs > 0;
    Exchange_Fail(exchange, STATUS_UNAVAILABLE, "no_target",
                  "no target of the service can take the request",
                  possibly_ran ? CM_OUTCOME_UNKNOWN : CM_OUTCOME_NOT_RUN, 1);
}

void
Exchange_Route(struct exchange *exchange)
{
    if (reject_quarantined(exchange)) {
        return;
    }
    struct entry *entry = exchange->entry;
    struct timespec now = Entry_Now(entry);
    exchange->suspect =
        CmQuarantine_Find(&entry->quarantine, exchange->fingerprint) != NULL;
    struct cm_route_service *service = CmRouter_FindOrAddService(
        &entry->router, exchange->service->name,
        exchange->service->kind == CM_SERVICE_ENGINES);
    struct cm_route_request request = {
        .id = exchange->id,
        .adapter = exchange->adapter,
        .left_ms = Exchange_RemainingMs(exchange),
        .excluded = (const char *const *)exchange->excluded_targets->pdata,
        .n_excluded = exchange->excluded_targets->len,
        .suspect = exchange->suspect,
    };
    struct cm_route_decision decision;
    CmRouter_Pick(&entry->router, service, &request, now, &decision);
    log_decision(exchange, &decision);
    bool in_flight = !TAILQ_EMPTY(&exchange->attempts);
    if (decision.result != CM_ROUTE_PICKED && in_flight) {
        return; // no target for a hedge: the first attempt continues alone
    }
    switch (decision.result) {
    case CM_ROUTE_PICKED:
        start_attempt(exchange, &decision);
        return;
    case CM_ROUTE_NO_TARGET:
        schedule_routing_retry(exchange);
        return;
    case CM_ROUTE_TOO_LATE:
        entry->count.refused_late.value++;
        Exchange_Fail(exchange, STATUS_UNAVAILABLE, "overloaded",
                      "the request cannot be started before its deadline",
                      exchange->possible_runs > 0 ? CM_OUTCOME_UNKNOWN
                                                  : CM_OUTCOME_NOT_RUN,
                      1 + (int)(decision.wait_ms / CM_MS_PER_S));
        return;
    }
}

static void
retry_routing(evutil_socket_t fd, short what, void *context)
{
    Exchange_Route(context);
}

/// Starts a second attempt of a slow idempotent request at another target, if
/// the retry budget allows it.
static void
send_hedge(evutil_socket_t fd, short what, void *context)
{
    struct exchange *exchange = context;
    const struct attempt *first = TAILQ_FIRST(&exchange->attempts);
    if (first == NULL || first->head_received ||
        !CmRetryBudget_TryWithdraw(retry_budget(exchange))) {
        return;
    }
    exchange->entry->count.hedges.value++;
    exchange->possible_runs++;
    g_ptr_array_add(exchange->excluded_targets,
                    g_strdup(first->link->member->name));
    Exchange_Route(exchange);
}

/// @return whether limits, deadline and retry budget allow another attempt.
///         Takes it from the budget if the failed attempt may have run.
static bool
may_retry(struct exchange *exchange, enum cm_attempt_event event, bool not_run)
{
    if (Exchange_RemainingMs(exchange) <= 0 || event == CM_ATTEMPT_DEADLINE) {
        return false;
    }
    if (not_run) {
        return exchange->n_attempts < NOT_RUN_ATTEMPTS_MAX;
    }
    return exchange->idempotent &&
           exchange->possible_runs < (unsigned)exchange->service->retries &&
           !exchange->overflowed &&
           CmRetryBudget_TryWithdraw(retry_budget(exchange));
}

static void
reply_failure(struct exchange *exchange, enum cm_next_step step,
              enum cm_attempt_event event, enum cm_reason reason)
{
    // If an earlier attempt may have run, the outcome is unknown even if the
    // last one did not run.
    bool not_run =
        step == CM_NEXT_ANSWER_NOT_RUN && exchange->possible_runs == 0;
    enum cm_outcome outcome =
        not_run ? CM_OUTCOME_NOT_RUN : CM_OUTCOME_UNKNOWN;
    if (event == CM_ATTEMPT_DEADLINE || reason == CM_REASON_DEADLINE) {
        Exchange_Fail(exchange, STATUS_GATEWAY_TIMEOUT, "timeout",
                      "the deadline has passed", outcome, 1);
    }
    else if (not_run) {
        Exchange_Fail(exchange, STATUS_UNAVAILABLE, "unavailable",
                      CmReason_Name(reason), outcome, 1);
    }
    else {
        Exchange_Fail(exchange, STATUS_BAD_GATEWAY, "target_lost",
                      "the target was lost while the request was running",
                      outcome, 0);
    }
}

void
Exchange_HandleAttemptFailure(struct exchange *exchange,
                              struct attempt *attempt,
                              enum cm_attempt_event event,
                              enum cm_reason reason)
{
    struct cm_attempt_state state = {
        .phase = attempt->phase,
        .idempotent = exchange->idempotent,
    };
    bool not_run =
        event == CM_ATTEMPT_NOT_RUN || attempt->phase == CM_ATTEMPT_UNSENT;
    bool other_in_flight = TAILQ_NEXT(attempt, in_exchange) != NULL ||
                           TAILQ_FIRST(&exchange->attempts) != attempt;
    CmLog_Event(G_LOG_LEVEL_INFO, "exchange", exchange->id,
                "attempt %s at %s failed: %s", attempt->id,
                attempt->link->member->name, CmReason_Name(reason));
    g_ptr_array_add(exchange->excluded_targets,
                    g_strdup(attempt->link->member->name));
    Attempt_Free(attempt, reason != CM_REASON_DRAINING &&
                              reason != CM_REASON_QUEUE_FULL &&
                              reason != CM_REASON_DEADLINE);
    if (other_in_flight) {
        exchange->possible_runs += !not_run;
        return; // the other attempt of a hedged request is in flight
    }
    state.retry_allowed =
        reason != CM_REASON_DEADLINE && may_retry(exchange, event, not_run);
    enum cm_next_step step = CmOutcome_NextStep(&state, event);
    if (step != CM_NEXT_RETRY) {
        reply_failure(exchange, step, event, reason);
        return;
    }
    exchange->entry->count.retries.value++;
    exchange->possible_runs += !not_run;
    Exchange_Route(exchange);
}

/// Sends the received bytes to the caller of a streamed response. If the
/// caller has disconnected, they count as delivered.
static void
forward_to_caller(struct exchange *exchange, struct attempt *attempt)
{
    if (exchange->request == NULL) {
        exchange->delivered_bytes =
            exchange->discarded_bytes + exchange->answer->len;
        if (exchange->overflowed) {
            Exchange_DiscardAnswer(exchange);
        }
        Attempt_SendCredit(attempt);
        return;
    }
    Reply_ContinueStream(exchange, attempt);
}

void
Exchange_ReceiveHead(struct exchange *exchange, struct attempt *attempt,
                     int status, char *headers)
{
    attempt->head_received = true;
    // Of two hedged attempts, the first with an answer wins.
    Exchange_CancelAttempts(exchange, attempt);
    event_del(exchange->hedge_timer);
    if (exchange->streaming) {
        g_free(headers);
        return; // continues a stream whose head was sent before
    }
    exchange->status = status;
    g_free(exchange->answer_headers);
    exchange->answer_headers = headers;
    g_string_truncate(exchange->answer, 0);
    if (exchange->request != NULL && Reply_IsStream(headers)) {
        exchange->streaming = true;
        Reply_StartStream(exchange);
    }
}

/// Appends received bytes. A streamed answer beyond CM_SPLICE_MAX_BYTES cannot
/// be compared with a retry any more.
static void
append_answer(struct exchange *exchange, const char *data, size_t size)
{
    g_string_append_len(exchange->answer, data, (gssize)size);
    CmMemoryHold_Set(&exchange->answer_hold, exchange->answer->allocated_len);
    CmMemoryBudget_Enforce(&exchange->entry->guard.budget,
                           CM_MEMORY_RESPONSES);
    if (exchange->streaming && !exchange->overflowed &&
        exchange->answer->len > CM_SPLICE_MAX_BYTES) {
        exchange->overflowed = true;
    }
}

bool
Exchange_ReceiveData(struct exchange *exchange, struct attempt *attempt,
                     const char *data, size_t size)
{
    if (exchange->answer_dropped) {
        return true;
    }
    size_t received_end = exchange->discarded_bytes + exchange->answer->len;
    size_t offset = attempt->received_bytes;
    attempt->received_bytes += size;
    if (offset < received_end) {
        // A retry repeats the bytes that the caller has: they must match.
        size_t overlap =
            received_end - offset < size ? received_end - offset : size;
        bool same =
            offset >= exchange->discarded_bytes &&
            memcmp(exchange->answer->str + offset - exchange->discarded_bytes,
                   data, overlap) == 0;
        if (!same) {
            return false;
        }
        data += overlap;
        size -= overlap;
    }
    if (size > 0) {
        append_answer(exchange, data, size);
    }
    if (exchange->answer_dropped) {
        return true;
    }
    if (exchange->streaming) {
        forward_to_caller(exchange, attempt);
    }
    else {
        Attempt_SendCredit(attempt);
    }
    return true;
}

void
Exchange_Complete(struct exchange *exchange, struct attempt *attempt)
{
    struct entry *entry = exchange->entry;
    if (exchange->answer_dropped) {
        return; // it fails as soon as the event loop runs its timer
    }
    entry->count.stall_ms.value += exchange->stall_ms;
    count_outcome(entry, CM_OUTCOME_RAN);
    CmQuarantine_ClearSuspect(&entry->quarantine, exchange->fingerprint,
                              Entry_Now(entry));
    Attempt_SendCredit(attempt);
    if (exchange->key != NULL) {
        OnceFlow_RecordAnswer(exchange, attempt);
    }
    Attempt_Free(attempt, false);
    if (exchange->request != NULL && exchange->streaming) {
        Reply_EndStream(exchange);
    }
    else if (exchange->request != NULL) {
        Reply_SendAnswer(exchange);
    }
    exchange_free(exchange);
}

/// @return whether the request, or an earlier one with its key, may have run.
static bool
may_have_run(const struct exchange *exchange)
{
    if (exchange->possible_runs > 0 || exchange->seal_id != NULL) {
        return true;
    }
    const struct attempt *attempt;
    CmTailq_FOREACH (attempt, &exchange->attempts, in_exchange) {
        if (attempt->phase != CM_ATTEMPT_UNSENT) {
            return true;
        }
    }
    return false;
}

void
Exchange_FailAll(struct entry *entry)
{
    struct exchange *exchange;
    struct exchange *next;
    CmTailq_FOREACH_SAFE (exchange, &entry->exchanges, link, next) {
        Exchange_Fail(exchange, STATUS_UNAVAILABLE, "unavailable",
                      "this entry has stopped",
                      may_have_run(exchange) ? CM_OUTCOME_UNKNOWN
                                             : CM_OUTCOME_NOT_RUN,
                      1);
    }
}

static void
fail_at_deadline(evutil_socket_t fd, short what, void *context)
{
    struct exchange *exchange = context;
    struct attempt *attempt = TAILQ_FIRST(&exchange->attempts);
    if (exchange->answer_dropped) {
        Exchange_Fail(exchange, STATUS_BAD_GATEWAY, "answer_too_long",
                      "the answer takes too much memory", CM_OUTCOME_UNKNOWN,
                      0);
        return;
    }
    if (attempt != NULL) {
        Exchange_CancelAttempts(exchange, attempt);
        if (!attempt->attached) {
            Attempt_CancelJob(attempt);
        }
        Exchange_HandleAttemptFailure(exchange, attempt, CM_ATTEMPT_DEADLINE,
                                      CM_REASON_DEADLINE);
        return;
    }
    Exchange_Fail(
        exchange, STATUS_GATEWAY_TIMEOUT, "timeout", "the deadline has passed",
        may_have_run(exchange) ? CM_OUTCOME_UNKNOWN : CM_OUTCOME_NOT_RUN, 1);
}

static void
handle_disconnect(struct evhttp_connection *connection, void *context)
{
    struct exchange *exchange = context;
    CmHttp_FreeDetached(exchange->request);
    exchange->request = NULL;
    exchange->entry->count.callers_gone.value++;
    if (exchange->key != NULL) {
        return; // continues, so that a resend with the key finds the answer
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "exchange", exchange->id,
                "caller disconnected; cancelling its attempts");
    struct attempt *attempt;
    CmTailq_FOREACH (attempt, &exchange->attempts, in_exchange) {
        Attempt_CancelJob(attempt);
    }
    exchange_free(exchange);
}
