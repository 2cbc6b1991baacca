/// @file lease_message.h
/// Messages between gateways and agents, as JSON bodies of HTTP calls:
/// `POST /lease` asks for an adapter and is answered once it is in its slot
/// or can't be; `POST /release` ends the lease.

#ifndef RESIDENCY_LEASE_MESSAGE_H
#define RESIDENCY_LEASE_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define CM_LEASE_PATH "/lease"
#define CM_RELEASE_PATH "/release"

/// A gateway asks for an adapter.
struct cm_lease_request {
    char *id;         ///< of the request
    char *gateway;    ///< name of the asking process
    char *target;     ///< incarnation of the engine that is meant
    char *model;      ///< base model
    char *adapter;    ///< key MODEL/NAME; NULL to have only the model loaded
    int64_t version;  ///< at least; 0 for any
    int64_t priority; ///< 0 is the most urgent
    int64_t tokens;   ///< of the prompt
    int64_t slots;    ///< adapters the engine may hold
    int64_t max_queue_wait_ms; ///< wait beyond which it says busy
    int64_t wait_ms;           ///< for how long the gateway waits
    int64_t on_time_ms; ///< an answer is on time if granted within this time
};

enum cm_lease_outcome {
    CM_LEASE_OUTCOME_HELD,   ///< the adapter is in its slot
    CM_LEASE_OUTCOME_PINNED, ///< all slots are in use
    CM_LEASE_OUTCOME_LATE,   ///< not within the wait
    CM_LEASE_OUTCOME_BUSY,   ///< more is ahead than allowed
    CM_LEASE_OUTCOME_DOWN,   ///< the engine does not answer, or has no model
};

/// An agent answers.
struct cm_lease_reply {
    enum cm_lease_outcome outcome;
    int64_t version;      ///< of the adapter held
    int64_t lacks_model;  ///< 1 if the engine answers, but has no base model
    int64_t slot_wait_ms; ///< until another adapter's load could start
    int64_t backlog_ms;   ///< time that prompts ahead take to be read
    int64_t gateways;     ///< that have asked lately
    int64_t running;      ///< requests at the engine
    int64_t waiting;
};

/// @return the body of a lease call, to be freed with free().
char *
CmLeaseRequest_Encode(const struct cm_lease_request *ask);

/// Decodes a body; CmLeaseRequest_Finish() is due if it returns true.
bool
CmLeaseRequest_Decode(struct cm_lease_request *ask, const char *body,
                      size_t size);

/// Frees what was decoded.
void
CmLeaseRequest_Finish(struct cm_lease_request *ask);

/// @return the body of an answer, to be freed with free().
char *
CmLeaseReply_Encode(const struct cm_lease_reply *reply);

/// @return whether `body` is an answer; it is decoded then.
bool
CmLeaseReply_Decode(struct cm_lease_reply *reply, const char *body,
                    size_t size);

/// @return the outcome as a word, for the log.
const char *
CmLeaseOutcome_Name(enum cm_lease_outcome outcome);

#endif
