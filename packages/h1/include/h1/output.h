/// @file output.h
/// Watches the output of the process's accepted connections: counts what it
/// holds for peers that read slowly in the memory budget, and finds lost
/// peers.
///
/// TCP_USER_TIMEOUT would find lost ones, too, but it also counts the time in
/// which a live peer keeps its receive window closed.

#ifndef H1_OUTPUT_H
#define H1_OUTPUT_H

#include <event2/bufferevent.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/list.h"
#include "memory/budget.h"

/// Interval of checks of the connections with output.
#define CM_H1_OUTPUT_CHECK_MS 200

/// Output of one connection.
struct cm_h1_output {
    TAILQ_ENTRY(cm_h1_output) link; ///< in the list of those to check
    struct bufferevent *bev;
    struct cm_memory_hold hold;
    size_t length;   ///< bytes in the buffer
    uint64_t passed; ///< bytes passed to the kernel
    uint64_t taken;  ///< bytes acknowledged by the peer at the last check
    bool is_checked; ///< the peer has not acknowledged everything
    struct timespec progress_at;  ///< zero before the first check
    struct timespec silent_since; ///< zero unless something is unanswered
    /// Ends the connection.
    void (*drop)(struct cm_h1_output *output, bool is_lost);
};

/// Starts to check the output of connections that are accepted from now on.
/// @param budget bounds what is held for all of them.
void
CmH1Output_Start(struct event_base *base, struct cm_clock *clock,
                 struct cm_memory_budget *budget);

/// Ends the checks.
void
CmH1Output_Stop(void);

/// @return whether they are active.
bool
CmH1Output_IsStarted(void);

/// Checks all connections with output, as the timer does: those with lost
/// peers are ended, and others while all output is over the limit.
void
CmH1Output_Check(void);

/// Begins to watch the output of a connection.
void
CmH1Output_Init(struct cm_h1_output *output, struct bufferevent *bev,
                void (*drop)(struct cm_h1_output *output, bool is_lost));

/// Ends that; `bev` still exists.
void
CmH1Output_Finish(struct cm_h1_output *output);

/// @return bytes that the peer has not acknowledged.
size_t
CmH1Output_Unread(const struct cm_h1_output *output);

#endif
