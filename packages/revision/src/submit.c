/// @file submit.c
/// Submits a revision: writes its new chunks first, then the head by one
/// conditional update. If the update gets no response, the head is read back
/// and searched for the token of this submission.

#include <string.h>

#include "base/clock.h"
#include "revisions_internal.h"

#define RETRY_DELAY_MS 200

enum submit_phase {
    SUBMIT_READ_HEAD,
    SUBMIT_WRITE_CHUNKS,
    SUBMIT_WRITE_HEAD,
    SUBMIT_VERIFY_HEAD, ///< read back after a conflict or a lost response
};

struct cm_revision_submit {
    struct cm_revisions *revisions;
    char *text;
    size_t size;
    uint64_t base;
    bool skip_base_check;
    bool head_write_unknown;    ///< an update of the head had no response
    char token[CM_DIGEST_SIZE]; ///< unique, recorded in the head
    enum submit_phase phase;
    struct cm_chunks chunks;
    size_t next_chunk;
    size_t in_flight;
    bool chunk_write_failed;
    json_t *current_spec;   ///< of the head as last read
    json_t *next_spec;      ///< of the head as last written
    char *resource_version; ///< of `current_spec`, NULL if there is no head
    struct cm_object_call call;
    struct chunk_call {
        struct cm_revision_submit *submit;
        struct cm_object_call call;
    } calls[CM_CHUNK_CALLS_MAX];
    struct event *retry_timer;
    struct event *timeout;
    cm_submit_callback callback;
    void *context;
};

static void
read_head(struct cm_revision_submit *submit, enum submit_phase phase);

void
CmRevisions_FreeSubmit(struct cm_revision_submit *submit)
{
    struct cm_objects *objects = submit->revisions->objects;
    submit->revisions->submit = NULL;
    CmObjectCall_Finish(objects, &submit->call);
    for (size_t i = 0; i < CM_CHUNK_CALLS_MAX; i++) {
        CmObjectCall_Finish(objects, &submit->calls[i].call);
    }
    event_free(submit->retry_timer);
    event_free(submit->timeout);
    CmChunks_Finish(&submit->chunks);
    json_decref(submit->current_spec);
    json_decref(submit->next_spec);
    g_free(submit->resource_version);
    g_free(submit->text);
    g_free(submit);
}

static void
finish_submit(struct cm_revision_submit *submit, enum cm_submit_result result,
              uint64_t revision)
{
    cm_submit_callback callback = submit->callback;
    void *context = submit->context;
    CmRevisions_FreeSubmit(submit);
    callback(context, result, revision);
}

static void
finish_accepted(struct cm_revision_submit *submit, uint64_t revision)
{
    CmRevisions_ApplyIfNewer(submit->revisions, revision, submit->text,
                             submit->size);
    finish_submit(submit, CM_SUBMIT_ACCEPTED, revision);
}

static void
on_timeout(evutil_socket_t fd, short what, void *context)
{
    struct cm_revision_submit *submit = context;
    finish_submit(
        submit,
        submit->head_write_unknown ? CM_SUBMIT_UNKNOWN : CM_SUBMIT_FAILED, 0);
}

static void
schedule_retry(struct cm_revision_submit *submit)
{
    struct timeval delay = CmTime_Timeval(RETRY_DELAY_MS);
    event_add(submit->retry_timer, &delay);
}

static void
on_retry_timer(evutil_socket_t fd, short what, void *context)
{
    struct cm_revision_submit *submit = context;
    read_head(submit, submit->head_write_unknown ? SUBMIT_VERIFY_HEAD
                                                 : SUBMIT_READ_HEAD);
}

static void
write_head(struct cm_revision_submit *submit)
{
    struct cm_objects *objects = submit->revisions->objects;
    json_decref(submit->next_spec);
    submit->next_spec =
        CmConfigHead_NextSpec(submit->current_spec, &submit->chunks,
                              submit->text, submit->size, submit->token);
    json_t *object =
        CmObject_New(submit->resource_version, json_incref(submit->next_spec));
    submit->phase = SUBMIT_WRITE_HEAD;
    if (submit->resource_version == NULL) {
        objects->ops->create(objects, &submit->call, CM_HEAD_KIND,
                             CM_HEAD_NAME, object);
    }
    else {
        objects->ops->update(objects, &submit->call, CM_HEAD_KIND,
                             CM_HEAD_NAME, object);
    }
    json_decref(object);
}

