/// @file revisions.c
/// Following the head object and fetching the chunks of a new revision.

#include "revision/revisions.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "http/client.h"
#include "revisions_internal.h"

#define READ_AGAIN_MS 300

static void
read_head(struct cm_revisions *revisions);

/// One fetch of the chunks of a head.
struct cm_revision_fetch {
    struct cm_revisions *revisions;
    struct cm_config_head head;
    GHashTable *chunks; ///< digest to GString
    size_t next;        ///< first chunk not asked for yet
    size_t under_way;
    bool failed;
    struct fetch_call {
        struct cm_revision_fetch *fetch;
        struct cm_object_call call;
        const char *digest;
    } calls[CM_CHUNK_CALLS_MAX];
};

void
CmRevisions_FreeText(gpointer text)
{
    g_string_free(text, TRUE);
}

static void
fetch_free(struct cm_revision_fetch *fetch)
{
    fetch->revisions->fetch = NULL;
    for (size_t i = 0; i < CM_CHUNK_CALLS_MAX; i++) {
        CmObjectCall_Finish(fetch->revisions->objects, &fetch->calls[i].call);
    }
    CmConfigHead_Finish(&fetch->head);
    g_hash_table_destroy(fetch->chunks);
    g_free(fetch);
}

static void
ask_again(struct cm_revisions *revisions)
{
    struct timeval delay = CmTime_Timeval(READ_AGAIN_MS);
    event_add(revisions->head_retry, &delay);
}

static void
on_again(evutil_socket_t fd, short what, void *context)
{
    read_head(context);
}

/// Takes a whole text into force where it is newer and sound.
static bool
take(struct cm_revisions *revisions, uint64_t revision, const char *text,
     size_t size)
{
    if (revision <= revisions->revision) {
        return false;
    }
    if (!revisions->apply(revisions->context, revision, text, size)) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "config", NULL,
                    "revision %" G_GUINT64_FORMAT
                    " is not sound here; %" G_GUINT64_FORMAT " stays in force",
                    revision, revisions->revision);
        return false;
    }
    char *copy = g_strndup(text, size);
    g_free(revisions->text);
    revisions->text = copy;
    revisions->size = size;
    revisions->revision = revision;
    CmLog_Event(G_LOG_LEVEL_INFO, "config", NULL,
                "revision %" G_GUINT64_FORMAT " is in force", revision);
    return true;
}

/// Keeps the chunks of the text in force, so that a later revision fetches
/// only what changed.
static void
keep_chunks(struct cm_revisions *revisions, const char *text, size_t size)
{
    g_hash_table_remove_all(revisions->chunks);
    struct cm_chunks chunks;
    CmChunks_Init(&chunks, text, size);
    for (size_t i = 0; i < chunks.n; i++) {
        const struct cm_chunk *chunk = &chunks.items[i];
        g_hash_table_replace(
            revisions->chunks, g_strdup(chunk->digest),
            g_string_new_len(text + chunk->offset, (gssize)chunk->size));
    }
    CmChunks_Finish(&chunks);
}

bool
CmRevisions_ApplyIfNewer(struct cm_revisions *revisions, uint64_t revision,
                         const char *text, size_t size)
{
    if (!take(revisions, revision, text, size)) {
        return false;
    }
    keep_chunks(revisions, text, size);
    return true;
}

static void
assemble(struct cm_revision_fetch *fetch)
{
    struct cm_revisions *revisions = fetch->revisions;
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < fetch->head.chunks->len; i++) {
        const char *digest = g_ptr_array_index(fetch->head.chunks, i);
        const GString *chunk = g_hash_table_lookup(fetch->chunks, digest);
        if (chunk == NULL) {
            chunk = g_hash_table_lookup(revisions->chunks, digest);
        }
        g_string_append_len(text, chunk->str, (gssize)chunk->len);
    }
    char digest[CM_DIGEST_SIZE];
    CmHash_Digest(text->str, text->len, digest);
    if (strcmp(digest, fetch->head.digest) == 0) {
        CmRevisions_ApplyIfNewer(revisions, fetch->head.revision, text->str,
                                 text->len);
    }
    else {
        CmLog_Event(G_LOG_LEVEL_CRITICAL, "config", NULL,
                    "the chunks of revision %" G_GUINT64_FORMAT
                    " do not give its text",
                    fetch->head.revision);
    }
    g_string_free(text, TRUE);
}

static bool
have_chunk(const struct cm_revision_fetch *fetch, const char *digest)
{
    return g_hash_table_contains(fetch->chunks, digest) ||
           g_hash_table_contains(fetch->revisions->chunks, digest);
}

