/// @file admin.c
/// HTTP listener for operators: GET and PUT of the configuration, status,
/// metrics, liveness and readiness.

#include "admin.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "crash_exchange.h"
#include "link/traffic.h"
#include "links.h"

#define HEADER_MAX_BYTES 16384
#define BODY_MAX_BYTES (64 * 1024 * 1024)
#define IDLE_TIMEOUT_MS 30000
#define STATUS_PRECONDITION_FAILED 412
#define STATUS_PRECONDITION_REQUIRED 428
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504

void
Admin_InitCounters(struct entry *entry)
{
    struct cm_counters *set = &entry->counters;
    struct entry_counters *count = &entry->count;
    CmCounters_Init(set);
    CmCounters_Add(set, &count->requests, "cm_entry_requests_total",
                   "Requests of callers.");
    CmCounters_Add(set, &count->ran, "cm_entry_ran_total",
                   "Requests answered by a target.");
    CmCounters_Add(set, &count->not_run, "cm_entry_not_run_total",
                   "Requests that did not run.");
    CmCounters_Add(set, &count->unknown, "cm_entry_unknown_total",
                   "Requests that may have run.");
    CmCounters_Add(set, &count->retries, "cm_entry_retries_total",
                   "Further attempts.");
    CmCounters_Add(set, &count->hedges, "cm_entry_hedges_total",
                   "Second attempts of slow lookups.");
    CmCounters_Add(set, &count->refused_full, "cm_entry_refused_full_total",
                   "Refusals as the entry was full.");
    CmCounters_Add(set, &count->refused_share, "cm_entry_refused_share_total",
                   "Refusals as the caller held its share.");
    CmCounters_Add(set, &count->refused_late, "cm_entry_refused_late_total",
                   "Refusals as the deadline could not be met.");
    CmCounters_Add(set, &count->quarantined, "cm_entry_quarantined_total",
                   "Refusals of quarantined contents.");
    CmCounters_Add(set, &count->callers_gone, "cm_entry_callers_gone_total",
                   "Callers that left before their answer.");
    CmCounters_Add(set, &count->claims, "cm_entry_claims_total",
                   "Claims of idempotency keys.");
    CmCounters_Add(set, &count->replays, "cm_entry_replays_total",
                   "Answers given again for a known key.");
    CmCounters_Add(set, &count->stall_ms, "cm_entry_stall_milliseconds_total",
                   "Time requests waited at their targets.");
    CmCounters_Add(set, &count->reconnects, "cm_entry_reconnects_total",
                   "Silent connections replaced.");
    CmCounters_Add(set, &count->control_messages,
                   "cm_entry_control_messages_total", "Heartbeats sent.");
    CmCounters_AddGauge(set, &count->in_progress, "cm_entry_in_progress",
                        "Requests in progress.");
    CmCounters_AddGauge(set, &count->revision, "cm_entry_revision",
                        "Revision of the configuration in force.");
    CmCounters_AddGauge(set, &count->links, "cm_entry_links",
                        "Connections to agents.");
}

static void
reply_metrics(struct entry *entry, struct evhttp_request *request)
{
    GString *text = g_string_new(NULL);
    CmCounters_Write(&entry->counters, text);
    CmLinkTraffic_WriteMetrics(&entry->traffic, text);
    CmCounters_WriteValue(
        text, "cm_entry_object_reads_total",
        "Reads of the object API and the instance list.", false,
        entry->objects.base.reads + entry->instances.base.reads);
    CmCounters_WriteValue(text, "cm_entry_object_writes_total",
                          "Writes to the object API.", false,
                          entry->objects.base.writes);
    CmCounters_WriteValue(text, "cm_entry_claim_conflicts_total",
                          "Writes of claims that met another entry's.", false,
                          entry->once.write_conflicts);
    CmHttp_ReplyText(request, HTTP_OK, "text/plain; version=0.0.4", text->str);
    g_string_free(text, TRUE);
}

static void
add_revision_header(struct evhttp_request *request, uint64_t revision)
{
    char tag[32];
    snprintf(tag, sizeof(tag), "\"%" PRIu64 "\"", revision);
    evhttp_add_header(evhttp_request_get_output_headers(request), "ETag", tag);
}

static void
get_config(struct entry *entry, struct evhttp_request *request)
{
    const struct cm_revisions *revisions = &entry->revisions;
    if (revisions->revision == 0) {
        CmHttp_ReplyError(request, HTTP_NOTFOUND, "no_configuration",
                          "no configuration is in force");
        return;
    }
    add_revision_header(request, revisions->revision);
    CmHttp_ReplyText(request, HTTP_OK, "application/yaml", revisions->text);
}

/// A PUT of the configuration that waits for the object API.
struct apply {
    struct entry *entry;
    struct evhttp_request *request; ///< NULL once the operator disconnected
};

static void
detach_operator(struct evhttp_connection *connection, void *context)
{
    struct apply *apply = context;
    CmHttp_FreeDetached(apply->request);
    apply->request = NULL;
}

