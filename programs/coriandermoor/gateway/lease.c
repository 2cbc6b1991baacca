/// @file lease.c
/// A request's claim on an adapter.

#include "lease.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "h1/writer.h"

/// An idle connection to an agent is good for at least this long.
#define IDLE_MAX_MS 20000
/// Time for which an agent that does not answer is left alone.
#define AGENT_DOWN_MS 1000
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

/// @return whether the agent granted the lease.
static bool
take_reply(struct request *request, const char **why)
{
    struct lease *lease = &request->lease;
    struct cm_lease_reply reply;
    if (lease->status != STATUS_OK ||
        !CmLeaseReply_Decode(&reply, lease->body->str, lease->body->len)) {
        *why = "the agent's answer is not understood";
        return false;
    }
    struct timespec now = Gateway_Now(request->gateway);
    bool held = reply.outcome == CM_LEASE_OUTCOME_HELD;
    struct cm_agent_report told = {.slot_wait_ms = reply.slot_wait_ms,
                                   .backlog_ms = (double)reply.backlog_ms,
                                   .received_at = now};
    CmTarget_SetReportedLoad(lease->target, reply.running, reply.waiting, now);
    if (reply.outcome == CM_LEASE_OUTCOME_DOWN && reply.lacks_model == 1) {
        lease->target->has_model = false;
        lease->target->model_missing_since = now;
    }
    if (reply.outcome != CM_LEASE_OUTCOME_BUSY) {
        CmTarget_SetResident(lease->target, request->asked.adapter, held, now);
    }
    lease->target->agent_report = told;
    Gateway_HeardOfGateways(request->gateway, reply.gateways);
    lease->busy = reply.outcome == CM_LEASE_OUTCOME_BUSY;
    *why = CmLeaseOutcome_Name(reply.outcome);
    return held;
}

static void
drop_target(struct lease *lease)
{
    if (lease->target != NULL) {
        CmTarget_Unref(lease->target);
        lease->target = NULL;
    }
    lease->held = false;
}

void
Lease_AgentIsDown(struct request *request)
{
    request->lease.target->agent_down_until =
        CmTime_AddMs(Gateway_Now(request->gateway), AGENT_DOWN_MS);
}

static void
on_end(void *context, enum cm_h1_call_result end)
{
    struct request *request = context;
    const char *why = "the agent does not answer";
    request->lease.busy = false;
    if (end != CM_H1_CALL_COMPLETE) {
        Lease_AgentIsDown(request);
        Request_NotLeased(request, why);
        return;
    }
    if (!take_reply(request, &why)) {
        Request_NotLeased(request, why);
        return;
    }
    request->lease.held = true;
    Request_Leased(request);
}

static const struct cm_h1_call_handler call_handler = {on_head, on_body,
                                                       on_end};

static GString *
compose(const char *path, const char *host, const char *body)
{
    GString *message = g_string_new(NULL);
    CmH1Writer_Request(message, "POST", path);
    CmH1Writer_Header(message, "Host", host);
    CmH1Writer_Body(message, body, strlen(body));
    return message;
}

bool
Lease_Ask(struct request *request, struct cm_live_target *target,
          const struct lease_limits *limits)
{
    struct lease *lease = &request->lease;
    struct gateway *gateway = request->gateway;
    const struct cm_service_spec *spec =
        CmCatalog_FindService(request->catalog, request->service);
    struct cm_lease_request ask = {
        .id = request->asked.id,
        .gateway = (char *)gateway->settings.common.name,
        .target = target->id,
        .tokens = request->asked.prompt_tokens,
        .model = request->asked.model,
        .adapter = request->asked.adapter,
        .version =
            CmTargets_Version(&gateway->targets, request->asked.adapter),
        .priority = request->route->priority,
        .slots = spec != NULL ? spec->engine.adapter_slots : 1,
        .wait_ms = limits->wait_ms,
        .max_queue_wait_ms = limits->ahead_max_ms,
        .on_time_ms = limits->on_time_ms,
    };
    char *body = CmLeaseRequest_Encode(&ask);
    GString *message = compose(CM_LEASE_PATH, target->agent_address, body);
    struct cm_h1_call_request call = {.address = target->agent_address,
                                      .message = message,
                                      .idle_max_ms = IDLE_MAX_MS};
    lease->target = CmTarget_Ref(target);
    lease->held = false;
    if (lease->body == NULL) {
        lease->body = g_string_new(NULL);
    }
    g_string_truncate(lease->body, 0);
    gateway->count.leases.value++;
    bool started = CmH1Call_Start(&lease->call, &gateway->pool, &call,
                                  &call_handler, request);
    if (!started) {
        drop_target(lease);
    }
    g_string_free(message, TRUE);
    free(body);
    return started;
}

/// A call whose answer interests nobody.
struct notice {
    LIST_ENTRY(notice) link;
    struct cm_h1_call call;
    struct event *timer;
};

/// Time after which a notice's call is given up.
#define NOTICE_TIMEOUT_MS 3000
/// The same for a question after a base model.
#define MODEL_ASK_TIMEOUT_MS 800

static bool
on_notice_head(void *context, const struct cm_h1_head *head)
{
    return true;
}

