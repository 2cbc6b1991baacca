/// @file endpoints.c
/// HTTP endpoints for readiness, metrics and snapshots.

#include "endpoints.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "crash_watch.h"
#include "base/log.h"
#include "h1/conn.h"
#include "memory/intake.h"
#include "h1/writer.h"
#include "peer_fetch.h"
#include "peer_gossip.h"
#include "quotas.h"
#include "rate_limits.h"
#include "retry_budget.h"
#include "snapshot.h"
#include "target_notices.h"

#define QUARANTINE_PATH "/quarantine"
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_BAD_REQUEST 400
#define STATUS_TOO_LARGE 413
#define STATUS_UNAVAILABLE 503
/// Share of the process's file descriptors that connections to endpoints may
/// use: each of 420 gateways has one to each that decides for all.
#define ENDPOINT_FILES_PERCENT 20
/// Memory of a body that is kept for the next one.
#define BODY_KEPT_BYTES ((gsize)4096)

/// One connection to an endpoint. Each address has one response for all paths,
/// except for crash records and facts at the control address and for refused
/// contents at the admin address.
struct endpoint_conn {
    LIST_ENTRY(endpoint_conn) link;
    struct gateway *gateway;
    struct cm_h1_conn conn;
    struct cm_intake_client client;
    GString *body; ///< of the current request
    void (*answer)(struct endpoint_conn *endpoint);
};

static void
write_text(struct endpoint_conn *endpoint, int status, const char *text)
{
    GString *out = g_string_new(NULL);
    CmH1Writer_Response(out, status);
    CmH1Writer_Header(out, "Content-Type", "text/plain");
    CmH1Writer_RepeatCallId(out, CmH1Conn_Head(&endpoint->conn));
    CmH1Writer_Body(out, text, strlen(text));
    CmH1Conn_Write(&endpoint->conn, out->str, out->len);
    g_string_free(out, TRUE);
}

/// Responds 200 while requests can be placed, keys can be accepted and no
/// shutdown has begun, else 503.
static void
answer_ready(struct endpoint_conn *endpoint)
{
    const struct gateway *gateway = endpoint->gateway;
    bool ready = Gateway_CanServe(gateway) && !gateway->shutdown.active &&
                 Admission_AcceptsKeys(endpoint->gateway);
    write_text(endpoint, ready ? STATUS_OK : STATUS_UNAVAILABLE,
               ready ? "ready\n" : "not ready\n");
}

static void
update_memory(struct gateway *gateway)
{
    struct gateway_counters *count = &gateway->count;
    const struct cm_memory_budget *memory = &gateway->memory;
    count->held_bytes.value = (int64_t)CmMemoryBudget_Total(memory);
    count->memory_releases.value = 0;
    for (size_t i = 0; i < CM_MEMORY_CLASSES; i++) {
        count->memory_releases.value += memory->classes[i].released;
    }
    count->memory_refusals.value = memory->classes[CM_MEMORY_REQUESTS].denied;
    count->evictions.value =
        gateway->callers_intake.evicted + gateway->endpoints_intake.evicted;
}

static void
answer_metrics(struct endpoint_conn *endpoint)
{
    GString *text = g_string_new(NULL);
    struct gateway *gateway = endpoint->gateway;
    gateway->count.quarantined.value = (int64_t)gateway->quarantine.n_refused;
    gateway->count.on_trial.value = (int64_t)gateway->quarantine.n_on_trial;
    gateway->count.stream_records.value =
        g_hash_table_size(gateway->stream_records.by_id);
    gateway->count.limited_targets.value = (int64_t)gateway->limits.n_named;
    gateway->count.slow_targets.value =
        (int64_t)CmTargets_CountSlow(&gateway->targets, Gateway_Now(gateway));
    gateway->count.known_gateways.value = gateway->n_gateways;
    const struct cm_roster *roster = &gateway->gossip.roster;
    gateway->count.peers.value = roster->peers->len;
    gateway->count.candidates.value =
        (int64_t)CmRoster_CountCandidates(roster);
    TargetNotices_UpdateGauges(gateway);
    update_memory(gateway);
    CmCounters_Write(&gateway->count.all, text);
    CmHistogram_Write(endpoint->gateway->latency, N_LATENCIES, text);
    write_text(endpoint, STATUS_OK, text->str);
    g_string_free(text, TRUE);
}

