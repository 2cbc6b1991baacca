/// @file reload.h
/// The settings of a running gateway: read again on a signal, or when the
/// file has changed. Findings are logged and the settings in force stay.

#ifndef GATEWAY_RELOAD_H
#define GATEWAY_RELOAD_H

#include "gateway.h"

/// Reads a gateway's settings; for struct cm_program.
bool
Settings_Read(void *settings, const char *text, size_t size,
              struct cm_findings *findings);

/// Takes the settings that may change while the gateway runs: repeats, drain
/// and stop times, the log.
void
Settings_Reload(struct gateway *gateway);

/// Takes the file if it has changed.
void
Settings_ReloadIfChanged(struct gateway *gateway);

#endif
