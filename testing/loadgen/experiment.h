/// @file experiment.h
/// Experiment file: arrival process and mix of the generated requests.

#ifndef EXPERIMENT_H
#define EXPERIMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/finding.h"
#include "config/yaml_defs.h"

struct experiment {
    struct cm_yaml yaml; ///< owns all strings
    const char *name;
    int64_t seed;
    double rate;       ///< mean arrivals per second
    double duration_s; ///< length of the arrival phase
    double warmup_s;   ///< start of that phase, excluded from the summary
    int64_t adapters;
    const char *adapter_prefix;
    double zipf;        ///< exponent of adapter popularity
    int64_t tokens_min; ///< response length
    int64_t tokens_max;
    int64_t prompt_bytes;
    int64_t prefixes;    ///< number of distinct shared prompt prefixes
    double stream_share; ///< of completions that stream
    double lookup_share; ///< of all requests: idempotent GETs of the plain
                         ///< service
    double ledger_share; ///< of all requests: POSTs with an idempotency key
    double resend_share; ///< of those POSTs: duplicated to another entry
    double shift_at_s;   ///< when the rarest adapter becomes hot; 0 for never
    double shift_share;  ///< of requests that then go to it
    double churn_share;  ///< of adapters that change rank per minute
    const char *plain_service;
    int64_t timeout_ms;
};

/// Parses an experiment file. Call Experiment_Finish() also after a failure.
/// @param[out] findings errors with their positions
/// @return whether the file is valid.
bool
Experiment_Init(struct experiment *experiment, const char *text, size_t size,
                struct cm_findings *findings);

/// Frees the experiment.
void
Experiment_Finish(struct experiment *experiment);

#endif
