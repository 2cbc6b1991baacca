/// @file message_defs.h
/// Typed messages between entries (HTTP front ends) and agents. Each is one
/// ZeroMQ frame with a msgpack array: [protocol version, type, fields...].

#ifndef LINK_MESSAGE_DEFS_H
#define LINK_MESSAGE_DEFS_H

#include <stddef.h>
#include <stdint.h>

#define CM_PROTOCOL_VERSION 1
/// Largest frame that is accepted.
#define CM_FRAME_MAX_BYTES (9 * 1024 * 1024)

enum cm_message_type {
    CM_MSG_HELLO = 1, ///< entry to agent: heartbeat
    CM_MSG_SUBMIT,    ///< entry to agent: run this request
    CM_MSG_CANCEL,    ///< entry to agent: the caller is gone
    CM_MSG_CREDIT,    ///< entry to agent: flow control of a stream
    CM_MSG_SEAL,      ///< entry to agent: never start this request
    CM_MSG_ATTACH,    ///< entry to agent: add a reader from an offset
    CM_MSG_GRANT,     ///< entry to agent: permits one load
    CM_MSG_REPORT,    ///< agent to entry: state, load and slots
    CM_MSG_ACCEPTED,  ///< agent to entry: queued, not yet started
    CM_MSG_STARTED,   ///< agent to entry: handed to the target
    CM_MSG_HEAD,      ///< agent to entry: status and headers of a response
    CM_MSG_CHUNK,     ///< agent to entry: part of a response body
    CM_MSG_END,       ///< agent to entry: outcome of the request
    CM_MSG_SEALED,    ///< agent to entry: reply to SEAL
    CM_MSG_CRASH,    ///< agent to entry: crash of the target, and its suspects
    CM_MSG_PERMIT,   ///< agent to entry: requests or releases a permit
    CM_MSG_PREFETCH, ///< entry to agent: load this adapter if a slot is free
};

/// How a request ended; callers get it in X-Outcome.
enum cm_outcome {
    CM_OUTCOME_UNKNOWN, ///< may have run
    CM_OUTCOME_RAN,     ///< ran to its end; the response is the target's
    CM_OUTCOME_NOT_RUN, ///< certainly did not run
};

/// Why an agent did not run a request, or why a run ended early.
enum cm_reason {
    CM_REASON_NONE,
    CM_REASON_DRAINING,         ///< the target takes no new requests
    CM_REASON_DEADLINE,         ///< cannot start, or did not start, in time
    CM_REASON_QUEUE_FULL,       ///< the target's queue is full
    CM_REASON_SEALED,           ///< the request id was sealed
    CM_REASON_LOAD_FAILED,      ///< the adapter could not be loaded
    CM_REASON_TARGET_LOST,      ///< the target was lost during the run
    CM_REASON_ADAPTER_MISMATCH, ///< the response came from another adapter
    CM_REASON_CANCELLED,        ///< the caller went away
    CM_REASON_UNREACHABLE,      ///< the target refused the connection
    /// Sent for another incarnation of the agent, or for a request whose
    /// response the agent no longer has.
    CM_REASON_STALE_INCARNATION,
};

/// View of bytes, in a received frame or in the sender's memory; does not own
/// them.
struct cm_bytes {
    const char *data;
    size_t size;
};

struct cm_msg_hello {
    struct cm_bytes entry; ///< name of the entry
    uint64_t revision;     ///< of the configuration in force at the entry
    uint64_t sent_ms;      ///< monotonic time at the entry
    uint64_t known_slots_version; ///< version of the slots known to the entry
    uint64_t instance_draining;   ///< according to the entry's instance list
    uint64_t interval_ms;         ///< time to the next heartbeat
};

struct cm_msg_submit {
    struct cm_bytes id;
    struct cm_bytes service;
    struct cm_bytes adapter; ///< "name@version", empty for plain services
    struct cm_bytes method;
    struct cm_bytes path;
    struct cm_bytes headers; ///< "Name: value\r\n" lines
    struct cm_bytes body;
    struct cm_bytes fingerprint; ///< of the request's content
    struct cm_bytes key;         ///< idempotency key, may be empty
    uint64_t incarnation;        ///< of the agent that the request is for
    uint64_t sent_ms;            ///< monotonic time at the entry
    uint64_t deadline_ms;        ///< from `sent_ms`
    uint64_t priority;           ///< 0 is most urgent
    uint64_t window;    ///< body bytes allowed before the first CREDIT
    uint64_t retain;    ///< keep the whole response for a later ATTACH
    uint64_t retryable; ///< may be run a second time
};

