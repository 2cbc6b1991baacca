/// @file retry_budget.h
/// Retry budgets of services: whether a request may be sent to a target once
/// more.

#ifndef GATEWAY_RETRY_BUDGET_H
#define GATEWAY_RETRY_BUDGET_H

#include "request_defs.h"

void
RetryBudget_Init(struct gateway *gateway);

void
RetryBudget_Finish(struct gateway *gateway);

/// Counts a request of a caller for its service.
void
RetryBudget_CountRequest(const struct request *request);

/// @return whether the request may be sent now: it is its first attempt, or
/// the budget allows one more.
bool
RetryBudget_Allows(const struct request *request);

/// @return whether the budget allows to send the request again.
bool
RetryBudget_AllowsRetry(const struct request *request);

/// Counts an attempt that is sent, unless it is the request's first one.
void
RetryBudget_Consume(const struct request *request);

/// Counts and logs that a retry was denied. A service's figures are logged
/// once in a second.
void
RetryBudget_CountDenied(const struct request *request);

#endif
