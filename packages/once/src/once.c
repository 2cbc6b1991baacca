/// @file once.c
/// Reads and writes shards of idempotency records, with group commit.

#include "once/once.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "platform/objects.h"

#define OBJECT_KIND "claims"

static void
shard_continue(struct cm_once_shard *shard);
static void
on_object_result(void *context, enum cm_object_result result, json_t *object);

static void
on_step_event(evutil_socket_t fd, short what, void *context)
{
    struct cm_once_shard *shard = context;
    if (shard->phase == CM_ONCE_PAUSED) {
        shard->phase = CM_ONCE_IDLE;
    }
    shard_continue(shard);
}

void
CmOnce_Init(struct cm_once *once, struct cm_objects *objects,
            struct event_base *base, struct cm_clock *clock, int64_t window_ms)
{
    memset(once, 0, sizeof(*once));
    once->objects = objects;
    once->clock = clock;
    once->window_ms = window_ms;
    for (int i = 0; i < CM_ONCE_SHARDS; i++) {
        struct cm_once_shard *shard = &once->shards[i];
        shard->once = once;
        snprintf(shard->name, sizeof(shard->name), "shard-%02d", i);
        TAILQ_INIT(&shard->queue);
        TAILQ_INIT(&shard->ended);
        CmObjectCall_Init(&shard->call, on_object_result, shard);
        shard->step_event = evtimer_new(base, on_step_event, shard);
    }
}

static void
op_release(struct cm_once_op *op)
{
    TAILQ_REMOVE(op->queue, op, link);
    op->shard = NULL;
    g_free(op->expected_attempt);
    op->expected_attempt = NULL;
    json_decref(op->record);
    op->record = NULL;
}

static void
invalidate_records(struct cm_once_shard *shard)
{
    json_decref(shard->known_records);
    shard->known_records = NULL;
    g_free(shard->version);
    shard->version = NULL;
}

void
CmOnce_Finish(struct cm_once *once)
{
    for (int i = 0; i < CM_ONCE_SHARDS; i++) {
        struct cm_once_shard *shard = &once->shards[i];
        struct cm_once_op *op;
        while ((op = TAILQ_FIRST(&shard->queue)) != NULL) {
            op_release(op);
        }
        while ((op = TAILQ_FIRST(&shard->ended)) != NULL) {
            op_release(op);
        }
        CmObjectCall_Finish(once->objects, &shard->call);
        invalidate_records(shard);
        json_decref(shard->pending_records);
        event_free(shard->step_event);
    }
}

void
CmOnce_HashKey(const char *service, const char *key,
               char hashed[CM_ONCE_KEY_SIZE])
{
    char *joined = g_strconcat(service, "\n", key, NULL);
    char digest[CM_DIGEST_SIZE];
    CmHash_Digest(joined, strlen(joined), digest);
    g_strlcpy(hashed, digest, CM_ONCE_KEY_SIZE);
    g_free(joined);
}

/// States as stored, indexed by enum cm_once_state.
static const char *const state_names[] = {"claimed", "done", "lost"};

/// @return the record as stored, where "request" is the attempt id and "at"
///         the wall-clock time of the write in milliseconds.
static json_t *
encode_record(const struct cm_once_record *record, int64_t wall_ms)
{
    json_t *json = json_pack(
        "{s:s,s:s,s:s,s:s,s:I,s:I}", "state", state_names[record->state],
        "digest", record->digest, "request", record->attempt_id, "target",
        record->target, "incarnation", (json_int_t)record->incarnation, "at",
        (json_int_t)wall_ms);
    if (record->state == CM_ONCE_DONE) {
        json_object_set_new(json, "status", json_integer(record->status));
        json_object_set_new(
            json, "headers",
            json_string(record->headers != NULL ? record->headers : ""));
        if (record->body != NULL) {
            json_t *body = json_string(record->body);
            if (body != NULL) {
                json_object_set_new(json, "body", body);
            }
        }
    }
    return json;
}

static const char *
text_of(const json_t *json, const char *name)
{
    const char *text = json_string_value(json_object_get(json, name));
    return text != NULL ? text : "";
}