struct cm_msg_cancel {
    struct cm_bytes id;
};

struct cm_msg_credit {
    struct cm_bytes stream;
    uint64_t received; ///< offset up to which the entry has the response
    uint64_t window;   ///< bytes allowed beyond `received`
};

struct cm_msg_seal {
    struct cm_bytes id;
};

/// A stream sends a request's response to one reader. The stream of the reader
/// that submitted the request has the request's id.
struct cm_msg_attach {
    struct cm_bytes id;
    struct cm_bytes stream;
    uint64_t offset;
    uint64_t window;
};

struct cm_msg_grant {
    uint64_t number;    ///< `number` of the agent's PERMIT
    uint64_t expiry_ms; ///< 0: queued, not granted yet
};

/// One occupied adapter slot.
struct cm_msg_slot {
    struct cm_bytes adapter;
    uint64_t ready; ///< 0 while the adapter loads
    uint64_t pins;
};

struct cm_msg_report {
    struct cm_bytes target;
    struct cm_bytes service;
    uint64_t incarnation;
    uint64_t revision; ///< of the configuration in force at the agent
    uint64_t draining; ///< the agent is shutting down
    uint64_t healthy;
    uint64_t running;
    uint64_t waiting;
    uint64_t capacity; ///< requests that run at once
    uint64_t slot_count;
    uint64_t load_ms;       ///< moving average of the wait for a load
    uint64_t eviction_cost; ///< retention value of the adapter that the
                            ///< next load evicts, in thousandths
    uint64_t run_ms;        ///< moving average of the run time
    uint64_t slots_version;
    uint64_t slots_included; ///< 0 if the entry has this version already
    struct cm_msg_slot *slots;
    uint64_t n_slots;
};

struct cm_msg_accepted {
    struct cm_bytes id;
};

struct cm_msg_started {
    struct cm_bytes id;
};

struct cm_msg_head {
    struct cm_bytes stream;
    uint64_t status;
    uint64_t stall_ms; ///< wait for the adapter load
    uint64_t queue_ms; ///< wait for a place in the batch after that
    struct cm_bytes headers;
};

struct cm_msg_chunk {
    struct cm_bytes stream;
    uint64_t offset;
    struct cm_bytes data;
};

struct cm_msg_end {
    struct cm_bytes stream;
    uint64_t outcome; ///< enum cm_outcome
    uint64_t reason;  ///< enum cm_reason
    uint64_t size;    ///< of the whole response body
};

/// State of a sealed request id at the agent.
enum cm_seal_state {
    CM_SEAL_NEVER_STARTED, ///< and never starts
    CM_SEAL_RUNNING,
    CM_SEAL_FINISHED,
};

struct cm_msg_sealed {
    struct cm_bytes id;
    uint64_t state; ///< enum cm_seal_state
    uint64_t incarnation;
};

struct cm_msg_suspect {
    struct cm_bytes fingerprint;
};

struct cm_msg_crash {
    struct cm_bytes target;
    uint64_t incarnation;
    uint64_t crash_number; ///< counts the crashes since the agent started
    struct cm_msg_suspect *suspects;
    uint64_t n_suspects;
};

struct cm_msg_permit {
    uint64_t number;
    uint64_t release;     ///< 1 releases the permit
    uint64_t deadline_ms; ///< of the most urgent waiting request, from now
    uint64_t waiters;     ///< 0 for a prefetch, which no request waits for
};

struct cm_msg_prefetch {
    struct cm_bytes adapter;
};

/// One message of any type.
struct cm_message {
    enum cm_message_type type;
    union {
        struct cm_msg_hello hello;
        struct cm_msg_submit submit;
        struct cm_msg_cancel cancel;
        struct cm_msg_credit credit;
        struct cm_msg_seal seal;
        struct cm_msg_attach attach;
        struct cm_msg_grant grant;
        struct cm_msg_report report;
        struct cm_msg_accepted accepted;
        struct cm_msg_started started;
        struct cm_msg_head head;
        struct cm_msg_chunk chunk;
        struct cm_msg_end end;
        struct cm_msg_sealed sealed;
        struct cm_msg_crash crash;
        struct cm_msg_permit permit;
        struct cm_msg_prefetch prefetch;
    };
};

#endif
