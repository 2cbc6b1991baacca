/// @file first_choices.c
/// Prints for each adapter which of some idle engines, none of which has a
/// copy, gateways pick for it.
/// Usage: first-choices MODEL PREFIX COUNT ADDRESS...
///
/// The adapters are MODEL/PREFIX0, MODEL/PREFIX1 and so on. Prints one address
/// a line.

#include <stdio.h>
#include <stdlib.h>

#include "dispatch/pick.h"

/// Place of the first address on the command line.
#define FIRST_ADDRESS 4

int
main(int argc, char **argv)
{
    if (argc <= FIRST_ADDRESS) {
        fprintf(stderr,
                "usage: first-choices MODEL PREFIX COUNT ADDRESS...\n");
        return EXIT_FAILURE;
    }
    long count = strtol(argv[3], NULL, 10);
    struct timespec now = {.tv_sec = 1000};
    struct cm_targets targets;
    CmTargets_Init(&targets, "a", 1);
    for (int i = FIRST_ADDRESS; i < argc; i++) {
        struct cm_target_info info = {.id = argv[i],
                                      .service = "s",
                                      .address = argv[i],
                                      .zone = "a",
                                      .max_requests = 1,
                                      .is_engine = true,
                                      .has_model = true};
        CmTargets_Update(&targets, &info);
    }
    for (long i = 0; i < count; i++) {
        char *adapter = g_strdup_printf("%s/%s%ld", argv[1], argv[2], i);
        struct cm_pick_request request = {
            .service = "s", .adapter = adapter, .needs_model = true};
        struct cm_pick pick;
        CmPick_Engine(&targets, &request, now, &pick);
        puts(pick.target->address);
        g_free(adapter);
    }
    CmTargets_Finish(&targets);
    return EXIT_SUCCESS;
}
