/// @file main.c
/// loadgen: load generator for experiments and fault-injection tests. Not part
/// of a release.

#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "commands.h"

static int
print_usage(FILE *out, int code)
{
    fprintf(out, "usage: loadgen run EXPERIMENT.yaml [--addresses FILE] "
                 "[--out FOLDER]\n"
                 "       loadgen latency --target IP:PORT --path PATH "
                 "[--concurrency N] [--count N]\n"
                 "       loadgen faults [--seed S] [--duration SECONDS] "
                 "[--addresses FILE] [--out FOLDER]\n");
    return code;
}

int
main(int argc, char **argv)
{
    static const struct option long_options[] = {
        {"addresses", required_argument, NULL, 'a'},
        {"out", required_argument, NULL, 'o'},
        {"seed", required_argument, NULL, 's'},
        {"duration", required_argument, NULL, 'd'},
        {"concurrency", required_argument, NULL, 'c'},
        {"count", required_argument, NULL, 'n'},
        {"target", required_argument, NULL, 't'},
        {"path", required_argument, NULL, 'p'},
        {"help", no_argument, NULL, 'h'},
        {0}};
    struct options options = {.addresses = "build/devstack/addresses.json",
                              .out = "build/bench",
                              .seed = "1",
                              .duration = "60",
                              .concurrency = "1",
                              .count = "1000",
                              .path = "/"};
    if (argc < 2) {
        return print_usage(stderr, EXIT_FAILURE);
    }
    const char *command = argv[1];
    argc--;
    argv++;
    int code;
    while ((code = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
        switch (code) {
        case 'a':
            options.addresses = optarg;
            break;
        case 'o':
            options.out = optarg;
            break;
        case 's':
            options.seed = optarg;
            break;
        case 'd':
            options.duration = optarg;
            break;
        case 'c':
            options.concurrency = optarg;
            break;
        case 'n':
            options.count = optarg;
            break;
        case 't':
            options.target = optarg;
            break;
        case 'p':
            options.path = optarg;
            break;
        default:
            return print_usage(code == 'h' ? stdout : stderr,
                               code == 'h' ? EXIT_SUCCESS : EXIT_FAILURE);
        }
    }
    options.experiment_path = optind < argc ? argv[optind] : NULL;
    signal(SIGPIPE, SIG_IGN);
    g_mkdir_with_parents(options.out, 0755);
    if (strcmp(command, "run") == 0) {
        return Command_Run(&options);
    }
    if (strcmp(command, "latency") == 0) {
        return Command_Latency(&options);
    }
    if (strcmp(command, "faults") == 0) {
        return Command_Faults(&options);
    }
    return print_usage(stderr, EXIT_FAILURE);
}
