/// @file reload.c
/// Reloads the settings of a running gateway.

#include "reload.h"

#include <inttypes.h>
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
needs_restart(const struct cm_gateway_settings *now,
              const struct cm_gateway_settings *next)
{
    return strcmp(now->common.name, next->common.name) != 0 ||
           strcmp(now->common.zone, next->common.zone) != 0 ||
           strcmp(now->common.admin, next->common.admin) != 0 ||
           strcmp(now->listen, next->listen) != 0 ||
           strcmp(now->ready, next->ready) != 0 ||
           strcmp(now->store, next->store) != 0 ||
           g_strcmp0(now->control, next->control) != 0 ||
           now->agent_port != next->agent_port ||
           now->retry_window_s != next->retry_window_s;
}

static void
log_reload(const struct cm_gateway_settings *now, bool restart)
{
    CmLog_Event(
        G_LOG_LEVEL_INFO, "settings", NULL,
        "read again: repeats %.3f and %" PRId64 ", drain %" PRId64
        " ms, stop %" PRId64 " s%s",
        now->retry_ratio, now->retry_reserve, now->drain_ms, now->stop_s,
        restart ? "; names, addresses and the window hold until a restart"
                : "");
}

void
Settings_Reload(struct gateway *gateway)
{
    static const struct cm_program program = {"coriandermoor", Settings_Read,
                                              NULL};
    struct cm_gateway_settings *now = &gateway->settings;
    struct cm_gateway_settings next = {0};
    CmProgram_FileChanged(now->common.path, &gateway->settings_mark);
    if (!CmProgram_ReloadSettings(&program, now->common.path, &next)) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "settings", NULL,
                    "the settings in force stay");
        return;
    }
    now->retry_ratio = next.retry_ratio;
    now->retry_reserve = next.retry_reserve;
    now->drain_ms = next.drain_ms;
    now->stop_s = next.stop_s;
    StoreWatch_UpdatePace(gateway);
    CmLog_Init(next.common.log_format, next.common.log_level,
               now->common.name);
    log_reload(now, needs_restart(now, &next));
    CmYaml_Finish(&next.common.yaml);
}

void
Settings_ReloadIfChanged(struct gateway *gateway)
{
    if (CmProgram_FileChanged(gateway->settings.common.path,
                              &gateway->settings_mark)) {
        Settings_Reload(gateway);
    }
}
