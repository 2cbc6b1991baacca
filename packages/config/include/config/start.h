/// @file start.h
/// Starts a program from its settings file: reads it, reports all findings
/// together, sets the log up, and runs.

#ifndef CONFIG_START_H
#define CONFIG_START_H

#include "config/settings.h"

/// A kind of program.
struct cm_program {
    const char *name; ///< for messages on standard error
    /// Reads its settings; their first member is a struct cm_settings.
    bool (*read)(void *settings, const char *text, size_t size,
                 struct cm_findings *findings);
    /// Runs until it is stopped.
    int (*run)(void *state);
};

/// Reads `path` into `settings` and runs with `state`.
/// @return the exit code of the process: 1 if the settings are not sound.
int
CmProgram_Start(const struct cm_program *program, const char *path,
                void *settings, void *state);

/// @return the settings file of a program that was given none: what the
/// platform's variable names, or the platform's place for it.
const char *
CmProgram_DefaultSettings(void);

#endif