/// Responds to a message of another gateway.
static void
answer_message(struct endpoint_conn *endpoint,
               char *(*answer)(struct gateway *gateway,
                               const GString *message))
{
    char *text = answer(endpoint->gateway, endpoint->body);
    if (text != NULL) {
        endpoint->gateway->count.gossip_bytes.value += (int64_t)strlen(text);
    }
    write_text(endpoint, text != NULL ? STATUS_OK : STATUS_BAD_REQUEST,
               text != NULL ? text : "malformed message\n");
    free(text);
}

/// A list of verdicts that is being composed.
struct verdict_list {
    json_t *verdicts;
    struct timespec now;
};

static void
append_verdict(void *context, const struct cm_suspect *suspect)
{
    const struct verdict_list *list = context;
    json_array_append_new(
        list->verdicts,
        json_pack("{s:s,s:i,s:b,s:i,s:i,s:i,s:s,s:I}", "content",
                  suspect->content, "prompt_position", suspect->position,
                  "refused", (int)suspect->refused, "refused_together",
                  suspect->group_size, "crashes", suspect->crashes, "trials",
                  suspect->trials, "observers", suspect->observers,
                  "last_crash_ms_ago",
                  (json_int_t)CmTime_DiffMs(list->now, suspect->last_crash)));
}

/// Lists the contents and parts of prompts that are refused or on trial, with
/// the parts' positions in prompts (0 for contents), or clears one of them:
/// DELETE of its name below this path.
static void
answer_quarantine(struct endpoint_conn *endpoint)
{
    struct gateway *gateway = endpoint->gateway;
    const struct cm_h1_head *head = CmH1Conn_Head(&endpoint->conn);
    const char *content = head->target->str + strlen(QUARANTINE_PATH);
    if (strcmp(head->method, "DELETE") == 0) {
        bool known = *content == '/' && CrashWatch_Lift(gateway, content + 1);
        write_text(endpoint, known ? STATUS_OK : STATUS_NOT_FOUND,
                   known ? "lifted\n" : "this content is not refused\n");
        return;
    }
    struct verdict_list list = {json_array(), Gateway_Now(gateway)};
    CmQuarantine_ForEach(&gateway->quarantine, append_verdict, &list);
    char *text = json_dumps(list.verdicts, JSON_INDENT(1));
    write_text(endpoint, STATUS_OK, text);
    free(text);
    json_decref(list.verdicts);
}

static void
answer_admin(struct endpoint_conn *endpoint)
{
    const struct cm_h1_head *head = CmH1Conn_Head(&endpoint->conn);
    if (g_str_has_prefix(head->target->str, QUARANTINE_PATH)) {
        answer_quarantine(endpoint);
    }
    else {
        answer_metrics(endpoint);
    }
}

/// Responds with a text that is freed then, or 503 for NULL.
static void
write_json(struct endpoint_conn *endpoint, char *text)
{
    write_text(endpoint, text != NULL ? STATUS_OK : STATUS_UNAVAILABLE,
               text != NULL ? text : "nothing is known yet\n");
    free(text);
}

