/// @file retry_after.h
/// Delay after which a client whose request was refused should retry.

#ifndef DISPATCH_RETRY_AFTER_H
#define DISPATCH_RETRY_AFTER_H

#include <stdint.h>

/// @param queue_wait_ms shortest queue wait among the engines whose agents
/// denied a lease, 0 if unknown.
/// @param priority      of the request, 0 is the most urgent.
/// @param draw          random number from 0 to 1, spreads the retries.
/// @return delay in ms.
int64_t
CmRetryAfter_Ms(int64_t queue_wait_ms, int64_t priority, double draw);

/// The same for a request that was refused as all targets are at the rate
/// limits that they named.
/// @param permit_ms time until the next permit may be had.
/// @param refused   requests refused for this reason within the last second;
///                  each of them needs a permit of its own.
int64_t
CmRetryAfter_AtLimitMs(int64_t permit_ms, int64_t refused, double draw);

/// The same for a request that was refused as all targets asked for a pause.
/// @param pause_ms time until the first pause ends.
int64_t
CmRetryAfter_AtPauseMs(int64_t pause_ms, double draw);

#endif
