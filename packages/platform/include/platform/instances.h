/// @file instances.h
/// Client of the platform's instance list, which lags behind the truth.

#ifndef PLATFORM_INSTANCES_H
#define PLATFORM_INSTANCES_H

#include <glib.h>
#include <stdbool.h>

#include "http/client_defs.h"

/// One line of the list.
struct cm_instance {
    const char *name; ///< of the target, or of the entry
    const char *role; ///< "agent" or "entry"
    const char *zone;
    const char *address; ///< IP:PORT of the process
    bool shutting_down;
};

struct cm_instances;

/// Called with each answer; `ok` is false where the list could not be had.
typedef void (*cm_instances_done)(void *context, bool ok,
                                  const struct cm_instance *instances,
                                  size_t n);

struct cm_instances_ops {
    void (*list)(struct cm_instances *instances);
    void (*cancel)(struct cm_instances *instances);
};

struct cm_instances {
    const struct cm_instances_ops *ops;
    cm_instances_done done;
    void *context;
    int64_t reads;
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

/// Prepares the client of the list at `address`.
void
CmHttpInstances_Init(struct cm_http_instances *instances,
                     struct cm_http_client *client, const char *address,
                     cm_instances_done done, void *context);

/// Frees the client.
void
CmHttpInstances_Finish(struct cm_http_instances *instances);

#endif