/// @return whether the current head lists the chunk, so that it is stored.
static bool
is_chunk_in_head(const struct cm_revision_submit *submit, const char *digest)
{
    const json_t *chunks = json_object_get(submit->current_spec, "chunks");
    for (size_t i = 0; i < json_array_size(chunks); i++) {
        const char *name = json_string_value(json_array_get(chunks, i));
        if (name != NULL && strcmp(name, digest) == 0) {
            return true;
        }
    }
    return false;
}

static void
write_chunk(struct cm_revision_submit *submit, struct cm_object_call *call,
            const struct cm_chunk *chunk)
{
    struct cm_objects *objects = submit->revisions->objects;
    json_t *text = json_stringn(submit->text + chunk->offset, chunk->size);
    if (text == NULL) {
        // A line over CM_CONFIG_CHUNK_MAX_BYTES was cut inside a UTF-8
        // sequence.
        submit->chunk_write_failed = true;
        return;
    }
    json_t *object =
        CmObject_New(NULL, json_pack("{s:i,s:o}", "format", 1, "text", text));
    submit->in_flight++;
    objects->ops->create(objects, call, CM_CHUNK_KIND, chunk->digest, object);
    json_decref(object);
}

static void
write_chunks(struct cm_revision_submit *submit)
{
    submit->phase = SUBMIT_WRITE_CHUNKS;
    for (size_t i = 0; i < CM_CHUNK_CALLS_MAX && !submit->chunk_write_failed;
         i++) {
        struct chunk_call *call = &submit->calls[i];
        while (!call->call.active && submit->next_chunk < submit->chunks.n) {
            const struct cm_chunk *chunk =
                &submit->chunks.items[submit->next_chunk++];
            if (!is_chunk_in_head(submit, chunk->digest)) {
                write_chunk(submit, &call->call, chunk);
            }
        }
    }
    if (submit->in_flight > 0) {
        return;
    }
    if (submit->chunk_write_failed) {
        schedule_retry(submit);
    }
    else {
        write_head(submit);
    }
}

static void
on_chunk_response(void *context, enum cm_object_result result, json_t *object)
{
    struct chunk_call *call = context;
    struct cm_revision_submit *submit = call->submit;
    submit->in_flight--;
    // A conflict means that the chunk exists. Its content is the same, since
    // the name is the digest of the content.
    if (result != CM_OBJECT_OK && result != CM_OBJECT_CONFLICT) {
        submit->chunk_write_failed = true;
    }
    write_chunks(submit);
}

/// @return whether the current head describes the submitted text.
static bool
is_current_text(const struct cm_revision_submit *submit)
{
    const char *stored =
        json_string_value(json_object_get(submit->current_spec, "digest"));
    char digest[CM_DIGEST_SIZE];
    CmHash_Digest(submit->text, submit->size, digest);
    return stored != NULL && strcmp(stored, digest) == 0;
}

/// Finishes the submission if the current head decides its result: the token
/// is recorded, the base revision has been superseded, or the text is
/// unchanged.
/// @return whether the submission was finished and freed.
static bool
finish_if_decided(struct cm_revision_submit *submit)
{
    uint64_t revision =
        CmConfigHead_FindToken(submit->current_spec, submit->token);
    if (revision > 0) {
        finish_accepted(submit, revision);
        return true;
    }
    uint64_t current_revision = (uint64_t)json_integer_value(
        json_object_get(submit->current_spec, "revision"));
    if (!submit->skip_base_check && current_revision != submit->base) {
        finish_submit(submit, CM_SUBMIT_CONFLICT, current_revision);
        return true;
    }
    if (is_current_text(submit)) {
        finish_accepted(submit, current_revision); // without a new revision
        return true;
    }
    return false;
}

