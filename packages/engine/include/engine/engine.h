/// @file engine.h
/// What an agent orders from its target. The interface is a table of function
/// pointers, as engines differ; the one here follows the OpenAI-style server
/// with vLLM's calls for adapters, extended by fences.

#ifndef ENGINE_ENGINE_H
#define ENGINE_ENGINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "http/client.h"

/// Longest time an order to load may take.
#define CM_LOAD_TIMEOUT_MS 30000
/// Longest time an order to unload, a list or a health check may take.
#define CM_ORDER_TIMEOUT_MS 2000

/// How an order ended.
enum cm_order_end {
    CM_ORDER_DONE,
    CM_ORDER_FAILED,      ///< the engine answered that it did not work
    CM_ORDER_FENCED,      ///< a newer agent has given orders
    CM_ORDER_UNREACHABLE, ///< the engine cannot be reached
    CM_ORDER_UNKNOWN,     ///< no answer: may have taken effect
};

struct cm_engine;
struct cm_order;

/// What an order brought back; each order sets its own field.
struct cm_order_response {
    char **adapters; ///< `list`: NULL-terminated, valid during the call
    int64_t busy;    ///< `report`: requests running or waiting
};

/// Called once when an order ends.
typedef void (*cm_order_callback)(void *context, enum cm_order_end end,
                                  const struct cm_order_response *answer);

struct cm_engine_ops {
    void (*load)(struct cm_engine *engine, struct cm_order *order,
                 const char *adapter);
    void (*unload)(struct cm_engine *engine, struct cm_order *order,
                   const char *adapter);
    void (*list)(struct cm_engine *engine, struct cm_order *order);
    void (*health)(struct cm_engine *engine, struct cm_order *order);
    /// Asks for the engine's load report, which lags.
    void (*report)(struct cm_engine *engine, struct cm_order *order);
    /// Gives up the run that the engine knows as `id`.
    void (*cancel)(struct cm_engine *engine, struct cm_order *order,
                   const char *id);
};

struct cm_engine {
    const struct cm_engine_ops *ops;
    struct cm_http_client *client;
    const char *address; ///< IP:PORT
    uint64_t fence;      ///< sent with each order
};

/// One order under way, on the caller's memory.
struct cm_order {
    struct cm_http_call call;
    cm_order_callback callback;
    void *context;
    int status;
    enum {
        CM_ORDER_BODY_IGNORED,
        CM_ORDER_BODY_ADAPTERS,
        CM_ORDER_BODY_LOAD
    } body_kind;
    GString *body;
};

/// Prepares the client of the engine at `address`.
void
CmEngine_InitOpenAi(struct cm_engine *engine, struct cm_http_client *client,
                    const char *address, uint64_t fence);

/// Prepares an order; it may be used again once it ended.
void
CmOrder_Init(struct cm_order *order, cm_order_callback done, void *context);

/// Gives the order up without a callback and frees what it holds.
void
CmOrder_Finish(struct cm_order *order);

/// @return whether the order is under way.
bool
CmOrder_Active(const struct cm_order *order);

#endif