static void
reply_apply_result(struct evhttp_request *request,
                   enum cm_submit_result result, uint64_t revision)
{
    switch (result) {
    case CM_SUBMIT_ACCEPTED:
        add_revision_header(request, revision);
        CmHttp_ReplyJson(request, HTTP_OK,
                         json_pack("{s:I}", "revision", (json_int_t)revision));
        return;
    case CM_SUBMIT_CONFLICT:
        add_revision_header(request, revision);
        CmHttp_ReplyError(request, STATUS_PRECONDITION_FAILED, "conflict",
                          "another revision is in force; nothing was changed");
        return;
    case CM_SUBMIT_FAILED:
        CmHttp_ReplyError(request, STATUS_UNAVAILABLE, "not_accepted",
                          "the object API is out of reach; nothing was "
                          "changed");
        return;
    case CM_SUBMIT_UNKNOWN:
        CmHttp_ReplyError(request, STATUS_GATEWAY_TIMEOUT, "unsure",
                          "no answer of the object API: the text may be "
                          "accepted or not; look at what is in force");
        return;
    case CM_SUBMIT_BUSY:
        CmHttp_ReplyError(request, STATUS_UNAVAILABLE, "busy",
                          "another apply is under way here; nothing was "
                          "changed");
        return;
    }
}

static void
finish_apply(void *context, enum cm_submit_result result, uint64_t revision)
{
    struct apply *apply = context;
    if (apply->request != NULL) {
        CmHttp_UnwatchClose(apply->request);
        reply_apply_result(apply->request, result, revision);
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "config", NULL,
                "apply ended with result %d, revision %" PRIu64, (int)result,
                revision);
    g_free(apply);
}

/// Parses and validates a configuration.
/// @return whether it is valid; if not, a 400 response lists its findings.
static bool
validate_text(struct evhttp_request *request, const char *text, size_t size)
{
    struct cm_findings findings;
    CmFindings_Init(&findings, "text", CM_FINDINGS_MAX);
    struct cm_config config;
    bool valid = CmConfig_Init(&config, text, size, &findings);
    CmConfig_Finish(&config);
    if (!valid) {
        json_t *list = json_array();
        const struct cm_finding *finding;
        CmTailq_FOREACH (finding, &findings.list, link) {
            json_array_append_new(
                list,
                json_pack("{s:I,s:I,s:s}", "line", (json_int_t)finding->line,
                          "column", (json_int_t)finding->column, "message",
                          finding->message));
        }
        CmHttp_ReplyJson(request, HTTP_BADREQUEST,
                         json_pack("{s:{s:s,s:s,s:I},s:o}", "error", "message",
                                   "the text is not sound", "type", "findings",
                                   "count", (json_int_t)findings.count,
                                   "findings", list));
    }
    CmFindings_Finish(&findings);
    return valid;
}

/// Reads the base revision from If-Match; "*" accepts any revision.
/// @return false after an error response.
static bool
read_base_revision(struct evhttp_request *request, uint64_t *base, bool *any)
{
    const char *match = evhttp_find_header(
        evhttp_request_get_input_headers(request), "If-Match");
    if (match == NULL) {
        CmHttp_ReplyError(request, STATUS_PRECONDITION_REQUIRED, "no_base",
                          "If-Match must name the revision that the text was "
                          "made from (0 for the first one)");
        return false;
    }
    *any = strcmp(match, "*") == 0;
    *base = strtoull(match + (*match == '"'), NULL, 10);
    return true;
}

static void
put_config(struct entry *entry, struct evhttp_request *request)
{
    uint64_t base;
    bool any;
    if (!read_base_revision(request, &base, &any)) {
        return;
    }
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t size = evbuffer_get_length(input);
    const char *text =
        size > 0 ? (const char *)evbuffer_pullup(input, -1) : "";
    if (!validate_text(request, text, size)) {
        return;
    }
    struct apply *apply = g_new0(struct apply, 1);
    apply->entry = entry;
    apply->request = request;
    CmHttp_WatchClose(request, detach_operator, apply);
    CmRevisions_Submit(&entry->revisions, text, size, base, any, finish_apply,
                       apply);
}

static json_t *
describe_target(const struct agent_link *link)
{
    const struct cm_member *member = link->member;
    const struct cm_route_target *target = link->target;
    json_t *adapters = json_array();
    for (guint i = 0; target != NULL && i < target->adapters->len; i++) {
        const struct cm_route_adapter *adapter =
            g_ptr_array_index(target->adapters, i);
        json_array_append_new(adapters, json_string(adapter->name));
    }
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:b,s:b,s:I,s:I,s:I,s:I,s:I,s:o}", "name",
        member->name, "zone", member->zone, "service",
        target != NULL ? target->service->name : "", "state",
        CmMember_StateName(member->state), "leaving",
        CmMember_IsDraining(member), "usable",
        target != NULL && target->usable, "revision",
        (json_int_t)link->revision, "incarnation",
        (json_int_t)link->incarnation, "running",
        (json_int_t)(target != NULL ? target->running : 0), "waiting",
        (json_int_t)(target != NULL ? target->waiting : 0), "capacity",
        (json_int_t)(target != NULL ? target->capacity : 0), "adapters",
        adapters);
}

