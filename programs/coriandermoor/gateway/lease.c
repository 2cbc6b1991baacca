/// @file lease.c
/// Lease, release and model load calls to agents.

#include "lease.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "h1/writer.h"

/// Longest idle time of a pooled connection that is reused. Agents keep idle
/// connections open at least this long.
#define IDLE_MAX_MS 20000
/// Time without lease requests to an agent that did not reply.
#define AGENT_BACKOFF_MS 1000
#define STATUS_OK 200

static bool
on_head(void *context, const struct cm_h1_head *head)
{
    struct request *request = context;
    request->lease.status = head->status;
    return true;
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct request *request = context;
    g_string_append_len(request->lease.body, data, (gssize)size);
}

/// Updates the target's state from the agent's reply.
/// @param why receives the reason if the lease is denied.
/// @return whether the lease is granted.
static bool
apply_reply(struct request *request, const char **why)
{
    struct lease *lease = &request->lease;
    struct cm_lease_reply reply;
    if (lease->status != STATUS_OK ||
        !CmLeaseReply_Decode(&reply, lease->body->str, lease->body->len)) {
        *why = "the agent's reply is malformed";
        return false;
    }
    struct timespec now = Gateway_Now(request->gateway);
    bool granted = reply.outcome == CM_LEASE_OUTCOME_HELD;
    struct cm_agent_report report = {.slot_wait_ms = reply.slot_wait_ms,
                                     .backlog_ms = (double)reply.backlog_ms,
                                     .received_at = now};
    CmTarget_SetReportedLoad(lease->target, reply.running, reply.waiting, now);
    if (reply.outcome == CM_LEASE_OUTCOME_DOWN && reply.lacks_model == 1) {
        lease->target->has_model = false;
        lease->target->model_missing_since = now;
    }
    if (reply.outcome != CM_LEASE_OUTCOME_BUSY) {
        CmTarget_SetResident(lease->target, request->parsed.adapter, granted,
                             now);
    }
    // The agent has seen a later start than the list of targets shows.
    if (reply.started_ms > lease->target->started_ms &&
        lease->target->started_ms > 0) {
        *why = "the engine has started again";
        lease->granted = granted; // to be released
        return false;
    }
    lease->target->agent_report = report;
    Gateway_UpdateGatewayCount(request->gateway, reply.gateways);
    lease->busy = reply.outcome == CM_LEASE_OUTCOME_BUSY;
    lease->late = reply.outcome == CM_LEASE_OUTCOME_LATE;
    lease->version = MAX(lease->version, reply.version);
    *why = CmLeaseOutcome_Name(reply.outcome);
    return granted;
}

static void
release_target(struct lease *lease)
{
    if (lease->target != NULL) {
        CmTarget_Unref(lease->target);
        lease->target = NULL;
    }
    lease->granted = false;
}

void
Lease_MarkAgentDown(struct request *request)
{
    request->lease.target->agent_down_until =
        CmTime_AddMs(Gateway_Now(request->gateway), AGENT_BACKOFF_MS);
}

static void
on_end(void *context, enum cm_h1_call_result end)
{
    struct request *request = context;
    const char *why = "no complete reply from the agent";
    request->lease.busy = false;
    if (end != CM_H1_CALL_COMPLETE) {
        Lease_MarkAgentDown(request);
        Request_LeaseDenied(request, why);
        return;
    }
    if (!apply_reply(request, &why)) {
        Request_LeaseDenied(request, why);
        return;
    }
    request->lease.granted = true;
    Request_LeaseGranted(request);
}

static const struct cm_h1_call_handler call_handler = {on_head, on_body,
                                                       on_end};

/// @param host address of the agent.
/// @return a call whose message is to be freed.
static struct cm_h1_call_request
compose_post(struct gateway *gateway, const char *path, const char *host,
             const char *body)
{
    GString *message = g_string_new(NULL);
    uint64_t id = CmH1Pool_NextCallId(&gateway->pool);
    CmH1Writer_Request(message, "POST", path);
    CmH1Writer_Header(message, "Host", host);
    CmH1Writer_CallId(message, id);
    CmH1Writer_Body(message, body, strlen(body));
    return (struct cm_h1_call_request){.address = host,
                                       .message = message,
                                       .idle_max_ms = IDLE_MAX_MS,
                                       .call_id = id,
                                       .body_max_bytes =
                                           CM_LEASE_REPLY_MAX_BYTES};
}

