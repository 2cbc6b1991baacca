/// @file exchange.c
/// One request of a caller: routing, attempts, outcome, reply.

#include "exchange.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <string.h>

#include "attempts.h"
#include "base/hash.h"
#include "base/log.h"
#include "links.h"
#include "once_flow.h"
#include "replies.h"

/// Pause before a target is looked for again, and how long that goes on.
#define PARK_MS 50
#define PARK_MAX_MS 3000
/// Attempts of one request that certainly did not run.
#define ATTEMPTS_MAX 8
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504
#define STATUS_UNPROCESSABLE 422
#define STATUS_TOO_MANY 429

static void
on_deadline(evutil_socket_t fd, short what, void *context);
static void
on_park(evutil_socket_t fd, short what, void *context);
static void
on_hedge(evutil_socket_t fd, short what, void *context);
static void
on_caller_gone(struct evhttp_connection *connection, void *context);

struct exchange *
Exchange_New(struct entry *entry, struct evhttp_request *request)
{
    struct exchange *exchange = g_new0(struct exchange, 1);
    exchange->entry = entry;
    exchange->request = request;
    exchange->config = EntryConfig_Ref(entry->config);
    exchange->id = g_strdup_printf("%s-%" G_GUINT64_FORMAT, entry->identity,
                                   entry->next_request++);
    exchange->arrived = Entry_Now(entry);
    exchange->body = g_string_new(NULL);
    exchange->answer = g_string_new(NULL);
    exchange->tried = g_ptr_array_new_with_free_func(g_free);
    exchange->timer = evtimer_new(entry->base, on_deadline, exchange);
    exchange->park = evtimer_new(entry->base, on_park, exchange);
    exchange->hedge = evtimer_new(entry->base, on_hedge, exchange);
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
    Exchange_DropAttempts(exchange, NULL);
    CmOnce_Cancel(&exchange->once_op);
    if (exchange->admitted) {
        CmAdmission_Release(&entry->admission, exchange->caller);
    }
    entry->count.in_progress.value--;
    TAILQ_REMOVE(&entry->exchanges, exchange, link);
    event_free(exchange->timer);
    event_free(exchange->park);
    event_free(exchange->hedge);
    g_ptr_array_free(exchange->tried, TRUE);
    g_string_free(exchange->body, TRUE);
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
    g_free(exchange->claim);
    g_free(exchange->seal_id);
    g_free(exchange->seal_target);
    g_free(exchange);
}

int64_t
Exchange_Left(const struct exchange *exchange)
{
    return CmTime_DiffMs(exchange->deadline, Entry_Now(exchange->entry));
}

