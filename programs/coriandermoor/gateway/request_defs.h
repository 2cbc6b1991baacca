/// @file request_defs.h
/// State of a request; shared by the files that serve it.

#ifndef GATEWAY_REQUEST_DEFS_H
#define GATEWAY_REQUEST_DEFS_H

#include "call_codec.h"
#include "caller_conns.h"
#include "dispatch/wait_limit.h"
#include "dispatch/event_stream.h"
#include "dispatch/retry.h"
#include "dispatch/pick.h"
#include "h1/pool.h"
#include "residency/lease_message.h"

/// What the request waits for.
enum request_phase {
    REQUEST_PARKED,   ///< engines that are starting
    REQUEST_LEASING,  ///< an agent's answer
    REQUEST_SENT,     ///< a target's response
    REQUEST_STREAMING ///< the rest of a stream
};

/// A claim on an adapter at the agent of one target.
struct lease {
    struct cm_h1_call call;
    GString *body;
    int status;
    struct cm_live_target *target; ///< NULL while there is no claim
    bool held;
    bool busy; ///< the agent had more ahead than was allowed
};

/// One send to a target.
struct attempt {
    struct cm_h1_call call;
    struct cm_live_target *target; ///< NULL while there is none
    struct cm_target_response answer;
    GString *head; ///< for the caller
    GString *body; ///< of a response that is passed on whole
    struct timespec sent;
    bool has_head;
    bool broken; ///< an event is missing or malformed
};

struct request {
    struct caller *caller;
    struct gateway *gateway;
    struct cm_catalog *catalog;
    const struct cm_route *route;
    const char *service;
    struct cm_caller_request asked;
    struct timespec arrived;
    struct timespec deadline; ///< of the caller or the route, the earlier
    struct event *timer;
    enum request_phase phase;
    struct cm_retry_state life;
    enum cm_attempt_end last_end; ///< of the last attempt
    struct lease lease;
    struct attempt attempt;
    struct cm_event_stream events;
    struct timespec first_event;
    struct timespec last_event;
    struct cm_live_target *tried[CM_EXCLUDED_MAX];
    size_t n_tried;
    int sends;
    struct cm_wait_limit asking;
    bool parked;           ///< it has waited for engines to start
    bool last_ask;         ///< an agent that says busy now is given up
    int64_t ahead_told_ms; ///< least wait that an agent told; 0 for none
    bool unread; ///< the caller has left too much of its stream unread
    bool keep;   ///< the caller's connection stays open after the answer
};

#endif
