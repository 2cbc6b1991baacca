/// @file lease_server.c
/// Serves `POST /lease`, `POST /release` and `GET /metrics`.

#include "lease_server.h"

#include <inttypes.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "dispatch/target_defs.h"
#include "engine.h"
#include "load_reporter.h"
#include "h1/conn.h"
#include "h1/writer.h"
#include "residency/lease_message.h"
#include "residency/prefill_pace.h"

/// Longest duration of a lease, which is that of the longest stream. A lease
/// that its gateway has not released by then ends.
#define LEASE_MAX_MS 20000
/// Time after the grant within which a request appears among the engine's
/// runs; until then its prompt counts as pending.
#define RUN_VISIBLE_MS 400
/// Time without a lease request after which a gateway does not count as
/// active.
#define GATEWAY_TIMEOUT_MS 10000
/// Gateways that are counted, as those that get load reports.
#define GATEWAYS_MAX 512
#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_TOO_LARGE 413
#define STATUS_UNAVAILABLE 503
/// Largest message of a gateway, as at the other ports of this project.
#define BODY_MAX_BYTES ((size_t)512 * 1024)
/// Memory of a body that is kept for the next one.
#define BODY_KEPT_BYTES ((gsize)4096)
/// Share of the process's file descriptors that accepted connections may use.
#define CLIENT_FILES_PERCENT 60

/// One connection of a gateway or an admin client.
struct connection {
    LIST_ENTRY(connection) link;
    struct slots *slots;
    struct cm_h1_conn h1_conn;
    struct cm_intake_client client;
    GString *body; ///< of the current request
    /// Lease that the response waits for, or NULL.
    struct gateway_lease *waiting;
};

/// Lease of one request on an adapter.
struct gateway_lease {
    struct cm_lease slot_lease;
    struct cm_memory_hold hold; ///< of the lease, until it ends
    struct slots *slots;
    struct connection *connection; ///< while the lease waits, otherwise NULL
    char *id;                      ///< request id
    int64_t prompt_tokens;
    struct timespec granted_at;
    bool seen_running; ///< a report has listed the request
    int64_t output_tokens;
    TAILQ_ENTRY(gateway_lease) room_link;
    bool awaiting_room;       ///< in the list of these leases
    struct event *wait_timer; ///< timeout of the wait, or NULL
    int64_t wait_left_ms;     ///< of it once a load has begun
};

static void
connection_free(struct connection *connection)
{
    LIST_REMOVE(connection, link);
    CmIntakeClient_Finish(&connection->client);
    CmH1Conn_FinishAfterWrite(&connection->h1_conn);
    g_string_free(connection->body, TRUE);
    g_free(connection);
}

static void
gateway_lease_free(struct gateway_lease *lease)
{
    CmMemoryHold_Finish(&lease->hold);
    CmResidency_Release(&lease->slots->residency, &lease->slot_lease);
    if (lease->awaiting_room) {
        TAILQ_REMOVE(&lease->slots->awaiting_room, lease, room_link);
    }
    if (lease->wait_timer != NULL) {
        event_free(lease->wait_timer);
    }
    if (lease->connection != NULL) {
        lease->connection->waiting = NULL;
    }
    g_free(lease->slot_lease.adapter);
    g_free(lease->id);
    g_free(lease);
}

static void
write_response(struct connection *connection, int status, const char *type,
               const char *text)
{
    GString *out = g_string_new(NULL);
    CmH1Writer_Response(out, status);
    CmH1Writer_Header(out, "Content-Type", type);
    CmH1Writer_RepeatCallId(out, CmH1Conn_Head(&connection->h1_conn));
    CmH1Writer_Body(out, text, strlen(text));
    CmH1Conn_Write(&connection->h1_conn, out->str, out->len);
    g_string_free(out, TRUE);
}

static size_t
held_bytes(const struct connection *connection)
{
    return CmH1Conn_HeldInput(&connection->h1_conn) +
           connection->body->allocated_len;
}

static void
next_request(struct connection *connection)
{
    if (connection->body->allocated_len > BODY_KEPT_BYTES) {
        g_string_free(connection->body, TRUE);
        connection->body = g_string_new(NULL);
    }
    CmIntakeClient_BecomeIdle(&connection->client, held_bytes(connection));
    if (CmH1Conn_Head(&connection->h1_conn)->keep_alive) {
        CmH1Conn_ReadNext(&connection->h1_conn);
    }
    else {
        connection_free(connection);
    }
}

