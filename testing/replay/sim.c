/// @file sim.c
/// Event queue and clock of the simulation.

#include "sim.h"

#include <stdint.h>

/// Time of the clock at the start.
#define START_S 1000
#define US_PER_MS 1000.0
#define NS_PER_US 1000
#define US_PER_S 1000000

struct sim_event {
    int64_t at_us;
    guint64 number;
    void (*action)(void *);
    void *context;
};

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer unused)
{
    const struct sim_event *one = a;
    const struct sim_event *other = b;
    if (one->at_us != other->at_us) {
        return one->at_us < other->at_us ? -1 : 1;
    }
    return one->number < other->number ? -1 : one->number > other->number;
}

void
Sim_Init(struct sim *sim)
{
    *sim = (struct sim){.now = {.tv_sec = START_S}};
    sim->events = g_sequence_new(g_free);
}

void
Sim_Finish(struct sim *sim)
{
    g_sequence_free(sim->events);
}

static int64_t
now_us(const struct sim *sim)
{
    return (sim->now.tv_sec - START_S) * US_PER_S +
           sim->now.tv_nsec / NS_PER_US;
}

void
Sim_Schedule(struct sim *sim, double ms, void (*action)(void *), void *context)
{
    struct sim_event *event = g_new(struct sim_event, 1);
    *event = (struct sim_event){now_us(sim) + (int64_t)(ms * US_PER_MS),
                                sim->next_number++, action, context};
    g_sequence_insert_sorted(sim->events, event, compare_events, NULL);
}

void
Sim_Run(struct sim *sim)
{
    GSequenceIter *first;
    while (!g_sequence_iter_is_end(
        first = g_sequence_get_begin_iter(sim->events))) {
        struct sim_event event = *(struct sim_event *)g_sequence_get(first);
        g_sequence_remove(first);
        sim->now.tv_sec = START_S + event.at_us / US_PER_S;
        sim->now.tv_nsec = event.at_us % US_PER_S * NS_PER_US;
        event.action(event.context);
    }
}

double
Sim_ElapsedMs(const struct sim *sim)
{
    return (double)now_us(sim) / US_PER_MS;
}
