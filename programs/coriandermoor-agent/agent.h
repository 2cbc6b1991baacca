/// @file agent.h
/// State of the agent, the process beside one target. Its parts (jobs, runs,
/// orders, peers) each keep to their own struct below.

#ifndef AGENT_H
#define AGENT_H

#include <event2/event.h>

#include "base/counter.h"
#include "config/settings.h"
#include "engine/engine.h"
#include "http/client.h"
#include "http/server.h"
#include "link/socket.h"
#include "placement/permits.h"
#include "placement/scheduler.h"

struct agent;
struct job;

/// Time after which the answer of a finished request is dropped.
#define CM_JOB_KEPT_MS 10000
/// Time for which sealed ids, and requests kept for a resend, are known after
/// their end, so that they never start again; longer than any deadline.
#define CM_JOB_RETAINED_MS 660000
/// Time beyond its deadline for which the id of any other request is known:
/// its entry does not send it again after that.
#define CM_JOB_AFTER_DEADLINE_MS 5000
/// Bytes of one answer kept for later readers.
#define CM_ANSWER_RETAINED_MAX (1024 * 1024)
/// Bytes of one answer that wait for the slowest reader before the agent
/// stops reading from its target.
#define CM_ANSWER_UNREAD_MAX (512 * 1024)
/// Longest piece sent in one message.
#define CM_CHUNK_MAX (64 * 1024)
/// Silence of an engine's stream after which it is resumed on a new
/// connection.
#define CM_ENGINE_SILENCE_MS 2000
/// Heartbeats that an entry misses before it no longer counts as there.
#define CM_PEER_MISSED_MAX 4

/// One entry that sends heartbeats.
struct peer {
    LIST_ENTRY(peer) link;
    struct cm_link_peer address;
    char *name;
    struct timespec heard;
    int64_t least_offset_ms; ///< smallest seen of own time minus its time
    uint64_t revision;
    uint64_t slots_seen;
    int64_t interval_ms; ///< of its heartbeats
    bool says_leaving;   ///< the instance list, as the entry reads it
};

/// One entry's claim to an answer.
struct reader {
    LIST_ENTRY(reader) link;
    struct job *job;
    struct cm_link_peer peer;
    char *stream;
    size_t sent;
    size_t received;
    size_t window;
    bool head_sent;
    bool end_sent;
};

enum job_state {
    JOB_WAITING,
    JOB_RUNNING,
    JOB_FINISHED,
    JOB_SEALED, ///< nothing but the id: it never starts
};

/// One request.
struct job {
    /// The scheduler's part; must come first. Its deadline is the latest
    /// time to start, so that the run can end in time.
    struct cm_job base;
    struct timespec deadline;
    TAILQ_ENTRY(job) link;
    struct agent *agent;
    enum job_state state;
    char *id;
    char *adapter;
    char *method;
    char *path;
    char *headers;
    char *fingerprint;
    GString *body;
    bool retain;
    bool repeatable;
    LIST_HEAD(, reader) readers;
    struct cm_http_call call;
    struct cm_order cancel;
    int status;
    char *head;      ///< header lines of the answer
    bool streaming;  ///< the answer is an event stream
    bool verified;   ///< the answer is the named adapter's
    bool not_loaded; ///< the engine said that the adapter is in no slot
    int returns;     ///< times it went back to the queue
    int resumes;     ///< resumes since the last byte
    GString *answer;
    size_t trimmed;    ///< offset of the first byte still kept
    size_t releasable; ///< offset up to which bytes may go to readers
    bool lost; ///< broke off; ends once it is known whether the target fell
    bool releasing; ///< ended, yet pinned until the engine let go of it
    bool dropped;   ///< only id and outcome are left
    bool paused;    ///< reading from the target is stopped
    enum cm_outcome outcome;
    enum cm_reason reason;
    int64_t stall_ms; ///< waited for its adapter
    int64_t queue_ms; ///< waited for room in the batch
    struct timespec started;
    struct timespec finished;
};

enum permit_state { PERMIT_IDLE, PERMIT_ASKED, PERMIT_GRANTED, PERMIT_USED };

/// One permit to load, from asking to returning it.
struct permit_slot {
    enum permit_state state;
    uint64_t number;
    struct cm_link_peer holder;
    bool own; ///< taken by the agent's own pace
    struct timespec asked;
    struct cm_slot *slot;
};

/// One order to load or evict.
struct slot_order {
    struct agent *agent;
    struct cm_slot *slot;
    struct cm_order order;
    struct timespec started;
    bool evicting;
};

struct agent_counters {
    struct cm_counter accepted;
    struct cm_counter refused;
    struct cm_counter ran;
    struct cm_counter unknown;
    struct cm_counter loads;
    struct cm_counter load_failures;
    struct cm_counter evictions;
    struct cm_counter stall_ms;
    struct cm_counter crashes;
    struct cm_counter resumes;
    struct cm_counter mismatches;
    struct cm_counter running;
    struct cm_counter waiting;
    struct cm_counter revision;
};

struct agent {
    struct cm_agent_settings settings;
    struct event_base *base;
    struct cm_clock *clock;
    void *zmq;
    struct cm_link_socket link;
    struct cm_link_traffic traffic;
    struct cm_http_client client;
    struct cm_engine engine;
    struct evhttp *admin;
    uint64_t incarnation;
    bool leaving;        ///< told to stop
    bool listed_leaving; ///< the instance list says so
    bool healthy;
    bool finishing;
    struct timespec leaving_since;
    uint64_t revision;

    struct cm_scheduler scheduler;
    GHashTable *jobs; ///< id to struct job
    TAILQ_HEAD(, job) all_jobs;
    GHashTable *streams; ///< stream to struct reader
    LIST_HEAD(, peer) peers;

    struct slot_order *slot_orders; ///< one a slot
    uint64_t orders_given;          ///< grows with each load or eviction
    struct cm_order list_order;
    uint64_t list_orders_given; ///< `orders_given` when the list was asked
    struct cm_order health_order;
    struct cm_order report_order;
    struct timespec foreign_since; ///< last time a slot was marked foreign
    size_t least_running;          ///< fewest own runs since the last report
    struct permit_slot permits[CM_CONCURRENT_LOADS_MAX];
    uint64_t next_permit;
    struct cm_load_pace pace;
    double load_ms; ///< moving average
    double run_ms;  ///< moving average
    uint64_t slots_version;

    GPtrArray *suspects; ///< fingerprints that ran when a run broke off
    uint64_t crashes;

    unsigned ticks;
    struct timespec last_tick;
    struct event *tick;
    struct event *turn; ///< runs the scheduler soon
    struct event *report_soon;
    struct event *term;
    struct event *interrupt;
    struct cm_counters counters;
    struct agent_counters count;
};

/// Has the scheduler run from the event loop.
void
Agent_Turn(struct agent *agent);

/// Has the new state reported to all entries within a few milliseconds.
void
Agent_ReportSoon(struct agent *agent);

/// @return the agent's present time.
struct timespec
Agent_Now(const struct agent *agent);

#endif
