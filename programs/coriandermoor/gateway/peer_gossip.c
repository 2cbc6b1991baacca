/// @file peer_gossip.c
/// HTTP calls that carry the messages of quarantine/gossip.h.

#include "peer_gossip.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "peer_call.h"
#include "quarantine/trial.h"
#include "trial_claim.h"

/// Timeout of one call.
#define CALL_TIMEOUT_MS 800
/// Timeout of a claim, after which another arbiter is chosen.
#define CLAIM_TIMEOUT_MS 200
/// Least time between two pushes, in which records are collected.
#define PUSH_INTERVAL_MS 50
/// Calls in progress beyond which no further one is started.
#define CALLS_MAX 32

/// A message to a peer and its response.
struct gossip_call {
    LIST_ENTRY(gossip_call) link;
    struct gateway *gateway;
    struct peer_call call;
    char peer[CM_CRASH_NAME_SIZE];
    bool is_followup;
    char claim[CM_CONTENT_SIZE]; ///< "" if the message is none
    struct request *claimant;    ///< waits for the answer; NULL for none
    bool granted;
};

static void
gossip_call_free(struct gossip_call *call)
{
    LIST_REMOVE(call, link);
    PeerCall_Finish(&call->call);
    g_free(call);
}

/// Frees a call and tells the request that waits for it.
static void
finish_call(struct gossip_call *call, bool success)
{
    struct gateway *gateway = call->gateway;
    struct request *claimant = call->claimant;
    bool granted = call->granted;
    CmRoster_CountCall(&gateway->gossip.roster, call->peer, success);
    if (granted && claimant == NULL) {
        PeerGossip_GiveBackTrial(gateway, call->claim);
    }
    gossip_call_free(call);
    if (claimant != NULL) {
        TrialClaim_HandleAnswer(claimant, granted);
    }
}

static struct gossip_call *
send_message(struct gateway *gateway, const char *peer,
             const struct cm_exchange *message, bool is_followup);

/// Applies a response and sends the message that follows from it.
/// @return whether the response is valid.
static bool
handle_response(struct gossip_call *call, const GString *body)
{
    struct gateway *gateway = call->gateway;
    struct timespec now = Gateway_Now(gateway);
    struct cm_exchange response;
    struct cm_exchange followup;
    CmExchange_Init(&response, "", 0);
    CmExchange_Init(&followup, gateway->gossip.roster.self.address, 0);
    bool valid = CmExchange_Decode(&response, body->str, body->len, now);
    if (valid &&
        CmGossip_HandleResponse(&gateway->gossip, &response, now, &followup) &&
        !call->is_followup) {
        send_message(gateway, call->peer, &followup, true);
    }
    call->granted = valid && response.granted && call->claim[0] != '\0';
    CmExchange_Finish(&response);
    CmExchange_Finish(&followup);
    return valid;
}

static void
on_done(void *context, const GString *body)
{
    finish_call(context, body != NULL && handle_response(context, body));
}

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

static struct gossip_call *
send_message(struct gateway *gateway, const char *peer,
             const struct cm_exchange *exchange, bool is_followup)
{
    if (count_calls(gateway) >= CALLS_MAX) {
        return NULL;
    }
    char *body = CmExchange_Encode(exchange, Gateway_Now(gateway));
    struct gossip_call *call = g_new0(struct gossip_call, 1);
    call->gateway = gateway;
    call->is_followup = is_followup;
    g_strlcpy(call->peer, peer, sizeof(call->peer));
    g_strlcpy(call->claim, exchange->claim, sizeof(call->claim));
    LIST_INSERT_HEAD(&gateway->gossip_calls, call, link);
    struct peer_message message = {
        .peer = call->peer,
        .path = GOSSIP_PATH,
        .body = body,
        .timeout_ms =
            call->claim[0] != '\0' ? CLAIM_TIMEOUT_MS : CALL_TIMEOUT_MS,
    };
    if (!PeerCall_Start(&call->call, gateway, &message, on_done, call)) {
        finish_call(call, false);
        call = NULL;
    }
    free(body);
    return call;
}

static void
send_to(struct gateway *gateway, const char *const chosen[], size_t n,
        const struct cm_exchange *exchange)
{
    char peers[CM_GOSSIP_FANOUT][CM_CRASH_NAME_SIZE];
    // A failed call may remove the peers whose addresses these are.
    for (size_t i = 0; i < n; i++) {
        g_strlcpy(peers[i], chosen[i], sizeof(peers[i]));
    }
    for (size_t i = 0; i < n; i++) {
        send_message(gateway, peers[i], exchange, false);
    }
}

