/// @file peer_gossip.c
/// HTTP calls that carry the messages of quarantine/gossip.h.

#include "peer_gossip.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "h1/writer.h"

/// Timeout of one call.
#define CALL_TIMEOUT_MS 800
/// Longest idle time of a pooled connection that is reused.
#define IDLE_MAX_MS 10000
/// Pause between two pushes, in which records are collected.
#define PUSH_INTERVAL_MS 50
/// Calls in progress beyond which no further one is started.
#define CALLS_MAX 32
#define STATUS_OK 200

/// A message to a peer and its response.
struct gossip_call {
    LIST_ENTRY(gossip_call) link;
    struct gateway *gateway;
    struct cm_h1_call call;
    struct event *timer;
    char peer[CM_CRASH_NAME_SIZE];
    int status;
    GString *body;
    bool is_followup;
};

static void
gossip_call_free(struct gossip_call *call)
{
    LIST_REMOVE(call, link);
    CmH1Call_Cancel(&call->call);
    event_free(call->timer);
    g_string_free(call->body, TRUE);
    g_free(call);
}

static void
send_message(struct gateway *gateway, const char *peer,
             const struct cm_exchange *message, bool is_followup);

static bool
on_head(void *context, const struct cm_h1_head *head)
{
    struct gossip_call *call = context;
    call->status = head->status;
    return true;
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct gossip_call *call = context;
    if (call->body->len + size <= CM_EXCHANGE_BYTES_MAX) {
        g_string_append_len(call->body, data, (gssize)size);
    }
}

static void
schedule_push(struct gateway *gateway)
{
    if (gateway->gossip.pending->len > 0 &&
        !evtimer_pending(gateway->push_timer, NULL)) {
        struct timeval interval = CmTime_Timeval(PUSH_INTERVAL_MS);
        evtimer_add(gateway->push_timer, &interval);
    }
}

/// Applies a response and sends the message that follows from it.
/// @return whether the response is valid.
static bool
handle_response(const struct gossip_call *call)
{
    struct gateway *gateway = call->gateway;
    struct timespec now = Gateway_Now(gateway);
    struct cm_exchange response;
    struct cm_exchange followup;
    CmExchange_Init(&response, "", 0);
    CmExchange_Init(&followup, gateway->gossip.self, 0);
    bool valid =
        CmExchange_Decode(&response, call->body->str, call->body->len, now);
    if (valid &&
        CmGossip_HandleResponse(&gateway->gossip, &response, now, &followup) &&
        !call->is_followup) {
        send_message(gateway, call->peer, &followup, true);
    }
    CmExchange_Finish(&response);
    CmExchange_Finish(&followup);
    return valid;
}

static void
on_end(void *context, enum cm_h1_call_result end)
{
    struct gossip_call *call = context;
    struct gateway *gateway = call->gateway;
    bool success = end == CM_H1_CALL_COMPLETE && call->status == STATUS_OK &&
                   handle_response(call);
    CmGossip_CountCall(&gateway->gossip, call->peer, success,
                       Gateway_Now(gateway));
    gossip_call_free(call);
}

static void
on_timeout(evutil_socket_t fd, short what, void *context)
{
    struct gossip_call *call = context;
    CmGossip_CountCall(&call->gateway->gossip, call->peer, false,
                       Gateway_Now(call->gateway));
    gossip_call_free(call);
}

static const struct cm_h1_call_handler call_handler = {on_head, on_body,
                                                       on_end};

static size_t
count_calls(const struct gateway *gateway)
{
    size_t n = 0;
    const struct gossip_call *call;
    CmList_FOREACH (call, &gateway->gossip_calls, link) {
        n++;
    }
    return n;
}

static void
send_message(struct gateway *gateway, const char *peer,
             const struct cm_exchange *exchange, bool is_followup)
{
    if (count_calls(gateway) >= CALLS_MAX) {
        return;
    }
    char *body = CmExchange_Encode(exchange, Gateway_Now(gateway));
    GString *message = g_string_new(NULL);
    CmH1Writer_Request(message, "POST", GOSSIP_PATH);
    CmH1Writer_Header(message, "Host", peer);
    CmH1Writer_Body(message, body, strlen(body));
    struct gossip_call *call = g_new0(struct gossip_call, 1);
    call->gateway = gateway;
    call->is_followup = is_followup;
    call->body = g_string_new(NULL);
    call->timer = evtimer_new(gateway->base, on_timeout, call);
    g_strlcpy(call->peer, peer, sizeof(call->peer));
    LIST_INSERT_HEAD(&gateway->gossip_calls, call, link);
    struct cm_h1_call_request request = {
        .address = call->peer, .message = message, .idle_max_ms = IDLE_MAX_MS};
    gateway->count.gossip_bytes.value += (int64_t)message->len;
    if (CmH1Call_Start(&call->call, &gateway->pool, &request, &call_handler,
                       call)) {
        struct timeval timeout = CmTime_Timeval(CALL_TIMEOUT_MS);
        evtimer_add(call->timer, &timeout);
    }
    else {
        CmGossip_CountCall(&gateway->gossip, call->peer, false,
                           Gateway_Now(gateway));
        gossip_call_free(call);
    }
    g_string_free(message, TRUE);
    free(body);
}