/// @return time for the prefill of the pending prompts: those that the
/// engine's last report shows as incomplete, and those of leases granted
/// since.
static double
backlog_ms(const struct slots *slots)
{
    double age_ms =
        (double)CmTime_DiffMs(Slots_Now(slots), slots->backlog_updated_at);
    return MAX(slots->backlog_ms - age_ms, 0);
}

static void
add_backlog(struct slots *slots, int64_t tokens)
{
    slots->backlog_ms =
        backlog_ms(slots) + (double)tokens / CM_PREFILL_TOKENS_PER_MS;
    slots->backlog_updated_at = Slots_Now(slots);
}

/// @return time for the prefill of the prompts that are held back.
static double
held_back_ms(const struct slots *slots)
{
    double tokens = 0;
    const struct gateway_lease *lease;
    CmTailq_FOREACH (lease, &slots->awaiting_room, room_link) {
        tokens += (double)lease->prompt_tokens;
    }
    return tokens / CM_PREFILL_TOKENS_PER_MS;
}

/// Starts the timer for the next prompt of those that are held back. Reports
/// of the engine may let it go earlier.
static void
start_prefill_timer(struct slots *slots)
{
    double wait_ms =
        backlog_ms(slots) - CmPrefillPace_AheadMs(slots->target_gap_ms);
    struct timeval wait = CmTime_Timeval((int64_t)MAX(wait_ms, 0) + 1);
    evtimer_add(slots->prefill_timer, &wait);
}

bool
LeaseServer_DescribeLoad(struct slots *slots, struct cm_load_report *report)
{
    const char *target = slots->engine.incarnation.id;
    if (target == NULL || !Engine_IsReady(slots) ||
        strlen(target) >= sizeof(report->target)) {
        return false;
    }
    g_strlcpy(report->target, target, sizeof(report->target));
    report->started_ms = slots->engine.report.started_ms;
    report->running = g_hash_table_size(slots->active_leases);
    report->waiting = CmResidency_WaitingLeases(&slots->residency);
    report->backlog_ms = (int64_t)(backlog_ms(slots) + held_back_ms(slots));
    report->slot_wait_ms =
        CmResidency_SlotWaitMs(&slots->residency, Slots_Now(slots));
    return true;
}

static void
add_stream(GArray *streams, const struct engine_run *run,
           int64_t prompt_tokens, int64_t output_tokens)
{
    struct cm_room_stream stream = {.prompt = (double)prompt_tokens,
                                    .max_output = (double)output_tokens};
    if (run != NULL) {
        stream.tokens = run->prefilled_tokens;
        stream.events = (double)run->events;
    }
    g_array_append_val(streams, stream);
}

static void
add_running_streams(const struct slots *slots, GArray *streams)
{
    GHashTableIter iter;
    void *id;
    void *run;
    g_hash_table_iter_init(&iter, slots->engine.runs);
    while (g_hash_table_iter_next(&iter, &id, &run)) {
        const struct gateway_lease *lease =
            g_hash_table_lookup(slots->active_leases, id);
        add_stream(streams, run, lease != NULL ? lease->prompt_tokens : 0,
                   lease != NULL ? lease->output_tokens : 0);
    }
}

/// Adds the granted leases that the last report doesn't show as running: those
/// granted after it or shortly before, and as many others as the engine
/// queues.
static void
add_granted_streams(const struct slots *slots, GArray *streams)
{
    struct timespec reported_at = slots->engine.reported_at;
    int64_t queued = slots->engine.report.waiting;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, slots->active_leases);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct gateway_lease *lease = value;
        if (g_hash_table_contains(slots->engine.runs, lease->id)) {
            continue;
        }
        bool recent =
            !lease->seen_running &&
            CmTime_DiffMs(reported_at, lease->granted_at) < RUN_VISIBLE_MS;
        if (recent || queued-- > 0) {
            add_stream(streams, NULL, lease->prompt_tokens,
                       lease->output_tokens);
        }
    }
}

/// Adds the leases that wait for their adapter or for room.
static void
add_waiting_streams(const struct slots *slots, GArray *streams)
{
    const struct gateway_lease *lease;
    CmTailq_FOREACH (lease, &slots->awaiting_room, room_link) {
        add_stream(streams, NULL, lease->prompt_tokens, lease->output_tokens);
    }
    const struct cm_lease *slot_lease;
    CmTailq_FOREACH (slot_lease, &slots->residency.waiting, link) {
        lease = slot_lease->context;
        add_stream(streams, NULL, lease->prompt_tokens, lease->output_tokens);
    }
}

