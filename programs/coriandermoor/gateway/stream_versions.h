/// @file stream_versions.h
/// Software versions of streams. What two versions of an engine's software
/// write doesn't fit together, so that a stream goes on only at targets of the
/// version that began it, at this gateway or at another one
/// (docs/design/stream-versions.md).

#ifndef GATEWAY_STREAM_VERSIONS_H
#define GATEWAY_STREAM_VERSIONS_H

#include "request_defs.h"

void
StreamVersions_Init(struct gateway *gateway);

/// Opens the port for datagrams of agents.
/// @return whether it is open; sets `error` otherwise.
gboolean
StreamVersions_Listen(struct gateway *gateway, GError **error);

void
StreamVersions_Finish(struct gateway *gateway);

/// Renews records at their holders and forgets old ones.
/// Goes on with the lookups that waited for the list of targets. To be called
/// whenever the store has confirmed it.
void
StreamVersions_HandleList(struct gateway *gateway);

void
StreamVersions_Tick(struct gateway *gateway);

/// Finds the version to which the request is bound, if its caller resumes a
/// stream.
/// @return whether it may be placed now. Otherwise it waits for the version,
/// or has been refused and freed.
bool
StreamVersions_Resolve(struct request *request);

/// @return whether the present attempt's target has another version than the
/// one to which the request is bound, so that its events can't be used.
bool
StreamVersions_IsForeignAttempt(const struct request *request);

/// Binds the request to the version of the present attempt's target, before
/// the first events are sent to the caller.
void
StreamVersions_CountEvents(struct request *request);

/// @return the version to which the request is bound, or NULL.
const char *
StreamVersions_Required(const struct request *request);

/// @return whether the request is bound to a version of which no target is
/// left that may get work, now or after a while.
bool
StreamVersions_IsGone(struct request *request);

/// Chooses Retry-After for a request that is refused for its version.
/// @param[out] ms until the caller is to retry; -1 for never.
/// @return whether it is.
bool
StreamVersions_RetryAfterMs(const struct request *request, int64_t *ms);

/// Ends the lookup of a request that ends.
void
StreamVersions_FinishRequest(struct request *request);

#endif
