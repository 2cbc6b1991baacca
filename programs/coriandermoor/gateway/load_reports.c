/// @file load_reports.c
/// Load of engines that agents report.

#include "load_reports.h"

void
LoadReports_Apply(struct gateway *gateway, const char *data, size_t size)
{
    struct cm_load_report report;
    if (!CmLoadReport_Decode(&report, data, size)) {
        return;
    }
    struct cm_live_target *target =
        CmTargets_Find(&gateway->targets, report.target);
    // A report of a former start under the same id says nothing of this one.
    if (target == NULL || !target->is_engine ||
        (report.started_ms > 0 && target->started_ms > 0 &&
         report.started_ms != target->started_ms)) {
        return;
    }
    struct timespec now = Gateway_Now(gateway);
    CmTarget_SetReportedLoad(target, report.running, report.waiting, now);
    target->agent_report =
        (struct cm_agent_report){.slot_wait_ms = report.slot_wait_ms,
                                 .backlog_ms = (double)report.backlog_ms,
                                 .received_at = now};
    gateway->count.load_reports.value++;
}