/// @param behind_waiting whether the waiting leases get their room before.
/// @return expected time until the engine's memory has room for a request.
static int64_t
room_wait_ms(const struct slots *slots, int64_t prompt_tokens,
             int64_t output_tokens, bool behind_waiting)
{
    if (slots->room.total <= 0) {
        return 0;
    }
    GArray *streams = g_array_new(FALSE, FALSE, sizeof(struct cm_room_stream));
    add_running_streams(slots, streams);
    add_granted_streams(slots, streams);
    if (behind_waiting) {
        add_waiting_streams(slots, streams);
    }
    add_stream(streams, NULL, prompt_tokens, output_tokens);
    double shortfall = CmEngineRoom_Shortfall(
        &slots->room, (struct cm_room_stream *)(void *)streams->data,
        streams->len);
    g_array_free(streams, TRUE);
    return CmEngineRoom_WaitMs(&slots->room, shortfall);
}

/// @return expected time until the engine could begin a prompt whose adapter
/// is in a slot.
static double
start_wait_ms(const struct slots *slots, int64_t prompt_tokens,
              int64_t output_tokens)
{
    return MAX(
        backlog_ms(slots) + held_back_ms(slots),
        (double)room_wait_ms(slots, prompt_tokens, output_tokens, true));
}

static void
send_lease_reply(struct connection *connection, enum cm_lease_outcome outcome,
                 int64_t version)
{
    struct slots *slots = connection->slots;
    struct cm_lease_reply reply = {
        .outcome = outcome,
        .version = version,
        .lacks_model = slots->engine.reachable && !slots->engine.has_model,
        .slot_wait_ms =
            CmResidency_SlotWaitMs(&slots->residency, Slots_Now(slots)),
        .backlog_ms = (int64_t)start_wait_ms(slots, slots->last_prompt_tokens,
                                             slots->last_output_tokens),
        .gateways = g_hash_table_size(slots->gateways),
        .running = g_hash_table_size(slots->active_leases),
        .waiting = CmResidency_WaitingLeases(&slots->residency),
        .started_ms = slots->engine.report.started_ms,
    };
    char *text = CmLeaseReply_Encode(&reply);
    write_response(connection, STATUS_OK, "application/json", text);
    free(text);
}

static void
activate_lease(struct gateway_lease *lease)
{
    struct slots *slots = lease->slots;
    slots->leases_granted.value++;
    add_backlog(slots, lease->prompt_tokens);
    lease->granted_at = Slots_Now(slots);
    if (lease->wait_timer != NULL) {
        event_free(lease->wait_timer);
        lease->wait_timer = NULL;
    }
    CmLog_Event(
        G_LOG_LEVEL_INFO, "lease", lease->id,
        "holds %s version %" PRId64 " after %" PRId64 " ms",
        lease->slot_lease.adapter, lease->slot_lease.resident->version,
        CmTime_DiffMs(lease->granted_at, lease->slot_lease.requested_at));
    lease->connection = NULL;
    g_hash_table_replace(slots->active_leases, lease->id, lease);
}

/// Grants a lease whose gateway waits.
static void
grant_deferred(struct gateway_lease *lease)
{
    struct connection *connection = lease->connection;
    connection->waiting = NULL;
    send_lease_reply(connection, CM_LEASE_OUTCOME_HELD,
                     lease->slot_lease.resident->version);
    activate_lease(lease);
    next_request(connection);
}

/// @return whether a lease must wait for room in the engine's memory, as it
/// doesn't fit now or no less urgent one waits already.
static bool
lacks_room(const struct gateway_lease *lease)
{
    const struct gateway_lease *first =
        TAILQ_FIRST(&lease->slots->awaiting_room);
    return (first != NULL &&
            first->slot_lease.priority <= lease->slot_lease.priority) ||
           backlog_ms(lease->slots) >
               CmPrefillPace_AheadMs(lease->slots->target_gap_ms) ||
           room_wait_ms(lease->slots, lease->prompt_tokens,
                        lease->output_tokens, false) > 0;
}

