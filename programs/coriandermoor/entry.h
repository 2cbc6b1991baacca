/// @file entry.h
/// State of an entry, the process that serves callers and operators.

#ifndef ENTRY_H
#define ENTRY_H

#include <event2/event.h>

#include "base/clock.h"
#include "base/counter.h"
#include "config/config.h"
#include "config/settings.h"
#include "http/client.h"
#include "http/server.h"
#include "link/socket.h"
#include "membership/members.h"
#include "once/once.h"
#include "placement/permits.h"
#include "platform/instances.h"
#include "revision/revisions.h"
#include "routing/admission.h"
#include "routing/outcome.h"
#include "routing/quarantine.h"
#include "routing/router.h"

struct entry;
struct exchange;

/// Bytes of an answer that an agent may send ahead of its caller.
#define CM_ANSWER_WINDOW (256 * 1024)
/// Bytes of a streamed answer kept to continue it from another attempt.
#define CM_SPLICE_MAX (256 * 1024)
/// Interval of heartbeats on up to CM_HELLO_LINKS links; beyond, it grows
/// with their number, so that an entry's heartbeats cost the same.
#define CM_HELLO_INTERVAL_MS 500
#define CM_HELLO_LINKS 24
/// Silence after which a link gets a new connection.
#define CM_LINK_SILENT_MS 1500
/// Time an attempt waits for its link, or for the agent's first word.
#define CM_ATTEMPT_UNSENT_MS 1000
/// Time after which a request that was not acknowledged is sent again.
#define CM_SUBMIT_AGAIN_MS 400
/// Time without use after which a link over the limit is closed.
#define CM_LINK_IDLE_MS 10000

/// A configuration in force, or kept by requests that began under it.
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
    struct cm_route_target *route; ///< NULL while no configuration names it
    struct cm_link_socket socket;
    bool open;
    bool ready;           ///< a report came over this connection
    bool healthy;         ///< the target answers its agent
    uint64_t incarnation; ///< of the agent that reported last
    uint64_t revision;    ///< in force at the agent
    uint64_t slots_seen;
    uint64_t slot_count;
    struct timespec opened;
    struct timespec heard;
    struct timespec used;
    struct timespec hello;
    TAILQ_HEAD(, attempt) attempts;
};

/// One attempt to have a request answered by one agent.
struct attempt {
    TAILQ_ENTRY(attempt) in_link;
    TAILQ_ENTRY(attempt) in_exchange;
    struct agent_link *link;
    struct exchange *exchange;
    char *id;     ///< of the job at the agent
    char *stream; ///< of this reader of its answer
    enum cm_attempt_phase phase;
    bool held;     ///< not to be sent yet: its claim is being written
    bool attached; ///< reads the answer of an earlier attempt's job
    bool headed;
    bool loads;
    bool suspect;
    bool rest_asked;  ///< asked for bytes that are missing
    unsigned submits; ///< copies of the request that left
    uint64_t incarnation;
    size_t received;
    size_t credited;
    struct timespec made;
    struct timespec sent;
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

/// One question to one peer at a time, while the object API is away.
struct peer_question {
    struct cm_http_call call;
    GString *body;
    int status;
    size_t next; ///< peer to be asked next
};

/// The snapshot of popularity in the object API.
struct warm_start {
    struct cm_object_call call;
    bool read;    ///< the stored one was looked at after the start
    bool writing; ///< the call under way writes
    size_t lines; ///< adapters in the stored one, when last read
    struct timespec looked;
};

struct entry {
    struct cm_entry_settings settings;
    struct event_base *base;
    struct cm_clock *clock;
    void *zmq;
    GRand *random;
    struct cm_http_client client;
    struct evhttp *callers;
    struct evhttp *admin;
    char identity[CM_LINK_PEER_NAME_MAX_BYTES]; ///< of this start
    uint64_t next_request;
    uint64_t next_connection;
    bool leaving;
    bool finishing;
    struct timespec leaving_since;

    struct cm_http_objects objects;
    struct cm_http_instances instances;
    struct cm_revisions revisions;
    struct peer_question question;
    struct warm_start warm;
    struct entry_config *config; ///< NULL before the first revision
    bool listed_once;            ///< the instance list was read
    size_t list_lines;           ///< of the instance list, at the last read
    struct timespec list_asked;
    size_t entries; ///< live entries by the instance list

    struct cm_members members;
    LIST_HEAD(, agent_link) links;
    struct cm_router router;
    struct cm_permits permits;
    struct cm_quarantine quarantine;
    struct cm_admission admission;
    GHashTable *budgets; ///< service to struct cm_retry_budget
    struct cm_once once;

    TAILQ_HEAD(, exchange) exchanges;
    GHashTable *streams; ///< stream to struct attempt
    struct cm_link_traffic traffic;

    unsigned ticks;
    struct timespec last_tick;
    struct event *tick;
    struct event *term;
    struct event *interrupt;
    struct cm_counters counters;
    struct entry_counters count;
};

/// @return the entry's present time.
struct timespec
Entry_Now(const struct entry *entry);

/// Takes one more reference to a configuration.
struct entry_config *
EntryConfig_Ref(struct entry_config *config);

/// Returns a reference; the last one frees it.
void
EntryConfig_Unref(struct entry_config *config);

#endif
