/// @file commands.h
/// What loadgen can do.

#ifndef COMMANDS_H
#define COMMANDS_H

#include "summary.h"

struct options {
    const char *addresses; ///< file that scripts/devstack wrote
    const char *out;       ///< folder for results
    const char *seed;
    const char *duration;
    const char *concurrency;
    const char *count;
    const char *target; ///< IP:PORT to call directly
    const char *path;
    const char *experiment_path; ///< the one argument
};

/// `run EXPERIMENT.yaml`: sends a trace and writes its figures.
int
Command_Run(const struct options *options);

/// `latency`: calls one address in closed loop.
int
Command_Latency(const struct options *options);

/// `faults`: sends load while faults are drawn, then checks the promises.
int
Command_Faults(const struct options *options);

/// Reads the present figures of targets and weight store.
struct server_stats
Command_ReadServerStats(const struct deployment *deployment);

#endif
