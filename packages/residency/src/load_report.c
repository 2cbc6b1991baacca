/// @file load_report.c
/// Load reports of agents.
///
/// Load pattern: many gateways with a few requests a second each, on engines
/// whose queues change within a tenth of a second.

#include "residency/load_report.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "base/clock.h"

/// Value of the first field; other formats are ignored.
#define FORMAT "load/1"
/// Largest valid number: far beyond any count of requests or wait.
#define NUMBER_MAX INT32_MAX

size_t
CmLoadReport_Encode(const struct cm_load_report *report,
                    char data[CM_LOAD_REPORT_MAX])
{
    json_t *json =
        json_pack("[s,s,I,I,I,I,I]", FORMAT, report->target,
                  (json_int_t)report->started_ms, (json_int_t)report->running,
                  (json_int_t)report->waiting, (json_int_t)report->backlog_ms,
                  (json_int_t)report->slot_wait_ms);
    size_t size = json_dumpb(json, data, CM_LOAD_REPORT_MAX, JSON_COMPACT);
    json_decref(json);
    return size <= CM_LOAD_REPORT_MAX ? size : 0;
}

static bool
is_count(int64_t number)
{
    return number >= 0 && number <= NUMBER_MAX;
}

bool
CmLoadReport_Decode(struct cm_load_report *report, const char *data,
                    size_t size)
{
    *report = (struct cm_load_report){0};
    if (size > CM_LOAD_REPORT_MAX) {
        return false;
    }
    json_t *json = json_loadb(data, size, 0, NULL);
    const char *format;
    const char *target;
    json_int_t started_ms;
    json_int_t numbers[4];
    bool valid =
        json_unpack(json, "[s,s,I,I,I,I,I]", &format, &target, &started_ms,
                    &numbers[0], &numbers[1], &numbers[2], &numbers[3]) == 0 &&
        strcmp(format, FORMAT) == 0 && started_ms >= 0 &&
        g_strlcpy(report->target, target, sizeof(report->target)) <
            sizeof(report->target);
    for (size_t i = 0; valid && i < G_N_ELEMENTS(numbers); i++) {
        valid = is_count(numbers[i]);
    }
    if (valid) {
        report->started_ms = started_ms;
        report->running = numbers[0];
        report->waiting = numbers[1];
        report->backlog_ms = numbers[2];
        report->slot_wait_ms = numbers[3];
    }
    json_decref(json);
    return valid;
}

int64_t
CmLoadReporter_IntervalMs(size_t gateways)
{
    return (int64_t)(CM_LOAD_REPORT_MS *
                     MAX(gateways, CM_LOAD_REPORT_GATEWAYS) /
                     CM_LOAD_REPORT_GATEWAYS);
}

bool
CmLoadReporter_IsDue(struct cm_load_reporter *reporter,
                     const struct cm_load_report *report, size_t gateways,
                     struct timespec now)
{
    int64_t since_ms = CmTime_DiffMs(now, reporter->sent_at);
    int64_t interval_ms = CmLoadReporter_IntervalMs(gateways);
    bool changed = memcmp(report, &reporter->last, sizeof(*report)) != 0;
    if (gateways == 0 || since_ms < interval_ms ||
        (!changed && since_ms < MAX(CM_LOAD_REPORT_REPEAT_MS, interval_ms))) {
        return false;
    }
    reporter->last = *report;
    reporter->sent_at = now;
    return true;
}
