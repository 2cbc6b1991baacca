/// @file crash_exchange.c
/// HTTP calls that carry the messages of quarantine/gossip.h between entries.

#include "crash_exchange.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

/// Crashes after which a content is refused. Agents report everything that ran
/// on their target, so that two crashes are enough.
#define CRASHES_TO_REFUSE 2
#define CALL_TIMEOUT_MS 1000
#define STATUS_OK 200

static void
store_status(void *context, int status, const struct cm_h1_head *head)
{
    ((struct entry *)context)->crash_poll.status = status;
}

static void
append_body(void *context, const void *data, size_t size)
{
    g_string_append_len(((struct entry *)context)->crash_poll.body, data,
                        (gssize)size);
}

static void
send_message(struct entry *entry, const struct cm_exchange *exchange);

static void
handle_response(struct entry *entry)
{
    struct crash_poll *poll = &entry->crash_poll;
    struct timespec now = Entry_Now(entry);
    struct cm_exchange response;
    struct cm_exchange followup;
    CmExchange_Init(&response, "", 0);
    CmExchange_Init(&followup, entry->gossip.roster.self.address, 0);
    bool valid =
        CmExchange_Decode(&response, poll->body->str, poll->body->len, now);
    CmRoster_CountCall(&entry->gossip.roster, poll->peer, valid);
    if (valid &&
        CmGossip_HandleResponse(&entry->gossip, &response, now, &followup) &&
        !poll->is_followup) {
        poll->is_followup = true;
        send_message(entry, &followup);
    }
    CmExchange_Finish(&response);
    CmExchange_Finish(&followup);
}

static void
on_done(void *context, enum cm_http_result result)
{
    struct entry *entry = context;
    if (result == CM_HTTP_COMPLETE && entry->crash_poll.status == STATUS_OK) {
        handle_response(entry);
    }
    else {
        CmRoster_CountCall(&entry->gossip.roster, entry->crash_poll.peer,
                           false);
    }
}

/// Sends a message to the peer that is being polled.
static void
send_message(struct entry *entry, const struct cm_exchange *exchange)
{
    static const struct cm_http_handler handler = {store_status, append_body,
                                                   on_done};
    struct crash_poll *poll = &entry->crash_poll;
    char *body = CmExchange_Encode(exchange, Entry_Now(entry));
    struct cm_http_request request = {
        .address = poll->peer,
        .method = EVHTTP_REQ_POST,
        .path = CRASH_RECORDS_PATH,
        .body = body,
        .body_size = strlen(body),
        .timeout_ms = CALL_TIMEOUT_MS,
        .body_max_bytes = CM_EXCHANGE_BYTES_MAX,
    };
    g_string_truncate(poll->body, 0);
    CmHttpCall_Start(&poll->call, &entry->client, &request, &handler, entry);
    free(body);
}

void
CrashExchange_Poll(struct entry *entry)
{
    struct crash_poll *poll = &entry->crash_poll;
    const char *peer;
    // Agents report crashes to all entries, so that nothing is pushed.
    g_array_set_size(entry->gossip.pending, 0);
    CmQuarantine_Expire(&entry->quarantine, Entry_Now(entry));
    if (CmHttpCall_Active(&poll->call) ||
        CmRoster_ChoosePeers(&entry->gossip.roster, 1, &peer) == 0) {
        return;
    }
    g_strlcpy(poll->peer, peer, sizeof(poll->peer));
    poll->is_followup = false;
    struct cm_exchange exchange;
    CmExchange_Init(&exchange, entry->gossip.roster.self.address, 0);
    CmGossip_ComposePoll(&entry->gossip, Entry_Now(entry), &exchange);
    send_message(entry, &exchange);
    CmExchange_Finish(&exchange);
}

void
CrashExchange_Reply(struct entry *entry, struct evhttp_request *request)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t size = evbuffer_get_length(input);
    struct timespec now = Entry_Now(entry);
    struct cm_exchange message;
    struct cm_exchange response;
    CmExchange_Init(&message, "", 0);
    CmExchange_Init(&response, entry->gossip.roster.self.address, 0);
    if (size <= CM_EXCHANGE_BYTES_MAX &&
        CmExchange_Decode(&message, (const char *)evbuffer_pullup(input, -1),
                          size, now)) {
        CmGossip_Answer(&entry->gossip, &message, now, &response);
        char *text = CmExchange_Encode(&response, now);
        CmHttp_ReplyText(request, HTTP_OK, "application/json", text);
        free(text);
    }
    else {
        CmHttp_ReplyError(request, HTTP_BADREQUEST, "bad_message",
                          "the crash records are malformed");
    }
    CmExchange_Finish(&message);
    CmExchange_Finish(&response);
}

void
CrashExchange_Init(struct entry *entry)
{
    const struct cm_entry_settings *settings = &entry->settings;
    CmQuarantine_Init(&entry->quarantine, CRASHES_TO_REFUSE, NULL, NULL);
    CmGossip_Init(&entry->gossip, &entry->quarantine, entry->clock,
                  settings->common.admin, entry->random);
    CmRoster_SetSeeds(&entry->gossip.roster, settings->peers,
                      settings->n_peers);
    entry->crash_poll.body = g_string_new(NULL);
    CrashExchange_Poll(entry);
}

void
CrashExchange_Finish(struct entry *entry)
{
    CmHttpCall_Cancel(&entry->crash_poll.call);
    g_string_free(entry->crash_poll.body, TRUE);
    CmGossip_Finish(&entry->gossip);
    CmQuarantine_Finish(&entry->quarantine);
}
