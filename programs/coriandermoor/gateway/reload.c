/// @file reload.c
/// Reloads the settings of a running gateway.

#include "reload.h"

#include <string.h>

#include "base/log.h"
#include "config/yaml.h"
#include "store_watches.h"

bool
Settings_Read(void *settings, const char *text, size_t size,
              struct cm_findings *findings)
{
    return CmSettings_ReadGateway(settings, text, size, findings);
}

/// @return whether a setting has changed that takes effect only after a
/// restart.
static bool
needs_restart(const struct cm_gateway_settings *current,
              const struct cm_gateway_settings *next)
{
    return strcmp(current->common.name, next->common.name) != 0 ||
           strcmp(current->common.zone, next->common.zone) != 0 ||
           strcmp(current->common.admin, next->common.admin) != 0 ||
           strcmp(current->listen, next->listen) != 0 ||
           strcmp(current->ready, next->ready) != 0 ||
           strcmp(current->store, next->store) != 0 ||
           g_strcmp0(current->control, next->control) != 0 ||
           current->agent_port != next->agent_port ||
           current->retry_window_s != next->retry_window_s;
}

static void
log_reload(const struct cm_gateway_settings *current, size_t n_seeds,
           bool restart)
{
    CmLog_Event(G_LOG_LEVEL_INFO, "settings", NULL,
                "read again: repeats %.3f and %g, drain %g ms, stop %g s, %zu "
                "seeds%s",
                current->retry_ratio, current->retry_reserve,
                current->drain_ms, current->stop_s, n_seeds,
                restart ? "; changed names, addresses and retry window apply "
                          "after a restart"
                        : "");
}

void
Settings_Reload(struct gateway *gateway)
{
    static const struct cm_program program = {"coriandermoor", Settings_Read,
                                              NULL};
    struct cm_gateway_settings *current = &gateway->settings;
    struct cm_gateway_settings next = {0};
    CmProgram_FileChanged(current->common.path, &gateway->settings_stamp);
    if (!CmProgram_ReloadSettings(&program, current->common.path, &next)) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "settings", NULL,
                    "the settings in force stay");
        return;
    }
    current->retry_ratio = next.retry_ratio;
    current->retry_reserve = next.retry_reserve;
    current->drain_ms = next.drain_ms;
    current->stop_s = next.stop_s;
    current->strict_revoke = next.strict_revoke;
    current->revoke_ms = next.revoke_ms;
    CmRoster_SetSeeds(&gateway->gossip.roster, next.seeds, next.n_seeds);
    StoreWatch_UpdateTiming(gateway);
    CmLog_Init(next.common.log_format, next.common.log_level,
               current->common.name);
    log_reload(current, next.n_seeds, needs_restart(current, &next));
    CmYaml_Finish(&next.common.yaml);
}

void
Settings_ReloadIfChanged(struct gateway *gateway)
{
    if (CmProgram_FileChanged(gateway->settings.common.path,
                              &gateway->settings_stamp)) {
        Settings_Reload(gateway);
    }
}
