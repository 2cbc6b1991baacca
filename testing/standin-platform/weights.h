/// @file weights.h
/// The weight store: starts transfers at a limited rate; up to eight at once
/// run at full speed, more share what eight would get.

#ifndef WEIGHTS_H
#define WEIGHTS_H

#include <event2/event.h>
#include <event2/http.h>

#include "base/list.h"
#include "standin.h"

#define WEIGHTS_FULL_SPEED_MAX 8

struct weights_transfer;

struct weights {
    struct event_base *base;
    double rate;        ///< transfers started a second
    double transfer_ms; ///< length of one at full speed
    size_t in_transit;  ///< asked for and not yet answered
    size_t in_transit_peak;
    double next_start_ms; ///< when the rate allows the next one
    struct standin_log *journal;
    LIST_HEAD(, weights_transfer) transfers;
};

/// Prepares a store.
void
Weights_Init(struct weights *weights, struct event_base *base, double rate,
             double transfer_ms, struct standin_log *journal);

/// Frees all transfers.
void
Weights_Finish(struct weights *weights);

/// Answers `GET /weights/NAME` once the transfer is through.
void
Weights_Handle(struct weights *weights, struct evhttp_request *request,
               const char *name);

#endif
