/// @file weights.h
/// Simulated weight store. It starts transfers at a limited rate. Up to
/// WEIGHTS_FULL_SPEED_MAX of them run at full speed; more share the bandwidth
/// of that number.

#ifndef WEIGHTS_H
#define WEIGHTS_H

#include <event2/event.h>
#include <event2/http.h>

#include "base/list.h"
#include "standin.h"

/// Concurrent transfers that don't slow each other down.
#define WEIGHTS_FULL_SPEED_MAX 8

struct weights_transfer;

struct weights {
    struct event_base *base;
    double transfers_per_s; ///< rate at which transfers start
    double transfer_ms;     ///< duration of a transfer at full speed
    size_t in_transit;      ///< requested and not answered, started or not
    size_t in_transit_peak;
    double next_start_ms; ///< earliest start of the next transfer
    struct standin_log *execution_log;
    LIST_HEAD(, weights_transfer) transfers;
};

/// Initializes a store without transfers.
/// @param execution_log receives an entry for each requested transfer.
void
Weights_Init(struct weights *weights, struct event_base *base,
             double transfers_per_s, double transfer_ms,
             struct standin_log *execution_log);

/// Frees all transfers.
void
Weights_Finish(struct weights *weights);

/// Handles `GET /weights/NAME`. Answers once the transfer is complete.
void
Weights_Handle(struct weights *weights, struct evhttp_request *request,
               const char *name);

#endif
