/// @file submit.c
/// Submitting a revision: chunks first, then one conditional update of the
/// head. After a lost answer the head is read back to look for the token.

#include <string.h>

#include "base/clock.h"
#include "revisions_internal.h"

#define TRY_AGAIN_MS 200

enum submit_phase {
    SUBMIT_READING,  ///< the head
    SUBMIT_CHUNKS,   ///< writing chunks
    SUBMIT_HEAD,     ///< writing the head
    SUBMIT_CHECKING, ///< reading the head back after a lost answer
};

struct cm_revision_submit {
    struct cm_revisions *revisions;
    char *text;
    size_t size;
    uint64_t base;
    bool any;
    bool maybe_written; ///< a write of the head had no answer
    char token[CM_DIGEST_SIZE];
    enum submit_phase phase;
    struct cm_chunks chunks;
    size_t next;
    size_t under_way;
    bool failed;
    json_t *previous; ///< spec of the head that was read
    json_t *written;  ///< spec of the head under way
    char *version;
    struct cm_object_call call;
    struct chunk_call {
        struct cm_revision_submit *submit;
        struct cm_object_call call;
    } calls[CM_CHUNK_CALLS_MAX];
    struct event *again;
    struct event *timeout;
    cm_submit_callback done;
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
    event_free(submit->again);
    event_free(submit->timeout);
    CmChunks_Finish(&submit->chunks);
    json_decref(submit->previous);
    json_decref(submit->written);
    g_free(submit->version);
    g_free(submit->text);
    g_free(submit);
}

static void
end(struct cm_revision_submit *submit, enum cm_submit_result result,
    uint64_t revision)
{
    cm_submit_callback done = submit->done;
    void *context = submit->context;
    CmRevisions_FreeSubmit(submit);
    done(context, result, revision);
}

static void
accepted(struct cm_revision_submit *submit, uint64_t revision)
{
    CmRevisions_ApplyIfNewer(submit->revisions, revision, submit->text,
                             submit->size);
    end(submit, CM_SUBMIT_ACCEPTED, revision);
}

static void
on_timeout(evutil_socket_t fd, short what, void *context)
{
    struct cm_revision_submit *submit = context;
    end(submit, submit->maybe_written ? CM_SUBMIT_UNKNOWN : CM_SUBMIT_FAILED,
        0);
}

static void
try_again(struct cm_revision_submit *submit)
{
    struct timeval delay = CmTime_Timeval(TRY_AGAIN_MS);
    event_add(submit->again, &delay);
}

static void
on_again(evutil_socket_t fd, short what, void *context)
{
    struct cm_revision_submit *submit = context;
    read_head(submit,
              submit->maybe_written ? SUBMIT_CHECKING : SUBMIT_READING);
}

static void
write_head(struct cm_revision_submit *submit)
{
    struct cm_objects *objects = submit->revisions->objects;
    json_decref(submit->written);
    submit->written =
        CmConfigHead_NextSpec(submit->previous, &submit->chunks, submit->text,
                              submit->size, submit->token);
    json_t *object =
        CmObject_New(submit->version, json_incref(submit->written));
    submit->phase = SUBMIT_HEAD;
    if (submit->version == NULL) {
        objects->ops->create(objects, &submit->call, CM_HEAD_KIND,
                             CM_HEAD_NAME, object);
    }
    else {
        objects->ops->update(objects, &submit->call, CM_HEAD_KIND,
                             CM_HEAD_NAME, object);
    }
    json_decref(object);
}

/// @return whether the head that was read uses the chunk already.
static bool
is_stored(const struct cm_revision_submit *submit, const char *digest)
{
    const json_t *chunks = json_object_get(submit->previous, "chunks");
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
        submit->failed = true; // a cut inside a UTF-8 sequence
        return;
    }
    json_t *object =
        CmObject_New(NULL, json_pack("{s:i,s:o}", "format", 1, "text", text));
    submit->under_way++;
    objects->ops->create(objects, call, CM_CHUNK_KIND, chunk->digest, object);
    json_decref(object);
}

static void
write_chunks(struct cm_revision_submit *submit)
{
    submit->phase = SUBMIT_CHUNKS;
    for (size_t i = 0; i < CM_CHUNK_CALLS_MAX && !submit->failed; i++) {
        struct chunk_call *call = &submit->calls[i];
        while (!call->call.active && submit->next < submit->chunks.n) {
            const struct cm_chunk *chunk =
                &submit->chunks.items[submit->next++];
            if (!is_stored(submit, chunk->digest)) {
                write_chunk(submit, &call->call, chunk);
            }
        }
    }
    if (submit->under_way > 0) {
        return;
    }
    if (submit->failed) {
        try_again(submit);
    }
    else {
        write_head(submit);
    }
}

