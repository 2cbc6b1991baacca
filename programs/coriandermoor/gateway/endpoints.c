/// @file endpoints.c
/// Readiness, metrics, and what this gateway knows for others.

#include "endpoints.h"

#include <stdlib.h>
#include <string.h>

#include "h1/conn.h"
#include "h1/writer.h"
#include "snapshot.h"

#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503

/// A connection that asks; it answers all requests on it.
struct probe {
    LIST_ENTRY(probe) link;
    struct gateway *gateway;
    struct cm_h1_conn conn;
    void (*answer)(struct probe *probe);
};

static void
write_text(struct probe *probe, int status, const char *text)
{
    GString *out = g_string_new(NULL);
    CmH1Writer_Response(out, status);
    CmH1Writer_Header(out, "Content-Type", "text/plain");
    CmH1Writer_Body(out, text, strlen(text));
    CmH1Conn_Write(&probe->conn, out->str, out->len);
    g_string_free(out, TRUE);
}

/// Ready once requests can be placed, and until a planned stop begins.
static void
answer_ready(struct probe *probe)
{
    const struct gateway *gateway = probe->gateway;
    bool ready = Gateway_CanServe(gateway) && !gateway->leaving;
    write_text(probe, ready ? STATUS_OK : STATUS_UNAVAILABLE,
               ready ? "ready\n" : "not ready\n");
}

static void
answer_metrics(struct probe *probe)
{
    GString *text = g_string_new(NULL);
    CmCounters_Write(&probe->gateway->count.all, text);
    CmHistogram_Write(probe->gateway->latency, N_LATENCIES, text);
    write_text(probe, STATUS_OK, text->str);
    g_string_free(text, TRUE);
}

static void
answer_snapshot(struct probe *probe)
{
    char *text = Snapshot_Compose(probe->gateway);
    write_text(probe, text != NULL ? STATUS_OK : STATUS_UNAVAILABLE,
               text != NULL ? text : "nothing is known yet\n");
    free(text);
}

static void
probe_free(struct probe *probe)
{
    LIST_REMOVE(probe, link);
    CmH1Conn_FinishAfterWrite(&probe->conn);
    g_free(probe);
}

static void
on_whole(void *context)
{
    struct probe *probe = context;
    bool keep = CmH1Conn_Head(&probe->conn)->keep_alive;
    probe->answer(probe);
    if (keep) {
        CmH1Conn_ReadNext(&probe->conn);
    }
    else {
        probe_free(probe);
    }
}

static void
on_end(void *context, enum cm_h1_close_reason end)
{
    probe_free(context);
}

static const struct cm_h1_handler handler = {.message_complete = on_whole,
                                             .closed = on_end};

static void
accept_probe(struct gateway *gateway, evutil_socket_t fd,
             void (*answer)(struct probe *probe))
{
    struct probe *probe = g_new0(struct probe, 1);
    LIST_INSERT_HEAD(&gateway->probes, probe, link);
    probe->gateway = gateway;
    probe->answer = answer;
    CmH1Conn_Accept(&probe->conn, gateway->base, fd, &handler, probe);
}

static void
on_ready_accept(void *context, evutil_socket_t fd)
{
    accept_probe(context, fd, answer_ready);
}

static void
on_admin_accept(void *context, evutil_socket_t fd)
{
    accept_probe(context, fd, answer_metrics);
}

static void
on_control_accept(void *context, evutil_socket_t fd)
{
    accept_probe(context, fd, answer_snapshot);
}

static void
init_latencies(struct gateway *gateway)
{
    static const char *const labels[N_LATENCIES] = {
        [LATENCY_LEASE] = "until=\"leased\"",
        [LATENCY_FIRST_EVENT] = "until=\"first-event\"",
        [LATENCY_STREAM] = "until=\"stream-end\"",
        [LATENCY_PLAIN] = "until=\"answer\"",
        [LATENCY_OWN] = "until=\"own-answer\"",
    };
    for (size_t i = 0; i < N_LATENCIES; i++) {
        CmHistogram_Init(&gateway->latency[i], "cm_gateway_latency_seconds",
                         "Time from a request's arrival, by what ended it.",
                         labels[i]);
    }
}

void
Probes_InitCounters(struct gateway *gateway)
{
    init_latencies(gateway);
    struct gateway_counters *count = &gateway->count;
    struct cm_counters *all = &count->all;
    CmCounters_Init(all);
    CmCounters_Add(all, &count->requests, "cm_gateway_requests_total",
                   "Requests of callers.");
    CmCounters_Add(all, &count->answered, "cm_gateway_answered_total",
                   "Requests answered by a target.");
    CmCounters_Add(all, &count->refused, "cm_gateway_refused_total",
                   "Requests refused that have not run.");
    CmCounters_Add(all, &count->failed, "cm_gateway_failed_total",
                   "Requests answered by a failure of the gateway's own.");
    CmCounters_Add(all, &count->cut, "cm_gateway_cut_total",
                   "Streams broken off.");
    CmCounters_Add(all, &count->abandoned, "cm_gateway_abandoned_total",
                   "Requests whose caller left.");
    CmCounters_Add(all, &count->sends, "cm_gateway_sends_total",
                   "Attempts sent to targets.");
    CmCounters_Add(all, &count->resumes, "cm_gateway_repeats_total",
                   "Attempts that followed another one.");
    CmCounters_Add(all, &count->leases, "cm_gateway_leases_total",
                   "Adapters asked for at agents.");
    CmCounters_AddGauge(all, &count->callers, "cm_gateway_connections",
                        "Open connections of callers.");
    CmCounters_AddGauge(all, &count->version, "cm_gateway_config_version",
                        "Version of the configuration in force.");
}

gboolean
Probes_Listen(struct gateway *gateway, GError **error)
{
    const struct cm_gateway_settings *settings = &gateway->settings;
    return CmH1Listener_Init(&gateway->ready_listener, gateway->base,
                             settings->ready, on_ready_accept, gateway,
                             error) &&
           CmH1Listener_Init(&gateway->admin_listener, gateway->base,
                             settings->common.admin, on_admin_accept, gateway,
                             error) &&
           (settings->control == NULL ||
            CmH1Listener_Init(&gateway->control_listener, gateway->base,
                              settings->control, on_control_accept, gateway,
                              error));
}

void
Probes_Finish(struct gateway *gateway)
{
    CmH1Listener_Finish(&gateway->ready_listener);
    CmH1Listener_Finish(&gateway->admin_listener);
    CmH1Listener_Finish(&gateway->control_listener);
    struct probe *probe;
    while ((probe = LIST_FIRST(&gateway->probes)) != NULL) {
        probe_free(probe);
    }
}
