/// @file catalog.c
/// Finds the route and the service of a request in one configuration.

#include "dispatch/catalog.h"

#include <stdlib.h>
#include <string.h>

/// Clients give up a stream after a gap of the longest of these: the minimum,
/// 4 target latencies or 8 target gaps, as the platform's page on requests
/// says.
#define IDLE_TIMEOUT_MIN_MS 2000
#define IDLE_TIMEOUT_TARGET_FACTOR 4
#define IDLE_TIMEOUT_GAP_FACTOR 8

struct cm_catalog *
CmCatalog_New(size_t n_routes, size_t n_services)
{
    struct cm_catalog *catalog = g_new0(struct cm_catalog, 1);
    catalog->references = 1;
    catalog->n_routes = n_routes;
    catalog->n_services = n_services;
    catalog->routes = g_new0(struct cm_route, n_routes);
    catalog->services = g_new0(struct cm_service_spec, n_services);
    CmPriorityRanks_Init(&catalog->ranks);
    return catalog;
}

/// Compares routes for qsort(), the longest prefix first.
static int
compare_prefix_length(const void *a, const void *b)
{
    size_t length_a = strlen(((const struct cm_route *)a)->prefix);
    size_t length_b = strlen(((const struct cm_route *)b)->prefix);
    return (length_a < length_b) - (length_a > length_b);
}

void
CmCatalog_SortRoutes(struct cm_catalog *catalog)
{
    // qsort() takes no NULL, which an empty array is.
    if (catalog->n_routes > 0) {
        qsort(catalog->routes, catalog->n_routes, sizeof(catalog->routes[0]),
              compare_prefix_length);
    }
}

struct cm_catalog *
CmCatalog_Ref(struct cm_catalog *catalog)
{
    catalog->references++;
    return catalog;
}

static void
free_route_members(struct cm_route *route)
{
    g_free(route->name);
    g_free(route->host);
    g_free(route->prefix);
    for (size_t i = 0; i < route->n_splits; i++) {
        g_free(route->splits[i].service);
    }
    g_free(route->splits);
}

void
CmCatalog_Unref(struct cm_catalog *catalog)
{
    if (catalog == NULL || --catalog->references > 0) {
        return;
    }
    for (size_t i = 0; i < catalog->n_routes; i++) {
        free_route_members(&catalog->routes[i]);
    }
    for (size_t i = 0; i < catalog->n_services; i++) {
        g_free(catalog->services[i].name);
        g_free(catalog->services[i].engine.model);
    }
    CmAccounts_Free(catalog->accounts);
    CmPriorityRanks_Finish(&catalog->ranks);
    g_free(catalog->routes);
    g_free(catalog->services);
    g_free(catalog);
}

/// @return whether the Host header names `route_host`; its port is ignored.
static bool
host_matches(const char *host, const char *route_host)
{
    size_t length = strcspn(host, ":");
    return length == strlen(route_host) &&
           g_ascii_strncasecmp(host, route_host, length) == 0;
}

const struct cm_route *
CmCatalog_FindRoute(const struct cm_catalog *catalog, const char *host,
                    const char *path)
{
    size_t path_length = strcspn(path, "?");
    for (size_t i = 0; i < catalog->n_routes; i++) {
        const struct cm_route *route = &catalog->routes[i];
        size_t prefix_length = strlen(route->prefix);
        if (prefix_length <= path_length &&
            strncmp(path, route->prefix, prefix_length) == 0 &&
            host_matches(host, route->host)) {
            return route;
        }
    }
    return NULL;
}

const char *
CmRoute_ChooseService(const struct cm_route *route, double draw)
{
    double total = 0;
    for (size_t i = 0; i < route->n_splits; i++) {
        total += route->splits[i].weight;
    }
    double left = draw * total;
    for (size_t i = 0; i < route->n_splits; i++) {
        left -= route->splits[i].weight;
        if (left < 0) {
            return route->splits[i].service;
        }
    }
    return route->splits[route->n_splits - 1].service;
}

int64_t
CmRoute_ClientIdleTimeoutMs(const struct cm_route *route)
{
    int64_t timeout_ms =
        MAX(IDLE_TIMEOUT_MIN_MS,
            route->target_latency_ms * IDLE_TIMEOUT_TARGET_FACTOR);
    return MAX(timeout_ms, route->target_gap_ms * IDLE_TIMEOUT_GAP_FACTOR);
}

const struct cm_service_spec *
CmCatalog_FindService(const struct cm_catalog *catalog, const char *name)
{
    for (size_t i = 0; i < catalog->n_services; i++) {
        if (strcmp(catalog->services[i].name, name) == 0) {
            return &catalog->services[i];
        }
    }
    return NULL;
}
