/// @file adapters.h
/// Adapter slots of an engine and the orders that change them.

#ifndef ADAPTERS_H
#define ADAPTERS_H

#include "engine.h"

struct engine_adapter {
    char *name;
    int users; ///< runs that use it
};

/// Handles POST /v1/load_lora_adapter.
void
Adapters_Load(struct engine *engine, struct evhttp_request *request);

/// Handles POST /v1/unload_lora_adapter. A busy adapter is taken away all the
/// same and counted, as engines do not guard against it.
void
Adapters_Unload(struct engine *engine, struct evhttp_request *request);

/// @return the adapter in a slot, or NULL.
struct engine_adapter *
Adapters_Find(const struct engine *engine, const char *name);

/// Frees an adapter; for the table.
void
Adapters_Free(gpointer adapter);

/// Ends all loads without answers.
void
Adapters_AbortLoads(struct engine *engine);

#endif