static void
answer_control(struct endpoint_conn *endpoint)
{
    const struct cm_h1_head *head = CmH1Conn_Head(&endpoint->conn);
    if (strcmp(head->target->str, GOSSIP_PATH) == 0) {
        answer_message(endpoint, PeerGossip_Answer);
    }
    else if (strcmp(head->target->str, RATE_LIMITS_PATH) == 0) {
        answer_message(endpoint, RateLimits_Answer);
    }
    else if (strcmp(head->target->str, QUOTAS_PATH) == 0) {
        answer_message(endpoint, Quotas_Answer);
    }
    else if (strcmp(head->target->str, RETRY_PERMITS_PATH) == 0) {
        answer_message(endpoint, RetryBudget_Answer);
    }
    else if (strcmp(head->target->str, FACTS_PATH) == 0) {
        write_json(endpoint, Snapshot_ComposeFacts(endpoint->gateway));
    }
    else {
        write_json(endpoint, Snapshot_Compose(endpoint->gateway));
    }
}

static void
endpoint_conn_free(struct endpoint_conn *endpoint)
{
    LIST_REMOVE(endpoint, link);
    CmIntakeClient_Finish(&endpoint->client);
    g_string_free(endpoint->body, TRUE);
    CmH1Conn_FinishAfterWrite(&endpoint->conn);
    g_free(endpoint);
}

static void
on_head(void *context, const struct cm_h1_head *head)
{
    struct endpoint_conn *endpoint = context;
    g_string_truncate(endpoint->body, 0);
}

/// Sends an error response and closes the connection.
static void
reject(struct endpoint_conn *endpoint, int status, const char *reason)
{
    CmLog_Event(G_LOG_LEVEL_WARNING, "endpoints", NULL,
                "request rejected with status %d, connection closed: %s",
                status, reason);
    write_text(endpoint, status, reason);
    endpoint_conn_free(endpoint);
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct endpoint_conn *endpoint = context;
    if (endpoint->body->len + size > CM_EXCHANGE_BYTES_MAX) {
        reject(endpoint, STATUS_TOO_LARGE, "the body is too large\n");
        return;
    }
    g_string_append_len(endpoint->body, data, (gssize)size);
}

static size_t
held_bytes(const struct endpoint_conn *endpoint)
{
    return CmH1Conn_HeldInput(&endpoint->conn) + endpoint->body->allocated_len;
}

static void
on_progress(void *context)
{
    struct endpoint_conn *endpoint = context;
    // May end the connection.
    CmIntakeClient_Arriving(&endpoint->client, held_bytes(endpoint));
}

static void
on_message_complete(void *context)
{
    struct endpoint_conn *endpoint = context;
    bool keep = CmH1Conn_Head(&endpoint->conn)->keep_alive;
    if (!CmIntakeClient_Begin(&endpoint->client, held_bytes(endpoint))) {
        reject(endpoint, STATUS_UNAVAILABLE, "no memory for the request\n");
        return;
    }
    endpoint->answer(endpoint);
    if (!keep) {
        endpoint_conn_free(endpoint);
        return;
    }
    if (endpoint->body->allocated_len > BODY_KEPT_BYTES) {
        g_string_free(endpoint->body, TRUE);
        endpoint->body = g_string_new(NULL);
    }
    CmIntakeClient_BecomeIdle(&endpoint->client, held_bytes(endpoint));
    CmH1Conn_ReadNext(&endpoint->conn);
}

static void
on_closed(void *context, enum cm_h1_close_reason reason)
{
    endpoint_conn_free(context);
}

static const struct cm_h1_handler handler = {.head = on_head,
                                             .body = on_body,
                                             .progress = on_progress,
                                             .message_complete =
                                                 on_message_complete,
                                             .closed = on_closed};

/// Ends a connection so that others can be served.
static void
on_end(struct cm_intake_client *client, enum cm_intake_client_end why)
{
    struct endpoint_conn *endpoint =
        (struct endpoint_conn *)((char *)client -
                                 offsetof(struct endpoint_conn, client));
    CmH1Conn_Finish(&endpoint->conn);
    endpoint_conn_free(endpoint);
}

