/// @file slots_main.h
/// Entry point of an agent that keeps slots.

#ifndef SLOTS_SLOTS_MAIN_H
#define SLOTS_SLOTS_MAIN_H

/// Runs the agent until it is stopped.
/// @return the exit code of the process.
int
Slots_Main(int argc, char **argv);

#endif
