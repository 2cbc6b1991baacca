/// @file prefill_pace.c
/// Pace of prompts.
///
/// Load pattern: several prompts reach an engine within a few hundred ms, as
/// when the load of an adapter ends for which they waited. The engine prefills
/// them at once, and the streams that it decodes get no events meanwhile: of
/// the late streams of a day without disruption, three of four were late by
/// such a gap. Held back at the agent, the prompts run one after the other and
/// in the order of their priorities.

#include "residency/prefill_pace.h"

#include <glib.h>

double
CmPrefillPace_AheadMs(int64_t target_gap_ms)
{
    // One prompt alone already exceeds a gap below its own reading time, and
    // pacing would only leave the engine idle.
    if (target_gap_ms < CM_PREFILL_OWN_MS) {
        return CM_PREFILL_AHEAD_MAX_MS;
    }
    return (double)CLAMP(target_gap_ms - CM_PREFILL_OWN_MS,
                         (int64_t)CM_PREFILL_AHEAD_MIN_MS,
                         (int64_t)CM_PREFILL_AHEAD_MAX_MS);
}
