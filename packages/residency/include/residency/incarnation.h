/// @file incarnation.h
/// The incarnation of the engine that an agent sends orders to. Gateways name
/// it in lease requests, and some still name a former one for seconds after a
/// restart; only the engine's responses to orders are certain. Does no I/O.

#ifndef RESIDENCY_INCARNATION_H
#define RESIDENCY_INCARNATION_H

#include <stdbool.h>

struct cm_incarnation {
    char *id;       ///< that orders are sent to, NULL while unknown
    bool confirmed; ///< the engine has accepted an order for `id`
    char *ordered;  ///< id in the last order
    char *rejected; ///< id that the running engine has rejected
};

/// Initializes an unknown incarnation.
void
CmIncarnation_Init(struct cm_incarnation *incarnation);

/// Frees the ids.
void
CmIncarnation_Finish(struct cm_incarnation *incarnation);

/// Takes the id that a gateway names, unless another one is confirmed or the
/// engine has rejected this one.
/// @return whether it replaces another id.
bool
CmIncarnation_Expect(struct cm_incarnation *incarnation, const char *id);

/// @return whether `id` is the incarnation that orders are sent to.
bool
CmIncarnation_Is(const struct cm_incarnation *incarnation, const char *id);

/// Records that an order is sent.
/// @return the id that it must name.
const char *
CmIncarnation_BeginOrder(struct cm_incarnation *incarnation);

/// Records that the engine has accepted the last order.
/// @return whether the id changed.
bool
CmIncarnation_OrderAccepted(struct cm_incarnation *incarnation);

/// Records that the engine is another incarnation than the last order named.
/// @param actual id that the engine states, or NULL.
/// @return whether the id changed.
bool
CmIncarnation_OrderRejected(struct cm_incarnation *incarnation,
                            const char *actual);

/// Forgets all ids, as the engine has restarted.
void
CmIncarnation_Forget(struct cm_incarnation *incarnation);

#endif
