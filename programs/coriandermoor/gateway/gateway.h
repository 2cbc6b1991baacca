/// @file gateway.h
/// State of a gateway: the HTTP front end that proxies callers' requests to
/// targets and watches the platform's store for configuration and targets.
///
/// caller_conns.c reads requests and passes them to request.c. placement.c
/// picks a target for each attempt, lease.c acquires the adapter there, and
/// target_call.c sends the request. successor.c looks for a target that takes
/// over from a silent one. responses.c writes to the caller. crash_watch.c
/// finds contents that crash their targets, prompt_parts.c parts of prompts
/// that do, trial_claim.c has suspects run alone, and peer_gossip.c shares
/// records with other gateways, and what it knows of them; introductions.c
/// finds gateways that share no seed with this one.
/// rate_limits.c keeps the rate limits that targets name, and peer_call.c
/// carries the messages between gateways. target_notices.c records what else
/// targets say of themselves.
/// admission.c finds the client account of a request and checks its key.
/// load_reports.c applies the load that agents report.
/// quotas.c keeps the quotas of client accounts, and retry_budget.c the retry
/// budgets of services.
/// stream_versions.c binds streams to the software version that began them.
/// store_watches.c maintains the tables that placement.c reads. While the
/// store is unreachable at startup, peer_fetch.c fills them from a snapshot
/// of another gateway. gateway_main.c initializes all of these, and shutdown.c
/// ends them.

#ifndef GATEWAY_H
#define GATEWAY_H

#include <event2/event.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/histogram.h"
#include "base/signal_time.h"
#include "config/program.h"
#include "dispatch/catalog.h"
#include "dispatch/config_age.h"
#include "dispatch/demand.h"
#include "dispatch/targets.h"
#include "memory/intake.h"
#include "h1/listener.h"
#include "h1/pool.h"
#include "peer_fetch_defs.h"
#include "quarantine/gossip.h"
#include "ratelimit/quota_balance.h"
#include "ratelimit/rate_permits.h"
#include "ratelimit/retry_permits.h"
#include "store.h"
#include "store_registry.h"
#include "streams/datagram_port.h"
#include "streams/record.h"
#include "streams/software_history.h"

struct request;
struct caller_conn;

/// Allocations of this size, as of long bodies, return their memory to the
/// system when they are freed. By default glibc raises the limit to the
/// largest block that was ever freed.
#define MMAP_THRESHOLD_BYTES (256 * 1024)
/// Crashes of targets after which a content is refused: the platform's limit.
#define GATEWAY_CRASHES_TO_REFUSE 3

/// Counters in the metrics output.
struct gateway_counters {
    struct cm_counters all;
    struct cm_counter requests;
    struct cm_counter answered;
    struct cm_counter refused;
    struct cm_counter failed;
    struct cm_counter cut;
    struct cm_counter abandoned;
    struct cm_counter sends;
    struct cm_counter retries;
    struct cm_counter retries_sent;
    struct cm_counter retries_denied;
    struct cm_counter retries_by_permit;
    struct cm_counter retry_claims;
    struct cm_counter retry_grants;
    struct cm_counter known_gateways;
    struct cm_counter leases;
    struct cm_counter store_restores;
    struct cm_counter target_crashes;
    struct cm_counter quarantine_refusals;
    struct cm_counter trials;
    struct cm_counter trial_refusals;
    struct cm_counter parts_cleared;
    struct cm_counter gossip_bytes;
    struct cm_counter quarantined;
    struct cm_counter on_trial;
    struct cm_counter leaving_targets;
    struct cm_counter paused_targets;
    struct cm_counter pause_refusals;
    /// Requests placed again instead of being refused late.
    struct cm_counter places_kept;
    struct cm_counter limited_targets;
    struct cm_counter pace_figures;
    struct cm_counter slow_targets;
    struct cm_counter limit_permits;
    struct cm_counter limit_claims;
    struct cm_counter limit_grants;
    struct cm_counter limit_refusals;
    struct cm_counter streams_resumed;
    struct cm_counter streams_unknown;
    struct cm_counter streams_gone;
    struct cm_counter stream_record_bytes;
    struct cm_counter stream_records;
    struct cm_counter load_reports;
    struct cm_counter connections;
    struct cm_counter held_bytes;
    struct cm_counter memory_releases;
    struct cm_counter memory_refusals;
    struct cm_counter evictions;
    struct cm_counter config_version;
    struct cm_counter config_age_ms;
    struct cm_counter key_refusals;
    struct cm_counter age_refusals;
    struct cm_counter quota_refusals;
    struct cm_counter quota_reports;
    struct cm_counter quota_grants;
    struct cm_counter introductions;
    struct cm_counter peers;
    struct cm_counter candidates;
    struct cm_counter contested_grants;
};

/// Latency histograms in the metrics output, each measured from a request's
/// arrival.
enum gateway_latency {
    LATENCY_LEASE,       ///< until the adapter lease was granted
    LATENCY_FIRST_EVENT, ///< until the first event of a stream
    LATENCY_STREAM,      ///< until the end of a stream
    LATENCY_RESPONSE,    ///< until a target's unstreamed response
    LATENCY_LOCAL,       ///< until a response that the gateway generated
    N_LATENCIES
};

