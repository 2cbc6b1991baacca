/// @file experiment.h
/// An experiment: how requests arrive and what they are.

#ifndef EXPERIMENT_H
#define EXPERIMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/finding.h"
#include "config/yaml_defs.h"

struct experiment {
    struct cm_yaml yaml; ///< owns all texts
    const char *name;
    int64_t seed;
    double rate;       ///< requests a second
    double duration_s; ///< of arrivals
    double warmup_s;   ///< of those, not counted in the summary
    int64_t adapters;
    const char *adapter_prefix;
    double zipf;        ///< exponent of the popularity
    int64_t tokens_min; ///< of the answer
    int64_t tokens_max;
    int64_t prompt_bytes;
    int64_t prefixes;    ///< shared prompt beginnings
    double stream_share; ///< of completions
    double lookup_share; ///< of all: idempotent plain calls
    double ledger_share; ///< of all: plain calls that must not repeat
    double resend_share; ///< of ledger calls: sent again to another entry
    double shift_at_s;   ///< a rare adapter becomes hot; 0 is never
    double shift_share;  ///< of completions that then go to it
    double churn_share;  ///< of adapters that swap popularity per minute
    const char *plain_service;
    int64_t timeout_ms;
};

/// Reads an experiment.
/// @return whether it is sound; Experiment_Finish() is due either way.
bool
Experiment_Init(struct experiment *experiment, const char *text, size_t size,
                struct cm_findings *findings);

/// Frees the experiment.
void
Experiment_Finish(struct experiment *experiment);

#endif
