/// @file revisions.c
/// Follows the head object: watches it, fetches the missing chunks of a newer
/// revision and applies the assembled text.

#include "revision/revisions.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "http/client.h"
#include "revisions_internal.h"

#define HEAD_RETRY_DELAY_MS 300

static void
read_head(struct cm_revisions *revisions);

/// A fetch of the missing chunks of one revision.
struct cm_revision_fetch {
    struct cm_revisions *revisions;
    struct cm_config_head head;
    GHashTable *chunks; ///< digest to GString
    size_t next_chunk;  ///< index of the first chunk not requested yet
    size_t in_flight;
    bool failed;
    struct fetch_call {
        struct cm_revision_fetch *fetch;
        struct cm_object_call call;
        const char *digest;
    } calls[CM_CHUNK_CALLS_MAX];
};

void
CmRevisions_FreeString(gpointer string)
{
    g_string_free(string, TRUE);
}

static void
free_fetch(struct cm_revision_fetch *fetch)
{
    // One with a useless head is freed without having been the one under way.
    if (fetch->revisions->fetch == fetch) {
        fetch->revisions->fetch = NULL;
    }
    for (size_t i = 0; i < CM_CHUNK_CALLS_MAX; i++) {
        CmObjectCall_Finish(fetch->revisions->objects, &fetch->calls[i].call);
    }
    CmConfigHead_Finish(&fetch->head);
    g_hash_table_destroy(fetch->chunks);
    g_free(fetch);
}

static void
schedule_head_read(struct cm_revisions *revisions)
{
    struct timeval delay = CmTime_Timeval(HEAD_RETRY_DELAY_MS);
    event_add(revisions->head_retry, &delay);
}

static void
on_head_retry(evutil_socket_t fd, short what, void *context)
{
    read_head(context);
}

/// Applies a complete text if it is newer and valid.
static bool
apply_revision(struct cm_revisions *revisions, uint64_t revision,
               const char *text, size_t size)
{
    if (revision <= revisions->revision) {
        return false;
    }
    if (!revisions->apply(revisions->context, revision, text, size)) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "config", NULL,
                    "revision %" G_GUINT64_FORMAT
                    " is invalid and not applied; revision %" G_GUINT64_FORMAT
                    " stays in use",
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

/// Caches the chunks of the current text, so that only the changed chunks of
/// the next revision are fetched.
static void
replace_cached_chunks(struct cm_revisions *revisions, const char *text,
                      size_t size)
{
    g_hash_table_remove_all(revisions->cached_chunks);
    struct cm_chunks chunks;
    CmChunks_Init(&chunks, text, size);
    for (size_t i = 0; i < chunks.n; i++) {
        const struct cm_chunk *chunk = &chunks.items[i];
        g_hash_table_replace(
            revisions->cached_chunks, g_strdup(chunk->digest),
            g_string_new_len(text + chunk->offset, (gssize)chunk->size));
    }
    CmChunks_Finish(&chunks);
}

bool
CmRevisions_ApplyIfNewer(struct cm_revisions *revisions, uint64_t revision,
                         const char *text, size_t size)
{
    if (!apply_revision(revisions, revision, text, size)) {
        return false;
    }
    replace_cached_chunks(revisions, text, size);
    return true;
}

static void
apply_fetched(struct cm_revision_fetch *fetch)
{
    struct cm_revisions *revisions = fetch->revisions;
    GString *text = g_string_new(NULL);
    for (guint i = 0; i < fetch->head.chunks->len; i++) {
        const char *digest = g_ptr_array_index(fetch->head.chunks, i);
        const GString *chunk = g_hash_table_lookup(fetch->chunks, digest);
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
                    "revision %" G_GUINT64_FORMAT
                    " is not applied: the text assembled from its chunks does "
                    "not match its digest",
                    fetch->head.revision);
    }
    g_string_free(text, TRUE);
}

/// Takes a chunk over from the cache, which a revision of a peer may replace
/// while others are fetched.
/// @return whether the fetch has the chunk.
static bool
take_chunk(struct cm_revision_fetch *fetch, const char *digest)
{
    if (g_hash_table_contains(fetch->chunks, digest)) {
        return true;
    }
    const GString *cached =
        g_hash_table_lookup(fetch->revisions->cached_chunks, digest);
    if (cached == NULL) {
        return false;
    }
    g_hash_table_replace(fetch->chunks, g_strdup(digest),
                         g_string_new_len(cached->str, (gssize)cached->len));
    return true;
}

