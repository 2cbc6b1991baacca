/// @file lease_server.c
/// Calls of gateways.

#include "lease_server.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "dispatch/target_defs.h"
#include "engine.h"
#include "h1/conn.h"
#include "h1/writer.h"
#include "residency/lease_message.h"

/// A claim that no gateway ends is given up after the longest stream.
#define CLAIM_MAX_MS 20000
/// Time within which a granted request shows among the engine's runs.
#define CLAIM_UNSEEN_MS 400
/// A gateway that has not asked for this long does not count as live.
#define GATEWAY_SILENT_MS 10000
#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404

/// One connection of a gateway.
struct session {
    LIST_ENTRY(session) link;
    struct slots *slots;
    struct cm_h1_conn conn;
    GString *body;
    struct claim *waiting; ///< whose answer is due on this connection
};

/// One request's claim on an adapter.
struct claim {
    struct cm_lease lease;
    struct slots *slots;
    struct session *session; ///< while it waits
    char *id;
    int64_t tokens;
    struct timespec granted;
    bool seen; ///< among the engine's runs
    struct event *timer;
};

static void
session_free(struct session *session)
{
    LIST_REMOVE(session, link);
    CmH1Conn_FinishAfterWrite(&session->conn);
    g_string_free(session->body, TRUE);
    g_free(session);
}

static void
claim_free(struct claim *claim)
{
    CmResidency_Release(&claim->slots->residency, &claim->lease);
    if (claim->timer != NULL) {
        event_free(claim->timer);
    }
    if (claim->session != NULL) {
        claim->session->waiting = NULL;
    }
    g_free(claim->lease.adapter);
    g_free(claim->id);
    g_free(claim);
}

static void
write_answer(struct session *session, int status, const char *type,
             const char *text)
{
    GString *out = g_string_new(NULL);
    CmH1Writer_Response(out, status);
    CmH1Writer_Header(out, "Content-Type", type);
    CmH1Writer_Body(out, text, strlen(text));
    CmH1Conn_Write(&session->conn, out->str, out->len);
    g_string_free(out, TRUE);
}

static void
next_call(struct session *session)
{
    if (CmH1Conn_Head(&session->conn)->keep_alive) {
        CmH1Conn_ReadNext(&session->conn);
    }
    else {
        session_free(session);
    }
}

/// @return time that the prompts ahead take to be read: what the engine had
/// yet to read by its last report, and what was granted since.
static double
backlog_ms(const struct slots *slots)
{
    double age_ms = (double)CmTime_DiffMs(Slots_Now(slots), slots->backlog_at);
    return MAX(slots->backlog_ms - age_ms, 0);
}

static void
add_backlog(struct slots *slots, int64_t tokens)
{
    slots->backlog_ms =
        backlog_ms(slots) + (double)tokens / CM_PREFILL_TOKENS_PER_MS;
    slots->backlog_at = Slots_Now(slots);
}

static void
reply(struct session *session, enum cm_lease_outcome outcome, int64_t version)
{
    struct slots *slots = session->slots;
    struct cm_lease_reply answer = {
        .outcome = outcome,
        .version = version,
        .lacks_model = slots->engine.known && !slots->engine.has_model,
        .slot_wait_ms = CmResidency_SlotWaitMs(&slots->residency),
        .backlog_ms = (int64_t)backlog_ms(slots),
        .gateways = g_hash_table_size(slots->gateways),
        .running = g_hash_table_size(slots->claims),
        .waiting = CmResidency_WaitingLeases(&slots->residency),
    };
    char *text = CmLeaseReply_Encode(&answer);
    write_answer(session, STATUS_OK, "application/json", text);
    free(text);
}

static void
hold(struct claim *claim)
{
    struct slots *slots = claim->slots;
    slots->granted.value++;
    add_backlog(slots, claim->tokens);
    claim->granted = Slots_Now(slots);
    if (claim->timer != NULL) {
        event_free(claim->timer);
        claim->timer = NULL;
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "lease", claim->id,
                "holds %s version %" PRId64 " after %" PRId64 " ms",
                claim->lease.adapter, claim->lease.resident->version,
                CmTime_DiffMs(claim->granted, claim->lease.requested_at));
    claim->session = NULL;
    g_hash_table_replace(slots->claims, claim->id, claim);
}

static void
on_granted(struct cm_lease *lease)
{
    struct claim *claim = lease->context;
    struct session *session = claim->session;
    session->waiting = NULL;
    reply(session, CM_LEASE_OUTCOME_HELD, lease->resident->version);
    hold(claim);
    next_call(session);
}

