/// @file main.c
/// Program `coriandermoor-slots`: the command `coriandermoor-agent slots`
/// without the libraries of the other agent, so that it starts sooner.

#include "config/program.h"
#include "slots/slots_main.h"

int
main(int argc, char **argv)
{
    CmProgram_HoldSignals();
    return Slots_Main(argc, argv);
}
