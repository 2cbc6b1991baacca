/// @file program.h
/// Runs a program from its settings file: reads the settings, reports all
/// findings, initializes the log and calls the program's main function. Also
/// detects changes of the file and reads it again.

#ifndef CONFIG_PROGRAM_H
#define CONFIG_PROGRAM_H

#include <stdbool.h>
#include <stdint.h>

#include "config/settings.h"

/// Functions of one program.
struct cm_program {
    const char *name; ///< for messages on standard error
    /// Parses the program's settings struct, whose first member is a
    /// struct cm_settings. @return whether the settings are valid.
    bool (*read)(void *settings, const char *text, size_t size,
                 struct cm_findings *findings);
    /// Runs until the program is stopped. @return the exit code.
    int (*run)(void *state);
};

/// Blocks SIGHUP, SIGINT and SIGTERM, whose default action ends the process.
/// To be called first in main(); signals that arrive from then on stay pending
/// until CmProgram_ReleaseSignals().
void
CmProgram_HoldSignals(void);

/// Delivers pending signals, once their handlers are installed.
void
CmProgram_ReleaseSignals(void);

/// Reads the file at `path` into `settings` and runs the program with
/// `state`, which calls CmProgram_ReleaseSignals().
/// @return the exit code of the process; 1 if the settings are invalid.
int
CmProgram_Start(const struct cm_program *program, const char *path,
                void *settings, void *state);

/// Attributes by which a changed file is detected.
struct cm_file_stamp {
    int64_t modified_ns;
    int64_t size;
    uint64_t inode; ///< changes when the file is replaced by a rename
};

/// Compares the file at `path` with `stamp` and updates the stamp.
/// @param stamp zeroed before the first call.
/// @return whether the file was changed or replaced since the last call; false
///         on the first call and if stat() fails.
bool
CmProgram_FileChanged(const char *path, struct cm_file_stamp *stamp);

/// Reads the settings file of a running program again and logs the findings.
/// @param settings zeroed; if valid, its YAML document has to be freed with
///                 CmYaml_Finish().
/// @return whether the settings are valid.
bool
CmProgram_ReloadSettings(const struct cm_program *program, const char *path,
                         void *settings);

/// @return the settings file to read if none is given on the command line: the
///         value of the environment variable CORIANDERMOOR_BOOT, or the path
///         where the platform installs the file.
const char *
CmProgram_DefaultSettingsPath(void);

#endif
