/// @file commands.h
/// The operators' commands and their exit codes.

#ifndef COMMANDS_H
#define COMMANDS_H

/// Exit codes besides 0.
enum cm_exit_code {
    CM_EXIT_REJECTED = 1, ///< findings, or refused
    CM_EXIT_USAGE = 2,    ///< wrong use of the command line
    CM_EXIT_CONFLICT = 3, ///< another revision is in force
    CM_EXIT_UNKNOWN = 4,  ///< out of reach, or no answer
};

/// Each runs one command with its own arguments.
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