static void
on_late(evutil_socket_t fd, short what, void *context)
{
    struct claim *claim = context;
    struct session *session = claim->session;
    CmLog_Event(G_LOG_LEVEL_INFO, "lease", claim->id,
                "%s was not in a slot in time", claim->lease.adapter);
    claim_free(claim);
    reply(session, CM_LEASE_OUTCOME_LATE, 0);
    next_call(session);
}

static void
log_pinned(const struct slots *slots, const struct claim *claim)
{
    GString *state = g_string_new(NULL);
    CmResidency_Describe(&slots->residency, state);
    CmLog_Event(G_LOG_LEVEL_INFO, "lease", claim->id, "no slot for %s: %s",
                claim->lease.adapter, state->str);
    g_string_free(state, TRUE);
}

/// @return whether the answer follows later.
static bool
ask_lease(struct session *session, struct cm_lease_request *ask)
{
    struct slots *slots = session->slots;
    struct claim *claim = g_new0(struct claim, 1);
    claim->slots = slots;
    claim->id = g_steal_pointer(&ask->id);
    claim->tokens = ask->tokens;
    claim->lease = (struct cm_lease){
        .adapter = g_steal_pointer(&ask->adapter),
        .version = ask->version,
        .priority = ask->priority,
        .on_time_ms = ask->on_time_ms,
        .notify = on_granted,
        .context = claim,
    };
    enum cm_lease_result result = CmResidency_Request(
        &slots->residency, &claim->lease, Slots_Now(slots));
    switch (result) {
    case CM_LEASE_GRANTED:
        reply(session, CM_LEASE_OUTCOME_HELD, claim->lease.resident->version);
        hold(claim);
        return false;
    case CM_LEASE_WAITING:
        claim->session = session;
        session->waiting = claim;
        claim->timer = evtimer_new(slots->base, on_late, claim);
        struct timeval wait = CmTime_Timeval(ask->wait_ms);
        evtimer_add(claim->timer, &wait);
        Engine_Wake(slots);
        return true;
    default:
        slots->pinned.value++;
        log_pinned(slots, claim);
        g_free(claim->lease.adapter);
        g_free(claim->id);
        g_free(claim);
        reply(session, CM_LEASE_OUTCOME_PINNED, 0);
        return false;
    }
}

static void
note_gateway(struct slots *slots, const char *name)
{
    struct timespec *asked = g_new(struct timespec, 1);
    *asked = Slots_Now(slots);
    g_hash_table_replace(slots->gateways, g_strdup(name), asked);
}

/// @return expected time until the engine could begin to read the prompt, but
/// for the load itself.
static double
ahead_ms(const struct slots *slots, const struct cm_lease_request *ask)
{
    return backlog_ms(slots) +
           (double)CmResidency_QueueWaitMs(&slots->residency, ask->adapter,
                                           ask->version);
}

/// @return whether the answer follows later.
static bool
handle_lease(struct session *session)
{
    struct slots *slots = session->slots;
    struct cm_lease_request ask;
    if (!CmLeaseRequest_Decode(&ask, session->body->str, session->body->len)) {
        write_answer(session, STATUS_BAD_REQUEST, "text/plain",
                     "this is no lease\n");
        return false;
    }
    slots->leases.value++;
    note_gateway(slots, ask.gateway);
    bool meant = Engine_Want(slots, ask.target, ask.model);
    bool later = false;
    bool serves = meant && Engine_Serves(slots);
    if (ask.adapter == NULL) {
        reply(session, serves ? CM_LEASE_OUTCOME_HELD : CM_LEASE_OUTCOME_DOWN,
              0);
    }
    else if (!serves || strchr(ask.adapter, '/') == NULL) {
        reply(session, CM_LEASE_OUTCOME_DOWN, 0);
    }
    else if (ahead_ms(slots, &ask) > (double)ask.max_queue_wait_ms) {
        reply(session, CM_LEASE_OUTCOME_BUSY, 0);
    }
    else {
        slots->engine_slots = ask.slots;
        later = ask_lease(session, &ask);
    }
    CmLeaseRequest_Finish(&ask);
    return later;
}

static void
handle_release(struct session *session)
{
    struct slots *slots = session->slots;
    g_hash_table_remove(slots->claims, session->body->str);
    write_answer(session, STATUS_OK, "text/plain", "");
    Engine_Wake(slots);
}

