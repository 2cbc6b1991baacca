/// @file peer_state.c
/// What an entry takes from its peers.

#include "peer_state.h"

#include <string.h>

#include "base/log.h"
#include "fleet.h"
#include "links.h"

#define PEER_TIMEOUT_MS 2000
#define STATUS_OK 200

static void
on_head(void *context, int status, struct evkeyvalq *headers)
{
    ((struct entry *)context)->question.status = status;
}

static void
on_data(void *context, const void *data, size_t size)
{
    struct entry *entry = context;
    g_string_append_len(entry->question.body, data, (gssize)size);
}

static const char *
text_of(const json_t *item, const char *name)
{
    const char *text = json_string_value(json_object_get(item, name));
    return text != NULL ? text : "";
}

/// Agents that the peer knows; only additions, as it may lag behind.
static void
take_agents(struct entry *entry, const json_t *items)
{
    for (size_t i = 0; i < json_array_size(items); i++) {
        const json_t *item = json_array_get(items, i);
        const char *name = text_of(item, "name");
        if (*name != '\0' && CmMembers_Find(&entry->members, name) == NULL) {
            struct cm_member *member = CmMembers_UpdateListed(
                &entry->members, name, text_of(item, "address"),
                text_of(item, "zone"),
                strcmp(text_of(item, "state"), "leaving") == 0);
            Link_New(entry, member);
        }
    }
}

static void
on_end(void *context, enum cm_http_result end)
{
    struct entry *entry = context;
    const struct peer_question *question = &entry->question;
    if (end != CM_HTTP_COMPLETE || question->status != STATUS_OK) {
        return;
    }
    json_t *json =
        json_loadb(question->body->str, question->body->len, 0, NULL);
    uint64_t revision =
        (uint64_t)json_integer_value(json_object_get(json, "revision"));
    const char *text = text_of(json, "text");
    const json_t *items = json_object_get(json, "items");
    if (!entry->listed_once && json_array_size(items) > 0) {
        take_agents(entry, items);
        entry->listed_once = true;
    }
    if (revision > 0 && *text != '\0') {
        CmRevisions_ApplyIfNewer(&entry->revisions, revision, text,
                                 strlen(text));
    }
    json_decref(json);
    Fleet_Sync(entry);
}

static const struct cm_http_handler handler = {on_head, on_data, on_end};

void
PeerState_Init(struct entry *entry)
{
    entry->question.body = g_string_new(NULL);
}

void
PeerState_Finish(struct entry *entry)
{
    CmHttpCall_Cancel(&entry->question.call);
    g_string_free(entry->question.body, TRUE);
}

/// @return whether some agent has heard of a later revision than ours.
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
PeerState_Tick(struct entry *entry)
{
    const struct cm_entry_settings *settings = &entry->settings;
    struct peer_question *question = &entry->question;
    bool helps = !entry->revisions.api_reachable || entry->config == NULL ||
                 is_behind(entry);
    if (settings->n_peers == 0 || !helps ||
        CmHttpCall_Active(&question->call)) {
        return;
    }
    struct cm_http_request request = {
        .address = settings->peers[question->next++ % settings->n_peers],
        .method = EVHTTP_REQ_GET,
        .path = "/admin/peer-state",
        .timeout_ms = PEER_TIMEOUT_MS,
    };
    g_string_truncate(question->body, 0);
    CmHttpCall_Start(&question->call, &entry->client, &request, &handler,
                     entry);
}
