/// @file commands.h
/// Subcommands of `coriandermoor` and their exit codes.

#ifndef COMMANDS_H
#define COMMANDS_H

/// Exit codes other than success.
enum cm_exit_code {
    CM_EXIT_REJECTED = 1, ///< the input is invalid, or the entry rejected it
    CM_EXIT_USAGE = 2,    ///< invalid command line, or unreadable input file
    CM_EXIT_CONFLICT = 3, ///< another revision than the base is in force
    CM_EXIT_UNKNOWN = 4,  ///< no answer, a server error or unreadable logs
};

/// Run one subcommand. `argv[0]` is its name.
/// @return the exit code of the process.
int
Command_Entry(int argc, char **argv);
int
Command_Gateway(int argc, char **argv);
int
Command_Check(int argc, char **argv);
int
Command_Explain(int argc, char **argv);
int
Command_Apply(int argc, char **argv);
int
Command_Show(int argc, char **argv);
int
Command_Status(int argc, char **argv);

#endif