/// Asks for the chunks that are missing; ends the fetch once all are here.
static void
fetch_step(struct cm_revision_fetch *fetch)
{
    struct cm_objects *objects = fetch->revisions->objects;
    for (size_t i = 0; i < CM_CHUNK_CALLS_MAX && !fetch->failed; i++) {
        struct fetch_call *call = &fetch->calls[i];
        while (!call->call.active && fetch->next < fetch->head.chunks->len) {
            call->digest =
                g_ptr_array_index(fetch->head.chunks, fetch->next++);
            if (!have_chunk(fetch, call->digest)) {
                fetch->under_way++;
                objects->ops->get(objects, &call->call, CM_CHUNK_KIND,
                                  call->digest);
            }
        }
    }
    if (fetch->under_way > 0) {
        return;
    }
    struct cm_revisions *revisions = fetch->revisions;
    if (fetch->failed) {
        ask_again(revisions);
    }
    else {
        assemble(fetch);
    }
    fetch_free(fetch);
}

static void
on_chunk(void *context, enum cm_object_result result, json_t *object)
{
    struct fetch_call *call = context;
    struct cm_revision_fetch *fetch = call->fetch;
    fetch->under_way--;
    const char *text =
        json_string_value(json_object_get(CmObject_Spec(object), "text"));
    char digest[CM_DIGEST_SIZE] = "";
    if (text != NULL) {
        CmHash_Digest(text, strlen(text), digest);
    }
    if (result == CM_OBJECT_OK && strcmp(digest, call->digest) == 0) {
        g_hash_table_replace(fetch->chunks, g_strdup(digest),
                             g_string_new(text));
    }
    else {
        fetch->failed = true;
    }
    fetch_step(fetch);
}

static void
start_fetch(struct cm_revisions *revisions, const json_t *spec)
{
    struct cm_revision_fetch *fetch = g_new0(struct cm_revision_fetch, 1);
    fetch->revisions = revisions;
    fetch->chunks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          CmRevisions_FreeText);
    for (size_t i = 0; i < CM_CHUNK_CALLS_MAX; i++) {
        fetch->calls[i].fetch = fetch;
        CmObjectCall_Init(&fetch->calls[i].call, on_chunk, &fetch->calls[i]);
    }
    bool sound = CmConfigHead_Init(&fetch->head, spec);
    if (!sound || fetch->head.revision <= revisions->revision) {
        fetch_free(fetch);
        return;
    }
    if (revisions->fetch != NULL) {
        fetch_free(revisions->fetch);
    }
    revisions->fetch = fetch;
    fetch_step(fetch);
}

static void
on_watch_event(void *context, const char *type, json_t *object)
{
    struct cm_revisions *revisions = context;
    if (strcmp(type, "ADDED") == 0 || strcmp(type, "MODIFIED") == 0) {
        start_fetch(revisions, CmObject_Spec(object));
    }
    else if (strcmp(type, "ERROR") == 0) {
        // The version to start from is forgotten: read the head anew.
        revisions->objects->ops->unwatch(revisions->objects,
                                         &revisions->watch);
        ask_again(revisions);
    }
}

static void
on_watch_ended(void *context)
{
    ask_again(context);
}

static void
on_head(void *context, enum cm_object_result result, json_t *object)
{
    struct cm_revisions *revisions = context;
    revisions->api_reachable =
        result == CM_OBJECT_OK || result == CM_OBJECT_NOT_FOUND;
    if (!revisions->api_reachable) {
        ask_again(revisions);
        return;
    }
    const char *version = "0";
    if (result == CM_OBJECT_OK) {
        version = CmObject_Version(object);
        start_fetch(revisions, CmObject_Spec(object));
    }
    if (!CmHttpCall_Active(&revisions->watch.http)) {
        revisions->objects->ops->watch(revisions->objects, &revisions->watch,
                                       CM_HEAD_KIND, version);
    }
}

static void
read_head(struct cm_revisions *revisions)
{
    if (!revisions->head_call.active) {
        revisions->objects->ops->get(revisions->objects, &revisions->head_call,
                                     CM_HEAD_KIND, CM_HEAD_NAME);
    }
}

void
CmRevisions_Init(struct cm_revisions *revisions, struct cm_objects *objects,
                 struct event_base *base,
                 bool (*arrived)(void *context, uint64_t revision,
                                 const char *text, size_t size),
                 void *context)
{
    memset(revisions, 0, sizeof(*revisions));
    revisions->objects = objects;
    revisions->base = base;
    revisions->apply = arrived;
    revisions->context = context;
    revisions->chunks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                              CmRevisions_FreeText);
    CmObjectCall_Init(&revisions->head_call, on_head, revisions);
    CmObjectWatch_Init(&revisions->watch, on_watch_event, on_watch_ended,
                       revisions);
    revisions->head_retry = evtimer_new(base, on_again, revisions);
    read_head(revisions);
}

void
CmRevisions_Finish(struct cm_revisions *revisions)
{
    if (revisions->fetch != NULL) {
        fetch_free(revisions->fetch);
    }
    if (revisions->submit != NULL) {
        CmRevisions_FreeSubmit(revisions->submit);
    }
    CmObjectCall_Finish(revisions->objects, &revisions->head_call);
    CmObjectWatch_Finish(revisions->objects, &revisions->watch);
    event_free(revisions->head_retry);
    g_hash_table_destroy(revisions->chunks);
    g_free(revisions->text);
}
