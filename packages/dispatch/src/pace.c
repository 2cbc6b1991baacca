/// @file pace.c
/// Moving average of the figures in which a target says how long work takes.
///
/// Load pattern: targets whose speed changes many times a second around a
/// level that lasts for seconds, and figures that come with responses, at any
/// intervals. Each figure's weight decays exponentially with its age, so that
/// several at once count alike and one after a long silence replaces the
/// former average.

#include "dispatch/pace.h"

#include <glib.h>
#include <math.h>

#include "base/clock.h"

#define PERCENT 100.0

/// @return age of the last figure, in ms.
static double
age_ms(const struct cm_pace *pace, struct timespec now)
{
    return (double)MAX(CmTime_DiffMs(now, pace->heard), 0);
}

void
CmPace_Add(struct cm_pace *pace, double percent, struct timespec now)
{
    double decay = exp(-age_ms(pace, now) / CM_PACE_SMOOTHING_MS);
    double factor =
        CLAMP(percent / PERCENT, CM_PACE_FACTOR_MIN, CM_PACE_FACTOR_MAX);
    pace->weight = pace->weight * decay + 1;
    pace->weighted_sum = pace->weighted_sum * decay + factor;
    pace->heard = now;
}

bool
CmPace_IsKnown(const struct cm_pace *pace, struct timespec now)
{
    return pace->weight > 0 && age_ms(pace, now) < CM_PACE_MAX_AGE_MS;
}

double
CmPace_Factor(const struct cm_pace *pace, struct timespec now)
{
    if (!CmPace_IsKnown(pace, now)) {
        return 1;
    }
    double average = pace->weighted_sum / pace->weight;
    return 1 + (average - 1) * (1 - age_ms(pace, now) / CM_PACE_MAX_AGE_MS);
}

int64_t
CmPace_StretchMs(const struct cm_pace *pace, int64_t timeout_ms,
                 int64_t max_ms, struct timespec now)
{
    double factor = MIN(CmPace_Factor(pace, now), CM_PACE_STRETCH_MAX);
    int64_t stretched_ms = (int64_t)((double)timeout_ms * factor);
    return MAX(MIN(stretched_ms, max_ms), timeout_ms);
}