static void
on_head_read(struct cm_revision_submit *submit, enum cm_object_result result,
             json_t *object)
{
    if (result != CM_OBJECT_OK && result != CM_OBJECT_NOT_FOUND) {
        schedule_retry(submit);
        return;
    }
    json_decref(submit->current_spec);
    submit->current_spec = json_incref(CmObject_Spec(object));
    g_free(submit->resource_version);
    submit->resource_version = g_strdup(CmObject_Version(object));
    if (finish_if_decided(submit)) {
        return;
    }
    // An earlier update without a response may still be applied. The next
    // update requires the same resourceVersion, so at most one of the two is.
    submit->next_chunk = 0;
    submit->chunk_write_failed = false;
    write_chunks(submit);
}

static void
free_deletion(void *context, enum cm_object_result result, json_t *object)
{
    struct cm_object_call *call = context;
    g_string_free(call->body, TRUE);
    g_free(call);
}

/// Deletes the chunks whose retention has ended. A failed deletion is not
/// retried and leaves the chunk in the store, which costs only space.
static void
delete_expired_chunks(struct cm_revision_submit *submit)
{
    struct cm_objects *objects = submit->revisions->objects;
    GPtrArray *expired = CmConfigHead_ListExpiredChunks(submit->current_spec,
                                                        submit->next_spec);
    for (guint i = 0; i < expired->len; i++) {
        struct cm_object_call *call = g_new0(struct cm_object_call, 1);
        CmObjectCall_Init(call, free_deletion, call);
        objects->ops->remove(objects, call, CM_CHUNK_KIND,
                             g_ptr_array_index(expired, i));
    }
    g_ptr_array_free(expired, TRUE);
}

static void
on_head_written(struct cm_revision_submit *submit,
                enum cm_object_result result)
{
    switch (result) {
    case CM_OBJECT_OK:
        delete_expired_chunks(submit);
        finish_accepted(submit, (uint64_t)json_integer_value(json_object_get(
                                    submit->next_spec, "revision")));
        return;
    case CM_OBJECT_CONFLICT:
        read_head(submit, SUBMIT_VERIFY_HEAD);
        return;
    case CM_OBJECT_INDETERMINATE:
        submit->head_write_unknown = true;
        schedule_retry(submit);
        return;
    default:
        schedule_retry(submit);
        return;
    }
}

static void
on_head_response(void *context, enum cm_object_result result, json_t *object)
{
    struct cm_revision_submit *submit = context;
    if (submit->phase == SUBMIT_WRITE_HEAD) {
        on_head_written(submit, result);
    }
    else {
        on_head_read(submit, result, object);
    }
}

static void
read_head(struct cm_revision_submit *submit, enum submit_phase phase)
{
    struct cm_objects *objects = submit->revisions->objects;
    submit->phase = phase;
    objects->ops->get(objects, &submit->call, CM_HEAD_KIND, CM_HEAD_NAME);
}

static void
make_token(char token[CM_DIGEST_SIZE])
{
    char *uuid = g_uuid_string_random();
    g_strlcpy(token, uuid, CM_DIGEST_SIZE);
    g_free(uuid);
}

void
CmRevisions_Submit(struct cm_revisions *revisions, const char *text,
                   size_t size, uint64_t base, bool skip_base_check,
                   cm_submit_callback callback, void *context)
{
    if (revisions->submit != NULL) {
        callback(context, CM_SUBMIT_BUSY, 0);
        return;
    }
    struct cm_revision_submit *submit = g_new0(struct cm_revision_submit, 1);
    revisions->submit = submit;
    submit->revisions = revisions;
    submit->text = g_strndup(text, size);
    submit->size = size;
    submit->base = base;
    submit->skip_base_check = skip_base_check;
    submit->callback = callback;
    submit->context = context;
    make_token(submit->token);
    CmChunks_Init(&submit->chunks, text, size);
    CmObjectCall_Init(&submit->call, on_head_response, submit);
    for (size_t i = 0; i < CM_CHUNK_CALLS_MAX; i++) {
        submit->calls[i].submit = submit;
        CmObjectCall_Init(&submit->calls[i].call, on_chunk_response,
                          &submit->calls[i]);
    }
    submit->retry_timer = evtimer_new(revisions->base, on_retry_timer, submit);
    submit->timeout = evtimer_new(revisions->base, on_timeout, submit);
    struct timeval limit = CmTime_Timeval(CM_SUBMIT_TIMEOUT_MS);
    event_add(submit->timeout, &limit);
    read_head(submit, SUBMIT_READ_HEAD);
}
