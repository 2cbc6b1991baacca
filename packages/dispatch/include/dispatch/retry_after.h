/// @file retry_after.h
/// Delay after which a client whose request was refused should retry.

#ifndef DISPATCH_RETRY_AFTER_H
#define DISPATCH_RETRY_AFTER_H

#include <stdint.h>

/// @param queue_wait_ms shortest queue wait among the engines whose agents
/// denied a lease, 0 if unknown.
/// @param draw          random number from 0 to 1, spreads the retries.
/// @return delay in ms.
int64_t
CmRetryAfter_Ms(int64_t queue_wait_ms, double draw);

#endif
