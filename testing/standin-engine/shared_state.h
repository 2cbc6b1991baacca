/// @file shared_state.h
/// What the engines and plain targets of one stand-in process share.

#ifndef FLEET_H
#define FLEET_H

#include "http/client.h"
#include "standin.h"

struct fleet {
    struct event_base *base;
    struct cm_http_client client; ///< towards the weight store
    struct standin_log journal;   ///< runs started
    const char *weights;          ///< IP:PORT of the weight store
    GRand *random;
    int slots;              ///< adapter slots of an engine
    int capacity;           ///< requests an engine runs at once
    double step_ms;         ///< one decoding step of an empty batch
    double step_request_ms; ///< added by each request in the batch
    double prefill_us;      ///< added by each prompt token without a cache
    int report_lag_ms;      ///< age of the load report
    bool keep_fence;        ///< whether orders with an old fence are refused
};

#endif
