/// @file counter.c
/// Metric counters and their text form.

#include "base/counter.h"

void
CmCounters_Init(struct cm_counters *counters)
{
    TAILQ_INIT(&counters->list);
}

static void
add(struct cm_counters *counters, struct cm_counter *counter, const char *name,
    const char *help, bool gauge)
{
    counter->name = name;
    counter->help = help;
    counter->gauge = gauge;
    counter->value = 0;
    TAILQ_INSERT_TAIL(&counters->list, counter, link);
}

void
CmCounters_Add(struct cm_counters *counters, struct cm_counter *counter,
               const char *name, const char *help)
{
    add(counters, counter, name, help, false);
}

void
CmCounters_AddGauge(struct cm_counters *counters, struct cm_counter *counter,
                    const char *name, const char *help)
{
    add(counters, counter, name, help, true);
}

void
CmCounters_WriteValue(GString *out, const char *name, const char *help,
                      bool gauge, int64_t value)
{
    g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n%s %" PRId64 "\n",
                           name, help, name, gauge ? "gauge" : "counter", name,
                           value);
}

void
CmCounters_Write(const struct cm_counters *counters, GString *out)
{
    const struct cm_counter *counter;
    CmTailq_FOREACH (counter, &counters->list, link) {
        CmCounters_WriteValue(out, counter->name, counter->help,
                              counter->gauge, counter->value);
    }
}
