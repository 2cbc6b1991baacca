/// @file lease_message.c
/// Encodes and decodes the lease messages between gateways and agents.

#include "residency/lease_message.h"

#include <jansson.h>
#include <string.h>

/// Longest name in a request: longer than any of a deployment.
#define NAME_MAX_BYTES ((size_t)256)

static const char *const outcome_names[] = {"held", "pinned", "late", "busy",
                                            "down"};

/// Integer members of a lease request by their JSON names, for both
/// directions. A request of an earlier release may lack optional ones.
static const struct {
    const char *name;
    size_t offset;
    bool optional;
} request_numbers[] = {
    {"version", offsetof(struct cm_lease_request, version), false},
    {"priority", offsetof(struct cm_lease_request, priority), false},
    {"tokens", offsetof(struct cm_lease_request, tokens), false},
    {"slots", offsetof(struct cm_lease_request, adapter_slots), false},
    {"ahead_max_ms", offsetof(struct cm_lease_request, max_queue_wait_ms),
     false},
    {"wait_ms", offsetof(struct cm_lease_request, wait_ms), false},
    {"on_time_ms", offsetof(struct cm_lease_request, on_time_ms), false},
    {"output_tokens", offsetof(struct cm_lease_request, output_tokens), true},
    {"target_gap_ms", offsetof(struct cm_lease_request, target_gap_ms), true},
    {"slot_wait_max_ms", offsetof(struct cm_lease_request, slot_wait_max_ms),
     true},
};

char *
CmLeaseRequest_Encode(const struct cm_lease_request *request)
{
    json_t *body = json_pack(
        "{s:s,s:s,s:s,s:s,s:s*,s:s*}", "id", request->id, "gateway",
        request->gateway, "target", request->target, "model", request->model,
        "adapter", request->adapter, "reports", request->reports);
    for (size_t i = 0; i < G_N_ELEMENTS(request_numbers); i++) {
        const int64_t *number =
            (const void *)((const char *)request + request_numbers[i].offset);
        json_object_set_new(body, request_numbers[i].name,
                            json_integer(*number));
    }
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

bool
CmLeaseRequest_Decode(struct cm_lease_request *request, const char *body,
                      size_t size)
{
    json_t *json = json_loadb(body, size, 0, NULL);
    const char *id;
    const char *gateway;
    const char *target;
    const char *model;
    const char *adapter = NULL;
    const char *reports = NULL;
    bool valid =
        json_unpack(json, "{s:s,s:s,s:s,s:s,s?s,s?s}", "id", &id, "gateway",
                    &gateway, "target", &target, "model", &model, "adapter",
                    &adapter, "reports", &reports) == 0;
    for (size_t i = 0; valid && i < G_N_ELEMENTS(request_numbers); i++) {
        const json_t *number = json_object_get(json, request_numbers[i].name);
        int64_t *value = (void *)((char *)request + request_numbers[i].offset);
        valid = json_is_integer(number) ||
                (number == NULL && request_numbers[i].optional);
        *value = json_integer_value(number);
    }
    const char *const names[] = {id, gateway, target, model, adapter, reports};
    for (size_t i = 0; valid && i < G_N_ELEMENTS(names); i++) {
        valid = names[i] == NULL || strlen(names[i]) <= NAME_MAX_BYTES;
    }
    if (valid) {
        request->id = g_strdup(id);
        request->gateway = g_strdup(gateway);
        request->target = g_strdup(target);
        request->model = g_strdup(model);
        request->adapter = g_strdup(adapter);
        request->reports = g_strdup(reports);
    }
    json_decref(json);
    return valid;
}

void
CmLeaseRequest_Finish(struct cm_lease_request *request)
{
    g_clear_pointer(&request->id, g_free);
    g_clear_pointer(&request->gateway, g_free);
    g_clear_pointer(&request->target, g_free);
    g_clear_pointer(&request->model, g_free);
    g_clear_pointer(&request->adapter, g_free);
    g_clear_pointer(&request->reports, g_free);
}

/// Integer members of an answer by their JSON names, for both directions. An
/// answer of an earlier release may lack optional ones.
static const struct {
    const char *name;
    size_t offset;
    bool optional;
} reply_numbers[] = {
    {"version", offsetof(struct cm_lease_reply, version), false},
    {"lacks_model", offsetof(struct cm_lease_reply, lacks_model), false},
    {"slot_wait_ms", offsetof(struct cm_lease_reply, slot_wait_ms), false},
    {"backlog_ms", offsetof(struct cm_lease_reply, backlog_ms), false},
    {"gateways", offsetof(struct cm_lease_reply, gateways), false},
    {"running", offsetof(struct cm_lease_reply, running), false},
    {"waiting", offsetof(struct cm_lease_reply, waiting), false},
    {"started_ms", offsetof(struct cm_lease_reply, started_ms), true},
};

char *
CmLeaseReply_Encode(const struct cm_lease_reply *reply)
{
    json_t *body =
        json_pack("{s:s}", "outcome", outcome_names[reply->outcome]);
    for (size_t i = 0; i < G_N_ELEMENTS(reply_numbers); i++) {
        const int64_t *number =
            (const void *)((const char *)reply + reply_numbers[i].offset);
        json_object_set_new(body, reply_numbers[i].name,
                            json_integer(*number));
    }
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

static bool
decode_outcome(const char *name, enum cm_lease_outcome *outcome)
{
    for (size_t i = 0; name != NULL && i < G_N_ELEMENTS(outcome_names); i++) {
        if (strcmp(outcome_names[i], name) == 0) {
            *outcome = (enum cm_lease_outcome)i;
            return true;
        }
    }
    return false;
}

bool
CmLeaseReply_Decode(struct cm_lease_reply *reply, const char *body,
                    size_t size)
{
    json_t *json = json_loadb(body, size, 0, NULL);
    bool valid = decode_outcome(
        json_string_value(json_object_get(json, "outcome")), &reply->outcome);
    for (size_t i = 0; valid && i < G_N_ELEMENTS(reply_numbers); i++) {
        const json_t *number = json_object_get(json, reply_numbers[i].name);
        int64_t *value = (void *)((char *)reply + reply_numbers[i].offset);
        valid = json_is_integer(number) ||
                (number == NULL && reply_numbers[i].optional);
        *value = json_integer_value(number);
    }
    json_decref(json);
    return valid;
}

const char *
CmLeaseOutcome_Name(enum cm_lease_outcome outcome)
{
    return outcome_names[outcome];
}
