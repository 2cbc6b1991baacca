/// @file peer_state.c
/// Polls other entries for the configuration in force and the list of agents.

#include "peer_state.h"

#include <string.h>

#include "base/log.h"
#include "fleet.h"
#include "links.h"

#define PEER_TIMEOUT_MS 2000
/// Largest response: a configuration of 64 MiB, escaped for JSON.
#define PEER_STATE_MAX_BYTES ((size_t)128 * 1024 * 1024)
#define STATUS_OK 200

static void
store_status(void *context, int status, const struct cm_h1_head *head)
{
    ((struct entry *)context)->peer_poll.status = status;
}

static void
append_body(void *context, const void *data, size_t size)
{
    struct entry *entry = context;
    g_string_append_len(entry->peer_poll.body, data, (gssize)size);
}

static const char *
json_text_field(const json_t *item, const char *name)
{
    const char *text = json_string_value(json_object_get(item, name));
    return text != NULL ? text : "";
}

/// Adds the peer's agents that the member table does not contain. The others
/// are left unchanged, as the peer's list may be older.
static void
add_agents(struct entry *entry, const json_t *items)
{
    for (size_t i = 0; i < json_array_size(items); i++) {
        const json_t *item = json_array_get(items, i);
        const char *name = json_text_field(item, "name");
        if (*name != '\0' && CmMembers_Find(&entry->members, name) == NULL) {
            struct cm_member *member = CmMembers_UpdateListed(
                &entry->members, name, json_text_field(item, "address"),
                json_text_field(item, "zone"),
                strcmp(json_text_field(item, "state"), "leaving") == 0);
            Link_New(entry, member);
        }
    }
}

static void
apply_peer_state(void *context, enum cm_http_result end)
{
    struct entry *entry = context;
    const struct peer_poll *peer_poll = &entry->peer_poll;
    if (end != CM_HTTP_COMPLETE || peer_poll->status != STATUS_OK) {
        return;
    }
    json_t *json =
        json_loadb(peer_poll->body->str, peer_poll->body->len, 0, NULL);
    uint64_t revision =
        (uint64_t)json_integer_value(json_object_get(json, "revision"));
    const char *text = json_text_field(json, "text");
    const json_t *items = json_object_get(json, "items");
    if (!entry->has_instance_list && json_array_size(items) > 0) {
        add_agents(entry, items);
        entry->has_instance_list = true;
    }
    if (revision > 0 && *text != '\0') {
        CmRevisions_ApplyIfNewer(&entry->revisions, revision, text,
                                 strlen(text));
    }
    json_decref(json);
    Fleet_Sync(entry);
}

static const struct cm_http_handler handler = {store_status, append_body,
                                               apply_peer_state};

void
PeerState_Init(struct entry *entry)
{
    entry->peer_poll.body = g_string_new(NULL);
}

void
PeerState_Finish(struct entry *entry)
{
    CmHttpCall_Cancel(&entry->peer_poll.call);
    g_string_free(entry->peer_poll.body, TRUE);
}

/// @return whether some agent reported a later revision than this entry's.
static bool
is_behind(const struct entry *entry)
{
    const struct agent_link *link;
    CmList_FOREACH (link, &entry->links, link) {
        if (link->revision > entry->revisions.revision) {
            return true;
        }
    }
    return false;
}

void
PeerState_Poll(struct entry *entry)
{
    const struct cm_entry_settings *settings = &entry->settings;
    struct peer_poll *peer_poll = &entry->peer_poll;
    bool needed = !entry->revisions.api_reachable || entry->config == NULL ||
                  is_behind(entry);
    if (settings->n_peers == 0 || !needed ||
        CmHttpCall_Active(&peer_poll->call)) {
        return;
    }
    struct cm_http_request request = {
        .address = settings->peers[peer_poll->next_peer++ % settings->n_peers],
        .method = EVHTTP_REQ_GET,
        .path = "/admin/peer-state",
        .timeout_ms = PEER_TIMEOUT_MS,
        .body_max_bytes = PEER_STATE_MAX_BYTES,
    };
    g_string_truncate(peer_poll->body, 0);
    CmHttpCall_Start(&peer_poll->call, &entry->client, &request, &handler,
                     entry);
}
