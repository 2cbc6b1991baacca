/// @file load_report.h
/// Load of one engine as its agent tells it to the gateways that use it: one
/// datagram, a JSON array. Gateways otherwise learn it from the answers to
/// their own leases only, which are seconds old where there are many gateways.

#ifndef RESIDENCY_LOAD_REPORT_H
#define RESIDENCY_LOAD_REPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/// Size of a target's id; longer ones are not reported.
#define CM_LOAD_REPORT_ID_SIZE 64
/// Largest report, in bytes; a datagram has up to 256.
#define CM_LOAD_REPORT_MAX 200
/// First byte of a report, which tells it from other datagrams.
#define CM_LOAD_REPORT_MARK '['
/// Interval of reports to up to this many gateways; it grows in proportion
/// beyond, so that an agent sends at most 80 a second.
#define CM_LOAD_REPORT_MS 250
#define CM_LOAD_REPORT_GATEWAYS 20
/// Interval at which an unchanged load is told again: as long as gateways
/// rely on a report.
#define CM_LOAD_REPORT_REPEAT_MS 750

struct cm_load_report {
    char target[CM_LOAD_REPORT_ID_SIZE]; ///< id of the engine's incarnation
    int64_t started_ms;                  ///< Unix time of its start
    int64_t running;                     ///< requests with a lease
    int64_t waiting;                     ///< leases that wait
    int64_t backlog_ms;   ///< time for the prefill of queued prompts
    int64_t slot_wait_ms; ///< until a load of another adapter can start
};

/// When an agent reports.
struct cm_load_reporter {
    struct cm_load_report last;
    struct timespec sent_at;
};

/// @param[out] data receives the report.
/// @return its size, or 0 if it is too long.
size_t
CmLoadReport_Encode(const struct cm_load_report *report,
                    char data[CM_LOAD_REPORT_MAX]);

/// @return whether the report is valid.
bool
CmLoadReport_Decode(struct cm_load_report *report, const char *data,
                    size_t size);

/// @return the interval of reports to so many gateways, in ms.
int64_t
CmLoadReporter_IntervalMs(size_t gateways);

/// @return whether the report is due: the load has changed, or was told long
/// ago. Then it counts as sent.
bool
CmLoadReporter_IsDue(struct cm_load_reporter *reporter,
                     const struct cm_load_report *report, size_t gateways,
                     struct timespec now);

#endif