/// Requests missing chunks up to the concurrency limit. Once no request is in
/// flight, applies the text, or schedules a new read of the head after a
/// failure, and frees the fetch.
static void
fetch_missing_chunks(struct cm_revision_fetch *fetch)
{
    struct cm_objects *objects = fetch->revisions->objects;
    for (size_t i = 0; i < CM_CHUNK_CALLS_MAX && !fetch->failed; i++) {
        struct fetch_call *call = &fetch->calls[i];
        while (!call->call.active &&
               fetch->next_chunk < fetch->head.chunks->len) {
            call->digest =
                g_ptr_array_index(fetch->head.chunks, fetch->next_chunk++);
            if (!take_chunk(fetch, call->digest)) {
                fetch->in_flight++;
                objects->ops->get(objects, &call->call, CM_CHUNK_KIND,
                                  call->digest);
            }
        }
    }
    if (fetch->in_flight > 0) {
        return;
    }
    struct cm_revisions *revisions = fetch->revisions;
    if (fetch->failed) {
        schedule_head_read(revisions);
    }
    else {
        apply_fetched(fetch);
    }
    free_fetch(fetch);
}

static void
on_chunk_response(void *context, enum cm_object_result result, json_t *object)
{
    struct fetch_call *call = context;
    struct cm_revision_fetch *fetch = call->fetch;
    fetch->in_flight--;
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
    fetch_missing_chunks(fetch);
}

static void
start_fetch(struct cm_revisions *revisions, const json_t *spec)
{
    struct cm_revision_fetch *fetch = g_new0(struct cm_revision_fetch, 1);
    fetch->revisions = revisions;
    fetch->chunks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          CmRevisions_FreeString);
    for (size_t i = 0; i < CM_CHUNK_CALLS_MAX; i++) {
        fetch->calls[i].fetch = fetch;
        CmObjectCall_Init(&fetch->calls[i].call, on_chunk_response,
                          &fetch->calls[i]);
    }
    bool valid = CmConfigHead_Init(&fetch->head, spec);
    if (!valid || fetch->head.revision <= revisions->revision) {
        free_fetch(fetch);
        return;
    }
    if (revisions->fetch != NULL) {
        free_fetch(revisions->fetch);
    }
    revisions->fetch = fetch;
    fetch_missing_chunks(fetch);
}

static void
on_watch_event(void *context, const char *type, json_t *object)
{
    struct cm_revisions *revisions = context;
    if (strcmp(type, "ADDED") == 0 || strcmp(type, "MODIFIED") == 0) {
        start_fetch(revisions, CmObject_Spec(object));
    }
    else if (strcmp(type, "ERROR") == 0) {
        // The store no longer has the resourceVersion from which the watch
        // would continue, so read the head again.
        revisions->objects->ops->unwatch(revisions->objects,
                                         &revisions->watch);
        schedule_head_read(revisions);
    }
}

static void
on_watch_end(void *context)
{
    schedule_head_read(context);
}

static void
on_head_response(void *context, enum cm_object_result result, json_t *object)
{
    struct cm_revisions *revisions = context;
    revisions->api_reachable =
        result == CM_OBJECT_OK || result == CM_OBJECT_NOT_FOUND;
    if (!revisions->api_reachable) {
        schedule_head_read(revisions);
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
                 bool (*apply)(void *context, uint64_t revision,
                               const char *text, size_t size),
                 void *context)
{
    memset(revisions, 0, sizeof(*revisions));
    revisions->objects = objects;
    revisions->base = base;
    revisions->apply = apply;
    revisions->context = context;
    revisions->cached_chunks = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, CmRevisions_FreeString);
    CmObjectCall_Init(&revisions->head_call, on_head_response, revisions);
    CmObjectWatch_Init(&revisions->watch, on_watch_event, on_watch_end,
                       revisions);
    revisions->head_retry = evtimer_new(base, on_head_retry, revisions);
    read_head(revisions);
}

void
CmRevisions_Finish(struct cm_revisions *revisions)
{
    if (revisions->fetch != NULL) {
        free_fetch(revisions->fetch);
    }
    if (revisions->submit != NULL) {
        CmRevisions_FreeSubmit(revisions->submit);
    }
    CmObjectCall_Finish(revisions->objects, &revisions->head_call);
    CmObjectWatch_Finish(revisions->objects, &revisions->watch);
    event_free(revisions->head_retry);
    g_hash_table_destroy(revisions->cached_chunks);
    g_free(revisions->text);
}
