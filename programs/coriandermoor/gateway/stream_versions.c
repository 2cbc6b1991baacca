/// @file stream_versions.c
/// Binds streams to software versions, keeps records of them at agents, and
/// looks them up when callers resume streams that this gateway has not seen.

#include "stream_versions.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "dispatch/notices.h"
#include "dispatch/retry_after.h"
#include "introductions.h"
#include "load_reports.h"
#include "peers/introduction.h"
#include "placement.h"
#include "request.h"
#include "responses.h"
#include "streams/lookup.h"

/// Time that a request waits for the store to confirm the list of targets.
#define LIST_WAIT_MS 400
/// Renewals of records in a second, of all streams of this gateway. Bounds the
/// traffic, at the price of a longer interval for each stream.
#define RENEWALS_PER_S 50
#define RENEWAL_INTERVAL_MIN_MS 1000
#define HISTORY_INTERVAL_MS 1000
/// A stream's attempts last no longer than this multiple of its route's
/// timeout, which a new configuration may change.
#define STREAM_TIMEOUTS 2
/// Time after which a crashed target is usually back, and time for which its
/// return is expected.
#define TARGET_RETURN_MS 1500
#define TARGET_RETURN_MAX_MS 10000
#define MS_PER_S 1000
#define STATUS_UNAVAILABLE 503

/// Lookup of one request's stream. What a list of targets says that is older
/// than the request is not relied on: the stream may have begun at a target
/// that joined since, whose agent has its record.
struct stream_lookup {
    LIST_ENTRY(stream_lookup) link;
    struct request *request;
    struct cm_stream_lookup lookup;
    struct event *timer; ///< end of the round, or of the wait for a list
    struct timespec started_at; ///< by boot time
    bool awaits_list;
};

static void
send_message(struct gateway *gateway, const char *address,
             const struct cm_stream_message *message)
{
    char data[CM_STREAM_MESSAGE_MAX];
    size_t size = CmStreamMessage_Encode(message, data);
    if (CmDatagramPort_Send(&gateway->stream_port, address, data, size)) {
        gateway->count.stream_record_bytes.value += (int64_t)size;
    }
}

/// Keeps the request's record here and at its holders.
static void
keep_record(struct request *request)
{
    struct gateway *gateway = request->gateway;
    struct stream_binding *binding = &request->binding;
    struct timespec now = Gateway_Now(gateway);
    struct cm_stream_message keep = {.kind = CM_STREAM_KEEP,
                                     .record = binding->record};
    const char *holders[CM_STREAM_HOLDERS];
    size_t n = CmStreamHolders_Choose(&gateway->targets, binding->record.id,
                                      CM_STREAM_HOLDERS, holders);
    for (size_t i = 0; i < n; i++) {
        send_message(gateway, holders[i], &keep);
    }
    CmStreamRecords_Keep(&gateway->stream_records, &binding->record, now);
    binding->kept_at = now;
}

/// @return the version of the software that answers the present attempt: that
/// of a later incarnation under the same id if this had started before the
/// attempt was sent.
static const char *
attempt_software(const struct request *request)
{
    const struct attempt *attempt = &request->attempt;
    const struct cm_live_target *target = attempt->target;
    const struct cm_live_target *present =
        target->removed
            ? CmTargets_Find(&request->gateway->targets, target->id)
            : NULL;
    return present != NULL && present->started_ms > 0 &&
                   present->started_ms <= attempt->sent_wall_ms
               ? present->software
               : target->software;
}

static void
bind_stream(struct request *request, const struct cm_stream_record *record)
{
    struct stream_binding *binding = &request->binding;
    binding->record = *record;
    if (!binding->bound) {
        binding->bound = true;
        LIST_INSERT_HEAD(&request->gateway->bound_streams, request,
                         binding.link);
        request->gateway->n_bound_streams++;
    }
}

const char *
StreamVersions_Required(const struct request *request)
{
    return request->binding.bound ? request->binding.record.software : NULL;
}

bool
StreamVersions_IsForeignAttempt(const struct request *request)
{
    const struct stream_binding *binding = &request->binding;
    return binding->bound && !binding->by_attempt &&
           strcmp(binding->record.software, attempt_software(request)) != 0;
}

void
StreamVersions_CountEvents(struct request *request)
{
    struct stream_binding *binding = &request->binding;
    if (request->route->retry_mode != CM_RETRY_MODE_RESUME) {
        return;
    }
    const char *software = attempt_software(request);
    if (binding->bound && strcmp(binding->record.software, software) == 0) {
        return;
    }
    struct cm_stream_record record = {0};
    g_strlcpy(record.id,
              request->parsed.resumes[0] != '\0' ? request->parsed.resumes
                                                 : request->parsed.id,
              sizeof(record.id));
    g_strlcpy(record.service, request->service, sizeof(record.service));
    g_strlcpy(record.software, software, sizeof(record.software));
    bind_stream(request, &record);
    binding->by_attempt = true;
    keep_record(request);
}

