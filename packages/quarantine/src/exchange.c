/// @file exchange.c
/// Encodes and decodes the messages between gateways.

#include "quarantine/exchange.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "quarantine/quarantine.h"

/// Hexadecimal digits of an id or digest, with the terminating NUL.
#define HEX_SIZE 17
#define HEX_BASE 16
/// Index of `trial` in a run; absent in messages of earlier releases.
#define RUN_TRIAL_INDEX 3
/// Index of `position` in a run; absent for contents.
#define RUN_POSITION_INDEX 4
#define POSITION_MAX 1000

static const char *const kind_names[N_CM_CRASH_RECORD_KINDS] = {
    [CM_CRASH_RECORD_CRASH] = "crash",
    [CM_CRASH_RECORD_COMPLETED] = "completed",
    [CM_CRASH_RECORD_ALIVE] = "alive",
    [CM_CRASH_RECORD_LIFTED] = "lifted",
    [CM_CRASH_RECORD_TRIAL] = "trial",
    [CM_CRASH_RECORD_UNUSED] = "unused",
};

void
CmExchange_Init(struct cm_exchange *exchange, const char *from,
                uint64_t digest)
{
    *exchange = (struct cm_exchange){
        .digest = digest,
        .ids = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
    };
    g_strlcpy(exchange->from, from, sizeof(exchange->from));
    TAILQ_INIT(&exchange->records);
}

void
CmExchange_Finish(struct cm_exchange *exchange)
{
    struct cm_crash_record *record;
    while ((record = TAILQ_FIRST(&exchange->records)) != NULL) {
        TAILQ_REMOVE(&exchange->records, record, link);
        CmCrashRecord_Free(record);
    }
    g_array_free(exchange->ids, TRUE);
}

static json_t *
encode_hex(uint64_t value)
{
    char text[HEX_SIZE];
    g_snprintf(text, sizeof(text), "%016" PRIx64, value);
    return json_string(text);
}

static bool
decode_hex(const json_t *json, uint64_t *value)
{
    const char *text = json_string_value(json);
    char *end;
    if (text == NULL || strlen(text) != HEX_SIZE - 1 ||
        !g_ascii_isxdigit(text[0])) {
        return false;
    }
    *value = strtoull(text, &end, HEX_BASE);
    return *end == '\0';
}

static json_t *
encode_record(const struct cm_crash_record *record, struct timespec now)
{
    json_t *runs = json_array();
    for (size_t i = 0; i < record->n_runs; i++) {
        const struct cm_crash_run *run = &record->runs[i];
        json_t *item =
            json_pack("[s,I,b,b]", run->content, (json_int_t)run->ran_ms,
                      (int)run->late, (int)run->trial);
        if (run->position > 0) {
            json_array_append_new(item, json_integer(run->position));
        }
        json_array_append_new(runs, item);
    }
    return json_pack("{s:o,s:s,s:I,s:s,s:s,s:o}", "id", encode_hex(record->id),
                     "kind", kind_names[record->kind], "age_ms",
                     (json_int_t)CmTime_DiffMs(now, record->at), "target",
                     record->target, "observer", record->observer, "runs",
                     runs);
}

/// Adds what the message tells of gateways. Earlier releases read "peers"
/// only.
static void
encode_gateways(const struct cm_exchange *exchange, json_t *json)
{
    json_t *peers = json_array();
    json_t *others = json_array();
    for (size_t i = 0; i < exchange->n_others; i++) {
        json_array_append_new(peers, json_string(exchange->others[i].address));
        json_array_append_new(others, CmPeerNews_Encode(&exchange->others[i]));
    }
    json_object_set_new(json, "peers", peers);
    json_object_set_new(json, "others", others);
    if (exchange->has_self) {
        json_object_set_new(json, "self", CmPeerNews_Encode(&exchange->self));
    }
    if (exchange->has_reader) {
        json_object_set_new(json, "reader",
                            json_integer(exchange->reader_candidate_ms));
    }
}

