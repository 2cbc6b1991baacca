/// @file yaml_fuzz.c
/// Fuzz target: the operators' configuration and the settings files of the
/// entry and the agent.

#include <stddef.h>
#include <stdint.h>

#include "config/config.h"
#include "config/settings.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const char *text = (const char *)data;
    struct cm_findings findings;
    CmFindings_Init(&findings, "fuzz", CM_FINDINGS_MAX);
    struct cm_config config;
    CmConfig_Init(&config, text, size, &findings);
    CmConfig_Finish(&config);
    struct cm_entry_settings entry;
    CmSettings_ReadEntry(&entry, text, size, &findings);
    CmSettings_FinishEntry(&entry);
    struct cm_agent_settings agent;
    CmSettings_ReadAgent(&agent, text, size, &findings);
    CmSettings_FinishAgent(&agent);
    g_free(CmFindings_Report(&findings));
    CmFindings_Finish(&findings);
    return 0;
}
