/// @file shutdown.h
/// Graceful shutdown of a gateway: until when requests are accepted, when
/// those in progress are ended, and when the process exits.

#ifndef GATEWAY_SHUTDOWN_H
#define GATEWAY_SHUTDOWN_H

#include "gateway.h"

struct request;

void
Shutdown_Init(struct gateway *gateway);

void
Shutdown_Finish(struct gateway *gateway);

/// Begins the shutdown. Further signals change nothing.
void
Shutdown_Begin(struct gateway *gateway, int signal_number);

/// Records a tick. To be called first at each tick, also before a shutdown.
void
Shutdown_CountTick(struct gateway *gateway);

/// Advances the shutdown, if it has begun. To be called last at each tick.
void
Shutdown_Tick(struct gateway *gateway);

/// @return ms until the requests in progress are ended, but for streams that
/// have begun, or INT64_MAX if no shutdown has begun.
int64_t
Shutdown_LeftMs(const struct gateway *gateway);

/// @return whether the request may be accepted: its deadline must lie before
/// the shutdown's end, except early on and while there is time to serve it.
bool
Shutdown_Accepts(const struct request *request);

/// Logs what the shutdown has done, once the event loop has ended.
void
Shutdown_LogEnd(const struct gateway *gateway);

#endif
