/// @file slots.h
/// An agent that keeps the adapter slots of one engine for gateways: the only
/// one who gives orders to that engine.
///
/// Direction of the files: slots_main.c starts the others; gateways.c takes
/// calls of gateways and asks the residency for leases; engine.c reads the
/// engine's reports and carries out the orders that follow from them.

#ifndef SLOTS_SLOTS_H
#define SLOTS_SLOTS_H

#include <event2/event.h>

#include "base/clock.h"
#include "base/counter.h"
#include "config/settings.h"
#include "engine_codec.h"
#include "h1/listener.h"
#include "h1/pool.h"
#include "residency/unacked_loads.h"
#include "residency/residency.h"

/// What is under way at the engine; one call at a time, so that a report
/// never crosses an order.
enum engine_call {
    ENGINE_IDLE,
    ENGINE_REPORT,
    ENGINE_ORDER,
    ENGINE_MODEL_ORDER,
};

/// One run at the engine.
struct engine_run {
    double read; ///< prompt tokens that have been read
    int64_t events;
};

/// The engine as this agent sees it.
struct engine {
    struct cm_h1_call call;
    enum engine_call under_way;
    GString *body;
    int status;
    struct event *timer; ///< next report, or the end of patience
    struct cm_residency_order order;
    struct cm_engine_report report;
    GHashTable *runs;         ///< request id to struct engine_run
    struct timespec reported; ///< when the last report came
    bool unseen; ///< no report since another incarnation was named
    bool known;  ///< a report has been had, and the last one succeeded
    bool has_model;
    bool stale;   ///< an order was given since the last report
    int failures; ///< in a row
    struct cm_unacked_loads late_loads;
    char *late_target;         ///< incarnation they were meant for
    struct timespec restarted; ///< when another incarnation was noticed
    int64_t fence;
    char *model;    ///< that gateways want loaded, or NULL
    char *target;   ///< incarnation that orders are meant for, or NULL
    bool confirmed; ///< the engine has accepted an order for `target`
    struct timespec no_model_until; ///< no order for the model before
};

struct slots {
    struct cm_slot_agent_settings settings;
    struct event_base *base;
    struct cm_clock *clock;
    struct cm_h1_pool pool;
    struct cm_residency residency;
    int64_t engine_slots; ///< that the engine has, as gateways tell
    struct engine engine;
    struct cm_h1_listener gateways_listener;
    struct cm_h1_listener admin_listener;
    LIST_HEAD(, session) sessions;
    GHashTable *claims;   ///< request id to struct claim, held ones
    GHashTable *gateways; ///< name to struct timespec, last asked
    double backlog_ms;    ///< of prompts, as of `backlog_at`
    struct timespec backlog_at;
    struct event *term;
    struct event *interrupt;
    struct event *hangup;
    struct event *sweep;
    struct cm_counters counters;
    struct cm_counter leases;
    struct cm_counter granted;
    struct cm_counter pinned;
    struct cm_counter orders;
    struct cm_counter reports;
    struct cm_counter held;
};

/// @return monotonic time.
struct timespec
Slots_Now(const struct slots *slots);

#endif
