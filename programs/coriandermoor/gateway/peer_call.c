/// @file peer_call.c
/// HTTP calls between gateways.

#include "peer_call.h"

#include <string.h>

#include "h1/writer.h"

/// Longest idle time of a pooled connection that is reused.
#define IDLE_MAX_MS 10000
/// Longest response; longer ones are taken for malformed.
#define BODY_MAX_BYTES CM_EXCHANGE_BYTES_MAX
#define STATUS_OK 200

static bool
on_head(void *context, const struct cm_h1_head *head)
{
    ((struct peer_call *)context)->status = head->status;
    return true;
}

static void
on_body(void *context, const void *data, size_t size)
{
    struct peer_call *call = context;
    g_string_append_len(call->body, data, (gssize)size);
}

static void
on_end(void *context, enum cm_h1_call_result end)
{
    struct peer_call *call = context;
    bool answered = end == CM_H1_CALL_COMPLETE && call->status == STATUS_OK;
    call->done(call->context, answered ? call->body : NULL);
}

static void
on_timeout(evutil_socket_t fd, short what, void *context)
{
    struct peer_call *call = context;
    CmH1Call_Cancel(&call->call);
    call->done(call->context, NULL);
}

bool
PeerCall_Start(struct peer_call *call, struct gateway *gateway,
               const struct peer_message *message,
               void (*done)(void *context, const GString *body), void *context)
{
    static const struct cm_h1_call_handler handler = {on_head, on_body,
                                                      on_end};
    *call = (struct peer_call){
        .gateway = gateway, .done = done, .context = context};
    call->body = g_string_new(NULL);
    call->timer = evtimer_new(gateway->base, on_timeout, call);
    GString *text = g_string_new(NULL);
    CmH1Writer_Request(text, "POST", message->path);
    CmH1Writer_Header(text, "Host", message->peer);
    uint64_t id = CmH1Pool_NextCallId(&gateway->pool);
    CmH1Writer_CallId(text, id);
    CmH1Writer_Body(text, message->body, strlen(message->body));
    struct cm_h1_call_request request = {.address = message->peer,
                                         .message = text,
                                         .idle_max_ms = IDLE_MAX_MS,
                                         .call_id = id,
                                         .body_max_bytes = BODY_MAX_BYTES};
    gateway->count.gossip_bytes.value += (int64_t)text->len;
    bool started =
        CmH1Call_Start(&call->call, &gateway->pool, &request, &handler, call);
    g_string_free(text, TRUE);
    if (started) {
        struct timeval timeout = CmTime_Timeval(message->timeout_ms);
        evtimer_add(call->timer, &timeout);
    }
    return started;
}

void
PeerCall_Finish(struct peer_call *call)
{
    if (call->timer == NULL) {
        return;
    }
    CmH1Call_Cancel(&call->call);
    event_free(call->timer);
    call->timer = NULL;
    g_string_free(call->body, TRUE);
    call->body = NULL;
}
