/// @file catalog.h
/// Look-ups in a configuration.

#ifndef DISPATCH_CATALOG_H
#define DISPATCH_CATALOG_H

#include "dispatch/catalog_defs.h"

/// @return an empty configuration with one reference.
struct cm_catalog *
CmCatalog_New(size_t n_routes, size_t n_services);

/// Puts the routes into the order in which they are tried; to be called once
/// all fields are filled in.
void
CmCatalog_SortRoutes(struct cm_catalog *catalog);

/// Takes one more reference.
struct cm_catalog *
CmCatalog_Ref(struct cm_catalog *catalog);

/// Returns a reference; NULL is harmless.
void
CmCatalog_Unref(struct cm_catalog *catalog);

/// @return the route of a request, or NULL. A port in `host` is ignored.
const struct cm_route *
CmCatalog_FindRoute(const struct cm_catalog *catalog, const char *host,
                    const char *path);

/// @return the service that a route's split gives to `draw` (from 0 to 1).
const char *
CmRoute_ChooseService(const struct cm_route *route, double draw);

/// @return time without an event after which callers leave a stream of the
/// route, in ms; what would begin later is worth nothing to them.
int64_t
CmRoute_ClientIdleTimeoutMs(const struct cm_route *route);

/// @return the service called `name`, or NULL.
const struct cm_service_spec *
CmCatalog_FindService(const struct cm_catalog *catalog, const char *name);

#endif
