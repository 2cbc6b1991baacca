/// @file budget.h
/// Limit on repeated sends, kept by each gateway alone: a share of its own
/// requests, and its part of a fixed reserve. The sum over all gateways then
/// stays below the operators' bound without talk between them.

#ifndef DISPATCH_BUDGET_H
#define DISPATCH_BUDGET_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/// Parts of which a window consists.
#define CM_BUDGET_PARTS 10

/// Repeats and requests of one service in a sliding window.
struct cm_budget {
    double ratio;      ///< repeats allowed for each request
    double reserve;    ///< repeats allowed besides, in a window
    int64_t window_ms; ///< length of the window
    int64_t part;      ///< number of the current part
    int requests[CM_BUDGET_PARTS];
    int repeats[CM_BUDGET_PARTS];
};

/// Prepares an empty window.
void
CmBudget_Init(struct cm_budget *budget, double ratio, double reserve,
              int64_t window_ms);

/// A request for the service arrived.
void
CmBudget_Request(struct cm_budget *budget, struct timespec now);

/// @return whether one more repeat fits the window.
bool
CmBudget_Allows(struct cm_budget *budget, struct timespec now);

/// @return whether one more repeat fits the window; counts it if it does.
bool
CmBudget_Spend(struct cm_budget *budget, struct timespec now);

#endif
