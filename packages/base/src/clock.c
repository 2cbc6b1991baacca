/// @file clock.c
/// The system clock, the manual clock, and time arithmetic.

#include "base/clock.h"

static struct timespec
system_monotonic(struct cm_clock *clock)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now;
}

static struct timespec
system_realtime(struct cm_clock *clock)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return now;
}

static struct timespec
system_boottime(struct cm_clock *clock)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return now;
}

static struct timespec
manual_now(struct cm_clock *clock)
{
    return ((struct cm_manual_clock *)clock)->now;
}

static const struct cm_clock_ops system_ops = {
    system_monotonic, system_realtime, system_boottime};
static const struct cm_clock_ops manual_ops = {manual_now, manual_now,
                                               manual_now};

struct cm_clock *
CmClock_System(void)
{
    static struct cm_clock system_clock = {&system_ops};
    return &system_clock;
}

void
CmManualClock_Init(struct cm_manual_clock *clock)
{
    clock->base.ops = &manual_ops;
    clock->now = (struct timespec){.tv_sec = CM_MS_PER_S};
}

void
CmManualClock_Advance(struct cm_manual_clock *clock, int64_t ms)
{
    clock->now = CmTime_AddMs(clock->now, ms);
}

struct timespec
CmClock_Now(struct cm_clock *clock)
{
    return clock->ops->monotonic(clock);
}

struct timespec
CmClock_BootTime(struct cm_clock *clock)
{
    return clock->ops->boottime(clock);
}

int64_t
CmClock_WallMs(struct cm_clock *clock)
{
    return CmTime_DiffMs(clock->ops->realtime(clock), (struct timespec){0});
}

struct timespec
CmTime_AddMs(struct timespec t, int64_t ms)
{
    t.tv_sec += ms / CM_MS_PER_S;
    t.tv_nsec += (ms % CM_MS_PER_S) * CM_NS_PER_MS;
    if (t.tv_nsec >= CM_NS_PER_S) {
        t.tv_sec++;
        t.tv_nsec -= CM_NS_PER_S;
    }
    else if (t.tv_nsec < 0) {
        t.tv_sec--;
        t.tv_nsec += CM_NS_PER_S;
    }
    return t;
}

int64_t
CmTime_DiffMs(struct timespec a, struct timespec b)
{
    int64_t ns =
        (int64_t)(a.tv_sec - b.tv_sec) * CM_NS_PER_S + (a.tv_nsec - b.tv_nsec);
    return ns / CM_NS_PER_MS;
}

double
CmTime_DiffS(struct timespec a, struct timespec b)
{
    return (double)(a.tv_sec - b.tv_sec) +
           (double)(a.tv_nsec - b.tv_nsec) / CM_NS_PER_S;
}

bool
CmTime_Before(struct timespec a, struct timespec b)
{
    if (a.tv_sec != b.tv_sec) {
        return a.tv_sec < b.tv_sec;
    }
    return a.tv_nsec < b.tv_nsec;
}

struct timeval
CmTime_Timeval(int64_t ms)
{
    struct timeval tv;
    tv.tv_sec = ms / CM_MS_PER_S;
    tv.tv_usec = (ms % CM_MS_PER_S) * (CM_NS_PER_MS / CM_MS_PER_S);
    return tv;
}