static void
decode_record(const struct cm_once *once, const json_t *json,
              struct cm_once_record *record)
{
    memset(record, 0, sizeof(*record));
    record->age_ms = CmClock_WallMs(once->clock) -
                     json_integer_value(json_object_get(json, "at"));
    const char *state = text_of(json, "state");
    // An unknown state, as of a later version, counts as "may have run".
    record->state = CM_ONCE_UNKNOWN;
    for (size_t i = 0; i < G_N_ELEMENTS(state_names); i++) {
        if (strcmp(state, state_names[i]) == 0) {
            record->state = (enum cm_once_state)i;
        }
    }
    record->digest = text_of(json, "digest");
    record->attempt_id = text_of(json, "request");
    record->target = text_of(json, "target");
    record->incarnation =
        (uint64_t)json_integer_value(json_object_get(json, "incarnation"));
    record->status = json_integer_value(json_object_get(json, "status"));
    record->headers = text_of(json, "headers");
    record->body = json_string_value(json_object_get(json, "body"));
}

/// Effect of an operation on the records.
enum effect {
    EFFECT_CONFLICT, ///< the key has another record, or none
    EFFECT_CHANGE,   ///< the records are changed
    /// The records are as requested already: an earlier write of this
    /// operation took effect.
    EFFECT_ALREADY_APPLIED,
};

static enum effect
apply_claim(const struct cm_once_op *op, json_t *records)
{
    const json_t *present = json_object_get(records, op->key);
    if (present == NULL) {
        json_object_set(records, op->key, op->record);
        return EFFECT_CHANGE;
    }
    bool own = strcmp(text_of(present, "request"),
                      text_of(op->record, "request")) == 0;
    return own ? EFFECT_ALREADY_APPLIED : EFFECT_CONFLICT;
}

static enum effect
apply_replace(const struct cm_once_op *op, json_t *records)
{
    const json_t *present = json_object_get(records, op->key);
    bool same =
        present != NULL &&
        strcmp(text_of(present, "request"), text_of(op->record, "request")) ==
            0 &&
        strcmp(text_of(present, "state"), text_of(op->record, "state")) == 0;
    if (same) {
        return EFFECT_ALREADY_APPLIED;
    }
    bool expected =
        present != NULL &&
        strcmp(text_of(present, "request"), op->expected_attempt) == 0 &&
        strcmp(text_of(present, "state"), state_names[CM_ONCE_CLAIMED]) == 0;
    if (!expected) {
        return EFFECT_CONFLICT;
    }
    json_object_set(records, op->key, op->record);
    return EFFECT_CHANGE;
}

static enum effect
apply_remove(const struct cm_once_op *op, json_t *records)
{
    const json_t *present = json_object_get(records, op->key);
    if (present == NULL) {
        return EFFECT_ALREADY_APPLIED;
    }
    bool expected =
        strcmp(text_of(present, "request"), op->expected_attempt) == 0 &&
        strcmp(text_of(present, "state"), state_names[CM_ONCE_CLAIMED]) == 0;
    if (!expected) {
        return EFFECT_CONFLICT;
    }
    json_object_del(records, op->key);
    return EFFECT_CHANGE;
}

static enum effect
apply(const struct cm_once_op *op, json_t *records)
{
    switch (op->kind) {
    case CM_ONCE_CLAIM:
        return apply_claim(op, records);
    case CM_ONCE_REPLACE:
        return apply_replace(op, records);
    case CM_ONCE_REMOVE:
        return apply_remove(op, records);
    }
    return EFFECT_CONFLICT;
}

static bool
is_expired(const struct cm_once *once, const json_t *record)
{
    int64_t written_ms = json_integer_value(json_object_get(record, "at"));
    return CmClock_WallMs(once->clock) - written_ms > once->window_ms;
}

static void
drop_expired(const struct cm_once *once, json_t *records)
{
    const char *key;
    json_t *record;
    void *next;
    json_object_foreach_safe(records, next, key, record)
    {
        if (is_expired(once, record)) {
            json_object_del(records, key);
        }
    }
}

/// Ends an operation; call_back_ended_ops() invokes its callback.
static void
end_op(struct cm_once_op *op, enum cm_once_result result)
{
    op->result = result;
    TAILQ_REMOVE(op->queue, op, link);
    op->queue = &op->shard->ended;
    TAILQ_INSERT_TAIL(op->queue, op, link);
}