bool
StreamVersions_IsGone(struct request *request)
{
    const struct stream_binding *binding = &request->binding;
    const GPtrArray *targets =
        binding->bound
            ? CmTargetIndex_OfService(&request->gateway->targets.index,
                                      request->service)
            : NULL;
    for (size_t i = 0; targets != NULL && i < targets->len; i++) {
        const struct cm_live_target *target = g_ptr_array_index(targets, i);
        if (!CmTarget_IsLeaving(target) &&
            strcmp(target->software, binding->record.software) == 0) {
            return false;
        }
    }
    return binding->bound;
}

bool
StreamVersions_RetryAfterMs(const struct request *request, int64_t *ms)
{
    struct gateway *gateway = request->gateway;
    const struct stream_binding *binding = &request->binding;
    *ms = -1;
    if (binding->unknown) {
        return true;
    }
    if (!binding->gone) {
        return false;
    }
    struct timespec last_seen =
        CmSoftwareHistory_LastSeen(&gateway->software_history,
                                   request->service, binding->record.software);
    if (last_seen.tv_sec != 0 &&
        CmTime_DiffMs(Gateway_Now(gateway), last_seen) <
            TARGET_RETURN_MAX_MS) {
        *ms = CmRetryAfter_AtPauseMs(TARGET_RETURN_MS,
                                     g_rand_double(gateway->random));
    }
    return true;
}

/// @return the route's service called `name`, or NULL.
static const char *
find_service(const struct cm_route *route, const char *name)
{
    for (size_t i = 0; i < route->n_splits; i++) {
        // Records hold the beginning of longer names.
        if (strncmp(route->splits[i].service, name, CM_STREAM_NAME_SIZE - 1) ==
            0) {
            return route->splits[i].service;
        }
    }
    return NULL;
}

/// Binds a request to the record of its stream, unless its route leads to
/// other services by now, at which no version binds it.
static void
apply_record(struct request *request, const struct cm_stream_record *record,
             const char *source, int64_t age_ms)
{
    const char *service = find_service(request->route, record->service);
    CmLog_Event(G_LOG_LEVEL_INFO, "stream", request->parsed.id,
                "stream %s began at software version %s of service %s, known "
                "from %s, renewed %" PRId64 " ms ago%s",
                record->id, record->software, record->service, source, age_ms,
                service == NULL ? "; the route no longer leads there" : "");
    if (service != NULL) {
        request->service = service;
        bind_stream(request, record);
    }
}

/// @return whether the list of targets is at least as new as the lookup.
static bool
has_new_list(const struct stream_lookup *lookup)
{
    return !CmTime_Before(lookup->request->gateway->targets_confirmed_at,
                          lookup->started_at);
}

/// @return the only version that can have begun the stream, or NULL.
static const char *
only_version(const struct request *request, bool has_list)
{
    struct gateway *gateway = request->gateway;
    // A caller that doesn't name its stream has no record at any time.
    bool named = request->parsed.resumes[0] != '\0';
    // Targets of another version may be missing.
    if (named && !has_list) {
        return NULL;
    }
    CmSoftwareHistory_Observe(&gateway->software_history, &gateway->targets,
                              Gateway_Now(gateway));
    return CmSoftwareHistory_Only(
        &gateway->software_history, request->service,
        named ? request->route->timeout_ms * STREAM_TIMEOUTS : 0);
}

/// Decides on a request whose stream has no record.
/// @return whether it may be placed. Otherwise it has been refused.
static bool
apply_unknown(struct request *request, size_t asked, size_t answered,
              bool has_list)
{
    struct gateway *gateway = request->gateway;
    const char *id = request->parsed.resumes;
    const char *only = only_version(request, has_list);
    if (only != NULL) {
        struct cm_stream_record record = {0};
        g_strlcpy(record.id, id[0] != '\0' ? id : request->parsed.id,
                  sizeof(record.id));
        g_strlcpy(record.service, request->service, sizeof(record.service));
        g_strlcpy(record.software, only, sizeof(record.software));
        CmLog_Event(G_LOG_LEVEL_INFO, "stream", request->parsed.id,
                    "stream %s has no record: goes on at software version %s, "
                    "the only one of service %s",
                    record.id, only, request->service);
        bind_stream(request, &record);
        return true;
    }
    gateway->count.streams_unknown.value++;
    CmLog_Event(G_LOG_LEVEL_INFO, "stream", request->parsed.id,
                "the software version that began stream %s is unknown: %zu of "
                "%zu agents answered, the list of targets is %s",
                id[0] != '\0' ? id : "-", answered, asked,
                has_list ? "new" : "old");
    // While the list is read, other agents may turn out to be the holders.
    request->binding.unknown =
        Gateway_CanServe(gateway) && !gateway->listing_targets;
    Response_SendLocal(request, STATUS_UNAVAILABLE,
                       "the software version that began the stream is "
                       "unknown");
    return false;
}

