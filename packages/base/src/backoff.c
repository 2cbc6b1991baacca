/// @file backoff.c
/// A time that doubles with each failure.

#include "base/backoff.h"

int64_t
CmBackoff_DelayMs(const struct cm_backoff *backoff)
{
    return backoff->delay_ms > 0 ? backoff->delay_ms : backoff->min_ms;
}

void
CmBackoff_Increase(struct cm_backoff *backoff)
{
    int64_t doubled = CmBackoff_DelayMs(backoff) * 2;
    backoff->delay_ms = doubled < backoff->max_ms ? doubled : backoff->max_ms;
}

void
CmBackoff_Reset(struct cm_backoff *backoff)
{
    backoff->delay_ms = 0;
}
