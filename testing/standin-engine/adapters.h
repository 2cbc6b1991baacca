/// @file adapters.h
/// Adapter slots of an engine and the orders that load and unload adapters.

#ifndef ADAPTERS_H
#define ADAPTERS_H

#include "engine.h"

/// An adapter in a slot.
struct engine_adapter {
    char *name;
    int users; ///< runs that use it, waiting ones included
};

/// Handles POST /v1/load_lora_adapter.
void
Adapters_Load(struct engine *engine, struct evhttp_request *request);

/// Handles POST /v1/unload_lora_adapter. Unloads an adapter even while runs
/// use it, as real engines do, and counts this in `evicted_in_use`.
void
Adapters_Unload(struct engine *engine, struct evhttp_request *request);

/// @return the adapter called `name`, or NULL if it is in no slot.
struct engine_adapter *
Adapters_Find(const struct engine *engine, const char *name);

/// Frees a struct engine_adapter. GDestroyNotify of the adapter table.
void
Adapters_Free(gpointer adapter);

/// Aborts all loads and closes their connections without an answer.
void
Adapters_AbortLoads(struct engine *engine);

#endif
