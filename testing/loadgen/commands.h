/// @file commands.h
/// Subcommands of loadgen and their command-line options.

#ifndef COMMANDS_H
#define COMMANDS_H

#include "summary.h"

struct options {
    const char *addresses;       ///< addresses.json of scripts/devstack
    const char *out;             ///< output folder
    const char *seed;            ///< of the faults and the load of `faults`
    const char *duration;        ///< of the load of `faults`, in seconds
    const char *concurrency;     ///< callers of `latency`
    const char *count;           ///< requests that `latency` sends
    const char *target;          ///< IP:PORT that `latency` calls
    const char *path;            ///< path that `latency` requests
    const char *experiment_path; ///< positional argument of `run`
};

/// `loadgen run EXPERIMENT.yaml`: replays the experiment's trace against the
/// deployment and writes OUT/NAME.csv and OUT/NAME.json.
/// @return exit code; failure if any response was wrong.
int
Command_Run(const struct options *options);

/// `loadgen latency`: measures the latency of one address with a closed loop
/// of concurrent callers and prints quantiles as JSON.
/// @return exit code; failure if any call failed.
int
Command_Latency(const struct options *options);

/// `loadgen faults`: injects random faults under load, then checks the
/// invariants.
/// @return exit code; failure if an invariant was violated.
int
Command_Faults(const struct options *options);

/// Reads the current counters of the stand-in targets and the weight store.
struct server_stats
Command_ReadServerStats(const struct deployment *deployment);

#endif