char *
CmExchange_Encode(const struct cm_exchange *exchange, struct timespec now)
{
    json_t *json = json_pack("{s:s,s:o}", "from", exchange->from, "digest",
                             encode_hex(exchange->digest));
    if (exchange->has_ids) {
        json_t *ids = json_array();
        for (guint i = 0; i < exchange->ids->len; i++) {
            json_array_append_new(
                ids, encode_hex(g_array_index(exchange->ids, uint64_t, i)));
        }
        json_object_set_new(json, "ids", ids);
    }
    encode_gateways(exchange, json);
    json_t *records = json_array();
    const struct cm_crash_record *record;
    CmTailq_FOREACH (record, &exchange->records, link) {
        json_array_append_new(records, encode_record(record, now));
    }
    json_object_set_new(json, "records", records);
    if (exchange->horizon.tv_sec != 0) {
        json_object_set_new(
            json, "horizon_ms",
            json_integer(CmTime_DiffMs(now, exchange->horizon)));
    }
    if (exchange->claim[0] != '\0') {
        json_object_set_new(json, "claim", json_string(exchange->claim));
        json_object_set_new(json, "claim_id", encode_hex(exchange->claim_id));
    }
    if (exchange->granted) {
        json_object_set_new(json, "granted", json_true());
    }
    if (exchange->seeks_ids) {
        json_object_set_new(json, "seeks_ids", json_true());
    }
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}

static bool
decode_kind(const char *name, enum cm_crash_record_kind *kind)
{
    for (size_t i = 0; i < N_CM_CRASH_RECORD_KINDS; i++) {
        if (strcmp(name, kind_names[i]) == 0) {
            *kind = (enum cm_crash_record_kind)i;
            return true;
        }
    }
    return false;
}

static bool
decode_runs(struct cm_crash_record *record, const json_t *runs)
{
    if (!json_is_array(runs) || json_array_size(runs) > CM_CRASH_RUNS_MAX) {
        return false;
    }
    size_t i;
    json_t *run;
    json_array_foreach(runs, i, run)
    {
        const char *content;
        json_int_t ran_ms;
        int late;
        if (json_unpack(run, "[s,I,b]", &content, &ran_ms, &late) != 0 ||
            ran_ms < 0 || ran_ms > CM_QUARANTINE_EXPIRY_MS) {
            return false;
        }
        json_int_t position =
            json_integer_value(json_array_get(run, RUN_POSITION_INDEX));
        if (position < 0 || position > POSITION_MAX) {
            return false;
        }
        struct cm_crash_run added = {
            .position = (int)position,
            .ran_ms = ran_ms,
            .late = late != 0,
            .trial = json_is_true(json_array_get(run, RUN_TRIAL_INDEX)),
        };
        g_strlcpy(added.content, content, sizeof(added.content));
        CmCrashRecord_AddRun(record, &added);
    }
    return true;
}

static bool
decode_record(struct cm_exchange *exchange, json_t *json, struct timespec now)
{
    const char *kind_name;
    const char *target;
    const char *observer;
    json_int_t age_ms;
    enum cm_crash_record_kind kind;
    uint64_t id;
    if (json_unpack(json, "{s:s,s:I,s:s,s:s}", "kind", &kind_name, "age_ms",
                    &age_ms, "target", &target, "observer", &observer) != 0 ||
        !decode_kind(kind_name, &kind) ||
        !decode_hex(json_object_get(json, "id"), &id) || age_ms < 0 ||
        age_ms > CM_QUARANTINE_EXPIRY_MS) {
        return false;
    }
    struct cm_crash_record *record = CmCrashRecord_New(
        kind, id, target, observer, CmTime_AddMs(now, -age_ms));
    TAILQ_INSERT_TAIL(&exchange->records, record, link);
    return decode_runs(record, json_object_get(json, "runs"));
}

static bool
decode_ids(struct cm_exchange *exchange, const json_t *ids)
{
    if (ids == NULL) {
        return true;
    }
    exchange->has_ids = true;
    size_t i;
    json_t *id;
    json_array_foreach(ids, i, id)
    {
        uint64_t value;
        if (i >= CM_QUARANTINE_RECORDS_MAX || !decode_hex(id, &value)) {
            return false;
        }
        g_array_append_val(exchange->ids, value);
    }
    return json_is_array(ids);
}

