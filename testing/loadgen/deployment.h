/// @file deployment.h
/// Deployment under test, read from the addresses file of scripts/devstack.

#ifndef DEPLOYMENT_H
#define DEPLOYMENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

struct deployment {
    json_t *json;
};

/// Reads the addresses file.
/// @return false with `error` set if the file is missing or not JSON.
bool
Deployment_Init(struct deployment *deployment, const char *path,
                GError **error);

/// Frees the deployment.
void
Deployment_Finish(struct deployment *deployment);

/// @return number of addresses in a list such as "entries" or "engines".
size_t
Deployment_AddressCount(const struct deployment *deployment, const char *list);

/// @return IP:PORT of address `i` of a list, or "" if there is none.
const char *
Deployment_Address(const struct deployment *deployment, const char *list,
                   size_t i);

#endif