static void
accept_conn(struct gateway *gateway, evutil_socket_t fd,
            void (*answer)(struct endpoint_conn *endpoint))
{
    gateway->endpoints_intake.max =
        gateway->settings.files * ENDPOINT_FILES_PERCENT / 100;
    if (!CmIntake_MakeRoom(&gateway->endpoints_intake, 0)) {
        evutil_closesocket(fd);
        return;
    }
    struct endpoint_conn *endpoint = g_new0(struct endpoint_conn, 1);
    LIST_INSERT_HEAD(&gateway->endpoint_conns, endpoint, link);
    endpoint->gateway = gateway;
    endpoint->answer = answer;
    endpoint->body = g_string_new(NULL);
    CmIntakeClient_Init(&endpoint->client, &gateway->endpoints_intake, on_end);
    CmH1Conn_Accept(&endpoint->conn, gateway->base, fd, &handler, endpoint);
}

static void
on_ready_accept(void *context, evutil_socket_t fd)
{
    accept_conn(context, fd, answer_ready);
}

static void
on_admin_accept(void *context, evutil_socket_t fd)
{
    accept_conn(context, fd, answer_admin);
}

static void
on_control_accept(void *context, evutil_socket_t fd)
{
    accept_conn(context, fd, answer_control);
}

static void
init_histograms(struct gateway *gateway)
{
    static const char *const labels[N_LATENCIES] = {
        [LATENCY_LEASE] = "until=\"leased\"",
        [LATENCY_FIRST_EVENT] = "until=\"first-event\"",
        [LATENCY_STREAM] = "until=\"stream-end\"",
        [LATENCY_RESPONSE] = "until=\"answer\"",
        [LATENCY_LOCAL] = "until=\"own-answer\"",
    };
    for (size_t i = 0; i < N_LATENCIES; i++) {
        CmHistogram_Init(&gateway->latency[i], "cm_gateway_latency_seconds",
                         "Time from a request's arrival, by what ended it.",
                         labels[i]);
    }
}