bool
Lease_Acquire(struct request *request, struct cm_live_target *target,
              const struct lease_limits *limits)
{
    struct lease *lease = &request->lease;
    struct gateway *gateway = request->gateway;
    const struct cm_service_spec *spec =
        CmCatalog_FindService(request->catalog, request->service);
    struct cm_lease_request lease_request = {
        .id = request->parsed.id,
        .gateway = (char *)gateway->settings.common.name,
        .target = target->id,
        .tokens = request->parsed.prompt_tokens,
        .output_tokens = MAX(request->parsed.max_output_tokens, 0),
        .model = request->parsed.model,
        .adapter = request->parsed.adapter,
        .reports = gateway->settings.load_reports
                       ? (char *)gateway->settings.streams
                       : NULL,
        .version =
            CmTargets_Version(&gateway->targets, request->parsed.adapter),
        .priority = request->priority,
        .adapter_slots = spec != NULL ? spec->engine.adapter_slots : 1,
        .wait_ms = limits->wait_ms,
        .max_queue_wait_ms = limits->max_queue_wait_ms,
        .on_time_ms = limits->on_time_ms,
        .target_gap_ms = request->route->target_gap_ms,
        .slot_wait_max_ms = limits->slot_wait_max_ms,
    };
    char *body = CmLeaseRequest_Encode(&lease_request);
    struct cm_h1_call_request call =
        compose_post(gateway, CM_LEASE_PATH, target->agent_address, body);
    lease->target = CmTarget_Ref(target);
    lease->version = lease_request.version;
    lease->granted = false;
    lease->late = false;
    if (lease->body == NULL) {
        lease->body = g_string_new(NULL);
    }
    g_string_truncate(lease->body, 0);
    gateway->count.leases.value++;
    bool started = CmH1Call_Start(&lease->call, &gateway->pool, &call,
                                  &call_handler, request);
    if (!started) {
        release_target(lease);
    }
    g_string_free((GString *)call.message, TRUE);
    free(body);
    return started;
}

/// A release call. Its response is ignored.
struct release_call {
    LIST_ENTRY(release_call) link;
    struct cm_h1_call call;
    struct event *timer;
};

/// Timeout of a release call.
#define RELEASE_TIMEOUT_MS 3000
/// Timeout of a model load call.
#define MODEL_LOAD_TIMEOUT_MS 800

static bool
accept_head(void *context, const struct cm_h1_head *head)
{
    return true;
}

static void
release_call_free(struct release_call *release)
{
    LIST_REMOVE(release, link);
    CmH1Call_Cancel(&release->call);
    event_free(release->timer);
    g_free(release);
}

static void
on_release_end(void *context, enum cm_h1_call_result end)
{
    // A lost release is harmless: the lease expires at the agent.
    release_call_free(context);
}

static void
on_release_timeout(evutil_socket_t fd, short what, void *context)
{
    release_call_free(context);
}

static const struct cm_h1_call_handler release_handler = {accept_head, NULL,
                                                          on_release_end};

static void
send_release(struct gateway *gateway, const char *address, const char *path,
             const char *body)
{
    struct release_call *release = g_new0(struct release_call, 1);
    LIST_INSERT_HEAD(&gateway->release_calls, release, link);
    release->timer = evtimer_new(gateway->base, on_release_timeout, release);
    struct timeval timeout = CmTime_Timeval(RELEASE_TIMEOUT_MS);
    evtimer_add(release->timer, &timeout);
    struct cm_h1_call_request call =
        compose_post(gateway, path, address, body);
    if (!CmH1Call_Start(&release->call, &gateway->pool, &call,
                        &release_handler, release)) {
        release_call_free(release);
    }
    g_string_free((GString *)call.message, TRUE);
}

void
Lease_Release(struct request *request)
{
    struct lease *lease = &request->lease;
    if (lease->target == NULL) {
        return;
    }
    if (CmH1Call_Active(&lease->call)) {
        // The agent ends a lease whose connection closes.
        CmH1Call_Cancel(&lease->call);
    }
    else if (lease->granted) {
        send_release(request->gateway, lease->target->agent_address,
                     CM_RELEASE_PATH, request->parsed.id);
    }
    release_target(lease);
}

