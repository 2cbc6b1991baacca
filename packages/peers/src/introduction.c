/// @file introduction.c
/// Datagrams {"gateway": ADDRESS} and {"gateways": [ADDRESS, ...]}, and what
/// an agent remembers of them.
///
/// Load pattern: each gateway comes once in several seconds; after a restart
/// of all of them, all come within a second.

#include "peers/introduction.h"

#include <string.h>

#include "base/list.h"

/// Time without an introduction after which a gateway is forgotten. Longer
/// than the interval at the largest size, with room for lost datagrams.
#define EXPIRY_MS 180000
/// Gateways that an agent remembers.
#define GATEWAYS_MAX 512

static json_t *
compose(const struct cm_introduction *introduction, size_t n)
{
    if (!introduction->is_answer) {
        return json_pack("{s:s}", "gateway", introduction->gateways[0]);
    }
    json_t *gateways = json_array();
    for (size_t i = 0; i < n; i++) {
        json_array_append_new(gateways,
                              json_string(introduction->gateways[i]));
    }
    return json_pack("{s:o}", "gateways", gateways);
}

size_t
CmIntroduction_Encode(const struct cm_introduction *introduction,
                      char data[CM_INTRODUCTION_MAX])
{
    size_t size = CM_INTRODUCTION_MAX + 1;
    for (size_t n = introduction->n + 1; n > 0 && size > CM_INTRODUCTION_MAX;
         n--) {
        json_t *json = compose(introduction, n - 1);
        size = json_dumpb(json, data, CM_INTRODUCTION_MAX, JSON_COMPACT);
        json_decref(json);
    }
    return MIN(size, CM_INTRODUCTION_MAX);
}

static bool
add_gateway(struct cm_introduction *introduction, const json_t *json)
{
    const char *address = json_string_value(json);
    if (address == NULL || address[0] == '\0' ||
        strlen(address) >= CM_PEER_ADDRESS_SIZE ||
        introduction->n == CM_INTRODUCTION_GATEWAYS_MAX) {
        return false;
    }
    g_strlcpy(introduction->gateways[introduction->n++], address,
              CM_PEER_ADDRESS_SIZE);
    return true;
}

bool
CmIntroduction_Decode(struct cm_introduction *introduction, const char *data,
                      size_t size)
{
    *introduction = (struct cm_introduction){0};
    json_t *json = json_loadb(data, size, 0, NULL);
    const json_t *gateways = json_object_get(json, "gateways");
    introduction->is_answer = gateways != NULL;
    bool valid =
        introduction->is_answer
            ? json_is_array(gateways)
            : add_gateway(introduction, json_object_get(json, "gateway"));
    size_t i;
    json_t *gateway;
    json_array_foreach(gateways, i, gateway)
    {
        valid = valid && add_gateway(introduction, gateway);
    }
    json_decref(json);
    return valid;
}

int64_t
CmIntroduction_IntervalMs(int64_t running_ms, size_t gateways)
{
    if (running_ms < CM_INTRODUCTION_FIRST_FOR_MS) {
        return CM_INTRODUCTION_FIRST_MS;
    }
    return CM_INTRODUCTION_INTERVAL_MS *
           (int64_t)MAX(gateways, CM_INTRODUCTION_INTERVAL_GATEWAYS) /
           CM_INTRODUCTION_INTERVAL_GATEWAYS;
}

/// A gateway that has introduced itself.
struct cm_introduced {
    TAILQ_ENTRY(cm_introduced) link;
    char address[CM_PEER_ADDRESS_SIZE];
    struct timespec came_at;
};

void
CmIntroducer_Init(struct cm_introducer *introducer, struct cm_clock *clock)
{
    introducer->clock = clock;
    TAILQ_INIT(&introducer->latest);
    introducer->gateways = g_hash_table_new(g_str_hash, g_str_equal);
}

static void
forget(struct cm_introducer *introducer, struct cm_introduced *gateway)
{
    g_hash_table_remove(introducer->gateways, gateway->address);
    TAILQ_REMOVE(&introducer->latest, gateway, link);
    g_free(gateway);
}

void
CmIntroducer_Finish(struct cm_introducer *introducer)
{
    struct cm_introduced *gateway;
    while ((gateway = TAILQ_FIRST(&introducer->latest)) != NULL) {
        forget(introducer, gateway);
    }
    g_hash_table_destroy(introducer->gateways);
}

static void
record(struct cm_introducer *introducer, const char *address)
{
    struct timespec now = CmClock_Now(introducer->clock);
    struct cm_introduced *gateway =
        g_hash_table_lookup(introducer->gateways, address);
    if (gateway != NULL) {
        TAILQ_REMOVE(&introducer->latest, gateway, link);
    }
    else {
        gateway = g_new0(struct cm_introduced, 1);
        g_strlcpy(gateway->address, address, sizeof(gateway->address));
        g_hash_table_insert(introducer->gateways, gateway->address, gateway);
    }
    gateway->came_at = now;
    TAILQ_INSERT_HEAD(&introducer->latest, gateway, link);
    struct cm_introduced *oldest;
    while ((oldest = TAILQ_LAST(&introducer->latest, cm_introduced_list)) !=
               gateway &&
           (g_hash_table_size(introducer->gateways) > GATEWAYS_MAX ||
            CmTime_DiffMs(now, oldest->came_at) > EXPIRY_MS)) {
        forget(introducer, oldest);
    }
}

void
CmIntroducer_Answer(struct cm_introducer *introducer,
                    const struct cm_introduction *introduction,
                    struct cm_introduction *answer)
{
    *answer = (struct cm_introduction){.is_answer = true};
    if (introduction->is_answer) {
        return;
    }
    record(introducer, introduction->gateways[0]);
    // The first one is the gateway that asks.
    const struct cm_introduced *other =
        TAILQ_NEXT(TAILQ_FIRST(&introducer->latest), link);
    for (; other != NULL && answer->n < CM_INTRODUCTION_GATEWAYS_MAX;
         other = TAILQ_NEXT(other, link)) {
        g_strlcpy(answer->gateways[answer->n++], other->address,
                  CM_PEER_ADDRESS_SIZE);
    }
}
