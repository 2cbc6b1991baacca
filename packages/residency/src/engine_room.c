/// @file engine_room.c
/// Decides whether a stream fits into an engine's memory.
///
/// Load pattern: prompts of thousands of tokens fill the memory long before
/// the engine's request slots, and parts of the prompts are shared and kept
/// once. Streams grow by one token per step and release their memory at their
/// end. Reserving each prompt and each output in full would leave memory
/// unused, as streams end at different times; counting only what is in use
/// lets the admitted streams outgrow it. A stream is therefore admitted if the
/// highest use until all streams have ended, at equal speed, stays within the
/// total.

#include "residency/engine_room.h"

#include <math.h>
#include <stdlib.h>

#include "base/clock.h"

/// Weight of one report in the learned share of prompts, and of one stream in
/// the mean output.
#define SHARE_WEIGHT 0.2
#define OUTPUT_WEIGHT 0.1
/// Bounds the effect of reports whose figures contradict each other.
#define SHARE_MIN 0.1
/// Part of the memory that prompts must take for the share to be learned: the
/// sum of fewer prompts says little.
#define LEARN_MIN 0.02

void
CmEngineRoom_Init(struct cm_engine_room *room)
{
    *room = (struct cm_engine_room){.prompt_share = 1.0};
}

void
CmEngineRoom_Report(struct cm_engine_room *room, double total, double used,
                    struct timespec now)
{
    if (room->reported_at.tv_sec != 0) {
        double ms = (double)CmTime_DiffMs(now, room->reported_at);
        double decay = exp2(-ms / CM_ENGINE_ROOM_HALF_LIFE_MS);
        room->released *= decay;
        room->released_ms = room->released_ms * decay + ms;
    }
    room->reported_at = now;
    bool valid = total > 0 && used >= 0;
    room->total = valid ? total : 0;
    room->used = valid ? used : 0;
}

static double
output_in_memory(const struct cm_room_stream *stream)
{
    return fmin(stream->events, stream->tokens);
}

static double
prompt_in_memory(const struct cm_room_stream *stream)
{
    return stream->tokens - output_in_memory(stream);
}

/// @return memory that the end of a stream releases.
static double
memory_of(const struct cm_engine_room *room,
          const struct cm_room_stream *stream)
{
    return output_in_memory(stream) +
           room->prompt_share * prompt_in_memory(stream);
}

void
CmEngineRoom_LearnShare(struct cm_engine_room *room,
                        const struct cm_room_stream *streams, size_t n)
{
    double output = 0;
    double prompts = 0;
    for (size_t i = 0; i < n; i++) {
        output += output_in_memory(&streams[i]);
        prompts += prompt_in_memory(&streams[i]);
    }
    if (room->total > 0 && prompts > LEARN_MIN * room->total) {
        double share = (room->used - output) / prompts;
        share = fmin(fmax(share, SHARE_MIN), 1.0);
        room->prompt_share += SHARE_WEIGHT * (share - room->prompt_share);
    }
}

void
CmEngineRoom_StreamEnded(struct cm_engine_room *room,
                         const struct cm_room_stream *stream)
{
    room->released += memory_of(room, stream);
    if (room->mean_output == 0) {
        room->mean_output = stream->events;
    }
    room->mean_output += OUTPUT_WEIGHT * (stream->events - room->mean_output);
}

/// @return tokens that a stream has yet to produce.
static double
remaining_output(const struct cm_engine_room *room,
                 const struct cm_room_stream *stream)
{
    double output =
        stream->max_output > 0 ? stream->max_output : room->mean_output;
    return fmax(output - stream->events, 0);
}

/// @return memory that the rest of a stream's prompt will take.
static double
remaining_prompt(const struct cm_engine_room *room,
                 const struct cm_room_stream *stream)
{
    return stream->events > 0
               ? 0
               : room->prompt_share * fmax(stream->prompt - stream->tokens, 0);
}

static int
compare_remaining(const void *a, const void *b)
{
    double left = ((const struct cm_room_stream *)a)->remaining;
    double right = ((const struct cm_room_stream *)b)->remaining;
    return (left > right) - (left < right);
}

double
CmEngineRoom_Shortfall(const struct cm_engine_room *room,
                       struct cm_room_stream *streams, size_t n)
{
    // A single stream is left to the engine, as waiting doesn't make it fit.
    if (room->total <= 0 || n <= 1) {
        return 0;
    }
    double limit = room->total * (1 - CM_ENGINE_ROOM_MARGIN);
    double memory = room->used;
    double output = 0;
    for (size_t i = 0; i < n; i++) {
        streams[i].remaining = remaining_output(room, &streams[i]);
        memory += remaining_prompt(room, &streams[i]);
        output += streams[i].remaining;
    }
    if (memory + output <= limit) {
        return 0;
    }
    // The highest use occurs just before some stream ends.
    qsort(streams, n, sizeof(*streams), compare_remaining);
    double highest = memory;
    for (size_t i = 0; i < n; i++) {
        highest =
            fmax(highest, memory + streams[i].remaining * (double)(n - i));
        // The output yet to come is no part of `memory`.
        memory -=
            memory_of(room, &streams[i]) + remaining_prompt(room, &streams[i]);
    }
    return fmax(highest - limit, 0);
}

int64_t
CmEngineRoom_WaitMs(const struct cm_engine_room *room, double shortfall)
{
    if (shortfall <= 0) {
        return 0;
    }
    double rate = room->used / CM_ENGINE_ROOM_TURNOVER_MS;
    if (room->released_ms > 0) {
        rate = fmax(rate, room->released / room->released_ms);
    }
    double ms = rate > 0 ? ceil(shortfall / rate) : CM_ENGINE_ROOM_TURNOVER_MS;
    return (int64_t)fmin(ms, CM_ENGINE_ROOM_TURNOVER_MS);
}
