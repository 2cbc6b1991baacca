/// @file slots.h
/// State of the adapter slot agent. The agent runs beside one engine, leases
/// the engine's adapter slots to gateways, one lease per request, and is the
/// only process that orders this engine to load and unload adapters.
///
/// slots_main.c starts the other parts. lease_server.c serves the gateways'
/// lease calls and passes them to the residency scheduler, which decides what
/// to load and unload. engine.c polls the engine's reports and sends the
/// scheduler's orders to the engine. stream_holder.c holds records of streams
/// for gateways. load_reporter.c tells gateways how loaded the engine is.

#ifndef SLOTS_SLOTS_H
#define SLOTS_SLOTS_H

#include <event2/event.h>

#include "base/clock.h"
#include "base/counter.h"
#include "config/settings.h"
#include "engine_codec.h"
#include "memory/intake.h"
#include "h1/listener.h"
#include "h1/pool.h"
#include "peers/introduction.h"
#include "residency/engine_room.h"
#include "residency/unacked_loads.h"
#include "residency/incarnation.h"
#include "residency/load_report.h"
#include "residency/residency.h"
#include "streams/datagram_port.h"
#include "streams/record.h"

/// Kind of the active call to the engine. There is one call at a time, so that
/// a report always shows the effect of all orders that were answered before.
enum engine_call_kind {
    ENGINE_CALL_NONE,
    ENGINE_CALL_REPORT,
    ENGINE_CALL_ADAPTER_ORDER,
    ENGINE_CALL_MODEL_ORDER,
};

/// Progress of one request that the engine runs.
struct engine_run {
    double prefilled_tokens; ///< prompt tokens in the KV cache
    int64_t events;          ///< events produced
};

/// Connection to the engine and its last known state.
struct engine {
    struct cm_h1_call call;
    enum engine_call_kind active_call;
    GString *body;       ///< of the response to the active call
    int status;          ///< of the response to the active call
    struct event *timer; ///< start of the next call, or timeout of this one
    struct cm_residency_order order; ///< adapter order that was sent last
    struct cm_engine_report report;
    GHashTable *runs;            ///< request id to struct engine_run
    GHashTable *previous_runs;   ///< those of the report before
    struct timespec reported_at; ///< when the last report arrived
    bool awaiting_report;        ///< no report since `incarnation` changed
    bool reachable;              ///< reports arrive; false until the first one
    bool has_model;              ///< a base model is loaded
    bool report_stale; ///< the report may lack the effect of an order
    int consecutive_failures;
    /// Loads that were ordered and not answered; the engine may still execute
    /// them.
    struct cm_unacked_loads unacked_loads;
    char *unacked_target;         ///< id of the incarnation that the last of
                                  ///< them was sent to
    struct timespec restarted_at; ///< when a report showed another start time
    struct timespec orders_from;  ///< no orders before that, or 0
    char *model; ///< base model that gateways request, or NULL
    struct cm_incarnation incarnation; ///< that orders are sent to
    struct timespec model_retry_at;    ///< earliest next order for the model
};

/// The agent.
struct slots {
    struct cm_slot_agent_settings settings;
    struct event_base *base;
    struct cm_clock *clock;
    struct cm_memory_budget memory; ///< of all peers
    struct cm_intake intake;        ///< of both ports
    struct cm_h1_pool pool;
    struct cm_residency residency;
    int64_t engine_slots; ///< adapter slots of the engine, as the last lease
                          ///< request states them
    struct engine engine;
    struct cm_h1_listener lease_listener;
    struct cm_h1_listener admin_listener;
    struct cm_datagram_port stream_port;
    struct cm_stream_records stream_records;
    struct cm_introducer introducer; ///< of gateways to each other
    struct event *prefill_timer; ///< next grant of a lease that is held back
    /// Address for load reports to struct timespec of its gateway's last lease
    /// request.
    GHashTable *report_gateways;
    struct cm_load_reporter load_reporter;
    struct event *load_timer;
    LIST_HEAD(, connection) connections;
    /// Granted leases: request id to struct gateway_lease.
    GHashTable *active_leases;
    struct cm_engine_room room;
    /// Leases whose adapter is in its slot and that wait until the engine's
    /// memory has room for their requests, by priority.
    TAILQ_HEAD(, gateway_lease) awaiting_room;
    /// Lengths in the last lease request, 0 before the first one.
    int64_t last_prompt_tokens;
    int64_t target_gap_ms; ///< of the last request's stream
    int64_t last_output_tokens;
    /// Gateway name to struct timespec of its last lease request.
    GHashTable *gateways;
    /// Estimated time for the prefill of the pending prompts, as of
    /// `backlog_updated_at`; decreases as time passes.
    double backlog_ms;
    struct timespec backlog_updated_at;
    struct event *sigterm;
    struct event *sigint;
    struct event *sighup;
    struct event *sweep_timer;
    struct cm_counters counters;
    struct cm_counter lease_requests;
    struct cm_counter held_bytes;
    struct cm_counter evictions;
    struct cm_counter leases_granted;
    /// Denied: too many other adapters wait for a load.
    struct cm_counter leases_queue_full;
    /// Denied, or held back, as the engine's memory had no room.
    struct cm_counter leases_without_room;
    struct cm_counter leases_held_back;
    struct cm_counter engine_orders;
    struct cm_counter engine_reports;
    struct cm_counter leases_active;
    struct cm_counter stream_lookups;
    struct cm_counter load_reports;
    struct cm_counter introductions;
};

/// @return monotonic time.
struct timespec
Slots_Now(const struct slots *slots);

#endif
