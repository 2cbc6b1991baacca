/// @file slots_main.h
/// Entry point of the command `coriandermoor-agent slots`, an agent that
/// leases the adapter slots of one engine to gateways.

#ifndef SLOTS_SLOTS_MAIN_H
#define SLOTS_SLOTS_MAIN_H

/// Runs the agent until SIGTERM or SIGINT.
/// @return the exit code of the process.
int
Slots_Main(int argc, char **argv);

#endif