/// Reads the addresses of gateways, and what is told of each unless the
/// message is of an earlier release.
static bool
decode_peers(struct cm_exchange *exchange, const json_t *peers,
             const json_t *others)
{
    size_t i;
    json_t *peer;
    json_array_foreach(peers, i, peer)
    {
        if (i >= CM_EXCHANGE_PEERS_MAX || !json_is_string(peer)) {
            return false;
        }
        struct cm_peer_news *news = &exchange->others[exchange->n_others++];
        *news = (struct cm_peer_news){.candidate_ms = CM_PEER_NEVER,
                                      .steady_ms = CM_PEER_NEVER};
        g_strlcpy(news->address, json_string_value(peer),
                  sizeof(news->address));
        if (others != NULL &&
            !CmPeerNews_Decode(news, json_array_get(others, i))) {
            return false;
        }
    }
    return json_is_array(peers);
}

static bool
decode_gateways(struct cm_exchange *exchange, const json_t *json)
{
    const json_t *self = json_object_get(json, "self");
    const json_t *reader = json_object_get(json, "reader");
    exchange->has_self = self != NULL;
    exchange->has_reader = reader != NULL;
    return decode_peers(exchange, json_object_get(json, "peers"),
                        json_object_get(json, "others")) &&
           (self == NULL || CmPeerNews_Decode(&exchange->self, self)) &&
           (reader == NULL ||
            CmPeerNews_DecodeAge(&exchange->reader_candidate_ms, reader));
}

static bool
decode_records(struct cm_exchange *exchange, const json_t *records,
               struct timespec now)
{
    size_t i;
    json_t *record;
    json_array_foreach(records, i, record)
    {
        if (i >= CM_EXCHANGE_RECORDS_MAX ||
            !decode_record(exchange, record, now)) {
            return false;
        }
    }
    return json_is_array(records);
}

static bool
decode_claim(struct cm_exchange *exchange, const json_t *json)
{
    const json_t *claim = json_object_get(json, "claim");
    if (claim == NULL) {
        return true;
    }
    if (!json_is_string(claim) ||
        !decode_hex(json_object_get(json, "claim_id"), &exchange->claim_id)) {
        return false;
    }
    g_strlcpy(exchange->claim, json_string_value(claim),
              sizeof(exchange->claim));
    return true;
}

static bool
decode_horizon(struct cm_exchange *exchange, const json_t *age_ms,
               struct timespec now)
{
    if (age_ms == NULL) {
        return true;
    }
    json_int_t value = json_integer_value(age_ms);
    if (!json_is_integer(age_ms) || value < 0) {
        return false;
    }
    if (value <= CM_QUARANTINE_EXPIRY_MS) {
        exchange->horizon = CmTime_AddMs(now, -value);
    }
    return true;
}

bool
CmExchange_Decode(struct cm_exchange *exchange, const char *text, size_t size,
                  struct timespec now)
{
    if (size > CM_EXCHANGE_BYTES_MAX) {
        return false;
    }
    json_t *json = json_loadb(text, size, 0, NULL);
    const char *from = json_string_value(json_object_get(json, "from"));
    bool valid =
        from != NULL &&
        decode_hex(json_object_get(json, "digest"), &exchange->digest) &&
        decode_ids(exchange, json_object_get(json, "ids")) &&
        decode_gateways(exchange, json) &&
        decode_records(exchange, json_object_get(json, "records"), now) &&
        decode_horizon(exchange, json_object_get(json, "horizon_ms"), now) &&
        decode_claim(exchange, json);
    if (valid) {
        g_strlcpy(exchange->from, from, sizeof(exchange->from));
        exchange->granted = json_is_true(json_object_get(json, "granted"));
        exchange->seeks_ids = json_is_true(json_object_get(json, "seeks_ids"));
    }
    json_decref(json);
    return valid;
}
