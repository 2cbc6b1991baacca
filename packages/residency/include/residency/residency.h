/// @file residency.h
/// Decides which adapters an engine loads and unloads. Pure: reports and
/// leases in, orders and grants out.

#ifndef RESIDENCY_RESIDENCY_H
#define RESIDENCY_RESIDENCY_H

#include "residency/residency_defs.h"

/// Prepares an empty engine with `slots` slots.
void
CmResidency_Init(struct cm_residency *residency, int64_t slots);

/// Frees the residents; leases are their owners' matter.
void
CmResidency_Finish(struct cm_residency *residency);

/// Asks for an adapter. `lease` carries adapter, version, priority, notify
/// and context.
enum cm_lease_result
CmResidency_Request(struct cm_residency *residency, struct cm_lease *lease,
                    struct timespec now);

/// Ends a lease, granted or waiting.
void
CmResidency_Release(struct cm_residency *residency, struct cm_lease *lease);

/// The engine reports what it holds: Begin, Reported for each, End.
void
CmResidency_BeginReport(struct cm_residency *residency);
void
CmResidency_ReportAdapter(struct cm_residency *residency, const char *adapter,
                          int64_t version, bool incoming, struct timespec now);

/// Drops what was not reported and grants leases.
void
CmResidency_EndReport(struct cm_residency *residency, struct timespec now);

/// @return whether there is an order to give; it is filled in then.
bool
CmResidency_NextOrder(struct cm_residency *residency, struct timespec now,
                      struct cm_residency_order *order);

/// The engine accepted an order.
/// @param done it has taken effect already.
void
CmResidency_OrderAccepted(struct cm_residency *residency,
                          const struct cm_residency_order *order, bool done,
                          struct timespec now);

/// The engine did not take an order.
void
CmResidency_OrderRefused(struct cm_residency *residency,
                         const struct cm_residency_order *order,
                         struct timespec now);

/// @return whether adapters are on their way or waited for.
bool
CmResidency_HasPending(const struct cm_residency *residency);

/// Appends the state of all slots, for the log.
void
CmResidency_Describe(const struct cm_residency *residency, GString *out);

/// @return leases that wait.
int64_t
CmResidency_WaitingLeases(const struct cm_residency *residency);

/// @return adapters without a slot that leases wait for.
int64_t
CmResidency_WaitingAdapters(const struct cm_residency *residency);

/// @return expected time in ms until the load of an adapter that nobody has
/// asked for could start.
int64_t
CmResidency_SlotWaitMs(const struct cm_residency *residency);

/// @return the same for `adapter`: 0 if it is there, on its way or its load
/// is due anyway.
int64_t
CmResidency_QueueWaitMs(const struct cm_residency *residency,
                        const char *adapter, int64_t version);

#endif
