/// @file quotas.h
/// Quotas of client accounts over all gateways: takes the cost of a request,
/// claims more at the arbiter, and grants as the arbiter.

#ifndef GATEWAY_QUOTAS_H
#define GATEWAY_QUOTAS_H

#include "gateway.h"

/// Path of reports at the control address.
#define QUOTAS_PATH "/quotas"

enum quota_admission {
    QUOTA_ADMITTED,
    QUOTA_WAITS,  ///< Request_EndQuotaWait() follows
    QUOTA_DENIED, ///< beyond the quota; `quota.retry_ms` is set
};

/// Takes the request's cost from its account's quota.
enum quota_admission
Quotas_Admit(struct request *request);

/// Ends the wait of a request whose claim takes too long.
enum quota_admission
Quotas_EndWait(struct request *request);

/// Gives the cost back if the request has certainly not run.
void
Quotas_FinishRequest(struct request *request);

/// Responds to the report of another gateway.
/// @return the answer, to be freed with free(), or NULL if it is malformed.
char *
Quotas_Answer(struct gateway *gateway, const GString *text);

/// Reports to the arbiter if that is due; to be called periodically.
void
Quotas_Tick(struct gateway *gateway);

void
Quotas_Init(struct gateway *gateway);

void
Quotas_Finish(struct gateway *gateway);

#endif
