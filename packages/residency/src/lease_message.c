/// @file lease_message.c
/// Messages between gateways and agents.

#include "residency/lease_message.h"

#include <jansson.h>
#include <string.h>

static const char *const outcome_names[] = {"held", "pinned", "late", "down"};

char *
CmLeaseAsk_Encode(const struct cm_lease_ask *ask)
{
    json_t *body = json_pack(
        "{s:s,s:s,s:s,s:s*,s:I,s:I,s:I,s:I}", "id", ask->id, "target",
        ask->target, "model", ask->model,
        "adapter", ask->adapter, "version", (json_int_t)ask->version,
        "priority", (json_int_t)ask->priority, "slots", (json_int_t)ask->slots,
        "wait_ms", (json_int_t)ask->wait_ms);
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

bool
CmLeaseAsk_Decode(struct cm_lease_ask *ask, const char *body, size_t size)
{
    json_t *json = json_loadb(body, size, 0, NULL);
    const char *id;
    const char *target;
    const char *model;
    const char *adapter = NULL;
    json_int_t version;
    json_int_t priority;
    json_int_t slots;
    json_int_t wait_ms;
    bool sound = json_unpack(json, "{s:s,s:s,s:s,s?s,s:I,s:I,s:I,s:I}", "id", &id,
                    "target", &target,
                             "model", &model, "adapter", &adapter, "version",
                             &version, "priority", &priority, "slots", &slots,
                             "wait_ms", &wait_ms) == 0;
    if (sound) {
        *ask = (struct cm_lease_ask){
            g_strdup(id), g_strdup(target), g_strdup(model), g_strdup(adapter),
            version,      priority,        slots,
            wait_ms};
    }
    json_decref(json);
    return sound;
}

void
CmLeaseAsk_Finish(struct cm_lease_ask *ask)
{
    g_clear_pointer(&ask->id, g_free);
    g_clear_pointer(&ask->target, g_free);
    g_clear_pointer(&ask->model, g_free);
    g_clear_pointer(&ask->adapter, g_free);
}

char *
CmLeaseReply_Encode(const struct cm_lease_reply *reply)
{
    json_t *body = json_pack(
        "{s:s,s:I,s:I,s:I,s:I,s:I}", "outcome", outcome_names[reply->outcome],
        "version", (json_int_t)reply->version, "free_slots",
        (json_int_t)reply->free_slots, "waiting_adapters",
        (json_int_t)reply->waiting_adapters, "running",
        (json_int_t)reply->running, "waiting", (json_int_t)reply->waiting);
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

bool
CmLeaseReply_Decode(struct cm_lease_reply *reply, const char *body,
                    size_t size)
{
    json_t *json = json_loadb(body, size, 0, NULL);
    const char *outcome;
    json_int_t version;
    json_int_t free_slots;
    json_int_t waiting_adapters;
    json_int_t running;
    json_int_t waiting;
    bool sound =
        json_unpack(json, "{s:s,s:I,s:I,s:I,s:I,s:I}", "outcome", &outcome,
                    "version", &version, "free_slots", &free_slots,
                    "waiting_adapters", &waiting_adapters, "running", &running,
                    "waiting", &waiting) == 0;
    bool known = false;
    for (size_t i = 0; sound && i < G_N_ELEMENTS(outcome_names); i++) {
        if (strcmp(outcome_names[i], outcome) == 0) {
            *reply = (struct cm_lease_reply){
                (enum cm_lease_outcome)i, version, free_slots,
                waiting_adapters,         running, waiting};
            known = true;
        }
    }
    json_decref(json);
    return known;
}

const char *
CmLeaseOutcome_Name(enum cm_lease_outcome outcome)
{
    return outcome_names[outcome];
}
