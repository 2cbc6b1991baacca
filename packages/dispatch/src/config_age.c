/// @file config_age.c
/// Age of the configuration in force.
///
/// Load pattern: the store is away, or turns single gateways away, while keys
/// are withdrawn, and callers go on to send requests with them.

#include "dispatch/config_age.h"

#include "base/clock.h"

void
CmConfigAge_Confirm(struct cm_config_age *age, struct timespec at)
{
    if (!age->confirmed || CmTime_Before(age->confirmed_at, at)) {
        age->confirmed = true;
        age->confirmed_at = at;
    }
}

int64_t
CmConfigAge_Ms(const struct cm_config_age *age, struct timespec now)
{
    return age->confirmed ? CmTime_DiffMs(now, age->confirmed_at) : -1;
}

bool
CmConfigAge_AllowsKeys(const struct cm_config_age *age, int64_t limit_ms,
                       struct timespec now)
{
    if (age->doubtful) {
        return false;
    }
    return limit_ms <= 0 ||
           (age->confirmed && (double)CmConfigAge_Ms(age, now) <=
                                  (double)limit_ms * CM_CONFIG_AGE_SHARE);
}
