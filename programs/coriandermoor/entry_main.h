/// @file entry_main.h
/// Running an entry.

#ifndef ENTRY_MAIN_H
#define ENTRY_MAIN_H

/// Runs an entry with the settings file at `path`.
/// @return the process's exit code.
int
Entry_Main(const char *path);

#endif