void
Exchange_DropAttempts(struct exchange *exchange, const struct attempt *keep)
{
    struct attempt *attempt;
    struct attempt *next;
    CmTailq_FOREACH_SAFE (attempt, &exchange->attempts, in_exchange, next) {
        if (attempt != keep) {
            Attempt_Abandon(attempt);
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
Exchange_Refuse(struct exchange *exchange, int status, const char *type,
                const char *message, enum cm_outcome outcome,
                int retry_after_s)
{
    CmLog_Event(G_LOG_LEVEL_INFO, "exchange", exchange->id, "%d %s: %s",
                status, CmOutcome_Name(outcome), message);
    count_outcome(exchange->entry, outcome);
    OnceFlow_Abandon(exchange, outcome);
    if (exchange->request != NULL && exchange->streaming) {
        Reply_BreakOff(exchange, message);
    }
    else if (exchange->request != NULL) {
        Reply_Error(exchange, status, type, message, outcome, retry_after_s);
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
        Reply_Whole(exchange);
    }
    exchange_free(exchange);
}

/// @return whether the entry takes the request in.
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
        Exchange_Refuse(exchange, STATUS_UNAVAILABLE, "overloaded",
                        "too many requests are waiting", CM_OUTCOME_NOT_RUN,
                        1);
        return false;
    case CM_ADMISSION_OVER_SHARE:
        entry->count.refused_share.value++;
        Exchange_Refuse(exchange, STATUS_TOO_MANY, "rate_limit_exceeded",
                        "this caller has too many requests waiting",
                        CM_OUTCOME_NOT_RUN, 1);
        return false;
    }
    return false;
}

static struct cm_retry_budget *
budget_of(struct exchange *exchange)
{
    struct entry *entry = exchange->entry;
    const char *service = exchange->service->name;
    struct cm_retry_budget *budget =
        g_hash_table_lookup(entry->budgets, service);
    if (budget == NULL) {
        budget = g_new0(struct cm_retry_budget, 1);
        CmRetryBudget_Init(budget);
        g_hash_table_insert(entry->budgets, g_strdup(service), budget);
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

/// @return whether the content may not run (any more); ends the exchange.
static bool
refuse_quarantined(struct exchange *exchange)
{
    struct entry *entry = exchange->entry;
    if (!CmQuarantine_IsRefused(&entry->quarantine, exchange->fingerprint,
                                Entry_Now(entry))) {
        return false;
    }
    entry->count.quarantined.value++;
    Exchange_Refuse(
        exchange, STATUS_UNPROCESSABLE, "content_quarantined",
        "this content made targets crash; it is refused",
        exchange->repeats > 0 ? CM_OUTCOME_UNKNOWN : CM_OUTCOME_NOT_RUN, 0);
    return true;
}

void
Exchange_Start(struct exchange *exchange)
{
    CmHttp_WatchClose(exchange->request, on_caller_gone, exchange);
    compute_fingerprint(exchange);
    if (refuse_quarantined(exchange)) {
        return;
    }
    if (!admit(exchange)) {
        return;
    }
    CmRetryBudget_Deposit(budget_of(exchange));
    int64_t left_ms = Exchange_Left(exchange);
    struct timeval limit = CmTime_Timeval(left_ms > 0 ? left_ms : 0);
    event_add(exchange->timer, &limit);
    if (exchange->repeatable) {
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
start_hedge(struct exchange *exchange)
{
    int64_t hedge_ms = exchange->service->hedge_ms;
    if (hedge_ms > 0 && exchange->repeatable && exchange->n_attempts == 1) {
        struct timeval delay = CmTime_Timeval(hedge_ms);
        event_add(exchange->hedge, &delay);
    }
}

static void
use_target(struct exchange *exchange, const struct cm_route_decision *decision)
{
    struct agent_link *link = Links_Find(exchange->entry, decision->target);
    struct attempt *attempt =
        Attempt_New(exchange, link, decision->needs_load);
    exchange->n_attempts++;
    if (exchange->repeatable) {
        Attempt_Send(attempt);
        start_hedge(exchange);
    }
    else {
        OnceFlow_Claim(exchange, attempt);
    }
}

/// No target now; there may be one soon.
static void
park(struct exchange *exchange)
{
    int64_t waited_ms =
        CmTime_DiffMs(Entry_Now(exchange->entry), exchange->arrived);
    if (waited_ms < PARK_MAX_MS && Exchange_Left(exchange) > PARK_MS) {
        // All may be tried once more.
        g_ptr_array_set_size(exchange->tried, 0);
        struct timeval delay = CmTime_Timeval(PARK_MS);
        event_add(exchange->park, &delay);
        return;
    }
    bool repeated = exchange->repeats > 0;
    Exchange_Refuse(exchange, STATUS_UNAVAILABLE, "no_target",
                    "no target of the service can take the request",
                    repeated ? CM_OUTCOME_UNKNOWN : CM_OUTCOME_NOT_RUN, 1);
}

void
Exchange_Route(struct exchange *exchange)
{
    if (refuse_quarantined(exchange)) {
        return;
    }
    struct entry *entry = exchange->entry;
    struct timespec now = Entry_Now(entry);
    exchange->suspect =
        CmQuarantine_IsSuspect(&entry->quarantine, exchange->fingerprint, now);
    struct cm_route_service *service = CmRouter_FindOrAddService(
        &entry->router, exchange->service->name,
        exchange->service->kind == CM_SERVICE_ENGINES);
    struct cm_route_request request = {
        .id = exchange->id,
        .adapter = exchange->adapter,
        .left_ms = Exchange_Left(exchange),
        .excluded = (const char *const *)exchange->tried->pdata,
        .n_excluded = exchange->tried->len,
        .suspect = exchange->suspect,
    };
    struct cm_route_decision decision;
    CmRouter_Pick(&entry->router, service, &request, now, &decision);
    log_decision(exchange, &decision);
    bool under_way = !TAILQ_EMPTY(&exchange->attempts);
    if (decision.result != CM_ROUTE_PICKED && under_way) {
        return; // no place for a hedge: the first attempt goes on alone
    }
    switch (decision.result) {
    case CM_ROUTE_PICKED:
        use_target(exchange, &decision);
        return;
    case CM_ROUTE_NO_TARGET:
        park(exchange);
        return;
    case CM_ROUTE_TOO_LATE:
        entry->count.refused_late.value++;
        Exchange_Refuse(exchange, STATUS_UNAVAILABLE, "overloaded",
                        "the request cannot be started before its deadline",
                        exchange->repeats > 0 ? CM_OUTCOME_UNKNOWN
                                              : CM_OUTCOME_NOT_RUN,
                        1 + (int)(decision.wait_ms / CM_MS_PER_S));
        return;
    }
}

static void
on_park(evutil_socket_t fd, short what, void *context)
{
    Exchange_Route(context);
}

/// A lookup is slow: a second attempt may be quicker.
static void
on_hedge(evutil_socket_t fd, short what, void *context)
{
    struct exchange *exchange = context;
    const struct attempt *first = TAILQ_FIRST(&exchange->attempts);
    if (first == NULL || first->headed ||
        !CmRetryBudget_TryWithdraw(budget_of(exchange))) {
        return;
    }
    exchange->entry->count.hedges.value++;
    exchange->repeats++;
    g_ptr_array_add(exchange->tried, g_strdup(first->link->member->name));
    Exchange_Route(exchange);
}

static bool
retry_left(struct exchange *exchange, enum cm_attempt_event event,
           bool certainly_not_run)
{
    if (Exchange_Left(exchange) <= 0 || event == CM_ATTEMPT_DEADLINE) {
        return false;
    }
    if (certainly_not_run) {
        return exchange->n_attempts < ATTEMPTS_MAX;
    }
    return exchange->repeatable &&
           exchange->repeats < (unsigned)exchange->service->retries &&
           !exchange->overflowed &&
           CmRetryBudget_TryWithdraw(budget_of(exchange));
}

static void
answer_failure(struct exchange *exchange, enum cm_next_step step,
               enum cm_attempt_event event, enum cm_reason reason)
{
    // An earlier attempt that may have run stays part of the outcome.
    bool not_run = step == CM_NEXT_ANSWER_NOT_RUN && exchange->repeats == 0;
    enum cm_outcome outcome =
        not_run ? CM_OUTCOME_NOT_RUN : CM_OUTCOME_UNKNOWN;
    if (event == CM_ATTEMPT_DEADLINE || reason == CM_REASON_DEADLINE) {
        Exchange_Refuse(exchange, STATUS_GATEWAY_TIMEOUT, "timeout",
                        "the deadline has passed", outcome, 1);
    }
    else if (not_run) {
        Exchange_Refuse(exchange, STATUS_UNAVAILABLE, "unavailable",
                        CmReason_Name(reason), outcome, 1);
    }
    else {
        Exchange_Refuse(exchange, STATUS_BAD_GATEWAY, "target_lost",
                        "the target was lost while the request was running",
                        outcome, 0);
    }
}

void
Exchange_Failed(struct exchange *exchange, struct attempt *attempt,
                enum cm_attempt_event event, enum cm_reason reason)
{
    struct cm_attempt_state state = {
        .phase = attempt->phase,
        .idempotent = exchange->repeatable,
    };
    bool not_run =
        event == CM_ATTEMPT_NOT_RUN || attempt->phase == CM_ATTEMPT_UNSENT;
    bool other = TAILQ_NEXT(attempt, in_exchange) != NULL ||
                 TAILQ_FIRST(&exchange->attempts) != attempt;
    CmLog_Event(G_LOG_LEVEL_INFO, "exchange", exchange->id,
                "attempt %s at %s ended: %s", attempt->id,
                attempt->link->member->name, CmReason_Name(reason));
    g_ptr_array_add(exchange->tried, g_strdup(attempt->link->member->name));
    Attempt_Free(attempt, reason != CM_REASON_DRAINING &&
                              reason != CM_REASON_QUEUE_FULL &&
                              reason != CM_REASON_DEADLINE);
    if (other) {
        exchange->repeats += !not_run;
        return; // a hedge is still under way
    }
    state.retry_allowed =
        reason != CM_REASON_DEADLINE && retry_left(exchange, event, not_run);
    enum cm_next_step step = CmOutcome_NextStep(&state, event);
    if (step != CM_NEXT_RETRY) {
        answer_failure(exchange, step, event, reason);
        return;
    }
    exchange->entry->count.retries.value++;
    exchange->repeats += !not_run;
    Exchange_Route(exchange);
}

/// Hands all that was received to the caller of a streamed reply.
static void
deliver(struct exchange *exchange, struct attempt *attempt)
{
    if (exchange->request == NULL) {
        exchange->delivered = exchange->dropped + exchange->answer->len;
        Attempt_Credit(attempt);
        return;
    }
    Reply_Stream(exchange, attempt);
}

void
Exchange_Head(struct exchange *exchange, struct attempt *attempt, int status,
              char *headers)
{
    attempt->headed = true;
    // Of two attempts the first with an answer goes on.
    Exchange_DropAttempts(exchange, attempt);
    event_del(exchange->hedge);
    if (exchange->streaming) {
        g_free(headers);
        return; // continues an answer whose head went out before
    }
    exchange->status = status;
    g_free(exchange->answer_headers);
    exchange->answer_headers = headers;
    g_string_truncate(exchange->answer, 0);
    if (exchange->request != NULL && Reply_IsStream(headers)) {
        exchange->streaming = true;
        Reply_Start(exchange);
    }
}

/// Keeps the start of a streamed answer to compare a further attempt with.
static void
keep(struct exchange *exchange, const char *data, size_t size)
{
    g_string_append_len(exchange->answer, data, (gssize)size);
    if (exchange->streaming && !exchange->overflowed &&
        exchange->answer->len > CM_SPLICE_MAX) {
        exchange->overflowed = true;
    }
}

bool
Exchange_Data(struct exchange *exchange, struct attempt *attempt,
              const char *data, size_t size)
{
    size_t have = exchange->dropped + exchange->answer->len;
    size_t offset = attempt->received;
    attempt->received += size;
    if (offset < have) {
        // A further attempt repeats what the caller has: it must be the same.
        size_t again = have - offset < size ? have - offset : size;
        bool same = offset >= exchange->dropped &&
                    memcmp(exchange->answer->str + offset - exchange->dropped,
                           data, again) == 0;
        if (!same) {
            return false;
        }
        data += again;
        size -= again;
    }
    if (size > 0) {
        keep(exchange, data, size);
    }
    if (exchange->streaming) {
        deliver(exchange, attempt);
    }
    else {
        Attempt_Credit(attempt);
    }
    return true;
}

void
Exchange_Complete(struct exchange *exchange, struct attempt *attempt)
{
    struct entry *entry = exchange->entry;
    entry->count.stall_ms.value += exchange->stall_ms;
    count_outcome(entry, CM_OUTCOME_RAN);
    CmQuarantine_ClearSuspect(&entry->quarantine, exchange->fingerprint);
    Attempt_Credit(attempt);
    if (exchange->key != NULL) {
        OnceFlow_Record(exchange, attempt);
    }
    Attempt_Free(attempt, false);
    if (exchange->request != NULL && exchange->streaming) {
        Reply_End(exchange);
    }
    else if (exchange->request != NULL) {
        Reply_Whole(exchange);
    }
    exchange_free(exchange);
}

static void
on_deadline(evutil_socket_t fd, short what, void *context)
{
    struct exchange *exchange = context;
    struct attempt *attempt = TAILQ_FIRST(&exchange->attempts);
    if (attempt != NULL) {
        Exchange_DropAttempts(exchange, attempt);
        if (!attempt->attached) {
            Attempt_CancelJob(attempt);
        }
        Exchange_Failed(exchange, attempt, CM_ATTEMPT_DEADLINE,
                        CM_REASON_DEADLINE);
        return;
    }
    bool maybe = exchange->repeats > 0 || exchange->seal_id != NULL;
    Exchange_Refuse(exchange, STATUS_GATEWAY_TIMEOUT, "timeout",
                    "the deadline has passed",
                    maybe ? CM_OUTCOME_UNKNOWN : CM_OUTCOME_NOT_RUN, 1);
}

static void
on_caller_gone(struct evhttp_connection *connection, void *context)
{
    struct exchange *exchange = context;
    CmHttp_FreeDetached(exchange->request);
    exchange->request = NULL;
    exchange->entry->count.callers_gone.value++;
    if (exchange->key != NULL) {
        return; // goes on, so that a resend finds its answer
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "exchange", exchange->id,
                "the caller is gone");
    struct attempt *attempt;
    CmTailq_FOREACH (attempt, &exchange->attempts, in_exchange) {
        Attempt_CancelJob(attempt);
    }
    exchange_free(exchange);
}
