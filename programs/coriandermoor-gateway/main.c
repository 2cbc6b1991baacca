/// @file main.c
/// Program `coriandermoor-gateway`: the command `coriandermoor gateway`
/// without the libraries of the other commands, so that it starts sooner.

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

#include "config/program.h"
#include "gateway/gateway_main.h"

static int
usage(FILE *out, int code)
{
    fprintf(out, "usage: coriandermoor-gateway [--version] [--help] "
                 "[--settings FILE]\n");
    return code;
}

int
main(int argc, char **argv)
{
    CmProgram_HoldSignals();
    static const struct option options[] = {
        {"settings", required_argument, NULL, 's'},
        {"version", no_argument, NULL, 'v'},
        {"help", no_argument, NULL, 'h'},
        {0}};
    const char *path = NULL;
    int code;
    while ((code = getopt_long(argc, argv, "s:vh", options, NULL)) != -1) {
        switch (code) {
        case 's':
            path = optarg;
            break;
        case 'v':
            printf("coriandermoor-gateway %s\n", CM_VERSION);
            return EXIT_SUCCESS;
        case 'h':
            return usage(stdout, EXIT_SUCCESS);
        default:
            return usage(stderr, EXIT_FAILURE);
        }
    }
    if (optind < argc) {
        return usage(stderr, EXIT_FAILURE);
    }
    return Gateway_Main(path);
}
