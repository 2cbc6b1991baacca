/// @file engine.h
/// Orders by which an agent controls its engine. Engines differ, so the
/// interface is a table of function pointers. The implementation here is for
/// OpenAI-compatible servers with vLLM's adapter endpoints, extended by a
/// fencing token.

#ifndef ENGINE_ENGINE_H
#define ENGINE_ENGINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "http/client.h"

/// Timeout of an adapter load.
#define CM_LOAD_TIMEOUT_MS 30000
/// Timeout of all other orders.
#define CM_ORDER_TIMEOUT_MS 2000

/// How an order ended.
enum cm_order_end {
    CM_ORDER_DONE,
    CM_ORDER_FAILED,      ///< the engine answered with an error
    CM_ORDER_FENCED,      ///< rejected, as a newer agent has sent orders
    CM_ORDER_UNREACHABLE, ///< the engine cannot be reached
    CM_ORDER_UNKNOWN,     ///< no response; may have taken effect
};

struct cm_engine;
struct cm_order;

/// Result of an order; each kind of order sets its own field.
struct cm_order_response {
    char **adapters; ///< `list`: NULL-terminated, freed after the callback
    int64_t busy;    ///< `report`: requests running or waiting
};

/// Called once when an order ends.
typedef void (*cm_order_callback)(void *context, enum cm_order_end end,
                                  const struct cm_order_response *response);

struct cm_engine_ops {
    void (*load)(struct cm_engine *engine, struct cm_order *order,
                 const char *adapter);
    void (*unload)(struct cm_engine *engine, struct cm_order *order,
                   const char *adapter);
    void (*list)(struct cm_engine *engine, struct cm_order *order);
    void (*health)(struct cm_engine *engine, struct cm_order *order);
    /// Requests the engine's load report, which may lag behind its state.
    void (*report)(struct cm_engine *engine, struct cm_order *order);
    /// Cancels the run with the engine's request id `id`.
    void (*cancel)(struct cm_engine *engine, struct cm_order *order,
                   const char *id);
};

struct cm_engine {
    const struct cm_engine_ops *ops;
    struct cm_http_client *client;
    const char *address; ///< IP:PORT
    uint64_t fence;      ///< fencing token, sent with each order
};

/// One call of an engine's API (load, unload, list, health, report or cancel),
/// in the caller's memory.
struct cm_order {
    struct cm_http_call call;
    cm_order_callback callback;
    void *context;
    int status;
    enum {
        CM_ORDER_BODY_IGNORED,
        CM_ORDER_BODY_ADAPTERS,
        CM_ORDER_BODY_LOAD
    } body_kind; ///< how the response body is parsed
    GString *body;
};

/// Prepares `engine` for the OpenAI-compatible server at `address`.
/// @param fence fencing token; the engine rejects orders with a lower one
///        than it has seen
void
CmEngine_InitOpenAi(struct cm_engine *engine, struct cm_http_client *client,
                    const char *address, uint64_t fence);

/// Prepares an order, which may be reused after it has ended.
/// @param callback called once at the end of each use
void
CmOrder_Init(struct cm_order *order, cm_order_callback callback,
             void *context);

/// Aborts the order without a callback and frees its buffers.
void
CmOrder_Finish(struct cm_order *order);

/// @return whether the order is under way.
bool
CmOrder_Active(const struct cm_order *order);

#endif
