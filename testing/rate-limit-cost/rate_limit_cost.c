/// @file rate_limit_cost.c
/// Measures what a claim for permits costs without its HTTP call: encoding and
/// decoding both messages, and the grant.

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "ratelimit/message.h"

#define CLAIMS 100000
#define TARGETS 5400
#define US_PER_S 1e6

static void
write_name(char name[CM_LIMIT_NAME_SIZE], int i)
{
    g_snprintf(name, CM_LIMIT_NAME_SIZE, "i-%010x/1796357963526", i % TARGETS);
}

/// @return the size of the encoded message.
static size_t
transfer(const struct cm_limit_message *message, struct timespec now)
{
    char *text = CmLimitMessage_Encode(message, now);
    size_t size = strlen(text);
    struct cm_limit_message read;
    CmLimitMessage_Init(&read);
    CmLimitMessage_Decode(&read, text, size, now);
    CmLimitMessage_Finish(&read);
    free(text);
    return size;
}

int
main(void)
{
    struct cm_rate_arbiter arbiter;
    CmRateArbiter_Init(&arbiter);
    size_t bytes = 0;
    struct timespec start = CmClock_Now(CmClock_System());
    for (int i = 0; i < CLAIMS; i++) {
        struct timespec now = CmClock_Now(CmClock_System());
        struct cm_named_limit limit = {.per_s = 1.9, .heard = now};
        write_name(limit.target, i);
        g_strlcpy(limit.heard_by, "front-saint-brieuc-1",
                  sizeof(limit.heard_by));
        struct cm_limit_message message;
        CmLimitMessage_Init(&message);
        CmLimitMessage_AddLimit(&message, &limit);
        message.has_claim = true;
        message.claim.wanted = 1;
        write_name(message.claim.target, i);
        bytes += transfer(&message, now);
        message.has_claim = false;
        message.has_grant = true;
        message.grant =
            CmRateArbiter_Grant(&arbiter, &message.claim, 1.9, 1, now);
        bytes += transfer(&message, now);
        CmLimitMessage_Finish(&message);
    }
    double claim_s =
        CmTime_DiffS(CmClock_Now(CmClock_System()), start) / CLAIMS;
    printf("claim and answer            %10.2f us\n", claim_s * US_PER_S);
    printf("bytes of both               %10zu\n", bytes / CLAIMS);
    CmRateArbiter_Finish(&arbiter);
    return 0;
}