static void
notice_free(struct notice *notice)
{
    LIST_REMOVE(notice, link);
    CmH1Call_Cancel(&notice->call);
    event_free(notice->timer);
    g_free(notice);
}

static void
on_notice_end(void *context, enum cm_h1_call_result end)
{
    // A lost notice is harmless: the agent's own limits end the claim.
    notice_free(context);
}

static void
on_notice_timeout(evutil_socket_t fd, short what, void *context)
{
    notice_free(context);
}

static const struct cm_h1_call_handler notice_handler = {on_notice_head, NULL,
                                                         on_notice_end};

static void
send_notice(struct gateway *gateway, const char *address, const char *path,
            const char *body)
{
    struct notice *notice = g_new0(struct notice, 1);
    LIST_INSERT_HEAD(&gateway->notices, notice, link);
    notice->timer = evtimer_new(gateway->base, on_notice_timeout, notice);
    struct timeval timeout = CmTime_Timeval(NOTICE_TIMEOUT_MS);
    evtimer_add(notice->timer, &timeout);
    GString *message = compose(path, address, body);
    struct cm_h1_call_request call = {
        .address = address, .message = message, .idle_max_ms = IDLE_MAX_MS};
    if (!CmH1Call_Start(&notice->call, &gateway->pool, &call, &notice_handler,
                        notice)) {
        notice_free(notice);
    }
    g_string_free(message, TRUE);
}

void
Lease_Release(struct request *request)
{
    struct lease *lease = &request->lease;
    if (lease->target == NULL) {
        return;
    }
    if (CmH1Call_Active(&lease->call)) {
        // The agent ends a claim whose connection closes.
        CmH1Call_Cancel(&lease->call);
    }
    else if (lease->held) {
        send_notice(request->gateway, lease->target->agent_address,
                    CM_RELEASE_PATH, request->asked.id);
    }
    drop_target(lease);
}

/// A question whether an engine has its base model.
struct model_ask {
    LIST_ENTRY(model_ask) link;
    struct cm_h1_call call;
    struct event *timer;
    struct cm_live_target *target;
    GString *body;
};

static void
model_ask_free(struct model_ask *ask)
{
    LIST_REMOVE(ask, link);
    CmH1Call_Cancel(&ask->call);
    event_free(ask->timer);
    ask->target->model_requested = false;
    CmTarget_Unref(ask->target);
    g_string_free(ask->body, TRUE);
    g_free(ask);
}

static void
on_model_body(void *context, const void *data, size_t size)
{
    struct model_ask *ask = context;
    g_string_append_len(ask->body, data, (gssize)size);
}

static void
on_model_end(void *context, enum cm_h1_call_result end)
{
    struct model_ask *ask = context;
    struct cm_lease_reply reply;
    if (end == CM_H1_CALL_COMPLETE &&
        CmLeaseReply_Decode(&reply, ask->body->str, ask->body->len) &&
        reply.outcome == CM_LEASE_OUTCOME_HELD) {
        CmLog_Event(G_LOG_LEVEL_INFO, "targets", NULL,
                    "%s at %s has its model", ask->target->id,
                    ask->target->address);
        ask->target->has_model = true;
    }
    model_ask_free(ask);
}

static void
on_model_timeout(evutil_socket_t fd, short what, void *context)
{
    model_ask_free(context);
}

static const struct cm_h1_call_handler model_handler = {
    on_notice_head, on_model_body, on_model_end};

void
Lease_AskForModel(struct gateway *gateway, struct cm_live_target *target,
                  const char *model)
{
    if (target->model_requested) {
        return;
    }
    struct cm_lease_request ask = {.id = "",
                                   .gateway =
                                       (char *)gateway->settings.common.name,
                                   .target = target->id,
                                   .model = (char *)model};
    char *body = CmLeaseRequest_Encode(&ask);
    GString *message = compose(CM_LEASE_PATH, target->agent_address, body);
    free(body);
    struct model_ask *asking = g_new0(struct model_ask, 1);
    LIST_INSERT_HEAD(&gateway->model_asks, asking, link);
    asking->target = CmTarget_Ref(target);
    asking->body = g_string_new(NULL);
    asking->timer = evtimer_new(gateway->base, on_model_timeout, asking);
    struct timeval timeout = CmTime_Timeval(MODEL_ASK_TIMEOUT_MS);
    evtimer_add(asking->timer, &timeout);
    target->model_requested = true;
    struct cm_h1_call_request call = {.address = target->agent_address,
                                      .message = message,
                                      .idle_max_ms = IDLE_MAX_MS};
    if (!CmH1Call_Start(&asking->call, &gateway->pool, &call, &model_handler,
                        asking)) {
        model_ask_free(asking);
    }
    g_string_free(message, TRUE);
}

void
Lease_FinishCalls(struct gateway *gateway)
{
    struct notice *notice;
    while ((notice = LIST_FIRST(&gateway->notices)) != NULL) {
        notice_free(notice);
    }
    struct model_ask *ask;
    while ((ask = LIST_FIRST(&gateway->model_asks)) != NULL) {
        model_ask_free(ask);
    }
}