void
Endpoints_InitCounters(struct gateway *gateway)
{
    init_histograms(gateway);
    struct gateway_counters *count = &gateway->count;
    struct cm_counters *all = &count->all;
    CmCounters_Init(all);
    CmCounters_Add(all, &count->requests, "cm_gateway_requests_total",
                   "Requests of callers.");
    CmCounters_Add(all, &count->answered, "cm_gateway_answered_total",
                   "Requests answered by a target.");
    CmCounters_Add(all, &count->refused, "cm_gateway_refused_total",
                   "Requests refused that have not run.");
    CmCounters_Add(all, &count->failed, "cm_gateway_failed_total",
                   "Requests answered by a failure of the gateway's own.");
    CmCounters_Add(all, &count->cut, "cm_gateway_cut_total",
                   "Streams broken off.");
    CmCounters_Add(all, &count->abandoned, "cm_gateway_abandoned_total",
                   "Requests whose caller left.");
    CmCounters_Add(all, &count->sends, "cm_gateway_sends_total",
                   "Attempts sent to targets.");
    CmCounters_Add(all, &count->retries, "cm_gateway_repeats_total",
                   "Attempts that followed another one.");
    CmCounters_Add(all, &count->retries_sent, "cm_gateway_retries_sent_total",
                   "Attempts sent to targets beyond the first of a request.");
    CmCounters_Add(all, &count->retries_denied,
                   "cm_gateway_retries_denied_total",
                   "Retries that the budgets of services did not allow.");
    CmCounters_Add(all, &count->retries_by_permit,
                   "cm_gateway_retries_by_permit_total",
                   "Retries sent with a permit of the retry reserve.");
    CmCounters_Add(all, &count->retry_claims, "cm_gateway_retry_claims_total",
                   "Claims for permits of the retry reserve.");
    CmCounters_Add(all, &count->retry_grants, "cm_gateway_retry_grants_total",
                   "Permits of the retry reserve granted to all gateways.");
    CmCounters_AddGauge(all, &count->known_gateways,
                        "cm_gateway_known_gateways",
                        "Live gateways, as agents report them.");
    CmCounters_AddGauge(all, &count->peers, "cm_gateway_peers",
                        "Other gateways that this one knows.");
    CmCounters_AddGauge(all, &count->candidates, "cm_gateway_candidates",
                        "Gateways that may decide for all, whether or not "
                        "they respond.");
    CmCounters_Add(all, &count->contested_grants,
                   "cm_gateway_contested_grants_total",
                   "Claims answered while another gateway may decide, too.");
    CmCounters_Add(all, &count->introductions,
                   "cm_gateway_introductions_total",
                   "Datagrams to agents that introduce gateways.");
    CmCounters_Add(all, &count->leases, "cm_gateway_leases_total",
                   "Adapters asked for at agents.");
    CmCounters_Add(all, &count->store_restores,
                   "cm_gateway_store_restores_total",
                   "Returns of the store from an older copy.");
    CmCounters_Add(all, &count->target_crashes,
                   "cm_gateway_target_crashes_total",
                   "Targets that crashed and cut off requests.");
    CmCounters_Add(all, &count->quarantine_refusals,
                   "cm_gateway_quarantine_refusals_total",
                   "Requests refused as their content crashes targets.");
    CmCounters_Add(all, &count->trials, "cm_gateway_trials_total",
                   "Contents on trial that were run alone.");
    CmCounters_Add(all, &count->trial_refusals,
                   "cm_gateway_trial_refusals_total",
                   "Requests refused as their content is on trial.");
    CmCounters_Add(all, &count->parts_cleared,
                   "cm_gateway_prompt_parts_cleared_total",
                   "Suspected parts of prompts that targets survived.");
    CmCounters_Add(all, &count->gossip_bytes, "cm_gateway_gossip_bytes_total",
                   "Bytes of crash records and polls sent to gateways.");
    CmCounters_AddGauge(all, &count->quarantined,
                        "cm_gateway_quarantined_contents",
                        "Contents that are refused.");
    CmCounters_AddGauge(all, &count->on_trial, "cm_gateway_contents_on_trial",
                        "Contents that may only be run alone.");
    CmCounters_AddGauge(all, &count->leaving_targets,
                        "cm_gateway_leaving_targets",
                        "Targets that say that they leave.");
    CmCounters_AddGauge(all, &count->paused_targets,
                        "cm_gateway_paused_targets",
                        "Targets that asked for a pause.");
    CmCounters_Add(all, &count->places_kept, "cm_gateway_places_kept_total",
                   "Requests that were placed again, as it was too late to "
                   "refuse them.");
    CmCounters_Add(all, &count->pause_refusals,
                   "cm_gateway_pause_refusals_total",
                   "Requests refused as all targets asked for a pause.");
    CmCounters_AddGauge(all, &count->limited_targets,
                        "cm_gateway_limited_targets",
                        "Targets that name a rate limit.");
    CmCounters_Add(all, &count->pace_figures, "cm_gateway_pace_figures_total",
                   "Responses that say how long work takes at the target.");
    CmCounters_AddGauge(all, &count->slow_targets, "cm_gateway_slow_targets",
                        "Targets where work takes at least 1.5 times as long "
                        "as usual.");
    CmCounters_Add(all, &count->limit_permits,
                   "cm_gateway_limit_permits_total",
                   "Attempts sent with a permit of a target's rate limit.");
    CmCounters_Add(all, &count->limit_claims, "cm_gateway_limit_claims_total",
                   "Claims for permits.");
    CmCounters_Add(all, &count->limit_grants, "cm_gateway_limit_grants_total",
                   "Permits granted to all gateways.");
    CmCounters_Add(all, &count->limit_refusals,
                   "cm_gateway_limit_refusals_total",
                   "Requests refused as targets are at their rate limits.");
    CmCounters_Add(all, &count->streams_resumed,
                   "cm_gateway_streams_resumed_total",
                   "Requests of callers that resume a stream.");
    CmCounters_Add(all, &count->streams_unknown,
                   "cm_gateway_streams_unknown_total",
                   "Resumed streams refused as nobody knows the software "
                   "version that began them.");
    CmCounters_Add(all, &count->streams_gone, "cm_gateway_streams_gone_total",
                   "Streams that can't go on as no target of their software "
                   "version is left.");
    CmCounters_Add(all, &count->stream_record_bytes,
                   "cm_gateway_stream_record_bytes_total",
                   "Bytes of records and lookups of streams sent to agents.");
    CmCounters_AddGauge(all, &count->stream_records,
                        "cm_gateway_stream_records",
                        "Records of streams that this gateway keeps.");
    CmCounters_Add(all, &count->load_reports, "cm_gateway_load_reports_total",
                   "Reports of engines' load received from agents.");
    CmCounters_AddGauge(all, &count->connections, "cm_gateway_connections",
                        "Open connections of callers.");
    CmCounters_AddGauge(all, &count->held_bytes, "cm_gateway_held_bytes",
                        "Memory held for peers: requests, responses, and "
                        "output that is not read.");
    CmCounters_Add(all, &count->memory_releases,
                   "cm_gateway_memory_releases_total",
                   "Connections and responses ended as peers took too much "
                   "memory.");
    CmCounters_Add(all, &count->memory_refusals,
                   "cm_gateway_memory_refusals_total",
                   "Requests refused as requests in progress took too much "
                   "memory.");
    CmCounters_Add(all, &count->evictions, "cm_gateway_evictions_total",
                   "Connections without a request ended to make room.");
    CmCounters_AddGauge(all, &count->config_version,
                        "cm_gateway_config_version",
                        "Version of the configuration in force.");
    CmCounters_AddGauge(all, &count->config_age_ms, "cm_gateway_config_age_ms",
                        "Time since the store showed that the configuration "
                        "in force was the latest; -1 for never.");
    CmCounters_Add(all, &count->key_refusals, "cm_gateway_key_refusals_total",
                   "Requests refused for a missing, unknown or withdrawn "
                   "key.");
    CmCounters_Add(all, &count->age_refusals,
                   "cm_gateway_config_age_refusals_total",
                   "Requests refused as the configuration was too old to "
                   "accept keys.");
    CmCounters_Add(all, &count->quota_refusals,
                   "cm_gateway_quota_refusals_total",
                   "Requests beyond the quotas of their client accounts.");
    CmCounters_Add(all, &count->quota_reports,
                   "cm_gateway_quota_reports_total",
                   "Reports with claims sent to the arbiter of quotas.");
    CmCounters_Add(all, &count->quota_grants, "cm_gateway_quota_grants_total",
                   "Tokens or requests granted to gateways as the arbiter of "
                   "quotas.");
}

gboolean
Endpoints_Listen(struct gateway *gateway, GError **error)
{
    const struct cm_gateway_settings *settings = &gateway->settings;
    return CmH1Listener_Init(&gateway->ready_listener, gateway->base,
                             settings->ready, on_ready_accept, gateway,
                             error) &&
           CmH1Listener_Init(&gateway->admin_listener, gateway->base,
                             settings->common.admin, on_admin_accept, gateway,
                             error) &&
           (settings->control == NULL ||
            CmH1Listener_Init(&gateway->control_listener, gateway->base,
                              settings->control, on_control_accept, gateway,
                              error));
}

void
Endpoints_Finish(struct gateway *gateway)
{
    CmH1Listener_Finish(&gateway->ready_listener);
    CmH1Listener_Finish(&gateway->admin_listener);
    CmH1Listener_Finish(&gateway->control_listener);
    struct endpoint_conn *endpoint;
    while ((endpoint = LIST_FIRST(&gateway->endpoint_conns)) != NULL) {
        endpoint_conn_free(endpoint);
    }
}
