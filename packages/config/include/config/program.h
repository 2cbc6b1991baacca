/// @file program.h
/// Starts a program from its settings file: reads it, reports all findings
/// together, sets the log up, and runs.

#ifndef CONFIG_PROGRAM_H
#define CONFIG_PROGRAM_H

#include <stdbool.h>
#include <stdint.h>

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

/// What tells whether a file has changed.
struct cm_file_stamp {
    int64_t modified_ns;
    int64_t size;
    uint64_t number; ///< of the file itself, as it may be replaced by another
};

/// @return whether `path` is another file, or changed, since the last call
/// with this mark; false if it can't be looked at.
bool
CmProgram_FileChanged(const char *path, struct cm_file_stamp *mark);

/// Reads the settings file of a running program again; findings go to the
/// log.
/// @param settings  zeroed; to be freed with CmYaml_Finish() if it is sound.
/// @return whether it is sound.
bool
CmProgram_ReloadSettings(const struct cm_program *program, const char *path,
                         void *settings);

/// @return the settings file of a program that was given none: what the
/// platform's variable names, or the platform's place for it.
const char *
CmProgram_DefaultSettingsPath(void);

#endif