/// Progress of a graceful shutdown; see shutdown.c.
struct gateway_shutdown {
    bool active;
    struct timespec noticed_at;   ///< when the signal was handled
    struct timespec signalled_at; ///< earliest time at which it was sent
    struct cm_signal_time signal_time;
    struct event *end_timer; ///< end of the requests in progress
    bool quiet;              ///< the last tick found nothing to wait for
    bool closed_idle;
    bool ended_requests;
    struct gateway_counters before; ///< the counters when it began
};

struct gateway {
    struct cm_gateway_settings settings;
    struct event_base *base;
    struct cm_clock *clock;
    struct timespec started_at;
    struct cm_memory_budget memory;    ///< of all peers
    struct cm_intake callers_intake;   ///< of the port for callers
    struct cm_intake endpoints_intake; ///< of the other ports
    struct cm_h1_pool pool;
    struct cm_targets targets;
    struct cm_demand demand;
    struct cm_catalog *catalog; ///< NULL until a configuration is known
    json_t *config_json;        ///< its source, as read from the store
    GHashTable *retry_budgets;  ///< by service; see retry_budget.c
    struct cm_retry_reserve retry_reserve; ///< granted by this gateway
    struct cm_retry_permits retry_permits; ///< granted to it
    GRand *random;
    int64_t n_gateways; ///< live gateways, as reported by agents
    struct timespec gateways_updated;

    struct cm_config_age config_age;
    bool rejects_keys; ///< the configuration was too old at the last tick

    struct cm_store store;
    struct cm_store_watch catalog_watch;
    struct cm_store_watch target_watch;
    struct cm_store_watch version_watch;
    struct cm_store_registry registry; ///< used without agents only
    struct timespec restored_at; ///< last return of the store from a copy
    bool listing_targets;        ///< the targets' list is being read
    /// The list has all that the store had by then; by boot time.
    struct timespec targets_confirmed_at;
    bool skipped_targets; ///< it had targets that may have left
    /// Incarnations that the store no longer listed, with the time.
    GHashTable *left_targets;
    struct event *removal_timer; ///< delays removal of unlisted targets

    struct cm_h1_listener callers_listener;
    struct cm_h1_listener ready_listener;
    struct cm_h1_listener admin_listener;
    struct cm_h1_listener control_listener;
    struct peer_fetch peer_fetch;
    struct cm_quarantine quarantine;
    struct cm_gossip gossip;
    LIST_HEAD(, gossip_call) gossip_calls;
    struct timespec introduction_at; ///< next one to agents
    struct cm_limit_table limits;    ///< that targets name
    struct cm_rate_arbiter rate_arbiter;
    struct cm_rate_permits rate_permits;
    LIST_HEAD(, rate_claim) rate_claims;
    LIST_HEAD(, rate_news) rate_news;
    struct cm_quota_balances quotas; ///< of client accounts
    struct cm_quota_arbiter quota_arbiter;
    struct quota_call *quota_call;   ///< report under way; NULL for none
    struct timespec quota_report_at; ///< next report
    TAILQ_HEAD(, request) quota_waiters;
    int64_t limit_refusals; ///< in the present second
    struct timespec limit_refusals_since;
    struct cm_datagram_port stream_port;
    struct cm_stream_records stream_records; ///< of streams seen here
    struct cm_software_history software_history;
    struct timespec history_at; ///< last observation
    LIST_HEAD(, request) bound_streams;
    size_t n_bound_streams;
    LIST_HEAD(, stream_lookup) stream_lookups;
    struct event *push_timer; ///< of crash records to peers
    int64_t ticks;
    /// Targets that cut off requests and may have crashed.
    LIST_HEAD(, crash_suspicion) crash_suspicions;
    /// Answers whose targets are still to survive their prompts.
    LIST_HEAD(, survival) survivals;
    /// Connections for readiness, metrics and snapshots.
    LIST_HEAD(, endpoint_conn) endpoint_conns;
    TAILQ_HEAD(, caller_conn) callers;
    size_t n_requests; ///< number of requests in progress
    /// Calls to agents in progress that belong to no request.
    LIST_HEAD(, release_call) release_calls;
    LIST_HEAD(, model_load_call) model_load_calls;

    struct gateway_shutdown shutdown;
    struct event *sigterm;
    struct event *sigint;
    struct event *sighup;
    struct event *tick;
    struct event *sweep;
    struct cm_file_stamp settings_stamp;
    struct gateway_counters count;
    struct cm_histogram latency[N_LATENCIES];
};

/// @return monotonic time.
struct timespec
Gateway_Now(const struct gateway *gateway);

/// @return a random number for ids of this gateway's records.
uint64_t
Gateway_RandomId(struct gateway *gateway);

/// @return whether the configuration and at least one target are known, so
/// that requests can be placed.
bool
Gateway_CanServe(const struct gateway *gateway);

/// Records the number of live gateways that an agent has reported. The
/// highest of the recent reports applies.
void
Gateway_UpdateGatewayCount(struct gateway *gateway, int64_t count);

#endif
