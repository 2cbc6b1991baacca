/// @file retry_budget.c
/// Retry budgets of services.

#include "retry_budget.h"

#include <inttypes.h>

#include "base/log.h"
#include "ratelimit/retry_window.h"

#define MS_PER_S 1000

/// Budget of one service.
struct service_budget {
    struct cm_retry_window window;
    struct timespec logged_at;
};

void
RetryBudget_Init(struct gateway *gateway)
{
    gateway->retry_budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
RetryBudget_Finish(struct gateway *gateway)
{
    g_hash_table_destroy(gateway->retry_budgets);
}

/// @return the budget of the request's service, created on first use.
static struct service_budget *
budget_of(const struct request *request)
{
    struct gateway *gateway = request->gateway;
    const struct cm_gateway_settings *settings = &gateway->settings;
    struct service_budget *budget =
        g_hash_table_lookup(gateway->retry_budgets, request->service);
    if (budget == NULL) {
        budget = g_new0(struct service_budget, 1);
        CmRetryWindow_Init(&budget->window, settings->retry_ratio, 0,
                           (int64_t)(settings->retry_window_s * MS_PER_S),
                           CmClock_BootTime(gateway->clock));
        g_hash_table_insert(gateway->retry_budgets, g_strdup(request->service),
                            budget);
    }
    budget->window.ratio = settings->retry_ratio;
    // One more than the known number, as another gateway may be starting.
    budget->window.reserve =
        settings->retry_reserve / (double)(gateway->n_gateways + 1);
    return budget;
}

void
RetryBudget_CountRequest(const struct request *request)
{
    CmRetryWindow_CountRequest(&budget_of(request)->window,
                               CmClock_BootTime(request->gateway->clock));
}

bool
RetryBudget_AllowsRetry(const struct request *request)
{
    return CmRetryWindow_Allows(&budget_of(request)->window,
                                CmClock_BootTime(request->gateway->clock));
}

bool
RetryBudget_Allows(const struct request *request)
{
    return request->sends == 0 || RetryBudget_AllowsRetry(request);
}

void
RetryBudget_Consume(const struct request *request)
{
    // TargetCall_Send() has counted this attempt.
    if (request->sends > 1) {
        CmRetryWindow_Consume(&budget_of(request)->window,
                              CmClock_BootTime(request->gateway->clock));
        request->gateway->count.retries_sent.value++;
    }
}

void
RetryBudget_CountDenied(const struct request *request)
{
    struct gateway *gateway = request->gateway;
    struct service_budget *budget = budget_of(request);
    const struct cm_gateway_settings *settings = &gateway->settings;
    struct timespec now = Gateway_Now(gateway);
    gateway->count.retries_denied.value++;
    if (CmTime_DiffMs(now, budget->logged_at) < MS_PER_S) {
        return;
    }
    budget->logged_at = now;
    struct cm_retry_figures figures = CmRetryWindow_Figures(
        &budget->window, CmClock_BootTime(gateway->clock));
    CmLog_Event(
        G_LOG_LEVEL_INFO, "budget", request->parsed.id,
        "service %s: %d retries for %d requests of the last %g s, %.1f "
        "of the reserve among %" PRId64
        " gateways; this process runs for %" PRId64 " ms",
        request->service, figures.retries, figures.requests,
        settings->retry_window_s, budget->window.reserve, gateway->n_gateways,
        CmTime_DiffMs(now, gateway->started_at));
}
