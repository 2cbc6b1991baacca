/// @file gateway.h
/// State of a gateway: an entry that reaches its targets directly and learns
/// of them from the platform's store.
///
/// Direction of the files: gateway_main.c starts the others; caller_conns.c
/// reads requests and hands them to request.c; request.c places them and
/// drives target_call.c (one send to a target) and lease.c (one claim on an
/// adapter). feeds.c fills the tables that placing reads; peers.c fills them
/// from another gateway's snapshot.c while the store is away.

#ifndef GATEWAY_H
#define GATEWAY_H

#include <event2/event.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/histogram.h"
#include "config/program.h"
#include "dispatch/retry_window.h"
#include "dispatch/catalog.h"
#include "dispatch/targets.h"
#include "h1/listener.h"
#include "h1/pool.h"
#include "peer_fetch_defs.h"
#include "store.h"

struct request;
struct caller;

/// Counters that the metrics address shows.
struct gateway_counters {
    struct cm_counters all;
    struct cm_counter requests;
    struct cm_counter answered;
    struct cm_counter refused;
    struct cm_counter failed;
    struct cm_counter cut;
    struct cm_counter abandoned;
    struct cm_counter sends;
    struct cm_counter resumes;
    struct cm_counter leases;
    struct cm_counter callers;
    struct cm_counter version;
};

/// Latency histograms that the metrics address shows.
enum gateway_latency {
    LATENCY_LEASE,       ///< from arrival until the adapter was in its slot
    LATENCY_FIRST_EVENT, ///< streams: from arrival to the first event
    LATENCY_STREAM,      ///< streams: from arrival to the end
    LATENCY_PLAIN,       ///< other answers of targets
    LATENCY_OWN,         ///< refusals and failures of the gateway's own
    N_LATENCIES
};

struct gateway {
    struct cm_gateway_settings settings;
    struct event_base *base;
    struct cm_clock *clock;
    struct cm_h1_pool pool;
    struct cm_targets targets;
    struct cm_catalog *catalog; ///< NULL until a configuration is known
    json_t *configuration;      ///< the same as the store has it
    GHashTable *budgets;        ///< service name to struct cm_retry_window
    GRand *random;
    int64_t gateways; ///< live ones, as agents count them
    struct timespec gateways_heard;

    struct cm_store store;
    struct cm_store_watch catalog_feed;
    struct cm_store_watch target_feed;
    struct cm_store_watch version_feed;
    struct event *removal; ///< end of the wait for entries to come back

    struct cm_h1_listener callers_listener;
    struct cm_h1_listener ready_listener;
    struct cm_h1_listener admin_listener;
    struct cm_h1_listener control_listener;
    struct peers peers;
    LIST_HEAD(, probe) probes; ///< connections of all but callers
    TAILQ_HEAD(, caller) callers;
    size_t n_requests;                 ///< in progress
    LIST_HEAD(, notice) notices;       ///< calls to agents without a request
    LIST_HEAD(, model_ask) model_asks; ///< the same

    bool leaving;
    struct timespec leaving_since;
    struct event *term;
    struct event *interrupt;
    struct event *hangup;
    struct event *tick;
    struct event *sweep;
    struct cm_file_stamp settings_mark;
    struct gateway_counters count;
    struct cm_histogram latency[N_LATENCIES];
};

/// @return monotonic time.
struct timespec
Gateway_Now(const struct gateway *gateway);

/// @return whether requests can be placed: configuration and targets are
/// known.
bool
Gateway_CanServe(const struct gateway *gateway);

/// @return ms until a planned stop gives up what is in progress; INT64_MAX
/// while none is under way.
int64_t
Gateway_StopLeftMs(const struct gateway *gateway);

/// An agent tells how many gateways have asked it lately.
void
Gateway_HeardOfGateways(struct gateway *gateway, int64_t count);

/// @return the budget of repeated sends to `service`.
struct cm_retry_window *
Gateway_Budget(struct gateway *gateway, const char *service);

#endif
