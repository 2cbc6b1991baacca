/// @file admin.c
/// Metrics and health endpoints of the agent.

#include "admin.h"

#include <string.h>

#include "link/traffic.h"

#define HEADER_MAX_BYTES 16384
#define BODY_MAX_BYTES 16384
#define IDLE_TIMEOUT_MS 30000
#define STATUS_UNAVAILABLE 503

void
Admin_InitCounters(struct agent *agent)
{
    struct cm_counters *set = &agent->counters;
    struct agent_counters *count = &agent->count;
    CmCounters_Init(set);
    CmCounters_Add(set, &count->accepted, "cm_agent_accepted_total",
                   "Requests taken in.");
    CmCounters_Add(set, &count->refused, "cm_agent_refused_total",
                   "Requests that did not run.");
    CmCounters_Add(set, &count->ran, "cm_agent_ran_total",
                   "Requests that ran to their end.");
    CmCounters_Add(set, &count->unknown, "cm_agent_unknown_total",
                   "Requests whose run broke off.");
    CmCounters_Add(set, &count->loads, "cm_agent_loads_total",
                   "Orders to load an adapter.");
    CmCounters_Add(set, &count->load_failures, "cm_agent_load_failures_total",
                   "Loads that failed.");
    CmCounters_Add(set, &count->evictions, "cm_agent_evictions_total",
                   "Orders to evict an adapter.");
    CmCounters_Add(set, &count->stall_ms, "cm_agent_stall_milliseconds_total",
                   "Time requests waited before they started.");
    CmCounters_Add(set, &count->crashes, "cm_agent_target_crashes_total",
                   "Times the target went down.");
    CmCounters_Add(set, &count->resumes, "cm_agent_resumes_total",
                   "Answers resumed on a new connection.");
    CmCounters_Add(set, &count->mismatches, "cm_agent_mismatches_total",
                   "Answers withheld as another adapter's.");
    CmCounters_AddGauge(set, &count->running, "cm_agent_running",
                        "Requests running at the target.");
    CmCounters_AddGauge(set, &count->waiting, "cm_agent_waiting",
                        "Requests waiting.");
    CmCounters_AddGauge(set, &count->revision, "cm_agent_revision",
                        "Revision of the configuration in force.");
}

static void
on_request(struct evhttp_request *request, void *context)
{
    struct agent *agent = context;
    const char *path = CmHttp_Path(request);
    if (!CmHttpGuard_Begin(&agent->guard, request)) {
        CmHttp_ReplyError(request, STATUS_UNAVAILABLE, "overloaded",
                          "requests take too much memory");
    }
    else if (strcmp(path, "/metrics") == 0) {
        GString *text = g_string_new(NULL);
        CmCounters_Write(&agent->counters, text);
        CmLinkTraffic_WriteMetrics(&agent->traffic, text);
        CmHttp_ReplyText(request, HTTP_OK, "text/plain; version=0.0.4",
                         text->str);
        g_string_free(text, TRUE);
    }
    else if (strcmp(path, "/healthz") == 0) {
        CmHttp_ReplyText(request, HTTP_OK, "text/plain", "ok\n");
    }
    else if (strcmp(path, "/readyz") == 0) {
        bool ready = agent->healthy && !agent->shutting_down;
        CmHttp_ReplyText(request, ready ? HTTP_OK : STATUS_UNAVAILABLE,
                         "text/plain", ready ? "ready\n" : "not ready\n");
    }
    else {
        CmHttp_ReplyError(request, HTTP_NOTFOUND, "not_found", "no such path");
    }
}

bool
Admin_Listen(struct agent *agent, GError **error)
{
    struct cm_http_limits limits = {HEADER_MAX_BYTES, BODY_MAX_BYTES,
                                    IDLE_TIMEOUT_MS};
    agent->admin =
        CmHttpServer_Listen(agent->base, agent->settings.common.admin, &limits,
                            on_request, agent, error);
    if (agent->admin == NULL) {
        return false;
    }
    CmHttpGuard_Watch(&agent->guard, agent->admin, &agent->admin_guarded,
                      false);
    return true;
}
