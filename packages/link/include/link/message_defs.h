/// @file message_defs.h
/// Typed messages between entries and agents. Each travels as one ZeroMQ
/// frame holding a msgpack array: [protocol version, type, fields...].

#ifndef LINK_MESSAGE_DEFS_H
#define LINK_MESSAGE_DEFS_H

#include <stddef.h>
#include <stdint.h>

#define CM_PROTOCOL_VERSION 1
/// Longest frame that is accepted.
#define CM_FRAME_MAX_BYTES (9 * 1024 * 1024)

enum cm_message_type {
    CM_MSG_HELLO = 1, ///< entry to agent: here I am, this is in force
    CM_MSG_SUBMIT,    ///< entry to agent: run this request
    CM_MSG_CANCEL,    ///< entry to agent: nobody waits for it any more
    CM_MSG_CREDIT,    ///< entry to agent: bytes received and allowed
    CM_MSG_SEAL,      ///< entry to agent: never start this request
    CM_MSG_ATTACH,    ///< entry to agent: send the answer from an offset
    CM_MSG_GRANT,     ///< entry to agent: permit for one load
    CM_MSG_REPORT,    ///< agent to entry: state, load and slots
    CM_MSG_ACCEPTED,  ///< agent to entry: queued, not yet started
    CM_MSG_STARTED,   ///< agent to entry: handed to the target
    CM_MSG_HEAD,      ///< agent to entry: status and header of the answer
    CM_MSG_CHUNK,     ///< agent to entry: bytes of the answer
    CM_MSG_END,       ///< agent to entry: how the request ended
    CM_MSG_SEALED,    ///< agent to entry: answer to SEAL
    CM_MSG_CRASH,     ///< agent to entry: the target fell while running these
    CM_MSG_PERMIT,    ///< agent to entry: asks for, or returns, a permit
    CM_MSG_PREFETCH,  ///< entry to agent: hold this adapter if a slot is free
};

/// How a request ended, as told to callers in X-Outcome.
enum cm_outcome {
    CM_OUTCOME_UNKNOWN, ///< may have run
    CM_OUTCOME_RAN,     ///< ran; the answer is the target's
    CM_OUTCOME_NOT_RUN, ///< truly did not run
};

/// Why an agent did not run a request, or why a run broke off.
enum cm_reason {
    CM_REASON_NONE,
    CM_REASON_DRAINING,          ///< the target takes no new work
    CM_REASON_DEADLINE,          ///< cannot be, or was not, started in time
    CM_REASON_QUEUE_FULL,        ///< the target's queue is full
    CM_REASON_SEALED,            ///< the request id was sealed
    CM_REASON_LOAD_FAILED,       ///< the adapter could not be loaded
    CM_REASON_TARGET_LOST,       ///< the target fell during the run
    CM_REASON_ADAPTER_MISMATCH,  ///< the answer was not the named adapter's
    CM_REASON_CANCELLED,         ///< the caller went away
    CM_REASON_UNREACHABLE,       ///< the target refused the connection
    CM_REASON_STALE_INCARNATION, ///< another incarnation was meant
};

/// Bytes inside a received frame; valid as long as the frame.
struct cm_bytes {
    const char *data;
    size_t size;
};

struct cm_msg_hello {
    struct cm_bytes entry;        ///< name of the entry
    uint64_t revision;            ///< configuration in force at the entry
    uint64_t sent_ms;             ///< monotonic time at the entry
    uint64_t known_slots_version; ///< version of the slots known to the entry
    uint64_t instance_draining;   ///< the instance list says that you leave
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
    struct cm_bytes fingerprint; ///< of the content
    struct cm_bytes key;         ///< idempotency key, may be empty
    uint64_t incarnation;        ///< of the agent that is meant
    uint64_t sent_ms;            ///< monotonic time at the entry
    uint64_t deadline_ms;        ///< from `sent_ms`
    uint64_t priority;           ///< 0 is most urgent
    uint64_t window;             ///< bytes of answer allowed at first
    uint64_t retain;             ///< keep the whole answer for ATTACH
    uint64_t retryable;          ///< whether a second run is allowed
};

struct cm_msg_cancel {
    struct cm_bytes id;
};

struct cm_msg_credit {
    struct cm_bytes stream;
    uint64_t received; ///< offset up to which the entry has the answer
    uint64_t window;   ///< bytes allowed beyond `received`
};

struct cm_msg_seal {
    struct cm_bytes id;
};

/// A stream is one reader of a request's answer; the first one bears the
/// request's own id.
struct cm_msg_attach {
    struct cm_bytes id;
    struct cm_bytes stream;
    uint64_t offset;
    uint64_t window;
};

struct cm_msg_grant {
    uint64_t number;    ///< number the agent gave in its PERMIT
    uint64_t expiry_ms; ///< 0 refuses for now
};

/// One adapter in a slot.
struct cm_msg_slot {
    struct cm_bytes adapter;
    uint64_t ready; ///< 0 while it loads
    uint64_t pins;
};

struct cm_msg_report {
    struct cm_bytes target;
    struct cm_bytes service;
    uint64_t incarnation;
    uint64_t revision;
    uint64_t draining;
    uint64_t healthy;
    uint64_t running;
    uint64_t waiting;
    uint64_t capacity; ///< requests that run at once
    uint64_t slot_count;
    uint64_t load_ms;       ///< observed time that a load is waited for
    uint64_t eviction_cost; ///< worth of what a load would evict, thousandths
    uint64_t run_ms;        ///< observed time of one run
    uint64_t slots_version;
    uint64_t slots_included; ///< 0 where the entry knows this version
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
    uint64_t stall_ms; ///< time the request waited for its adapter
    uint64_t queue_ms; ///< time it waited for room in the batch after that
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
    uint64_t size;    ///< bytes of the whole answer
};

/// What an agent knows of a request id.
enum cm_seal_state {
    CM_SEAL_NEVER_STARTED, ///< and never will
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
    uint64_t crash_number; ///< number of the crash at this agent
    struct cm_msg_suspect *suspects;
    uint64_t n_suspects;
};

struct cm_msg_permit {
    uint64_t number;
    uint64_t release;     ///< 1 returns the permit
    uint64_t deadline_ms; ///< of the most urgent waiter, from now
    uint64_t waiters;
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
