/// @file request_defs.h
/// State of one request, shared by placement, lease, target call and response
/// code.

#ifndef GATEWAY_REQUEST_DEFS_H
#define GATEWAY_REQUEST_DEFS_H

#include "base/backoff.h"
#include "call_codec.h"
#include "caller_conns.h"
#include "dispatch/wait_limit.h"
#include "dispatch/event_stream.h"
#include "dispatch/retry.h"
#include "dispatch/pick.h"
#include "h1/pool.h"
#include "ratelimit/retry_permits.h"
#include "residency/lease_message.h"
#include "streams/record.h"

/// What the placement of a request waits for.
enum placement_phase {
    PLACEMENT_NONE,      ///< the request is not being placed
    PLACEMENT_RESOLVING, ///< the software version of a resumed stream
    PLACEMENT_QUOTA,     ///< a claim for the quota of its account
    PLACEMENT_WAITING,   ///< a target that can take it
    PLACEMENT_LEASING,   ///< an agent's reply to a lease request
    PLACEMENT_CLAIMING,  ///< a trial of its content, or the end of another one
    PLACEMENT_CLAIMING_PERMIT, ///< a permit of a target that names a limit
    PLACEMENT_CLAIMING_RETRY,  ///< a permit of the retry reserve
    PLACEMENT_CONNECTING,      ///< a connection to the successor
};

/// An adapter lease for the next attempt, requested from or granted by one
/// target's agent.
struct lease {
    struct cm_h1_call call;
    GString *body;
    int status;
    struct cm_live_target *target; ///< NULL without a lease
    int64_t version;               ///< of the adapter, 0 for any
    bool granted;
    bool busy; ///< denied: the engine's queue wait exceeds the limit
    bool late; ///< the agent has not granted it within the wait limit
};

/// One attempt: a request sent to a target, and its response.
struct attempt {
    struct cm_h1_call call;
    struct cm_live_target *target; ///< NULL without an attempt
    struct cm_target_response response;
    GString *head;              ///< response head for the caller
    GString *body;              ///< of an unstreamed response
    struct cm_memory_hold hold; ///< of body and incomplete event
    struct timespec sent_at;
    int64_t sent_wall_ms;           ///< the same in Unix time
    struct timespec first_event_at; ///< of this attempt; 0 for none
    bool leased;   ///< it holds an adapter lease at its target
    bool is_trial; ///< it is the trial of the content or part in `trial`
    bool has_head;
    bool invalid;       ///< malformed stream, or body too large
    bool parts_cleared; ///< it shows that its prompt's parts are sound
};

/// Names of the parts of a request's prompt that other requests share.
struct prompt_parts {
    size_t n;
    char names[CM_PROMPT_PARTS_MAX][CM_CONTENT_SIZE];
};

/// Wait of a request whose content, or a part of its prompt, may only be run
/// alone.
struct trial {
    char content[CM_CONTENT_SIZE]; ///< what is tried, also a part's name
    struct gossip_call *call;      ///< to the arbiter; NULL without one
    struct cm_live_target *target; ///< picked before the wait
    uint64_t claim_id;             ///< 0 until the first claim
    struct timespec give_up_at;
    bool granted;
    bool running; ///< the present attempt is the trial
};

/// Permit of a request for a target that names a rate limit.
struct permit {
    LIST_ENTRY(request) link;      ///< among those that wait for a claim
    bool waiting;                  ///< it is in such a list
    int waits;                     ///< claims that left it without a permit
    struct cm_live_target *target; ///< it holds a permit there; NULL for none
};

/// Permit of a request for a retry.
struct retry_permit {
    TAILQ_ENTRY(request) link; ///< among those that wait for a claim
    bool waiting;              ///< it is in that list
    unsigned round;            ///< of the list when the wait began
    struct cm_retry_permit permit;
};

/// Cost of a request to the quota of its client account.
struct quota_use {
    TAILQ_ENTRY(request) link; ///< among those that wait for a claim
    bool waiting;              ///< it is in that list
    bool claimed;              ///< the report under way claims for it
    double cost;
    double taken;     ///< from the quota; given back if it hasn't run
    int64_t retry_ms; ///< Retry-After if it is denied
};

/// Software version to which a stream is bound by its first event.
struct stream_binding {
    LIST_ENTRY(request) link; ///< among the bound streams
    bool bound;
    bool by_attempt; ///< by the present attempt, which has sent the event
    bool unknown;    ///< refused, as nobody knows the version
    bool gone;       ///< refused, as no target of the version is left
    struct cm_stream_record record;
    struct timespec kept_at;      ///< last renewal at the holders
    struct stream_lookup *lookup; ///< NULL without one
};

/// Search for a target that takes over from a stalled attempt, which goes on
/// meanwhile.
struct successor_search {
    bool active;
    size_t n_excluded;         ///< targets that were excluded before it
    struct cm_backoff backoff; ///< pause until the next one
    struct cm_h1_call connect;
    struct cm_live_target *target; ///< to which it connects; NULL for none
};

/// Attempts whose addresses a request remembers.
#define CM_SENT_TO_MAX 16

struct request {
    struct caller_conn *caller;
    struct gateway *gateway;
    struct cm_catalog *catalog;
    const struct cm_route *route;
    const struct cm_account *account; ///< in `catalog`; NULL for none
    int64_t priority;        ///< by account and route; 0 is the most urgent
    int64_t engine_priority; ///< the same as engines know it
    const char *service;
    struct cm_caller_request parsed;
    struct timespec arrived_at;
    struct timespec deadline; ///< the earlier of the caller's and the route's
    struct event *attempt_timer;   ///< deadline or stall of the attempt
    struct event *placement_timer; ///< of the present placement phase
    enum placement_phase placement;
    struct successor_search search;
    struct cm_retry_state retry;
    enum cm_attempt_end last_end; ///< how the last attempt ended
    struct lease lease;
    struct attempt attempt;
    struct trial trial;
    struct permit permit;
    struct retry_permit retry_permit;
    struct quota_use quota;
    struct cm_event_stream events;
    struct stream_binding binding;
    struct timespec first_event_at;
    struct timespec last_event_at;
    int64_t longest_gap_ms; ///< between two events
    /// When the present attempt was sent, or last brought data.
    struct timespec progress_at;
    double demand; ///< see struct cm_pick_request
    struct cm_live_target *excluded[CM_EXCLUDED_MAX];
    size_t n_excluded;
    int sends; ///< attempts sent to targets
    /// Hashes of the addresses to which the first of them were sent.
    uint64_t sent_to[CM_SENT_TO_MAX];
    struct cm_wait_limit wait_limit;
    /// Has waited for starting engines, or keeps its place.
    bool waited;
    /// Has waited for too long to be refused; until a response begins.
    bool keeps_place;
    bool busy_is_final;        ///< a busy reply rules this engine out
    int64_t min_queue_wait_ms; ///< shortest that agents reported; 0 for none
    int64_t at_limit_ms; ///< until a permit may be had; 0 for none missing
    /// Until the first target ends its pause; 0 unless all of them pause.
    int64_t pause_left_ms;
    bool caller_stalled; ///< too much output is unread by the caller
    bool quarantined;    ///< refused, as its content crashes targets
    char
        content[CM_CONTENT_SIZE]; ///< see Request_Content(); "" until computed
    struct prompt_parts *parts;   ///< see PromptParts_Of(); NULL until then
    /// The stream's head was sent without "Connection: close".
    bool keep_alive;
};

#endif