static void
hold_back(struct gateway_lease *lease)
{
    struct slots *slots = lease->slots;
    slots->leases_held_back.value++;
    lease->awaiting_room = true;
    start_prefill_timer(slots);
    struct gateway_lease *next;
    CmTailq_FOREACH (next, &slots->awaiting_room, room_link) {
        if (next->slot_lease.priority > lease->slot_lease.priority) {
            TAILQ_INSERT_BEFORE(next, lease, room_link);
            return;
        }
    }
    TAILQ_INSERT_TAIL(&slots->awaiting_room, lease, room_link);
}

static void
on_granted(struct cm_lease *granted_lease)
{
    struct gateway_lease *lease = granted_lease->context;
    if (lacks_room(lease)) {
        hold_back(lease);
        return;
    }
    grant_deferred(lease);
}

/// Denies a lease whose gateway waits.
static void
deny_deferred(struct gateway_lease *lease, enum cm_lease_outcome outcome)
{
    struct connection *connection = lease->connection;
    gateway_lease_free(lease);
    send_lease_reply(connection, outcome, 0);
    next_request(connection);
}

void
LeaseServer_GrantHeldBack(struct slots *slots)
{
    struct gateway_lease *lease;
    while ((lease = TAILQ_FIRST(&slots->awaiting_room)) != NULL) {
        if (lease->slot_lease.resident == NULL) {
            // The engine has dropped the adapter, as by a restart.
            deny_deferred(lease, CM_LEASE_OUTCOME_LATE);
            continue;
        }
        if (backlog_ms(slots) > CmPrefillPace_AheadMs(slots->target_gap_ms)) {
            start_prefill_timer(slots);
            return;
        }
        if (room_wait_ms(slots, lease->prompt_tokens, lease->output_tokens,
                         false) > 0) {
            return;
        }
        TAILQ_REMOVE(&slots->awaiting_room, lease, room_link);
        lease->awaiting_room = false;
        grant_deferred(lease);
    }
}

static void
on_wait_timeout(evutil_socket_t fd, short what, void *context)
{
    struct gateway_lease *lease = context;
    if (lease->wait_left_ms > 0 &&
        (lease->awaiting_room ||
         CmResidency_IsLoading(&lease->slots->residency,
                               &lease->slot_lease))) {
        struct timeval rest = CmTime_Timeval(lease->wait_left_ms);
        lease->wait_left_ms = 0;
        evtimer_add(lease->wait_timer, &rest);
        return;
    }
    if (lease->awaiting_room) {
        CmLog_Event(G_LOG_LEVEL_INFO, "lease", lease->id,
                    "lease denied: no room in the engine's memory within the "
                    "wait limit");
        lease->slots->leases_without_room.value++;
        deny_deferred(lease, CM_LEASE_OUTCOME_BUSY);
        return;
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "lease", lease->id,
                "lease denied: %s was not in a slot within the wait limit",
                lease->slot_lease.adapter);
    deny_deferred(lease, CM_LEASE_OUTCOME_LATE);
}

static void
log_queue_full(const struct slots *slots, const struct gateway_lease *lease)
{
    GString *state = g_string_new(NULL);
    CmResidency_Describe(&slots->residency, state);
    CmLog_Event(G_LOG_LEVEL_INFO, "lease", lease->id, "no slot for %s: %s",
                lease->slot_lease.adapter, state->str);
    g_string_free(state, TRUE);
}

/// Defers the response until the lease is granted or `wait_ms` have passed.
static void
defer(struct gateway_lease *lease, struct connection *connection,
      int64_t wait_ms)
{
    lease->connection = connection;
    connection->waiting = lease;
    lease->wait_timer =
        evtimer_new(connection->slots->base, on_wait_timeout, lease);
    struct timeval wait = CmTime_Timeval(wait_ms);
    evtimer_add(lease->wait_timer, &wait);
}

