/// @file engine_room.h
/// Memory (KV cache) of one engine as its reports show it, and whether a new
/// stream fits. Does no I/O.

#ifndef RESIDENCY_ENGINE_ROOM_H
#define RESIDENCY_ENGINE_ROOM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/// Part of the memory that is kept free: the first prompt for an adapter finds
/// no shared part and adds more than the learned share.
#define CM_ENGINE_ROOM_MARGIN 0.02
/// Duration of the longest stream. Within it, the memory in use is released
/// even if no release has been measured yet. It is also the longest wait.
#define CM_ENGINE_ROOM_TURNOVER_MS 20000
/// Half-life of the measured rate of released memory; spans several streams.
#define CM_ENGINE_ROOM_HALF_LIFE_MS 2000

/// Memory of one engine. The learned values start with a prompt that shares
/// nothing and an unknown output.
struct cm_engine_room {
    double total; ///< 0 if the report names no memory
    double used;
    struct timespec reported_at;
    double prompt_share; ///< memory that a prompt adds per token, learned
    double mean_output;  ///< tokens of the streams that ended, 0 if none did
    double released;     ///< with exponential decay
    double released_ms;  ///< time in which it was, with the same decay
};

/// A stream that runs at the engine or has been admitted.
struct cm_room_stream {
    double prompt;     ///< length, 0 if unknown
    double max_output; ///< 0 if unknown
    double tokens;     ///< in memory by the report, 0 if it doesn't show it
    double events;     ///< produced by the report
    double remaining;  ///< tokens yet to produce; set by Shortfall
};

void
CmEngineRoom_Init(struct cm_engine_room *room);

/// Takes the memory in a report.
/// @param total 0 if the report names none.
void
CmEngineRoom_Report(struct cm_engine_room *room, double total, double used,
                    struct timespec now);

/// Learns from the running streams of the last report what a prompt adds.
void
CmEngineRoom_LearnShare(struct cm_engine_room *room,
                        const struct cm_room_stream *streams, size_t n);

/// Learns from a stream that the last report shows no longer.
void
CmEngineRoom_StreamEnded(struct cm_engine_room *room,
                         const struct cm_room_stream *stream);

/// @param streams running and admitted ones, and the new one; reordered.
/// @return memory missing for all of them, 0 if they fit.
double
CmEngineRoom_Shortfall(const struct cm_engine_room *room,
                       struct cm_room_stream *streams, size_t n);

/// @return expected time until `shortfall` is released, in ms.
int64_t
CmEngineRoom_WaitMs(const struct cm_engine_room *room, double shortfall);

#endif
