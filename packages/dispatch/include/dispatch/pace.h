/// @file pace.h
/// How long work takes at one target at present, as it says itself, compared
/// with the usual.

#ifndef DISPATCH_PACE_H
#define DISPATCH_PACE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/// Figures that count, as factors of the usual duration. Others are replaced
/// by the nearer bound, so that a single one can't outweigh the rest.
#define CM_PACE_FACTOR_MIN 0.25
#define CM_PACE_FACTOR_MAX 8.0
/// Time constant of the moving average: the figure changes many times a
/// second, while a request takes several hundred milliseconds.
#define CM_PACE_SMOOTHING_MS 300.0
/// Age of the last figure at which the average no longer counts. A target that
/// gets no requests because it was slow is tried again by then.
#define CM_PACE_MAX_AGE_MS 2000.0

/// Factor up to which a time-out is stretched for a slow target: beyond it the
/// target may as well have stopped.
#define CM_PACE_STRETCH_MAX 3.0
/// Factor from which a target counts as slow in the metrics.
#define CM_PACE_SLOW_FACTOR 1.5

/// Moving average over one target's figures; zeroed memory is an empty one.
struct cm_pace {
    double weight;         ///< of all figures, as of `heard`; 0 for none
    double weighted_sum;   ///< of factors
    struct timespec heard; ///< when the last figure came
};

/// Adds a figure, in percent of the usual duration.
void
CmPace_Add(struct cm_pace *pace, double percent, struct timespec now);

/// @return expected duration of work as a factor of the usual one. It is 1
/// without figures, and approaches 1 as the last one ages.
double
CmPace_Factor(const struct cm_pace *pace, struct timespec now);

/// @return whether there is a figure that still counts.
bool
CmPace_IsKnown(const struct cm_pace *pace, struct timespec now);

/// @return the time-out in proportion to the target's pace, up to `max_ms`,
/// and never less than `timeout_ms`.
int64_t
CmPace_StretchMs(const struct cm_pace *pace, int64_t timeout_ms,
                 int64_t max_ms, struct timespec now);

#endif
