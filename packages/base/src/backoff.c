/// @file backoff.c
/// A time that doubles with each failure.

#include "base/backoff.h"

int64_t
CmBackoff_Ms(const struct cm_backoff *backoff)
{
    return backoff->next_ms > 0 ? backoff->next_ms : backoff->min_ms;
}

void
CmBackoff_Failed(struct cm_backoff *backoff)
{
    int64_t doubled = CmBackoff_Ms(backoff) * 2;
    backoff->next_ms = doubled < backoff->max_ms ? doubled : backoff->max_ms;
}

void
CmBackoff_Reset(struct cm_backoff *backoff)
{
    backoff->next_ms = 0;
}
