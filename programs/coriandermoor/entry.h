/// @file entry.h
/// State of an entry: the HTTP front end that forwards callers' requests to
/// agents over ZeroMQ and serves operators.

#ifndef ENTRY_H
#define ENTRY_H

#include <event2/event.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/signal_time.h"
#include "config/config.h"
#include "config/settings.h"
#include "http/client.h"
#include "http/guard.h"
#include "http/server.h"
#include "link/socket.h"
#include "membership/members.h"
#include "once/once.h"
#include "placement/permits.h"
#include "platform/instances.h"
#include "revision/revisions.h"
#include "routing/admission.h"
#include "routing/outcome.h"
#include "quarantine/gossip.h"
#include "routing/router.h"

struct entry;
struct exchange;

/// Flow control: bytes of an answer that an agent may send beyond the last
/// credit.
#define CM_ANSWER_WINDOW_BYTES (256 * 1024)
/// Bytes kept of a streamed answer. A retry repeats the answer from its start,
/// and can continue the stream only if it matches what the caller has.
#define CM_SPLICE_MAX_BYTES (256 * 1024)
/// Heartbeat interval on up to CM_HEARTBEAT_LINKS links. With more links it
/// grows in proportion, so that an entry's heartbeat rate stays bounded.
#define CM_HEARTBEAT_INTERVAL_MS 500
#define CM_HEARTBEAT_LINKS 24
/// Time without messages after which a link's connection is replaced. Grows by
/// as much as the heartbeat interval.
#define CM_LINK_SILENCE_TIMEOUT_MS 1500
/// Longest time from an attempt's creation until its request is sent.
#define CM_ATTEMPT_SEND_TIMEOUT_MS 1000
/// Time after which an unacknowledged request is sent again to the same agent.
#define CM_SUBMIT_RETRY_MS 400
/// Time without attempts after which a link beyond the limit is closed.
#define CM_LINK_IDLE_TIMEOUT_MS 10000

/// A reference-counted configuration: the one in force, or an earlier one
/// that requests in progress still use.
struct entry_config {
    size_t references;
    uint64_t revision;
    struct cm_config config;
};

/// Connection to one agent.
struct agent_link {
    LIST_ENTRY(agent_link) link;
    struct entry *entry;
    struct cm_member *member;
    struct cm_route_target *target; ///< NULL while no configuration names it
    struct cm_link_socket socket;
    bool open;
    bool ready;             ///< a report arrived over this connection
    bool healthy;           ///< health of the target, by its agent's report
    uint64_t incarnation;   ///< of the agent that reported last
    uint64_t revision;      ///< in force at the agent
    uint64_t slots_version; ///< of the last slot list received; 0 for none
    uint64_t slot_count;
    struct timespec opened_at;
    struct timespec last_received_at;
    struct timespec last_used_at;
    struct timespec last_heartbeat_at;
    TAILQ_HEAD(, attempt) attempts;
};

/// One attempt to get a request answered by one agent.
struct attempt {
    TAILQ_ENTRY(attempt) in_link;
    TAILQ_ENTRY(attempt) in_exchange;
    struct agent_link *link;
    struct exchange *exchange;
    char *id;     ///< of the job at the agent
    char *stream; ///< id of the stream that delivers the answer
    enum cm_attempt_phase phase;
    bool awaits_claim; ///< unsent while its claim is being written
    bool attached;     ///< reads the answer of an earlier attempt's job
    bool head_received;
    bool needs_load;
    bool suspect;          ///< the content ran in a crash of a target
    bool resend_requested; ///< missing bytes of the answer were requested
    unsigned submit_count; ///< copies of the request sent
    uint64_t incarnation;  ///< of the agent that may run the job
    size_t received_bytes;
    size_t credited_bytes;
    struct timespec created_at;
    struct timespec sent_at;
};

struct entry_counters {
    struct cm_counter requests;
    struct cm_counter ran;
    struct cm_counter not_run;
    struct cm_counter unknown;
    struct cm_counter retries;
    struct cm_counter hedges;
    struct cm_counter refused_full;
    struct cm_counter refused_share;
    struct cm_counter refused_late;
    struct cm_counter quarantined;
    struct cm_counter callers_gone;
    struct cm_counter claims;
    struct cm_counter replays;
    struct cm_counter stall_ms;
    struct cm_counter reconnects;
    struct cm_counter control_messages;
    struct cm_counter in_progress;
    struct cm_counter revision;
    struct cm_counter links;
};

/// Comparison of crash records with those of another entry.
struct crash_poll {
    struct cm_http_call call;
    GString *body;
    int status;
    char peer[CM_CRASH_NAME_SIZE];
    bool is_followup; ///< the second message, with the differing records
};

/// Poll of the peers' state, one peer at a time, while the object API is
/// unreachable.
struct peer_poll {
    struct cm_http_call call;
    GString *body;
    int status;
    size_t next_peer; ///< modulo the number of peers
};

/// State of the snapshot of request rates in the object API.
struct warm_start {
    struct cm_object_call call;
    bool loaded;          ///< read once since the start, or found missing
    bool writing;         ///< the call in flight is a write
    size_t adapter_count; ///< adapters in the snapshot at the last read
    struct timespec checked_at;
};

struct entry {
    struct cm_entry_settings settings;
    struct event_base *base;
    struct cm_clock *clock;
    struct cm_http_guard guard; ///< of both listeners
    struct cm_http_guarded callers_guarded;
    struct cm_http_guarded admin_guarded;
    void *zmq;
    GRand *random;
    struct cm_http_client client;
    struct evhttp *callers;
    struct evhttp *admin;
    char identity[CM_LINK_PEER_NAME_MAX_BYTES]; ///< name and start time of
                                                ///< this process
    uint64_t next_request;    ///< number in the next request's id
    uint64_t next_connection; ///< number in the next connection's name
    bool shutting_down;
    bool flushing; ///< no exchange is waited for; responses are written out
    struct cm_signal_time signal_time;
    struct timespec signalled_at; ///< earliest time of the first stop signal

    struct cm_http_objects objects;
    struct cm_http_instances instances;
    struct cm_revisions revisions;
    struct peer_poll peer_poll;
    struct warm_start warm_start;
    struct entry_config *config; ///< NULL before the first revision
    bool has_instance_list;      ///< read at least once, or got from a peer
    size_t instance_count;       ///< lines of the instance list when last read
    struct timespec list_requested_at;
    size_t live_entries; ///< entries on the instance list, not draining

    struct cm_members members;
    LIST_HEAD(, agent_link) links;
    struct cm_router router;
    struct cm_permits permits;
    struct cm_quarantine quarantine;
    struct cm_gossip gossip;
    struct crash_poll crash_poll;
    struct cm_admission admission;
    GHashTable *retry_budgets; ///< service name to struct cm_retry_budget
    struct cm_once once;

    TAILQ_HEAD(, exchange) exchanges;
    GHashTable *streams; ///< stream id to struct attempt
    struct cm_link_traffic traffic;

    unsigned ticks;
    struct timespec last_tick;
    struct event *tick_timer;
    struct event *sigterm_event;
    struct event *sigint_event;
    struct event *sighup_event;
    struct cm_counters counters;
    struct entry_counters count;
};

/// @return the present time of the entry's monotonic clock.
struct timespec
Entry_Now(const struct entry *entry);

/// Adds a reference to a configuration.
/// @return the configuration.
struct entry_config *
EntryConfig_Ref(struct entry_config *config);

/// Drops a reference to a configuration, which may be NULL. Frees it with the
/// last one.
void
EntryConfig_Unref(struct entry_config *config);

#endif
