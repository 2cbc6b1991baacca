/// @file intake.c
/// Decides which connections end while more clients connect, or send more,
/// than a process can bear: crowds that stay connected must not keep others
/// out.

#include "memory/intake.h"

#include <stddef.h>

void
CmIntake_Init(struct cm_intake *intake, struct cm_memory_budget *budget,
              struct cm_clock *clock, int64_t max)
{
    *intake = (struct cm_intake){.budget = budget, .clock = clock, .max = max};
    TAILQ_INIT(&intake->clients);
}

/// @return whether the client hasn't sent a whole request in the time that a
/// first one takes.
static bool
is_slow_to_begin(const struct cm_intake_client *client, struct timespec now)
{
    return !client->has_requested &&
           CmTime_DiffMs(now, client->since) > CM_INTAKE_FIRST_REQUEST_MS;
}

/// @return whether the first client makes room before the second one.
static bool
goes_before(const struct cm_intake_client *first,
            const struct cm_intake_client *second, struct timespec now)
{
    bool first_slow = is_slow_to_begin(first, now);
    bool second_slow = is_slow_to_begin(second, now);
    return first_slow != second_slow
               ? first_slow
               : CmTime_Before(first->since, second->since);
}

static struct cm_intake_client *
find_still(const struct cm_intake *intake)
{
    struct timespec now = CmClock_Now(intake->clock);
    struct cm_intake_client *still = NULL;
    struct cm_intake_client *client;
    CmTailq_FOREACH (client, &intake->clients, link) {
        if (client->phase != CM_INTAKE_BUSY &&
            (still == NULL || goes_before(client, still, now))) {
            still = client;
        }
    }
    return still;
}

bool
CmIntake_MakeRoom(struct cm_intake *intake, int64_t others)
{
    if (intake->count + others < intake->max) {
        return true;
    }
    struct cm_intake_client *still = find_still(intake);
    if (still == NULL) {
        return false;
    }
    intake->evicted++;
    still->end(still, CM_INTAKE_END_CROWDED);
    return true;
}

static void
release(struct cm_memory_hold *hold)
{
    struct cm_intake_client *client =
        (struct cm_intake_client *)((char *)hold -
                                    offsetof(struct cm_intake_client, hold));
    client->end(client, CM_INTAKE_END_MEMORY);
}

void
CmIntakeClient_Init(struct cm_intake_client *client, struct cm_intake *intake,
                    void (*end)(struct cm_intake_client *client,
                                enum cm_intake_client_end why))
{
    *client = (struct cm_intake_client){
        .intake = intake, .since = CmClock_Now(intake->clock), .end = end};
    CmMemoryHold_Init(&client->hold, intake->budget, CM_MEMORY_ARRIVING,
                      release);
    TAILQ_INSERT_TAIL(&intake->clients, client, link);
    intake->count++;
}

void
CmIntakeClient_Finish(struct cm_intake_client *client)
{
    CmMemoryHold_Finish(&client->hold);
    TAILQ_REMOVE(&client->intake->clients, client, link);
    client->intake->count--;
}

bool
CmIntakeClient_Arriving(struct cm_intake_client *client, size_t bytes)
{
    struct cm_memory_budget *budget = client->intake->budget;
    if (client->phase == CM_INTAKE_IDLE) {
        client->hold.begun_at = CmClock_Now(client->intake->clock);
    }
    client->phase = CM_INTAKE_ARRIVING;
    client->since = CmClock_Now(client->intake->clock);
    CmMemoryHold_Set(&client->hold, bytes);
    CmMemoryHold_CountProgress(&client->hold);
    // Only a client that is in the list may be looked at afterwards.
    struct cm_intake *intake = client->intake;
    int64_t count = intake->count;
    CmMemoryBudget_Enforce(budget, CM_MEMORY_ARRIVING);
    if (intake->count == count) {
        return true;
    }
    struct cm_intake_client *other;
    CmTailq_FOREACH (other, &intake->clients, link) {
        if (other == client) {
            return true;
        }
    }
    return false;
}

bool
CmIntakeClient_Begin(struct cm_intake_client *client, size_t bytes)
{
    client->phase = CM_INTAKE_BUSY;
    client->has_requested = true;
    client->since = CmClock_Now(client->intake->clock);
    CmMemoryHold_Finish(&client->hold);
    bool admitted = CmMemoryBudget_Admit(client->intake->budget,
                                         CM_MEMORY_REQUESTS, bytes);
    if (!admitted && !client->hold.may_go_alone) {
        return false;
    }
    CmMemoryHold_Move(&client->hold, CM_MEMORY_REQUESTS);
    CmMemoryHold_Set(&client->hold, bytes);
    if (admitted || CmMemoryHold_GoAlone(&client->hold)) {
        return true;
    }
    CmMemoryHold_Finish(&client->hold);
    return false;
}

void
CmIntakeClient_BecomeIdle(struct cm_intake_client *client, size_t bytes)
{
    client->phase = CM_INTAKE_IDLE;
    client->since = CmClock_Now(client->intake->clock);
    CmMemoryHold_Finish(&client->hold);
    CmMemoryHold_Move(&client->hold, CM_MEMORY_ARRIVING);
    CmMemoryHold_Set(&client->hold, bytes);
}
