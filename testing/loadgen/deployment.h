/// @file deployment.h
/// The deployment that load goes to, as scripts/devstack wrote it down.

#ifndef DEPLOYMENT_H
#define DEPLOYMENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

struct deployment {
    json_t *json;
};

/// Reads the addresses file.
bool
Deployment_Init(struct deployment *deployment, const char *path,
                GError **error);

/// Frees the description.
void
Deployment_Finish(struct deployment *deployment);

/// @return number of addresses in a list: "entries", "agents"...
size_t
Deployment_AddressCount(const struct deployment *deployment, const char *list);

/// @return IP:PORT of one address of a list.
const char *
Deployment_Address(const struct deployment *deployment, const char *list,
                   size_t i);

#endif
