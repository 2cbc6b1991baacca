/// @file agent.h
/// State of the agent of one target: the requests that entries submit to it,
/// the adapter slots of its engine and the entries that it reports to.

#ifndef AGENT_H
#define AGENT_H

#include <event2/event.h>

#include "base/counter.h"
#include "config/settings.h"
#include "engine/engine.h"
#include "http/client.h"
#include "http/guard.h"
#include "http/server.h"
#include "link/socket.h"
#include "placement/permits.h"
#include "placement/scheduler.h"

struct agent;
struct job;

/// Time after which the response of a finished request is dropped.
#define CM_JOB_RESPONSE_TTL_MS 10000
/// Time after their end for which sealed ids and requests retained for ATTACH
/// are remembered, so that they cannot start again; longer than any deadline.
#define CM_JOB_RETENTION_MS 660000
/// Time beyond its deadline for which the id of any other request is
/// remembered; its entry does not resend it after that.
#define CM_JOB_ID_GRACE_MS 5000
/// Largest response that is retained whole for later readers.
#define CM_RESPONSE_RETAINED_MAX_BYTES (1024 * 1024)
/// Backlog of the slowest reader at which the agent stops reading from its
/// target.
#define CM_RESPONSE_UNREAD_MAX_BYTES (512 * 1024)
/// Largest part of a response sent in one message.
#define CM_RESPONSE_CHUNK_MAX_BYTES (64 * 1024)
/// Idle time of an engine's stream after which the agent resumes it on a new
/// connection.
#define CM_ENGINE_IDLE_TIMEOUT_MS 2000
/// Heartbeat intervals without a heartbeat after which an entry counts as
/// lost.
#define CM_PEER_MISSED_HEARTBEATS_MAX 4

/// One entry that sends heartbeats.
struct peer {
    LIST_ENTRY(peer) link;
    struct cm_link_peer address;
    char *name;
    struct timespec last_heartbeat;
    /// Smallest difference seen between the agent's monotonic clock and the
    /// entry's.
    int64_t min_clock_offset_ms;
    uint64_t revision;
    uint64_t known_slots_version; ///< last slot list that the entry received
    int64_t interval_ms;          ///< between its heartbeats
    bool reports_draining; ///< its instance list shows this instance draining
};

/// One stream of a job's response to an entry. Offsets count from the first
/// byte of the response.
struct reader {
    LIST_ENTRY(reader) link;
    struct job *job;
    struct cm_link_peer peer;
    char *stream;
    size_t sent;     ///< offset up to which bytes were sent
    size_t received; ///< offset up to which the entry acknowledged bytes
    size_t window;   ///< bytes allowed beyond `received`
    bool head_sent;
    bool end_sent;
};

enum job_state {
    JOB_WAITING,
    JOB_RUNNING,
    JOB_FINISHED,
    JOB_SEALED, ///< never starts; only the id is kept
};

/// One request.
struct job {
    /// Must come first. Its deadline is the latest time to start, earlier than
    /// `deadline` by the expected run time.
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
    char *fingerprint; ///< of the request's content, for crash reports
    GString *body;
    bool retain;    ///< keep the response for a later ATTACH
    bool retryable; ///< the entry may run it a second time
    LIST_HEAD(, reader) readers;
    struct cm_http_call call;
    struct cm_order cancel_order;
    int status;
    char *head;              ///< header lines of the response
    bool streaming;          ///< the response is an event stream
    bool verified;           ///< the response comes from the requested adapter
    bool not_loaded;         ///< the engine answered that it lacks the adapter
    int requeues;            ///< times it went back to the queue
    int consecutive_resumes; ///< since the last byte
    GString *response;       ///< bytes from `response_offset` on
    struct cm_memory_hold response_hold; ///< until the run ends
    size_t response_offset;
    size_t sendable_end; ///< offset up to which bytes may go to readers
    /// The run was lost; the job ends after the health check under way.
    bool awaits_health_check;
    bool cancel_pending;   ///< its adapter stays pinned until the cancel ends
    bool response_dropped; ///< only the id and the outcome are left
    bool reading_paused;
    enum cm_outcome outcome;
    enum cm_reason reason;
    int64_t stall_ms; ///< wait for the adapter load
    int64_t queue_ms; ///< wait for a place in the batch after that
    struct timespec started_at;
    struct timespec finished_at;
};

enum permit_state {
    PERMIT_IDLE,
    PERMIT_REQUESTED,
    PERMIT_GRANTED,
    PERMIT_USED
};

/// One permit to load an adapter, from its request to its release.
struct load_permit {
    enum permit_state state;
    uint64_t number;
    struct cm_link_peer issuer; ///< entry that grants it
    bool self_paced;            ///< granted by the agent's own load pace
    struct timespec requested_at;
    struct cm_slot *slot; ///< whose load uses it
};

/// The load or eviction under way in one slot.
struct slot_order {
    struct agent *agent;
    struct cm_slot *slot;
    struct cm_order order;
    struct timespec started_at;
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
    struct cm_http_guard guard; ///< its budget also counts responses
    struct cm_http_guarded admin_guarded;
    uint64_t incarnation;   ///< wall-clock time of the start in ms
    bool shutting_down;     ///< a stop signal arrived
    bool instance_draining; ///< according to an entry's instance list
    bool healthy;
    bool lingering; ///< the process ends after LINGER_MS
    struct timespec shutdown_started;
    uint64_t revision;

    struct cm_scheduler scheduler;
    GHashTable *jobs_by_id;
    TAILQ_HEAD(, job) all_jobs;
    GHashTable *readers_by_stream;
    LIST_HEAD(, peer) peers;

    struct slot_order *slot_orders; ///< one per slot
    uint64_t orders_sent;           ///< loads and evictions
    struct cm_order list_order;
    uint64_t list_orders_sent; ///< `orders_sent` when the list was requested
    struct cm_order health_order;
    struct cm_order report_order;
    /// Last time that a slot was marked as used by untracked runs.
    struct timespec untracked_since;
    size_t min_running; ///< fewest tracked runs since the last load report
    struct load_permit permits[CM_CONCURRENT_LOADS_MAX];
    uint64_t next_permit_number;
    struct cm_load_pace load_pace;
    double mean_load_ms;    ///< moving average of the wait for a load
    double mean_run_ms;     ///< moving average
    uint64_t slots_version; ///< incremented when the slots change

    /// Fingerprints of the requests that were running when the first of them
    /// was lost, until the health check ends.
    GPtrArray *suspects;
    uint64_t crashes;

    unsigned ticks;
    struct timespec last_tick;
    struct event *tick_event;
    struct event *scheduler_event; ///< runs the scheduler
    struct event *report_event;
    struct event *sigterm_event;
    struct event *sigint_event;
    struct event *sighup_event;
    struct cm_counters counters;
    struct agent_counters count;
};

/// Makes the event loop run the scheduler soon.
void
Agent_WakeScheduler(struct agent *agent);

/// Makes the event loop report the state to all entries within a few
/// milliseconds.
void
Agent_ScheduleReport(struct agent *agent);

struct timespec
Agent_Now(const struct agent *agent);

#endif
