/// @file instances.h
/// Client of the platform's instance list, which is eventually consistent: it
/// lags behind the actual state.

#ifndef PLATFORM_INSTANCES_H
#define PLATFORM_INSTANCES_H

#include <glib.h>
#include <stdbool.h>

#include "http/client_defs.h"

/// One item of the list. The strings are borrowed and never NULL.
struct cm_instance {
    const char *name; ///< of the target or entry
    const char *role; ///< "agent" or "entry"
    const char *zone;
    const char *address; ///< IP:PORT of the process
    bool shutting_down;
};

struct cm_instances;

/// Called with the result of each request; `ok` is false if the list could not
/// be read. `instances` is valid until the callback returns.
typedef void (*cm_instances_done)(void *context, bool ok,
                                  const struct cm_instance *instances,
                                  size_t n);

struct cm_instances_ops {
    /// Requests the list, unless a request is in progress.
    void (*list)(struct cm_instances *instances);
    /// Cancels the request in progress without a callback.
    void (*cancel)(struct cm_instances *instances);
};

struct cm_instances {
    const struct cm_instances_ops *ops;
    cm_instances_done done;
    void *context;
    int64_t reads; ///< requests made, for the metrics
};

/// The instance list over HTTP.
struct cm_http_instances {
    struct cm_instances base;
    struct cm_http_client *client;
    const char *address;
    struct cm_http_call http;
    int status;
    GString *body;
};

/// Initializes a client of the list at `address` (IP:PORT), which is borrowed.
/// No request is made before the operation `list`.
void
CmHttpInstances_Init(struct cm_http_instances *instances,
                     struct cm_http_client *client, const char *address,
                     cm_instances_done done, void *context);

/// Cancels the request in progress and frees the client's buffer.
void
CmHttpInstances_Finish(struct cm_http_instances *instances);

#endif
