/// @file holders.c
/// Consistent hashing of streams to agents.

#include "streams/holders.h"

#include <stdbool.h>
#include <string.h>

#include "base/hash.h"

static bool
contains(const char *const addresses[], size_t n, const char *address)
{
    for (size_t i = 0; i < n; i++) {
        if (strcmp(addresses[i], address) == 0) {
            return true;
        }
    }
    return false;
}

size_t
CmStreamHolders_Choose(const struct cm_targets *targets, const char *id,
                       size_t n, const char *addresses[])
{
    const GPtrArray *engines = targets->index.engines;
    size_t start = CmTargetIndex_LowerBound(engines, CmHash_Text(id, 0));
    size_t chosen = 0;
    for (size_t i = 0; i < engines->len && chosen < n; i++) {
        const struct cm_live_target *target =
            g_ptr_array_index(engines, (start + i) % engines->len);
        // Two incarnations of an engine have one agent.
        if (!contains(addresses, chosen, target->agent_address)) {
            addresses[chosen++] = target->agent_address;
        }
    }
    return chosen;
}
