/// @file main.c
/// Main program `coriandermoor`: runs one of its subcommands.

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "commands.h"
#include "config/program.h"
#include "entry_main.h"

static const struct {
    const char *name;
    int (*run)(int argc, char **argv);
    const char *help;
    bool serves; ///< installs signal handlers
} commands[] = {
    {"entry", Command_Entry, "serve callers and operators", true},
    {"gateway", Command_Gateway, "serve callers of the platform deployment",
     true},
    {"check", Command_Check, "validate a configuration and print its findings",
     false},
    {"explain", Command_Explain, "print the timeline of a request from logs",
     false},
    {"apply", Command_Apply, "submit a configuration", false},
    {"show", Command_Show, "print the configuration in force", false},
    {"status", Command_Status, "print the state of the fleet", false},
};

#define N_COMMANDS (sizeof(commands) / sizeof(commands[0]))

static int
print_usage(FILE *out, int code)
{
    fprintf(out, "usage: coriandermoor COMMAND [OPTION...]\n\ncommands:\n");
    for (size_t i = 0; i < N_COMMANDS; i++) {
        fprintf(out, "  %-8s %s\n", commands[i].name, commands[i].help);
    }
    fprintf(out,
            "\n`coriandermoor COMMAND --help` lists its options.\n"
            "Exit codes: 0 success, 1 invalid or rejected, 2 usage error, "
            "3 conflict, 4 unreachable or unknown.\n");
    return code;
}

int
main(int argc, char **argv)
{
    CmProgram_HoldSignals();
    if (argc < 2) {
        return print_usage(stderr, CM_EXIT_USAGE);
    }
    if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
        return print_usage(stdout, EXIT_SUCCESS);
    }
    if (strcmp(argv[1], "--version") == 0) {
        printf("coriandermoor %s\n", CM_VERSION);
        return EXIT_SUCCESS;
    }
    for (size_t i = 0; i < N_COMMANDS; i++) {
        if (strcmp(argv[1], commands[i].name) == 0) {
            if (!commands[i].serves) {
                CmProgram_ReleaseSignals();
            }
            return commands[i].run(argc - 1, argv + 1);
        }
    }
    fprintf(stderr, "coriandermoor: unknown command \"%s\"\n", argv[1]);
    return print_usage(stderr, CM_EXIT_USAGE);
}