static void
call_back(struct cm_once_op *op)
{
    struct cm_once_shard *shard = op->shard;
    enum cm_once_result result = op->result;
    struct cm_once_record present;
    json_t *json = json_incref(json_object_get(shard->known_records, op->key));
    bool has_present = result == CM_ONCE_CONFLICT && json != NULL;
    if (has_present) {
        decode_record(shard->once, json, &present);
    }
    cm_once_callback done = op->callback;
    void *context = op->context;
    op_release(op);
    done(context, result, has_present ? &present : NULL);
    json_decref(json);
}

/// Invokes the callbacks of ended operations. A callback may start or cancel
/// other operations, so the list is read again after each one.
static void
call_back_ended_ops(struct cm_once_shard *shard)
{
    struct cm_once_op *op;
    while ((op = TAILQ_FIRST(&shard->ended)) != NULL) {
        call_back(op);
    }
}

/// Ends the operations whose result follows from the known records.
/// @return whether some operation needs a write.
static bool
end_decided_ops(struct cm_once_shard *shard)
{
    bool needs_write = false;
    struct cm_once_op *op;
    struct cm_once_op *next;
    CmTailq_FOREACH_SAFE (op, &shard->queue, link, next) {
        op->in_write = false;
        json_t *copy = json_object();
        json_t *present = json_object_get(shard->known_records, op->key);
        // As in a write, which drops expired records.
        if (present != NULL && !is_expired(shard->once, present)) {
            json_object_set(copy, op->key, present);
        }
        enum effect effect = apply(op, copy);
        json_decref(copy);
        if (effect == EFFECT_CHANGE) {
            needs_write = true;
        }
        else {
            end_op(op, effect == EFFECT_ALREADY_APPLIED ? CM_ONCE_APPLIED
                                                        : CM_ONCE_CONFLICT);
        }
    }
    return needs_write;
}

static size_t
json_size(const json_t *json)
{
    return json_dumpb(json, NULL, 0, JSON_COMPACT);
}

/// Applies the queued operations to a copy of the records, as far as the shard
/// has room, and refuses the other claims.
static void
apply_queued_ops(struct cm_once_shard *shard)
{
    shard->pending_records = json_copy(shard->known_records);
    drop_expired(shard->once, shard->pending_records);
    size_t size = json_size(shard->pending_records);
    struct cm_once_op *op;
    struct cm_once_op *next;
    CmTailq_FOREACH_SAFE (op, &shard->queue, link, next) {
        size_t growth = op->kind == CM_ONCE_REMOVE ? 0 : json_size(op->record);
        growth += CM_ONCE_KEY_SIZE;
        if (op->kind == CM_ONCE_CLAIM && size + growth > CM_ONCE_SHARD_MAX) {
            end_op(op, CM_ONCE_SHARD_FULL);
            continue;
        }
        // Of two claims of one key only the first one is applied; the second
        // one waits for the result of this write.
        op->in_write = apply(op, shard->pending_records) == EFFECT_CHANGE;
        size += op->in_write ? growth : 0;
    }
}

static void
write_shard(struct cm_once_shard *shard)
{
    struct cm_objects *objects = shard->once->objects;
    apply_queued_ops(shard);
    if (TAILQ_EMPTY(&shard->queue)) {
        json_decref(shard->pending_records);
        shard->pending_records = NULL;
        return;
    }
    json_t *object = CmObject_New(
        shard->version, json_pack("{s:i,s:O}", "format", 1, "records",
                                  shard->pending_records));
    shard->phase = CM_ONCE_WRITING;
    if (shard->version == NULL) {
        objects->ops->create(objects, &shard->call, OBJECT_KIND, shard->name,
                             object);
    }
    else {
        objects->ops->update(objects, &shard->call, OBJECT_KIND, shard->name,
                             object);
    }
    json_decref(object);
}

static void
read_shard(struct cm_once_shard *shard)
{
    struct cm_objects *objects = shard->once->objects;
    shard->phase = CM_ONCE_READING;
    objects->ops->get(objects, &shard->call, OBJECT_KIND, shard->name);
}