/// Requests a lease from the residency scheduler.
/// @return whether the response is deferred until the lease is granted or
/// times out.
static bool
request_lease(struct connection *connection,
              struct cm_lease_request *lease_request)
{
    struct slots *slots = connection->slots;
    size_t bytes = sizeof(struct gateway_lease) + strlen(lease_request->id) +
                   strlen(lease_request->adapter);
    if (!CmMemoryBudget_Admit(&slots->memory, CM_MEMORY_REQUESTS, bytes)) {
        send_lease_reply(connection, CM_LEASE_OUTCOME_BUSY, 0);
        return false;
    }
    struct gateway_lease *lease = g_new0(struct gateway_lease, 1);
    CmMemoryHold_Init(&lease->hold, &slots->memory, CM_MEMORY_REQUESTS, NULL);
    CmMemoryHold_Set(&lease->hold, bytes);
    lease->slots = slots;
    lease->id = g_steal_pointer(&lease_request->id);
    lease->prompt_tokens = lease_request->tokens;
    lease->output_tokens = lease_request->output_tokens;
    lease->slot_lease = (struct cm_lease){
        .adapter = g_steal_pointer(&lease_request->adapter),
        .version = lease_request->version,
        .priority = lease_request->priority,
        .on_time_ms = lease_request->on_time_ms,
        .notify = on_granted,
        .context = lease,
    };
    enum cm_lease_result result = CmResidency_Request(
        &slots->residency, &lease->slot_lease, Slots_Now(slots));
    switch (result) {
    case CM_LEASE_GRANTED:
        if (lacks_room(lease)) {
            defer(lease, connection, lease_request->wait_ms);
            hold_back(lease);
            Engine_GiveOrders(slots);
            return true;
        }
        send_lease_reply(connection, CM_LEASE_OUTCOME_HELD,
                         lease->slot_lease.resident->version);
        activate_lease(lease);
        if (slots->room.total > 0) {
            // An idle engine's next report may be too far away.
            Engine_GiveOrders(slots);
        }
        return false;
    case CM_LEASE_WAITING: {
        int64_t wait_ms = lease_request->wait_ms;
        if (lease_request->slot_wait_max_ms > 0) {
            wait_ms = MIN(wait_ms, lease_request->slot_wait_max_ms);
        }
        lease->wait_left_ms = lease_request->wait_ms - wait_ms;
        defer(lease, connection, wait_ms);
        Engine_GiveOrders(slots);
        return true;
    }
    default:
        slots->leases_queue_full.value++;
        log_queue_full(slots, lease);
        CmMemoryHold_Finish(&lease->hold);
        g_free(lease->slot_lease.adapter);
        g_free(lease->id);
        g_free(lease);
        send_lease_reply(connection, CM_LEASE_OUTCOME_QUEUE_FULL, 0);
        return false;
    }
}

static void
record_gateway(struct slots *slots, const char *name)
{
    if (g_hash_table_size(slots->gateways) >= GATEWAYS_MAX &&
        !g_hash_table_contains(slots->gateways, name)) {
        return;
    }
    struct timespec *last_request = g_new(struct timespec, 1);
    *last_request = Slots_Now(slots);
    g_hash_table_replace(slots->gateways, g_strdup(name), last_request);
}

/// @return expected time until the engine could start the prefill of the
/// request, without the time of the adapter's own load.
static double
queue_wait_ms(const struct slots *slots,
              const struct cm_lease_request *lease_request)
{
    return start_wait_ms(slots, lease_request->tokens,
                         lease_request->output_tokens) +
           (double)CmResidency_QueueWaitMs(
               &slots->residency, lease_request->adapter,
               lease_request->version, Slots_Now(slots));
}

/// @return whether the response is deferred.
static bool
handle_lease(struct connection *connection)
{
    struct slots *slots = connection->slots;
    struct cm_lease_request lease_request;
    if (!CmLeaseRequest_Decode(&lease_request, connection->body->str,
                               connection->body->len)) {
        write_response(connection, STATUS_BAD_REQUEST, "text/plain",
                       "this is no lease\n");
        return false;
    }
    slots->lease_requests.value++;
    record_gateway(slots, lease_request.gateway);
    LoadReporter_CountLease(slots, lease_request.reports);
    if (lease_request.adapter != NULL) {
        slots->last_prompt_tokens = lease_request.tokens;
        slots->last_output_tokens = lease_request.output_tokens;
        slots->target_gap_ms = lease_request.target_gap_ms;
    }
    bool is_expected_target =
        Engine_SetExpected(slots, lease_request.target, lease_request.model);
    bool deferred = false;
    bool ready = is_expected_target && Engine_IsReady(slots);
    if (lease_request.adapter == NULL) {
        send_lease_reply(connection,
                         ready ? CM_LEASE_OUTCOME_HELD : CM_LEASE_OUTCOME_DOWN,
                         0);
    }
    else if (!ready || strchr(lease_request.adapter, '/') == NULL) {
        send_lease_reply(connection, CM_LEASE_OUTCOME_DOWN, 0);
    }
    else if (queue_wait_ms(slots, &lease_request) >
             (double)lease_request.max_queue_wait_ms) {
        slots->leases_without_room.value +=
            room_wait_ms(slots, lease_request.tokens,
                         lease_request.output_tokens, true) > 0;
        send_lease_reply(connection, CM_LEASE_OUTCOME_BUSY, 0);
    }
    else {
        slots->engine_slots = lease_request.adapter_slots;
        deferred = request_lease(connection, &lease_request);
    }
    CmLeaseRequest_Finish(&lease_request);
    return deferred;
}