static void
on_chunk(void *context, enum cm_object_result result, json_t *object)
{
    struct chunk_call *call = context;
    struct cm_revision_submit *submit = call->submit;
    submit->under_way--;
    // A chunk that exists is the same chunk: its name is its content.
    if (result != CM_OBJECT_OK && result != CM_OBJECT_CONFLICT) {
        submit->failed = true;
    }
    write_chunks(submit);
}

/// @return whether the head that was read holds this very text.
static bool
is_in_force(const struct cm_revision_submit *submit)
{
    const char *stored =
        json_string_value(json_object_get(submit->previous, "digest"));
    char digest[CM_DIGEST_SIZE];
    CmHash_Digest(submit->text, submit->size, digest);
    return stored != NULL && strcmp(stored, digest) == 0;
}

/// @return whether the head that was read ends the submission.
static bool
ended_by_head(struct cm_revision_submit *submit)
{
    uint64_t revision =
        CmConfigHead_FindToken(submit->previous, submit->token);
    if (revision > 0) {
        accepted(submit, revision);
        return true;
    }
    uint64_t present = (uint64_t)json_integer_value(
        json_object_get(submit->previous, "revision"));
    if (!submit->any && present != submit->base) {
        end(submit, CM_SUBMIT_CONFLICT, present);
        return true;
    }
    if (is_in_force(submit)) {
        accepted(submit, present); // nothing to change, and no new revision
        return true;
    }
    return false;
}

static void
on_head_read(struct cm_revision_submit *submit, enum cm_object_result result,
             json_t *object)
{
    if (result != CM_OBJECT_OK && result != CM_OBJECT_NOT_FOUND) {
        try_again(submit);
        return;
    }
    json_decref(submit->previous);
    submit->previous = json_incref(CmObject_Spec(object));
    g_free(submit->version);
    submit->version = g_strdup(CmObject_Version(object));
    if (ended_by_head(submit)) {
        return;
    }
    // A write without an answer may still land: the same version is required
    // again, so that only one of the two can.
    submit->next = 0;
    submit->failed = false;
    write_chunks(submit);
}

static void
on_deleted(void *context, enum cm_object_result result, json_t *object)
{
    struct cm_object_call *call = context;
    g_string_free(call->body, TRUE);
    g_free(call);
}

/// Deletes chunks that no kept revision uses; a failure leaves them for good,
/// which costs room only.
static void
delete_garbage(struct cm_revision_submit *submit)
{
    struct cm_objects *objects = submit->revisions->objects;
    GPtrArray *garbage =
        CmConfigHead_ListExpiredChunks(submit->previous, submit->written);
    for (guint i = 0; i < garbage->len; i++) {
        struct cm_object_call *call = g_new0(struct cm_object_call, 1);
        CmObjectCall_Init(call, on_deleted, call);
        objects->ops->remove(objects, call, CM_CHUNK_KIND,
                             g_ptr_array_index(garbage, i));
    }
    g_ptr_array_free(garbage, TRUE);
}

static void
on_head_written(struct cm_revision_submit *submit,
                enum cm_object_result result)
{
    switch (result) {
    case CM_OBJECT_OK:
        delete_garbage(submit);
        accepted(submit, (uint64_t)json_integer_value(
                             json_object_get(submit->written, "revision")));
        return;
    case CM_OBJECT_CONFLICT:
        read_head(submit, SUBMIT_CHECKING);
        return;
    case CM_OBJECT_INDETERMINATE:
        submit->maybe_written = true;
        try_again(submit);
        return;
    default:
        try_again(submit);
        return;
    }
}

static void
on_answer(void *context, enum cm_object_result result, json_t *object)
{
    struct cm_revision_submit *submit = context;
    if (submit->phase == SUBMIT_HEAD) {
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
                   size_t size, uint64_t base, bool any,
                   cm_submit_callback done, void *context)
{
    if (revisions->submit != NULL) {
        done(context, CM_SUBMIT_BUSY, 0);
        return;
    }
    struct cm_revision_submit *submit = g_new0(struct cm_revision_submit, 1);
    revisions->submit = submit;
    submit->revisions = revisions;
    submit->text = g_strndup(text, size);
    submit->size = size;
    submit->base = base;
    submit->any = any;
    submit->done = done;
    submit->context = context;
    make_token(submit->token);
    CmChunks_Init(&submit->chunks, text, size);
    CmObjectCall_Init(&submit->call, on_answer, submit);
    for (size_t i = 0; i < CM_CHUNK_CALLS_MAX; i++) {
        submit->calls[i].submit = submit;
        CmObjectCall_Init(&submit->calls[i].call, on_chunk, &submit->calls[i]);
    }
    submit->again = evtimer_new(revisions->base, on_again, submit);
    submit->timeout = evtimer_new(revisions->base, on_timeout, submit);
    struct timeval limit = CmTime_Timeval(CM_SUBMIT_TIMEOUT_MS);
    event_add(submit->timeout, &limit);
    read_head(submit, SUBMIT_READING);
}