static void
append_content(void *context, const struct cm_suspect *suspect)
{
    if (suspect->refused) {
        json_array_append_new(context, json_string(suspect->content));
    }
}

static void
reply_status(struct entry *entry, struct evhttp_request *request)
{
    json_t *targets = json_array();
    const struct agent_link *link;
    CmList_FOREACH (link, &entry->links, link) {
        json_array_append_new(targets, describe_target(link));
    }
    json_t *quarantine = json_array();
    CmQuarantine_ForEach(&entry->quarantine, append_content, quarantine);
    int64_t ran = entry->count.ran.value;
    double stall_ms =
        ran > 0 ? (double)entry->count.stall_ms.value / (double)ran : 0;
    CmHttp_ReplyJson(
        request, HTTP_OK,
        json_pack(
            "{s:s,s:s,s:I,s:b,s:b,s:I,s:I,s:I,s:I,s:I,s:f,s:o,s:o}", "entry",
            entry->settings.common.name, "zone", entry->settings.common.zone,
            "revision", (json_int_t)entry->revisions.revision, "leaving",
            entry->shutting_down, "platform_reachable",
            entry->revisions.api_reachable, "entries",
            (json_int_t)entry->live_entries, "in_progress",
            (json_int_t)entry->count.in_progress.value, "ran", (json_int_t)ran,
            "not_run", (json_int_t)entry->count.not_run.value, "unknown",
            (json_int_t)entry->count.unknown.value, "mean_stall_ms", stall_ms,
            "targets", targets, "quarantined", quarantine));
}

static bool
is_ready(const struct entry *entry)
{
    return entry->config != NULL && entry->has_instance_list &&
           !entry->shutting_down;
}

/// Replies with the configuration and the agents, from which a peer can start
/// while the object API is unreachable.
static void
reply_peer_state(struct entry *entry, struct evhttp_request *request)
{
    json_t *agents = json_array();
    const struct cm_member *member;
    CmList_FOREACH (member, &entry->members.list, link) {
        json_array_append_new(
            agents,
            json_pack("{s:s,s:s,s:s,s:s,s:s}", "name", member->name, "role",
                      "agent", "zone", member->zone, "address",
                      member->endpoint, "state",
                      CmMember_IsDraining(member) ? "leaving" : "live"));
    }
    CmHttp_ReplyJson(
        request, HTTP_OK,
        json_pack("{s:I,s:s,s:o}", "revision",
                  (json_int_t)entry->revisions.revision, "text",
                  entry->revisions.text != NULL ? entry->revisions.text : "",
                  "items", agents));
}

static void
dispatch_request(struct evhttp_request *request, void *context)
{
    struct entry *entry = context;
    const char *path = CmHttp_Path(request);
    enum evhttp_cmd_type method = evhttp_request_get_command(request);
    if (!CmHttpGuard_Begin(&entry->guard, request)) {
        CmHttp_ReplyError(request, STATUS_UNAVAILABLE, "overloaded",
                          "requests take too much memory");
    }
    else if (strcmp(path, "/admin/config") == 0 && method == EVHTTP_REQ_GET) {
        get_config(entry, request);
    }
    else if (strcmp(path, "/admin/config") == 0 && method == EVHTTP_REQ_PUT) {
        put_config(entry, request);
    }
    else if (strcmp(path, "/admin/status") == 0) {
        reply_status(entry, request);
    }
    else if (strcmp(path, CRASH_RECORDS_PATH) == 0) {
        CrashExchange_Reply(entry, request);
    }
    else if (strcmp(path, "/admin/peer-state") == 0) {
        reply_peer_state(entry, request);
    }
    else if (strcmp(path, "/metrics") == 0) {
        reply_metrics(entry, request);
    }
    else if (strcmp(path, "/healthz") == 0) {
        CmHttp_ReplyText(request, HTTP_OK, "text/plain", "ok\n");
    }
    else if (strcmp(path, "/readyz") == 0) {
        bool ready = is_ready(entry);
        CmHttp_ReplyText(request, ready ? HTTP_OK : STATUS_UNAVAILABLE,
                         "text/plain", ready ? "ready\n" : "not ready\n");
    }
    else {
        CmHttp_ReplyError(request, HTTP_NOTFOUND, "not_found", "no such path");
    }
}

bool
Admin_Listen(struct entry *entry, GError **error)
{
    struct cm_http_limits limits = {HEADER_MAX_BYTES, BODY_MAX_BYTES,
                                    IDLE_TIMEOUT_MS};
    entry->admin =
        CmHttpServer_Listen(entry->base, entry->settings.common.admin, &limits,
                            dispatch_request, entry, error);
    if (entry->admin != NULL) {
        // A configuration takes up to BODY_MAX_BYTES.
        CmHttpGuard_Watch(&entry->guard, entry->admin, &entry->admin_guarded,
                          true);
    }
    return entry->admin != NULL;
}