static void
handle_release(struct connection *connection)
{
    struct slots *slots = connection->slots;
    const struct gateway_lease *lease =
        g_hash_table_lookup(slots->active_leases, connection->body->str);
    if (lease != NULL) {
        CmResidency_RecordRun(&slots->residency, &lease->slot_lease,
                              Slots_Now(slots));
        g_hash_table_remove(slots->active_leases, connection->body->str);
    }
    write_response(connection, STATUS_OK, "text/plain", "");
    Engine_GiveOrders(slots);
}

static void
handle_metrics(struct connection *connection)
{
    GString *text = g_string_new(NULL);
    connection->slots->leases_active.value =
        g_hash_table_size(connection->slots->active_leases);
    connection->slots->held_bytes.value =
        (int64_t)CmMemoryBudget_Total(&connection->slots->memory);
    connection->slots->evictions.value = connection->slots->intake.evicted;
    CmCounters_Write(&connection->slots->counters, text);
    write_response(connection, STATUS_OK, "text/plain; version=0.0.4",
                   text->str);
    g_string_free(text, TRUE);
}

static void
on_head(void *context, const struct cm_h1_head *head)
{
    struct connection *connection = context;
    g_string_truncate(connection->body, 0);
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct connection *connection = context;
    if (connection->body->len + size > BODY_MAX_BYTES) {
        write_response(connection, STATUS_TOO_LARGE, "text/plain", "");
        connection_free(connection);
        return;
    }
    g_string_append_len(connection->body, data, (gssize)size);
}

static void
on_progress(void *context)
{
    struct connection *connection = context;
    // May end the connection.
    CmIntakeClient_Arriving(&connection->client, held_bytes(connection));
}

static void
on_message_complete(void *context)
{
    struct connection *connection = context;
    if (!CmIntakeClient_Begin(&connection->client, held_bytes(connection))) {
        write_response(connection, STATUS_UNAVAILABLE, "text/plain", "");
        next_request(connection);
        return;
    }
    const char *path = CmH1Conn_Head(&connection->h1_conn)->target->str;
    if (strcmp(path, CM_LEASE_PATH) == 0) {
        if (handle_lease(connection)) {
            return;
        }
    }
    else if (strcmp(path, CM_RELEASE_PATH) == 0) {
        handle_release(connection);
    }
    else if (strcmp(path, "/metrics") == 0) {
        handle_metrics(connection);
    }
    else {
        write_response(connection, STATUS_NOT_FOUND, "text/plain", "");
    }
    next_request(connection);
}

static void
on_closed(void *context, enum cm_h1_close_reason reason)
{
    struct connection *connection = context;
    if (connection->waiting != NULL) {
        gateway_lease_free(connection->waiting);
    }
    connection_free(connection);
}

static const struct cm_h1_handler handler = {.head = on_head,
                                             .body = on_body,
                                             .progress = on_progress,
                                             .message_complete =
                                                 on_message_complete,
                                             .closed = on_closed};

/// Ends a connection without a lease request, so that others can be served.
static void
on_end(struct cm_intake_client *client, enum cm_intake_client_end why)
{
    struct connection *connection =
        (struct connection *)((char *)client -
                              offsetof(struct connection, client));
    CmH1Conn_Finish(&connection->h1_conn);
    connection_free(connection);
}

static void
on_accept(void *context, evutil_socket_t fd)
{
    struct slots *slots = context;
    if (!CmIntake_MakeRoom(&slots->intake, 0)) {
        evutil_closesocket(fd);
        return;
    }
    struct connection *connection = g_new0(struct connection, 1);
    connection->slots = slots;
    connection->body = g_string_new(NULL);
    CmIntakeClient_Init(&connection->client, &slots->intake, on_end);
    LIST_INSERT_HEAD(&slots->connections, connection, link);
    CmH1Conn_Accept(&connection->h1_conn, slots->base, fd, &handler,
                    connection);
}

