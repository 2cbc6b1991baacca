/// @file reload.h
/// Reloads the settings of a running gateway on SIGHUP or when the file has
/// changed. If the file is invalid, its errors are logged and the current
/// settings stay in force.

#ifndef GATEWAY_RELOAD_H
#define GATEWAY_RELOAD_H

#include "gateway.h"

/// Parses a gateway's settings; a callback of struct cm_program.
bool
Settings_Read(void *settings, const char *text, size_t size,
              struct cm_findings *findings);

/// Reads the settings file and applies the settings that may change at run
/// time: retry budget, drain and stop times, log format and level. A new retry
/// ratio applies only to services without a retry window yet.
void
Settings_Reload(struct gateway *gateway);

/// Reloads the settings if the file has changed.
void
Settings_ReloadIfChanged(struct gateway *gateway);

#endif
