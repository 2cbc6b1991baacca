/// @file budget.c
/// Limit on repeated sends.
///
/// Load pattern: a service in trouble fails many requests at once; repeating
/// them all would keep it in trouble.

#include "dispatch/budget.h"

#include <string.h>

#include "base/clock.h"

void
CmBudget_Init(struct cm_budget *budget, double ratio, double reserve,
              int64_t window_ms)
{
    *budget = (struct cm_budget){
        .ratio = ratio, .reserve = reserve, .window_ms = window_ms};
}

/// Moves the window on, dropping what has left it.
static size_t
advance(struct cm_budget *budget, struct timespec now)
{
    int64_t now_ms = CmTime_DiffMs(now, (struct timespec){0});
    int64_t part = now_ms / (budget->window_ms / CM_BUDGET_PARTS);
    int64_t steps = part - budget->part;
    if (steps > CM_BUDGET_PARTS) {
        steps = CM_BUDGET_PARTS;
    }
    for (int64_t i = 0; i < steps; i++) {
        size_t slot = (size_t)((part - i) % CM_BUDGET_PARTS);
        budget->requests[slot] = 0;
        budget->repeats[slot] = 0;
    }
    budget->part = part;
    return (size_t)(part % CM_BUDGET_PARTS);
}

void
CmBudget_Request(struct cm_budget *budget, struct timespec now)
{
    budget->requests[advance(budget, now)]++;
}

bool
CmBudget_Allows(struct cm_budget *budget, struct timespec now)
{
    advance(budget, now);
    int requests = 0;
    int repeats = 0;
    for (size_t i = 0; i < CM_BUDGET_PARTS; i++) {
        requests += budget->requests[i];
        repeats += budget->repeats[i];
    }
    return repeats + 1 <= requests * budget->ratio + budget->reserve;
}

bool
CmBudget_Spend(struct cm_budget *budget, struct timespec now)
{
    if (!CmBudget_Allows(budget, now)) {
        return false;
    }
    budget->repeats[advance(budget, now)]++;
    return true;
}