static void
shard_continue(struct cm_once_shard *shard)
{
    if (shard->phase != CM_ONCE_IDLE || TAILQ_EMPTY(&shard->queue)) {
        return;
    }
    if (shard->known_records == NULL) {
        read_shard(shard);
        return;
    }
    if (end_decided_ops(shard)) {
        write_shard(shard);
    }
    call_back_ended_ops(shard);
}

static void
set_records(struct cm_once_shard *shard, const char *version, json_t *records)
{
    invalidate_records(shard);
    shard->version = g_strdup(version);
    shard->known_records =
        json_is_object(records) ? json_incref(records) : json_object();
}

static void
pause_shard(struct cm_once_shard *shard)
{
    shard->phase = CM_ONCE_PAUSED;
    struct timeval delay = CmTime_Timeval(CM_ONCE_RETRY_MS);
    event_add(shard->step_event, &delay);
}

static void
handle_read_result(struct cm_once_shard *shard, enum cm_object_result result,
                   json_t *object)
{
    if (result == CM_OBJECT_OK) {
        json_t *spec = CmObject_Spec(object);
        set_records(shard, CmObject_Version(object),
                    json_object_get(spec, "records"));
    }
    else if (result == CM_OBJECT_NOT_FOUND) {
        set_records(shard, NULL, NULL);
    }
    else {
        pause_shard(shard);
        return;
    }
    shard_continue(shard);
}

/// Ends the operations of a write that took effect.
static void
end_written_ops(struct cm_once_shard *shard)
{
    struct cm_once_op *op;
    struct cm_once_op *next;
    CmTailq_FOREACH_SAFE (op, &shard->queue, link, next) {
        if (op->in_write) {
            end_op(op, CM_ONCE_APPLIED);
        }
    }
}

static void
handle_write_result(struct cm_once_shard *shard, enum cm_object_result result,
                    json_t *object)
{
    json_t *written = shard->pending_records;
    shard->pending_records = NULL;
    if (result == CM_OBJECT_OK) {
        set_records(shard, CmObject_Version(object), written);
        end_written_ops(shard);
        shard_continue(shard);
        call_back_ended_ops(shard);
    }
    else if (result == CM_OBJECT_CONFLICT) {
        shard->once->write_conflicts++;
        invalidate_records(shard);
        shard_continue(shard);
    }
    else {
        // The write may have taken effect, so the shard is read again.
        invalidate_records(shard);
        pause_shard(shard);
    }
    json_decref(written);
}

static void
on_object_result(void *context, enum cm_object_result result, json_t *object)
{
    struct cm_once_shard *shard = context;
    enum cm_once_phase phase = shard->phase;
    shard->phase = CM_ONCE_IDLE;
    if (phase == CM_ONCE_READING) {
        handle_read_result(shard, result, object);
    }
    else {
        handle_write_result(shard, result, object);
    }
}

static struct cm_once_shard *
shard_of(struct cm_once *once, const char *key)
{
    char digits[3] = {key[0], key[1], '\0'};
    return &once->shards[strtoul(digits, NULL, 16) % CM_ONCE_SHARDS];
}

void
CmOnce_Start(struct cm_once *once, struct cm_once_op *op,
             enum cm_once_kind kind, const char *key, const char *expected,
             const struct cm_once_record *record, cm_once_callback done,
             void *context)
{
    memset(op, 0, sizeof(*op));
    op->kind = kind;
    g_strlcpy(op->key, key, sizeof(op->key));
    op->expected_attempt = g_strdup(expected);
    if (record != NULL) {
        op->record = encode_record(record, CmClock_WallMs(once->clock));
    }
    op->callback = done;
    op->context = context;
    op->shard = shard_of(once, key);
    op->queue = &op->shard->queue;
    once->operations++;
    TAILQ_INSERT_TAIL(op->queue, op, link);
    // Deferred to the event loop, so that operations started in the same
    // iteration share a write.
    if (op->shard->phase == CM_ONCE_IDLE) {
        event_active(op->shard->step_event, EV_TIMEOUT, 0);
    }
}

void
CmOnce_Cancel(struct cm_once_op *op)
{
    if (op->shard != NULL) {
        op_release(op);
    }
}

bool
CmOnce_IsActive(const struct cm_once_op *op)
{
    return op->shard != NULL;
}
