/// @file trace.h
/// The seeded list of requests of an experiment. The same seed gives the same
/// trace, whatever answers it.

#ifndef TRACE_H
#define TRACE_H

#include "experiment.h"

enum trace_kind { TRACE_COMPLETION, TRACE_STREAM, TRACE_LOOKUP, TRACE_LEDGER };

struct trace_request {
    double arrival_s; ///< arrival after the start
    enum trace_kind kind;
    int adapter; ///< from 0
    int tokens;
    int prefix;
    bool resend;
};

struct trace {
    GArray *requests; ///< of struct trace_request, by arrival
};

/// Draws the trace.
void
Trace_Init(struct trace *trace, const struct experiment *experiment);

/// Frees the trace.
void
Trace_Finish(struct trace *trace);

#endif
