/// @file prefill_pace.h
/// How much prefill an engine may have ahead when a further prompt is sent to
/// it. Pure.

#ifndef RESIDENCY_PREFILL_PACE_H
#define RESIDENCY_PREFILL_PACE_H

#include <stdint.h>

/// Part of a stream's gap that its own decoding, one prompt of usual length
/// and the way to its caller take.
#define CM_PREFILL_OWN_MS 330
/// Least and most prefill ahead. With less than the least, the engine would be
/// idle while the next prompt is on its way.
#define CM_PREFILL_AHEAD_MIN_MS 50
#define CM_PREFILL_AHEAD_MAX_MS 400

/// @param target_gap_ms longest gap between events of the engine's streams
/// that is on time; 0 if it is unknown.
/// @return prefill in ms, at the usual rate.
double
CmPrefillPace_AheadMs(int64_t target_gap_ms);

#endif