/// Pushes pending records to peers, at once if the last push is long enough
/// ago.
static void
push_pending(struct gateway *gateway)
{
    if (gateway->gossip.pending->len == 0 ||
        evtimer_pending(gateway->push_timer, NULL)) {
        return;
    }
    struct timeval interval = CmTime_Timeval(PUSH_INTERVAL_MS);
    evtimer_add(gateway->push_timer, &interval);
    struct cm_exchange push;
    CmExchange_Init(&push, gateway->gossip.roster.self.address, 0);
    if (CmGossip_ComposePush(&gateway->gossip, Gateway_Now(gateway), &push)) {
        const char *peers[CM_GOSSIP_FANOUT];
        size_t n = CmRoster_ChoosePeers(&gateway->gossip.roster,
                                        CM_GOSSIP_FANOUT, peers);
        send_to(gateway, peers, n, &push);
    }
    CmExchange_Finish(&push);
}

static void
on_push_timer(evutil_socket_t fd, short what, void *context)
{
    push_pending(context);
}

void
PeerGossip_Poll(struct gateway *gateway)
{
    CmQuarantine_Expire(&gateway->quarantine, Gateway_Now(gateway));
    struct cm_exchange poll;
    CmExchange_Init(&poll, gateway->gossip.roster.self.address, 0);
    CmGossip_ComposePoll(&gateway->gossip, Gateway_Now(gateway), &poll);
    const char *peers[CM_GOSSIP_FANOUT];
    const struct cm_gossip *gossip = &gateway->gossip;
    size_t n = gossip->synced ? CmRoster_ChooseForPoll(&gossip->roster, peers)
                              : CmRoster_ChoosePeers(&gateway->gossip.roster,
                                                     CM_GOSSIP_FANOUT, peers);
    send_to(gateway, peers, n, &poll);
    CmExchange_Finish(&poll);
}

void
PeerGossip_Observe(struct gateway *gateway, struct cm_crash_record *record)
{
    CmGossip_Observe(&gateway->gossip, record, Gateway_Now(gateway));
    push_pending(gateway);
}

bool
PeerGossip_GrantTrial(struct gateway *gateway, const char *content,
                      uint64_t claim_id)
{
    bool granted = CmTrial_Grant(&gateway->gossip, content,
                                 gateway->gossip.roster.self.address, claim_id,
                                 Gateway_Now(gateway));
    push_pending(gateway);
    return granted;
}

struct gossip_call *
PeerGossip_ClaimTrial(struct gateway *gateway, const char *arbiter,
                      const char *content, uint64_t claim_id,
                      struct request *request)
{
    struct cm_exchange claim;
    CmExchange_Init(&claim, gateway->gossip.roster.self.address, 0);
    CmTrial_ComposeClaim(&gateway->gossip, content, claim_id,
                         Gateway_Now(gateway), &claim);
    struct gossip_call *call = send_message(gateway, arbiter, &claim, false);
    CmExchange_Finish(&claim);
    if (call != NULL) {
        call->claimant = request;
    }
    return call;
}

void
PeerGossip_GiveBackTrial(struct gateway *gateway, const char *content)
{
    CmTrial_GiveBack(&gateway->gossip, content, Gateway_Now(gateway));
    push_pending(gateway);
}

void
PeerGossip_ForgetClaim(struct gossip_call *call)
{
    call->claimant = NULL;
}

char *
PeerGossip_Answer(struct gateway *gateway, const GString *message)
{
    struct timespec now = Gateway_Now(gateway);
    struct cm_exchange request;
    struct cm_exchange response;
    CmExchange_Init(&request, "", 0);
    CmExchange_Init(&response, gateway->gossip.roster.self.address, 0);
    char *text = NULL;
    if (CmExchange_Decode(&request, message->str, message->len, now)) {
        CmGossip_Answer(&gateway->gossip, &request, now, &response);
        push_pending(gateway);
        text = CmExchange_Encode(&response, now);
    }
    CmExchange_Finish(&request);
    CmExchange_Finish(&response);
    return text;
}

void
PeerGossip_Init(struct gateway *gateway)
{
    const char *self = gateway->settings.control;
    LIST_INIT(&gateway->gossip_calls);
    CmGossip_Init(&gateway->gossip, &gateway->quarantine, gateway->clock,
                  self != NULL ? self : "", gateway->random);
    gateway->push_timer = evtimer_new(gateway->base, on_push_timer, gateway);
    CmRoster_SetSeeds(&gateway->gossip.roster, gateway->settings.seeds,
                      gateway->settings.n_seeds);
    PeerGossip_Poll(gateway);
}

void
PeerGossip_Finish(struct gateway *gateway)
{
    struct gossip_call *call;
    while ((call = LIST_FIRST(&gateway->gossip_calls)) != NULL) {
        if (call->claimant != NULL) {
            call->claimant->trial.call = NULL;
        }
        gossip_call_free(call);
    }
    event_free(gateway->push_timer);
    CmGossip_Finish(&gateway->gossip);
}