static void
stream_lookup_free(struct stream_lookup *lookup)
{
    LIST_REMOVE(lookup, link);
    lookup->request->binding.lookup = NULL;
    event_free(lookup->timer);
    g_free(lookup);
}

/// Frees a lookup that has ended and goes on with its request.
static void
finish_lookup(struct stream_lookup *lookup)
{
    struct request *request = lookup->request;
    struct cm_stream_lookup result = lookup->lookup;
    bool has_list = has_new_list(lookup);
    size_t answered = 0;
    for (size_t i = 0; i < result.n_holders; i++) {
        answered += result.holders[i].answered;
    }
    stream_lookup_free(lookup);
    request->placement = PLACEMENT_NONE;
    if (result.state == CM_STREAM_LOOKUP_KNOWN) {
        char source[CM_STREAM_ADDRESS_SIZE + sizeof("agent ")];
        g_snprintf(source, sizeof(source), "agent %s", result.source);
        apply_record(request, &result.record, source, result.age_ms);
        Request_Place(request);
    }
    else if (apply_unknown(request, result.n_holders, answered, has_list)) {
        Request_Place(request);
    }
}

/// Ends a lookup, unless its holders were chosen from a list that may be too
/// old, and the store can be asked for a new one.
static void
end_lookup(struct stream_lookup *lookup)
{
    struct gateway *gateway = lookup->request->gateway;
    if (lookup->lookup.state == CM_STREAM_LOOKUP_KNOWN ||
        has_new_list(lookup) ||
        !CmStoreWatch_Confirm(&gateway->target_watch)) {
        finish_lookup(lookup);
        return;
    }
    lookup->awaits_list = true;
    struct timeval wait = CmTime_Timeval(LIST_WAIT_MS);
    evtimer_add(lookup->timer, &wait);
}

/// Asks the holders that have not answered, or ends the lookup.
static void
ask_holders(struct stream_lookup *lookup)
{
    const char *addresses[CM_STREAM_HOLDERS_ASKED];
    size_t n = CmStreamLookup_NextRound(&lookup->lookup, addresses);
    if (n == 0) {
        end_lookup(lookup);
        return;
    }
    struct cm_stream_message ask = {.kind = CM_STREAM_ASK};
    g_strlcpy(ask.record.id, lookup->lookup.id, sizeof(ask.record.id));
    for (size_t i = 0; i < n; i++) {
        send_message(lookup->request->gateway, addresses[i], &ask);
    }
    struct timeval round = CmTime_Timeval(CM_STREAM_LOOKUP_ROUND_MS);
    evtimer_add(lookup->timer, &round);
}

static void
on_round_end(evutil_socket_t fd, short what, void *context)
{
    struct stream_lookup *lookup = context;
    if (lookup->awaits_list) {
        finish_lookup(lookup);
        return;
    }
    ask_holders(lookup);
}

/// Asks the holders of the request's stream by the present list of targets.
static void
choose_holders(struct stream_lookup *lookup)
{
    struct request *request = lookup->request;
    const char *holders[CM_STREAM_HOLDERS_ASKED];
    size_t n = CmStreamHolders_Choose(&request->gateway->targets,
                                      request->parsed.resumes,
                                      CM_STREAM_HOLDERS_ASKED, holders);
    CmStreamLookup_Init(&lookup->lookup, request->parsed.resumes, holders, n);
    ask_holders(lookup);
}

/// Begins to ask the holders of the request's stream.
static void
start_lookup(struct request *request)
{
    struct gateway *gateway = request->gateway;
    struct stream_lookup *lookup = g_new0(struct stream_lookup, 1);
    lookup->request = request;
    lookup->timer = evtimer_new(gateway->base, on_round_end, lookup);
    lookup->started_at = CmClock_BootTime(gateway->clock);
    LIST_INSERT_HEAD(&gateway->stream_lookups, lookup, link);
    request->binding.lookup = lookup;
    request->placement = PLACEMENT_RESOLVING;
    choose_holders(lookup);
}

