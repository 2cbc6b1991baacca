/// @file shared_state.h
/// Options, execution log and HTTP client that all targets of the process
/// share.

#ifndef SHARED_STATE_H
#define SHARED_STATE_H

#include "http/client.h"
#include "standin.h"

struct shared_state {
    struct event_base *base;
    struct cm_http_client client;     ///< for calls to the weight store
    struct standin_log execution_log; ///< one entry per started run
    const char *weights;              ///< IP:PORT of the weight store
    GRand *random;
    int slots;               ///< adapter slots of an engine
    int capacity;            ///< largest batch of an engine
    double step_ms;          ///< fixed part of a decode step
    double step_request_ms;  ///< part of a decode step for each request
    double prefill_us;       ///< unused
    int report_lag_ms;       ///< interval at which load reports are sampled
    bool reject_stale_fence; ///< rejects orders with a stale fencing token
};

#endif
