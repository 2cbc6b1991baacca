/// @file wire_fuzz.c
/// Fuzz target: inputs of the platform deployment. Covers objects of the
/// store, engine reports, heads of requests and responses, lease messages,
/// crash records, introductions, quota messages, lists of prompt parts,
/// records of streams, event streams and log lines.

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "call_codec.h"
#include "catalog_codec.h"
#include "dispatch/event_stream.h"
#include "engine_codec.h"
#include "explain/timeline.h"
#include "peers/introduction.h"
#include "quarantine/exchange.h"
#include "ratelimit/message.h"
#include "ratelimit/quota_message.h"
#include "ratelimit/retry_message.h"
#include "residency/lease_message.h"
#include "streams/message.h"
#include "target_codec.h"

/// Bytes per CmEventStream_Feed() call, so that events arrive in fragments.
#define FRAGMENT_BYTES 7

static void
ignore_adapter(void *context, const char *adapter, int64_t version,
               bool incoming)
{
}

static void
ignore_listed(void *context, const char *adapter, int64_t version)
{
}

static void
ignore_run(void *context, const char *request, int64_t tokens, int64_t events)
{
}

static void
decode_exchange(const uint8_t *data, size_t size)
{
    struct timespec now = {.tv_sec = 10000};
    struct cm_exchange exchange;
    CmExchange_Init(&exchange, "", 0);
    if (CmExchange_Decode(&exchange, (const char *)data, size, now)) {
        free(CmExchange_Encode(&exchange, now));
    }
    CmExchange_Finish(&exchange);
}

static void
decode_introduction(const char *data, size_t size)
{
    struct cm_introduction introduction;
    char text[CM_INTRODUCTION_MAX];
    if (CmIntroduction_Decode(&introduction, data, size)) {
        CmIntroduction_Encode(&introduction, text);
    }
}

static void
decode_stream_message(const char *data, size_t size)
{
    struct cm_stream_message message;
    if (CmStreamMessage_Decode(&message, data, size)) {
        char encoded[CM_STREAM_MESSAGE_MAX];
        CmStreamMessage_Encode(&message, encoded);
    }
}

static void
decode_limit_message(const char *text, size_t size)
{
    struct timespec now = {.tv_sec = 10000};
    struct cm_limit_message message;
    CmLimitMessage_Init(&message);
    if (CmLimitMessage_Decode(&message, text, size, now)) {
        free(CmLimitMessage_Encode(&message, now));
    }
    CmLimitMessage_Finish(&message);
}

/// Encodes what was decoded, as a holder of the reserve and a claimant do.
static void
decode_retry_message(const char *text, size_t size)
{
    struct cm_retry_claim claim;
    if (CmRetryClaim_Decode(&claim, text, size)) {
        free(CmRetryClaim_Encode(&claim));
    }
    struct cm_retry_grant grant;
    if (CmRetryGrant_Decode(&grant, CM_RETRY_WANTED_MAX, text, size)) {
        free(CmRetryGrant_Encode(&grant));
    }
}

/// Encodes what was decoded, as gateways do with accounts and amounts.
static void
decode_quota_message(const char *text, size_t size)
{
    struct cm_quota_report report;
    CmQuotaReport_Init(&report);
    if (CmQuotaReport_Decode(&report, text, size)) {
        free(CmQuotaReport_Encode(&report));
    }
    CmQuotaReport_Finish(&report);
    struct cm_quota_answer answer;
    CmQuotaAnswer_Init(&answer);
    if (CmQuotaAnswer_Decode(&answer, text, size)) {
        free(CmQuotaAnswer_Encode(&answer));
    }
    CmQuotaAnswer_Finish(&answer);
}

static void
decode_json(const json_t *json)
{
    GError *error = NULL;
    struct cm_catalog *catalog = CmCatalogCodec_Decode(json, &error);
    if (catalog != NULL) {
        if (catalog->accounts != NULL) {
            CmAccounts_FindByKey(catalog->accounts, "key-1");
        }
        CmCatalog_FindRoute(catalog, "h", "/a/");
        CmCatalog_Unref(catalog);
    }
    g_clear_error(&error);
    struct cm_target_info info;
    CmTargetCodec_Decode("i-1", json, &info);
    CmTargetCodec_EachAdapter(json, ignore_listed, NULL);
    char *adapter;
    int64_t version;
    if (CmTargetCodec_DecodeVersion(json, &adapter, &version)) {
        g_free(adapter);
    }
    static const struct cm_engine_report_handler handler = {
        .adapter = ignore_adapter, .run = ignore_run};
    struct cm_engine_report report;
    CmEngineCodec_DecodeReport(json, &report, &handler, NULL);
}

