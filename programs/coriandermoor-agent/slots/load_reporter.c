/// @file load_reporter.c
/// Sends load reports to gateways.

#include "load_reporter.h"

#include "lease_server.h"
#include "residency/load_report.h"

/// Interval at which the load is looked at: a part of that of reports, so
/// that it is told soon after it changed.
#define CHECK_INTERVAL_MS 125
/// Time without a lease request after which a gateway gets no reports.
#define SUBSCRIPTION_MS 10000
/// Gateways that get reports; beyond them their age would be useless.
#define GATEWAYS_MAX 512

static gboolean
is_inactive(void *address, void *asked_at, void *now)
{
    return CmTime_DiffMs(*(struct timespec *)now,
                         *(struct timespec *)asked_at) > SUBSCRIPTION_MS;
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct slots *slots = context;
    struct timespec now = Slots_Now(slots);
    GHashTable *gateways = slots->report_gateways;
    g_hash_table_foreach_remove(gateways, is_inactive, &now);
    struct cm_load_report report = {0};
    if (!LeaseServer_DescribeLoad(slots, &report) ||
        !CmLoadReporter_IsDue(&slots->load_reporter, &report,
                              g_hash_table_size(gateways), now)) {
        return;
    }
    char data[CM_LOAD_REPORT_MAX];
    size_t size = CmLoadReport_Encode(&report, data);
    GHashTableIter iter;
    void *address;
    g_hash_table_iter_init(&iter, gateways);
    while (size > 0 && g_hash_table_iter_next(&iter, &address, NULL)) {
        CmDatagramPort_Send(&slots->stream_port, address, data, size);
        slots->load_reports.value++;
    }
}

void
LoadReporter_CountLease(struct slots *slots, const char *address)
{
    GHashTable *gateways = slots->report_gateways;
    if (address == NULL || address[0] == '\0' ||
        (g_hash_table_size(gateways) >= GATEWAYS_MAX &&
         !g_hash_table_contains(gateways, address))) {
        return;
    }
    struct timespec *asked_at = g_new(struct timespec, 1);
    *asked_at = Slots_Now(slots);
    g_hash_table_replace(gateways, g_strdup(address), asked_at);
}

void
LoadReporter_Init(struct slots *slots)
{
    slots->report_gateways =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    slots->load_timer =
        event_new(slots->base, -1, EV_PERSIST, on_timer, slots);
    struct timeval interval = CmTime_Timeval(CHECK_INTERVAL_MS);
    event_add(slots->load_timer, &interval);
    CmCounters_Add(&slots->counters, &slots->load_reports,
                   "cm_agent_load_reports_total",
                   "Reports of the engine's load sent to gateways.");
}

void
LoadReporter_Finish(struct slots *slots)
{
    event_free(slots->load_timer);
    g_hash_table_destroy(slots->report_gateways);
}