void
StreamVersions_HandleList(struct gateway *gateway)
{
    struct stream_lookup *lookup;
    struct stream_lookup *next;
    CmList_FOREACH_SAFE (lookup, &gateway->stream_lookups, link, next) {
        if (lookup->awaits_list && has_new_list(lookup)) {
            lookup->awaits_list = false;
            choose_holders(lookup);
        }
        else if (lookup->awaits_list) {
            CmStoreWatch_Confirm(&gateway->target_watch);
        }
    }
}

bool
StreamVersions_Resolve(struct request *request)
{
    struct gateway *gateway = request->gateway;
    const char *id = request->parsed.resumes;
    if (request->route->retry_mode != CM_RETRY_MODE_RESUME ||
        request->parsed.last_event_id < 0) {
        return true;
    }
    gateway->count.streams_resumed.value++;
    if (id[0] == '\0') {
        return apply_unknown(request, 0, 0, false);
    }
    struct timespec now = Gateway_Now(gateway);
    const struct cm_stream_entry *entry =
        CmStreamRecords_Find(&gateway->stream_records, id, now);
    if (entry != NULL) {
        apply_record(request, &entry->record, "this gateway",
                     CmTime_DiffMs(now, entry->renewed_at));
        return true;
    }
    start_lookup(request);
    return false;
}

void
StreamVersions_FinishRequest(struct request *request)
{
    struct stream_binding *binding = &request->binding;
    if (binding->lookup != NULL) {
        stream_lookup_free(binding->lookup);
    }
    if (binding->bound) {
        LIST_REMOVE(request, binding.link);
        request->gateway->n_bound_streams--;
    }
}

static void
on_datagram(void *context, const char *address, const char *data, size_t size)
{
    struct gateway *gateway = context;
    if (size > 0 && data[0] == CM_LOAD_REPORT_MARK) {
        LoadReports_Apply(gateway, data, size);
        return;
    }
    if (size > 0 && data[0] == CM_INTRODUCTION_MARK) {
        Introductions_Apply(gateway, data, size);
        return;
    }
    struct cm_stream_message message;
    if (!CmStreamMessage_Decode(&message, data, size) ||
        (message.kind != CM_STREAM_KNOWN &&
         message.kind != CM_STREAM_UNKNOWN)) {
        return;
    }
    struct stream_lookup *lookup;
    struct stream_lookup *next;
    CmList_FOREACH_SAFE (lookup, &gateway->stream_lookups, link, next) {
        enum cm_stream_lookup_state state =
            CmStreamLookup_HandleAnswer(&lookup->lookup, address, &message);
        if (state == CM_STREAM_LOOKUP_KNOWN ||
            (state == CM_STREAM_LOOKUP_UNKNOWN && !lookup->awaits_list)) {
            end_lookup(lookup);
        }
    }
}

void
StreamVersions_Tick(struct gateway *gateway)
{
    struct timespec now = Gateway_Now(gateway);
    CmStreamRecords_Expire(&gateway->stream_records, now);
    if (gateway->history_at.tv_sec == 0 ||
        CmTime_DiffMs(now, gateway->history_at) >= HISTORY_INTERVAL_MS) {
        gateway->history_at = now;
        CmSoftwareHistory_Observe(&gateway->software_history,
                                  &gateway->targets, now);
    }
    int64_t interval_ms =
        MAX(RENEWAL_INTERVAL_MIN_MS, (int64_t)gateway->n_bound_streams *
                                         CM_STREAM_HOLDERS * MS_PER_S /
                                         RENEWALS_PER_S);
    struct request *request;
    CmList_FOREACH (request, &gateway->bound_streams, binding.link) {
        if (request->binding.kept_at.tv_sec == 0 ||
            CmTime_DiffMs(now, request->binding.kept_at) >= interval_ms) {
            keep_record(request);
        }
    }
}

void
StreamVersions_Init(struct gateway *gateway)
{
    LIST_INIT(&gateway->bound_streams);
    LIST_INIT(&gateway->stream_lookups);
    gateway->stream_port.fd = -1;
    CmStreamRecords_Init(&gateway->stream_records);
    CmSoftwareHistory_Init(&gateway->software_history);
}

gboolean
StreamVersions_Listen(struct gateway *gateway, GError **error)
{
    const struct cm_gateway_settings *settings = &gateway->settings;
    char *host = g_strndup(settings->listen, strcspn(settings->listen, ":"));
    gboolean open = CmDatagramPort_Init(
        &gateway->stream_port, gateway->base,
        settings->streams != NULL ? settings->streams : host, on_datagram,
        gateway, error);
    g_free(host);
    return open;
}

void
StreamVersions_Finish(struct gateway *gateway)
{
    CmDatagramPort_Finish(&gateway->stream_port);
    CmStreamRecords_Finish(&gateway->stream_records);
    CmSoftwareHistory_Finish(&gateway->software_history);
}