static void
send_to_peers(struct gateway *gateway, size_t n,
              const struct cm_exchange *exchange)
{
    const char *chosen[CM_GOSSIP_FANOUT];
    char peers[CM_GOSSIP_FANOUT][CM_CRASH_NAME_SIZE];
    n = CmGossip_ChoosePeers(&gateway->gossip, Gateway_Now(gateway),
                             MIN(n, CM_GOSSIP_FANOUT), chosen);
    // A failed call may remove the peers whose addresses these are.
    for (size_t i = 0; i < n; i++) {
        g_strlcpy(peers[i], chosen[i], sizeof(peers[i]));
    }
    for (size_t i = 0; i < n; i++) {
        send_message(gateway, peers[i], exchange, false);
    }
}

static void
on_push(evutil_socket_t fd, short what, void *context)
{
    struct gateway *gateway = context;
    struct cm_exchange push;
    CmExchange_Init(&push, gateway->gossip.self, 0);
    if (CmGossip_ComposePush(&gateway->gossip, Gateway_Now(gateway), &push)) {
        send_to_peers(gateway, CM_GOSSIP_FANOUT, &push);
    }
    CmExchange_Finish(&push);
    schedule_push(gateway);
}

void
PeerGossip_Poll(struct gateway *gateway)
{
    CmQuarantine_Expire(&gateway->quarantine, Gateway_Now(gateway));
    struct cm_exchange poll;
    CmExchange_Init(&poll, gateway->gossip.self, 0);
    CmGossip_ComposePoll(&gateway->gossip, &poll);
    send_to_peers(gateway, gateway->gossip.synced ? 1 : CM_GOSSIP_FANOUT,
                  &poll);
    CmExchange_Finish(&poll);
}

void
PeerGossip_Observe(struct gateway *gateway, struct cm_crash_record *record)
{
    CmGossip_Observe(&gateway->gossip, record, Gateway_Now(gateway));
    schedule_push(gateway);
}

char *
PeerGossip_Answer(struct gateway *gateway, const GString *message)
{
    struct timespec now = Gateway_Now(gateway);
    struct cm_exchange request;
    struct cm_exchange response;
    CmExchange_Init(&request, "", 0);
    CmExchange_Init(&response, gateway->gossip.self, 0);
    char *text = NULL;
    if (CmExchange_Decode(&request, message->str, message->len, now)) {
        CmGossip_Answer(&gateway->gossip, &request, now, &response);
        schedule_push(gateway);
        text = CmExchange_Encode(&response, now);
        gateway->count.gossip_bytes.value += (int64_t)strlen(text);
    }
    CmExchange_Finish(&request);
    CmExchange_Finish(&response);
    return text;
}

void
PeerGossip_AddSeeds(struct gateway *gateway)
{
    const struct cm_gateway_settings *settings = &gateway->settings;
    for (size_t i = 0; i < settings->n_seeds; i++) {
        CmGossip_AddPeer(&gateway->gossip, settings->seeds[i], true,
                         Gateway_Now(gateway));
    }
}

void
PeerGossip_Init(struct gateway *gateway)
{
    const char *self = gateway->settings.control;
    LIST_INIT(&gateway->gossip_calls);
    CmGossip_Init(&gateway->gossip, &gateway->quarantine,
                  self != NULL ? self : "", gateway->random);
    gateway->push_timer = evtimer_new(gateway->base, on_push, gateway);
    PeerGossip_AddSeeds(gateway);
    PeerGossip_Poll(gateway);
}

void
PeerGossip_Finish(struct gateway *gateway)
{
    struct gossip_call *call;
    while ((call = LIST_FIRST(&gateway->gossip_calls)) != NULL) {
        gossip_call_free(call);
    }
    event_free(gateway->push_timer);
    CmGossip_Finish(&gateway->gossip);
}
