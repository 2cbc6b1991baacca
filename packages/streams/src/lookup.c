/// @file lookup.c
/// Rounds and answers of a lookup.

#include "streams/lookup.h"

#include <string.h>

void
CmStreamLookup_Init(struct cm_stream_lookup *lookup, const char *id,
                    const char *const addresses[], size_t n)
{
    *lookup = (struct cm_stream_lookup){0};
    g_strlcpy(lookup->id, id, sizeof(lookup->id));
    lookup->n_holders = MIN(n, CM_STREAM_HOLDERS_ASKED);
    for (size_t i = 0; i < lookup->n_holders; i++) {
        g_strlcpy(lookup->holders[i].address, addresses[i],
                  sizeof(lookup->holders[i].address));
    }
}

size_t
CmStreamLookup_NextRound(struct cm_stream_lookup *lookup,
                         const char *addresses[CM_STREAM_HOLDERS_ASKED])
{
    size_t n = 0;
    if (lookup->state == CM_STREAM_LOOKUP_PENDING &&
        lookup->rounds < CM_STREAM_LOOKUP_ROUNDS) {
        lookup->rounds++;
        for (size_t i = 0; i < lookup->n_holders; i++) {
            if (!lookup->holders[i].answered) {
                addresses[n++] = lookup->holders[i].address;
            }
        }
    }
    if (n == 0 && lookup->state == CM_STREAM_LOOKUP_PENDING) {
        lookup->state = CM_STREAM_LOOKUP_UNKNOWN;
    }
    return n;
}

static bool
all_answered(const struct cm_stream_lookup *lookup)
{
    for (size_t i = 0; i < lookup->n_holders; i++) {
        if (!lookup->holders[i].answered) {
            return false;
        }
    }
    return true;
}

enum cm_stream_lookup_state
CmStreamLookup_HandleAnswer(struct cm_stream_lookup *lookup,
                            const char *address,
                            const struct cm_stream_message *answer)
{
    if (lookup->state != CM_STREAM_LOOKUP_PENDING ||
        strcmp(answer->record.id, lookup->id) != 0) {
        return lookup->state;
    }
    for (size_t i = 0; i < lookup->n_holders; i++) {
        struct cm_stream_holder *holder = &lookup->holders[i];
        if (strcmp(holder->address, address) != 0) {
            continue;
        }
        holder->answered = true;
        if (answer->kind == CM_STREAM_KNOWN) {
            lookup->state = CM_STREAM_LOOKUP_KNOWN;
            lookup->record = answer->record;
            lookup->age_ms = answer->age_ms;
            g_strlcpy(lookup->source, holder->address, sizeof(lookup->source));
        }
        else if (all_answered(lookup)) {
            lookup->state = CM_STREAM_LOOKUP_UNKNOWN;
        }
    }
    return lookup->state;
}
