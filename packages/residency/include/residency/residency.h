/// @file residency.h
/// Decides which adapters one engine loads and unloads. Input are the engine's
/// reports and the lease requests, output are orders for the engine and
/// grants. Does no I/O.

#ifndef RESIDENCY_RESIDENCY_H
#define RESIDENCY_RESIDENCY_H

#include "residency/residency_defs.h"

/// Initializes an engine with `slots` empty slots.
void
CmResidency_Init(struct cm_residency *residency, int64_t slots);

/// Frees the residents; the leases belong to the caller.
void
CmResidency_Finish(struct cm_residency *residency);

/// Requests a lease. The caller fills in adapter, version, priority,
/// on_time_ms, notify and context, and keeps `lease` in memory until it is
/// released.
/// @return whether the lease is granted, waits or is refused. The scheduler
/// keeps no reference to a refused one.
enum cm_lease_result
CmResidency_Request(struct cm_residency *residency, struct cm_lease *lease,
                    struct timespec now);

/// @return whether the load that a waiting lease waits for is in progress.
bool
CmResidency_IsLoading(const struct cm_residency *residency,
                      const struct cm_lease *lease);

/// Releases a lease, granted or waiting.
void
CmResidency_Release(struct cm_residency *residency, struct cm_lease *lease);

/// Records the duration of a run that has ended, before its lease is released.
/// Leases that expire or never ran are not recorded.
void
CmResidency_RecordRun(struct cm_residency *residency,
                      const struct cm_lease *lease, struct timespec now);

/// Reads a complete report of the engine's adapters: Begin, ReportAdapter for
/// each, End.
void
CmResidency_BeginReport(struct cm_residency *residency);
/// @param incoming the load is not complete yet.
void
CmResidency_ReportAdapter(struct cm_residency *residency, const char *adapter,
                          int64_t version, bool incoming, struct timespec now);
/// Drops the adapters that were not reported, grants waiting leases whose
/// adapter is ready, and calls their `notify`.
void
CmResidency_EndReport(struct cm_residency *residency, struct timespec now);

/// @return whether the engine should get an order now; `order` is filled in
/// then.
bool
CmResidency_NextOrder(struct cm_residency *residency, struct timespec now,
                      struct cm_residency_order *order);

/// Records that the engine accepted an order.
/// @param done the order has already taken effect.
void
CmResidency_OrderAccepted(struct cm_residency *residency,
                          const struct cm_residency_order *order, bool done,
                          struct timespec now);

/// Records that the engine refused an order. An adapter that it refused to
/// unload is not evicted for CM_RESIDENCY_UNLOAD_RETRY_MS.
void
CmResidency_OrderRefused(struct cm_residency *residency,
                         const struct cm_residency_order *order,
                         struct timespec now);

/// @return whether a load is in progress or a lease is waiting.
bool
CmResidency_HasPending(const struct cm_residency *residency);

/// Appends the state of all slots, for the log.
void
CmResidency_Describe(const struct cm_residency *residency, GString *out);

/// @return number of waiting leases.
int64_t
CmResidency_WaitingLeases(const struct cm_residency *residency);

/// @return number of adapters without a slot that leases wait for.
int64_t
CmResidency_WaitingAdapters(const struct cm_residency *residency);

/// @return expected time until the load of an adapter that no lease has
/// requested can start, in ms.
int64_t
CmResidency_SlotWaitMs(const struct cm_residency *residency,
                       struct timespec now);

/// @return expected time until a load of `adapter` can start, in ms; 0 if
/// `version` or a newer one is resident or incoming.
int64_t
CmResidency_QueueWaitMs(const struct cm_residency *residency,
                        const char *adapter, int64_t version,
                        struct timespec now);

#endif