static void
free_lease_value(void *lease)
{
    gateway_lease_free(lease);
}

static void
on_prefill_timer(evutil_socket_t fd, short what, void *context)
{
    LeaseServer_GrantHeldBack(context);
}

gboolean
LeaseServer_Listen(struct slots *slots, GError **error)
{
    slots->prefill_timer = evtimer_new(slots->base, on_prefill_timer, slots);
    CmIntake_Init(&slots->intake, &slots->memory, slots->clock,
                  slots->settings.files * CLIENT_FILES_PERCENT / 100);
    const struct cm_slot_agent_settings *settings = &slots->settings;
    slots->active_leases =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_lease_value);
    slots->gateways =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return CmH1Listener_Init(&slots->lease_listener, slots->base,
                             settings->listen, on_accept, slots, error) &&
           CmH1Listener_Init(&slots->admin_listener, slots->base,
                             settings->common.admin, on_accept, slots, error);
}

void
LeaseServer_Finish(struct slots *slots)
{
    if (slots->prefill_timer != NULL) {
        event_free(slots->prefill_timer);
        slots->prefill_timer = NULL;
    }
    CmH1Listener_Finish(&slots->lease_listener);
    CmH1Listener_Finish(&slots->admin_listener);
    struct connection *connection;
    while ((connection = LIST_FIRST(&slots->connections)) != NULL) {
        on_closed(connection, CM_H1_CLOSED);
    }
    g_hash_table_destroy(slots->active_leases);
    g_hash_table_destroy(slots->gateways);
}

static gboolean
is_expired(void *key, void *value, void *now)
{
    const struct gateway_lease *lease = value;
    return CmTime_DiffMs(*(struct timespec *)now,
                         lease->slot_lease.requested_at) > LEASE_MAX_MS;
}

static gboolean
is_inactive(void *key, void *value, void *now)
{
    return CmTime_DiffMs(*(struct timespec *)now,
                         *(const struct timespec *)value) > GATEWAY_TIMEOUT_MS;
}

void
LeaseServer_ExpireLeases(struct slots *slots)
{
    struct timespec now = Slots_Now(slots);
    g_hash_table_foreach_remove(slots->gateways, is_inactive, &now);
    guint expired =
        g_hash_table_foreach_remove(slots->active_leases, is_expired, &now);
    if (expired > 0) {
        CmLog_Event(G_LOG_LEVEL_INFO, "lease", NULL,
                    "%u leases were not ended by their gateways and expired",
                    expired);
    }
}

void
LeaseServer_UpdateBacklog(struct slots *slots)
{
    struct timespec now = Slots_Now(slots);
    double pending_tokens = 0;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, slots->active_leases);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct gateway_lease *lease = value;
        const struct engine_run *run =
            g_hash_table_lookup(slots->engine.runs, lease->id);
        if (run != NULL) {
            lease->seen_running = true;
            pending_tokens +=
                run->events > 0
                    ? 0
                    : MAX(lease->prompt_tokens - run->prefilled_tokens, 0);
        }
        else if (!lease->seen_running &&
                 CmTime_DiffMs(now, lease->granted_at) < RUN_VISIBLE_MS) {
            pending_tokens += (double)lease->prompt_tokens;
        }
    }
    slots->backlog_ms = pending_tokens / CM_PREFILL_TOKENS_PER_MS;
    slots->backlog_updated_at = now;
}

void
LeaseServer_UpdateRoom(struct slots *slots)
{
    const struct engine *engine = &slots->engine;
    CmEngineRoom_Report(&slots->room, engine->report.memory_total,
                        engine->report.memory_used, Slots_Now(slots));
    GHashTableIter iter;
    void *id;
    void *value;
    g_hash_table_iter_init(&iter, engine->previous_runs);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const struct engine_run *run = value;
        if (!g_hash_table_contains(engine->runs, id)) {
            struct cm_room_stream ended = {.tokens = run->prefilled_tokens,
                                           .events = (double)run->events};
            CmEngineRoom_StreamEnded(&slots->room, &ended);
        }
    }
    GArray *streams = g_array_new(FALSE, FALSE, sizeof(struct cm_room_stream));
    add_running_streams(slots, streams);
    CmEngineRoom_LearnShare(
        &slots->room, (const struct cm_room_stream *)(void *)streams->data,
        streams->len);
    g_array_free(streams, TRUE);
}