bool
Lease_IsOutdated(const struct request *request)
{
    const struct lease *lease = &request->lease;
    return lease->granted &&
           lease->version < CmTargets_Version(&request->gateway->targets,
                                              request->parsed.adapter);
}

void
Lease_HandOver(struct request *request)
{
    request->attempt.leased = request->lease.granted;
    release_target(&request->lease);
}

void
Lease_ReleaseAttempt(struct request *request)
{
    struct attempt *attempt = &request->attempt;
    if (attempt->leased) {
        send_release(request->gateway, attempt->target->agent_address,
                     CM_RELEASE_PATH, request->parsed.id);
        attempt->leased = false;
    }
}

/// A call that asks an agent to load the engine's base model.
struct model_load_call {
    LIST_ENTRY(model_load_call) link;
    struct cm_h1_call call;
    struct event *timer;
    struct cm_live_target *target;
    int status;
    GString *body;
};

static void
model_load_call_free(struct model_load_call *load)
{
    LIST_REMOVE(load, link);
    CmH1Call_Cancel(&load->call);
    event_free(load->timer);
    load->target->model_requested = false;
    CmTarget_Unref(load->target);
    g_string_free(load->body, TRUE);
    g_free(load);
}

static bool
on_model_head(void *context, const struct cm_h1_head *head)
{
    struct model_load_call *load = context;
    load->status = head->status;
    return true;
}

static void
on_model_body(void *context, const void *data, size_t size)
{
    struct model_load_call *load = context;
    g_string_append_len(load->body, data, (gssize)size);
}

static void
on_model_end(void *context, enum cm_h1_call_result end)
{
    struct model_load_call *load = context;
    struct cm_lease_reply reply;
    if (end == CM_H1_CALL_COMPLETE && load->status == STATUS_OK &&
        CmLeaseReply_Decode(&reply, load->body->str, load->body->len) &&
        reply.outcome == CM_LEASE_OUTCOME_HELD) {
        CmLog_Event(G_LOG_LEVEL_INFO, "targets", NULL,
                    "%s at %s has loaded its base model", load->target->id,
                    load->target->address);
        load->target->has_model = true;
    }
    model_load_call_free(load);
}

static void
on_model_timeout(evutil_socket_t fd, short what, void *context)
{
    model_load_call_free(context);
}

static const struct cm_h1_call_handler model_handler = {
    on_model_head, on_model_body, on_model_end};

void
Lease_LoadBaseModel(struct gateway *gateway, struct cm_live_target *target,
                    const char *model)
{
    if (target->model_requested) {
        return;
    }
    struct cm_lease_request lease_request = {
        .id = "",
        .gateway = (char *)gateway->settings.common.name,
        .target = target->id,
        .model = (char *)model};
    char *body = CmLeaseRequest_Encode(&lease_request);
    struct cm_h1_call_request call =
        compose_post(gateway, CM_LEASE_PATH, target->agent_address, body);
    free(body);
    struct model_load_call *load = g_new0(struct model_load_call, 1);
    LIST_INSERT_HEAD(&gateway->model_load_calls, load, link);
    load->target = CmTarget_Ref(target);
    load->body = g_string_new(NULL);
    load->timer = evtimer_new(gateway->base, on_model_timeout, load);
    struct timeval timeout = CmTime_Timeval(MODEL_LOAD_TIMEOUT_MS);
    evtimer_add(load->timer, &timeout);
    target->model_requested = true;
    if (!CmH1Call_Start(&load->call, &gateway->pool, &call, &model_handler,
                        load)) {
        model_load_call_free(load);
    }
    g_string_free((GString *)call.message, TRUE);
}

void
Lease_CancelCalls(struct gateway *gateway)
{
    struct release_call *release;
    while ((release = LIST_FIRST(&gateway->release_calls)) != NULL) {
        release_call_free(release);
    }
    struct model_load_call *load;
    while ((load = LIST_FIRST(&gateway->model_load_calls)) != NULL) {
        model_load_call_free(load);
    }
}
