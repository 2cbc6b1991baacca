/// @file quota_message.h
/// Messages between a gateway and its arbiter about quotas, as JSON: a report
/// with claims, and its answer with grants.

#ifndef RATELIMIT_QUOTA_MESSAGE_H
#define RATELIMIT_QUOTA_MESSAGE_H

#include "ratelimit/quota_arbiter.h"

/// Most claims or grants of one message; further ones are left out and claimed
/// again by the next report.
#define CM_QUOTA_MESSAGE_CLAIMS_MAX 256
/// Longest message, in bytes.
#define CM_QUOTA_MESSAGE_BYTES_MAX ((size_t)64 * 1024)

struct cm_quota_report {
    char gateway[CM_QUOTA_NAME_SIZE];
    double gateways; ///< that the sender knows of; 0 for none
    bool release;    ///< it takes its share back
    GArray *claims;  ///< of struct cm_quota_claim
};

struct cm_quota_answer {
    double gateways; ///< that own shares
    /// The gateway grants nothing and holds no delegation, as its
    /// configuration is too old: another one is to be the arbiter.
    bool declines;
    /// Configuration in force at the arbiter, and the time since the store
    /// showed that it was the latest, in ms; -1 for never.
    int64_t config_version;
    int64_t config_age_ms;
    GArray *grants; ///< of struct cm_quota_grant
};

/// Initializes an empty report.
void
CmQuotaReport_Init(struct cm_quota_report *report);

void
CmQuotaReport_Finish(struct cm_quota_report *report);

/// @return the report as JSON, to be freed with free().
char *
CmQuotaReport_Encode(const struct cm_quota_report *report);

/// Reads a report into an initialized one.
/// @return false if it is malformed; `report` is then to be finished only.
bool
CmQuotaReport_Decode(struct cm_quota_report *report, const char *text,
                     size_t size);

/// Initializes an empty answer.
void
CmQuotaAnswer_Init(struct cm_quota_answer *answer);

void
CmQuotaAnswer_Finish(struct cm_quota_answer *answer);

/// @return the answer as JSON, to be freed with free().
char *
CmQuotaAnswer_Encode(const struct cm_quota_answer *answer);

/// Reads an answer into an initialized one.
/// @return false if it is malformed; `answer` is then to be finished only.
bool
CmQuotaAnswer_Decode(struct cm_quota_answer *answer, const char *text,
                     size_t size);

#endif
