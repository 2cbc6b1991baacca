/// @file peer_call.h
/// Call to the control address of another gateway: a JSON message and its
/// response.

#ifndef GATEWAY_PEER_CALL_H
#define GATEWAY_PEER_CALL_H

#include "gateway.h"

/// A call, on the caller's memory.
struct peer_call {
    struct gateway *gateway;
    struct cm_h1_call call;
    struct event *timer;
    int status;
    GString *body;
    /// Told of the response, or NULL if there is none. The call may be
    /// finished in it.
    void (*done)(void *context, const GString *body);
    void *context;
};

struct peer_message {
    const char *peer; ///< IP:PORT, borrowed until the call is finished
    const char *path;
    const char *body; ///< JSON
    int64_t timeout_ms;
};

/// Starts a call; it is to be finished with PeerCall_Finish().
/// @return false if it can't be started. `done` is not called then.
bool
PeerCall_Start(struct peer_call *call, struct gateway *gateway,
               const struct peer_message *message,
               void (*done)(void *context, const GString *body),
               void *context);

/// Cancels the call if it is under way, and frees what it holds.
void
PeerCall_Finish(struct peer_call *call);

#endif
