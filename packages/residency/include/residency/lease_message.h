/// @file lease_message.h
/// Messages between gateways and agents, as JSON bodies of HTTP calls:
/// `POST /lease` requests an adapter lease and is answered once the adapter is
/// in a slot or the agent rejects the request; `POST /release` ends the lease.

#ifndef RESIDENCY_LEASE_MESSAGE_H
#define RESIDENCY_LEASE_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define CM_LEASE_PATH "/lease"
#define CM_RELEASE_PATH "/release"
/// Largest body of an answer.
#define CM_LEASE_REPLY_MAX_BYTES ((size_t)16 * 1024)

/// Request of a gateway for an adapter lease.
struct cm_lease_request {
    char *id;      ///< id of the inference request
    char *gateway; ///< name of the gateway process
    char *target;  ///< id of the engine's incarnation
    char *model;   ///< base model
    char *adapter; ///< key MODEL/NAME; NULL to load the base model only
    /// IP:PORT at which the gateway receives load reports; NULL for none.
    char *reports;
    int64_t version;           ///< lowest acceptable one, 0 for any
    int64_t priority;          ///< 0 is the most urgent
    int64_t tokens;            ///< length of the prompt
    int64_t adapter_slots;     ///< adapter slots of the engine
    int64_t max_queue_wait_ms; ///< queue wait above which to answer busy
    int64_t wait_ms;           ///< time until the gateway gives up
    int64_t on_time_ms;    ///< longest wait with which the answer is on time
    int64_t output_tokens; ///< most that it produces; 0 if unknown
    int64_t target_gap_ms; ///< longest gap of its stream on time; 0 if unknown
    /// Time by which the adapter's load must have begun; 0 for any. A gateway
    /// of an earlier release doesn't name it.
    int64_t slot_wait_max_ms;
};

enum cm_lease_outcome {
    CM_LEASE_OUTCOME_HELD, ///< granted: the adapter is in a slot
    /// Too many other adapters wait for a load. Written "pinned".
    CM_LEASE_OUTCOME_QUEUE_FULL,
    CM_LEASE_OUTCOME_LATE, ///< not granted or not loading in time
    CM_LEASE_OUTCOME_BUSY, ///< the queue wait exceeds the accepted one
    /// The engine does not respond, has no base model, or is another
    /// incarnation than the request names; or the adapter key is not
    /// MODEL/NAME.
    CM_LEASE_OUTCOME_DOWN,
};

/// Answer of an agent, with the state of its engine.
struct cm_lease_reply {
    enum cm_lease_outcome outcome;
    int64_t version;      ///< of the adapter in the slot
    int64_t lacks_model;  ///< 1 if the engine responds but has no base model
    int64_t slot_wait_ms; ///< until a load of another adapter can start
    /// Time for the prefill of queued prompts, or until the engine's memory
    /// has room for another one if that is longer.
    int64_t backlog_ms;
    int64_t gateways;   ///< gateways that recently requested leases
    int64_t running;    ///< requests that run at the engine
    int64_t waiting;    ///< leases that wait for their adapter
    int64_t started_ms; ///< Unix time of the engine's start; 0 if unknown
};

/// @return body of a lease call; free it with free().
char *
CmLeaseRequest_Encode(const struct cm_lease_request *request);

/// Decodes the body of a lease call.
/// @return whether it is valid; call CmLeaseRequest_Finish() in that case.
bool
CmLeaseRequest_Decode(struct cm_lease_request *request, const char *body,
                      size_t size);

/// Frees the members of a decoded request.
void
CmLeaseRequest_Finish(struct cm_lease_request *request);

/// @return body of an answer; free it with free().
char *
CmLeaseReply_Encode(const struct cm_lease_reply *reply);

/// Decodes the body of an answer.
/// @return whether it is valid.
bool
CmLeaseReply_Decode(struct cm_lease_reply *reply, const char *body,
                    size_t size);

/// @return name of the outcome in messages and logs.
const char *
CmLeaseOutcome_Name(enum cm_lease_outcome outcome);

#endif
