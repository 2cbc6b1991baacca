/// @file retry_after.h
/// When a refused caller may come back.

#ifndef DISPATCH_RETRY_AFTER_H
#define DISPATCH_RETRY_AFTER_H

#include <stdint.h>

/// @param ahead_ms least wait at the engines that were asked, 0 if unknown.
/// @param draw     from 0 to 1.
/// @return time after which the caller may come back, in ms.
int64_t
CmRetryAfter_Ms(int64_t queue_wait_ms, double draw);

#endif
