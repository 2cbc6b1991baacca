/// @file catalog.h
/// Finds the route and the service of a request in one configuration.

#ifndef DISPATCH_CATALOG_H
#define DISPATCH_CATALOG_H

#include "dispatch/catalog_defs.h"

/// @return a configuration with one reference, whose routes and services the
/// caller still has to fill in.
struct cm_catalog *
CmCatalog_New(size_t n_routes, size_t n_services);

/// Sorts the routes by prefix length, the longest first, as
/// CmCatalog_FindRoute() requires. Call it once all routes are filled in.
void
CmCatalog_SortRoutes(struct cm_catalog *catalog);

/// Takes another reference.
/// @return `catalog`.
struct cm_catalog *
CmCatalog_Ref(struct cm_catalog *catalog);

/// Releases a reference; `catalog` may be NULL.
void
CmCatalog_Unref(struct cm_catalog *catalog);

/// @return the route with the longest prefix that matches, or NULL. A port in
/// `host` and a query in `path` are ignored.
const struct cm_route *
CmCatalog_FindRoute(const struct cm_catalog *catalog, const char *host,
                    const char *path);

/// Chooses one of the route's services by their weights.
/// @param draw random number from 0 to 1.
/// @return name of the service; the route owns it.
const char *
CmRoute_ChooseService(const struct cm_route *route, double draw);

/// @return time without an event after which clients give up a stream of the
/// route, in ms. Work that starts later than that has no reader.
int64_t
CmRoute_ClientIdleTimeoutMs(const struct cm_route *route);

/// @return the service called `name`, or NULL.
const struct cm_service_spec *
CmCatalog_FindService(const struct cm_catalog *catalog, const char *name);

#endif