#define STATUS_UNAVAILABLE 503

/// A request with valid names gets a lease message, one with others none.
static void
decode_request_head(const struct cm_h1_head *head)
{
    struct cm_caller_request parsed;
    CmCallCodec_DecodeRequest(head, &parsed);
    CmCallCodec_FindKey(head);
    struct cm_lease_request lease = {.id = parsed.id,
                                     .gateway = (char *)"g",
                                     .target = (char *)"t",
                                     .model = parsed.model,
                                     .adapter = parsed.adapter,
                                     .tokens = parsed.prompt_tokens};
    if (parsed.model != NULL && CmCallCodec_HasValidNames(&parsed)) {
        char *text = CmLeaseRequest_Encode(&lease);
        if (text == NULL) {
            abort();
        }
        free(text);
    }
    CmCallCodec_FinishRequest(&parsed);
}

/// Decodes lines "NAME:VALUE" as the header fields of a caller's request and
/// of a target's response.
static void
decode_head(const char *text, size_t size)
{
    struct cm_h1_head head = {
        .status = STATUS_UNAVAILABLE,
        .text = g_string_new(NULL),
        .fields = g_array_new(FALSE, FALSE, sizeof(struct cm_h1_field)),
    };
    char *copy = g_strndup(text, size);
    char **lines = g_strsplit(copy, "\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        char *value = strchr(*line, ':');
        if (value == NULL) {
            continue;
        }
        *value++ = '\0';
        struct cm_h1_field field = {.name = (uint32_t)head.text->len};
        g_string_append_len(head.text, *line, (gssize)strlen(*line) + 1);
        field.value = (uint32_t)head.text->len;
        g_string_append_len(head.text, value, (gssize)strlen(value) + 1);
        g_array_append_val(head.fields, field);
    }
    decode_request_head(&head);
    struct cm_target_response response;
    if (CmCallCodec_DecodeResponse(&head, "id1", &response) &&
        (response.pause_ms < 0 ||
         (response.pause_ms > 0 && !response.has_pause))) {
        abort();
    }
    g_strfreev(lines);
    g_free(copy);
    g_array_free(head.fields, TRUE);
    g_string_free(head.text, TRUE);
}

static void
decode_leases(const char *text, size_t size)
{
    struct cm_lease_request request = {0};
    if (CmLeaseRequest_Decode(&request, text, size)) {
        CmLeaseRequest_Finish(&request);
    }
    struct cm_lease_reply reply;
    CmLeaseReply_Decode(&reply, text, size);
}

static void
split_prompt(const char *text, size_t size)
{
    char *value = g_strndup(text, size);
    struct cm_prompt_part parts[CM_PROMPT_PARTS_MAX];
    size_t n = CmCallCodec_SplitPrompt(value, parts);
    for (size_t i = 0; i < n; i++) {
        char name[CM_CONTENT_SIZE];
        CmContentName_ComposePart(name, parts[i].id, parts[i].length);
    }
    g_free(value);
}

static void
feed_events(const char *text, size_t size)
{
    struct cm_event_stream events;
    CmEventStream_Init(&events, -1);
    GString *out = g_string_new(NULL);
    for (size_t at = 0; at < size; at += FRAGMENT_BYTES) {
        if (!CmEventStream_Feed(&events, text + at,
                                MIN(FRAGMENT_BYTES, size - at), out)) {
            break;
        }
    }
    g_string_free(out, TRUE);
    CmEventStream_Finish(&events);
}

static void
explain_log(const char *text, size_t size)
{
    struct cm_timeline timeline;
    CmTimeline_Init(&timeline);
    CmTimeline_AddLog(&timeline, text, size);
    GString *out = g_string_new(NULL);
    CmTimeline_AppendRequest(&timeline, "r", out);
    CmTimeline_AppendSummary(&timeline, out);
    g_string_free(out, TRUE);
    CmTimeline_Finish(&timeline);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    decode_exchange(data, size);
    const char *text = (const char *)data;
    json_t *json = json_loadb(text, size, JSON_DECODE_ANY, NULL);
    if (json != NULL) {
        decode_json(json);
        json_decref(json);
    }
    decode_limit_message(text, size);
    decode_stream_message(text, size);
    decode_introduction(text, size);
    split_prompt(text, size);
    decode_quota_message(text, size);
    decode_retry_message(text, size);
    decode_head(text, size);
    decode_leases(text, size);
    feed_events(text, size);
    explain_log(text, size);
    return 0;
}
