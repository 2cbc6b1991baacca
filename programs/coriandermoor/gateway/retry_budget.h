/// @file retry_budget.h
/// Retry budgets of services: whether a request may be sent to a target once
/// more (packages/ratelimit). A retry is allowed by this gateway's own
/// requests, or by a permit from the reserve, parts of which the seeds hold.

#ifndef GATEWAY_RETRY_BUDGET_H
#define GATEWAY_RETRY_BUDGET_H

#include "request_defs.h"

/// Path of claims at the control address of a seed.
#define RETRY_PERMITS_PATH "/retry-permits"

/// What a request may do that is about to be placed.
enum retry_admission {
    RETRY_ADMITTED, ///< it is its first attempt, or the budget allows one more
    RETRY_WAITS,    ///< for a permit; Request_Place() is called again later
    RETRY_DENIED,
};

void
RetryBudget_Init(struct gateway *gateway);

void
RetryBudget_Finish(struct gateway *gateway);

/// Counts a request of a caller for its service.
void
RetryBudget_CountRequest(const struct request *request);

/// Lets a request be placed, or claims a permit for it.
enum retry_admission
RetryBudget_Admit(struct request *request);

/// @return whether an admitted request may be sent now. A long wait may have
/// outlasted its permit.
bool
RetryBudget_AllowsSend(struct request *request);

/// @return whether RetryBudget_Admit() may admit one more attempt, now or with
/// a permit.
bool
RetryBudget_MayRetry(const struct request *request);

/// Counts an attempt that was sent, unless it is the request's first one.
void
RetryBudget_CountSend(struct request *request);

/// Counts and logs that a retry was denied. A service's figures are logged
/// once in a second.
void
RetryBudget_CountDenied(const struct request *request);

/// Ends the request's wait, and gives back its unused permit.
void
RetryBudget_FinishRequest(struct request *request);

/// Answers the claim of another gateway.
/// @return the response, to be freed with free(), or NULL if the claim is
/// malformed.
char *
RetryBudget_Answer(struct gateway *gateway, const GString *text);

/// Drops what has expired; to be called periodically.
void
RetryBudget_Tick(struct gateway *gateway);

#endif
