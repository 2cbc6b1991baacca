/// @file experiment.c
/// Reading an experiment.

#include "experiment.h"

#include "config/yaml.h"

#define FIELD(name, type, required, minimum, maximum)                         \
    {                                                                         \
#name, type, required, offsetof(struct experiment, name), minimum,    \
            maximum                                                           \
    }

bool
Experiment_Init(struct experiment *experiment, const char *text, size_t size,
                struct cm_findings *findings)
{
    static const struct cm_yaml_field fields[] = {
        FIELD(name, CM_YAML_STRING, true, 0, 0),
        FIELD(seed, CM_YAML_INTEGER, true, 0, 4294967295.0),
        FIELD(rate, CM_YAML_REAL, true, 0.1, 100000),
        FIELD(duration_s, CM_YAML_REAL, true, 0.1, 3600),
        FIELD(warmup_s, CM_YAML_REAL, false, 0, 3600),
        FIELD(adapters, CM_YAML_INTEGER, true, 1, 100000),
        FIELD(adapter_prefix, CM_YAML_STRING, true, 0, 0),
        FIELD(zipf, CM_YAML_REAL, false, 0, 5),
        FIELD(tokens_min, CM_YAML_INTEGER, false, 1, 100000),
        FIELD(tokens_max, CM_YAML_INTEGER, false, 1, 100000),
        FIELD(prompt_bytes, CM_YAML_INTEGER, false, 1, 1000000),
        FIELD(prefixes, CM_YAML_INTEGER, false, 1, 100000),
        FIELD(stream_share, CM_YAML_REAL, false, 0, 1),
        FIELD(lookup_share, CM_YAML_REAL, false, 0, 1),
        FIELD(ledger_share, CM_YAML_REAL, false, 0, 1),
        FIELD(resend_share, CM_YAML_REAL, false, 0, 1),
        FIELD(shift_at_s, CM_YAML_REAL, false, 0, 3600),
        FIELD(shift_share, CM_YAML_REAL, false, 0, 1),
        FIELD(churn_share, CM_YAML_REAL, false, 0, 1),
        FIELD(plain_service, CM_YAML_STRING, false, 0, 0),
        FIELD(timeout_ms, CM_YAML_INTEGER, false, 1, 600000),
    };
    *experiment = (struct experiment){.zipf = 1.0,
                                      .tokens_min = 8,
                                      .tokens_max = 32,
                                      .prompt_bytes = 200,
                                      .prefixes = 50,
                                      .timeout_ms = 30000};
    CmYaml_Init(&experiment->yaml, text, size, findings);
    if (experiment->yaml.root != NULL) {
        CmYaml_ReadMapping(experiment->yaml.root, "the experiment", fields,
                           G_N_ELEMENTS(fields), experiment, findings);
    }
    if (experiment->tokens_max < experiment->tokens_min) {
        CmFindings_Add(findings, 0, 0, "tokens_max is below tokens_min");
    }
    return findings->count == 0;
}

void
Experiment_Finish(struct experiment *experiment)
{
    CmYaml_Finish(&experiment->yaml);
}
