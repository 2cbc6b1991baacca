/// @file request.h
/// One request of a caller, from its arrival to its final answer.

#ifndef GATEWAY_REQUEST_H
#define GATEWAY_REQUEST_H

#include "caller_conns.h"

/// Starts to serve the request that `caller` has read.
void
Request_Start(struct caller *caller);

/// The process stops: gives the final answer at once.
void
Request_Stop(struct request *request);

/// The caller has gone: ends all work for it.
void
Request_Abandon(struct request *request);

#endif
