/// @file trace.h
/// Synthetic request trace of an experiment. The trace depends on the
/// experiment and its seed alone, not on the responses.

#ifndef TRACE_H
#define TRACE_H

#include "experiment.h"

enum trace_kind { TRACE_COMPLETION, TRACE_STREAM, TRACE_LOOKUP, TRACE_LEDGER };

struct trace_request {
    double arrival_s; ///< since the start of the trace
    enum trace_kind kind;
    int adapter; ///< index from 0
    int tokens;  ///< response length
    int prefix;  ///< index of the shared prompt prefix
    bool resend; ///< a ledger request is duplicated
};

struct trace {
    GArray *requests; ///< of struct trace_request, in order of arrival
};

/// Generates the trace.
void
Trace_Init(struct trace *trace, const struct experiment *experiment);

/// Frees the trace.
void
Trace_Finish(struct trace *trace);

#endif