static void
handle_metrics(struct session *session)
{
    GString *text = g_string_new(NULL);
    session->slots->held.value = g_hash_table_size(session->slots->claims);
    CmCounters_Write(&session->slots->counters, text);
    write_answer(session, STATUS_OK, "text/plain; version=0.0.4", text->str);
    g_string_free(text, TRUE);
}

static void
on_head(void *context, const struct cm_h1_head *head)
{
    struct session *session = context;
    g_string_truncate(session->body, 0);
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct session *session = context;
    g_string_append_len(session->body, data, (gssize)size);
}

static void
on_whole(void *context)
{
    struct session *session = context;
    const char *path = CmH1Conn_Head(&session->conn)->target->str;
    if (strcmp(path, CM_LEASE_PATH) == 0) {
        if (handle_lease(session)) {
            return;
        }
    }
    else if (strcmp(path, CM_RELEASE_PATH) == 0) {
        handle_release(session);
    }
    else if (strcmp(path, "/metrics") == 0) {
        handle_metrics(session);
    }
    else {
        write_answer(session, STATUS_NOT_FOUND, "text/plain", "");
    }
    next_call(session);
}

static void
on_end(void *context, enum cm_h1_close_reason end)
{
    struct session *session = context;
    if (session->waiting != NULL) {
        claim_free(session->waiting);
    }
    session_free(session);
}

static const struct cm_h1_handler handler = {.head = on_head,
                                             .body = on_body,
                                             .message_complete = on_whole,
                                             .closed = on_end};

static void
on_accept(void *context, evutil_socket_t fd)
{
    struct slots *slots = context;
    struct session *session = g_new0(struct session, 1);
    session->slots = slots;
    session->body = g_string_new(NULL);
    LIST_INSERT_HEAD(&slots->sessions, session, link);
    CmH1Conn_Accept(&session->conn, slots->base, fd, &handler, session);
}

static void
free_claim(void *claim)
{
    claim_free(claim);
}

gboolean
Gateways_Listen(struct slots *slots, GError **error)
{
    const struct cm_slot_agent_settings *settings = &slots->settings;
    slots->claims =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_claim);
    slots->gateways =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return CmH1Listener_Init(&slots->gateways_listener, slots->base,
                             settings->listen, on_accept, slots, error) &&
           CmH1Listener_Init(&slots->admin_listener, slots->base,
                             settings->common.admin, on_accept, slots, error);
}

void
Gateways_Finish(struct slots *slots)
{
    CmH1Listener_Finish(&slots->gateways_listener);
    CmH1Listener_Finish(&slots->admin_listener);
    struct session *session;
    while ((session = LIST_FIRST(&slots->sessions)) != NULL) {
        on_end(session, CM_H1_CLOSED);
    }
    g_hash_table_destroy(slots->claims);
    g_hash_table_destroy(slots->gateways);
}

static gboolean
is_overdue(void *key, void *value, void *now)
{
    const struct claim *claim = value;
    return CmTime_DiffMs(*(struct timespec *)now, claim->lease.requested_at) >
           CLAIM_MAX_MS;
}

static gboolean
has_fallen_silent(void *key, void *value, void *now)
{
    return CmTime_DiffMs(*(struct timespec *)now,
                         *(const struct timespec *)value) > GATEWAY_SILENT_MS;
}

void
Gateways_Sweep(struct slots *slots)
{
    struct timespec now = Slots_Now(slots);
    g_hash_table_foreach_remove(slots->gateways, has_fallen_silent, &now);
    guint ended = g_hash_table_foreach_remove(slots->claims, is_overdue, &now);
    if (ended > 0) {
        CmLog_Event(G_LOG_LEVEL_INFO, "lease", NULL,
                    "%u claims were not ended by their gateways", ended);
    }
}

void
Gateways_Measure(struct slots *slots)
{
    struct timespec now = Slots_Now(slots);
    double unread = 0;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, slots->claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct claim *claim = value;
        const struct engine_run *run =
            g_hash_table_lookup(slots->engine.runs, claim->id);
        if (run != NULL) {
            claim->seen = true;
            unread += run->events > 0 ? 0 : MAX(claim->tokens - run->read, 0);
        }
        else if (!claim->seen &&
                 CmTime_DiffMs(now, claim->granted) < CLAIM_UNSEEN_MS) {
            unread += (double)claim->tokens;
        }
    }
    slots->backlog_ms = unread / CM_PREFILL_TOKENS_PER_MS;
    slots->backlog_at = now;
}
