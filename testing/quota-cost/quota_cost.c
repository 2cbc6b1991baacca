/// @file quota_cost.c
/// Measures what quotas cost without HTTP: a report with the claims of some
/// accounts and its answer, by the number of gateways, and the look-up of a
/// key among 10,000 accounts.

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "dispatch/accounts.h"
#include "ratelimit/quota_message.h"

#define REPORTS 20000
#define LOOKUPS 2000000
#define ACCOUNTS 10000
#define MS_PER_S 1000.0
#define US_PER_S 1e6
#define NS_PER_S 1e9

static void
write_name(char name[CM_QUOTA_NAME_SIZE], int i)
{
    g_snprintf(name, CM_QUOTA_NAME_SIZE, "account%04d", i);
}

/// Transfers a report and its answer.
/// @return the bytes of both.
static size_t
exchange(struct cm_quota_arbiter *arbiter, int gateway, int gateways,
         int claims, struct timespec now)
{
    struct cm_quota_report report;
    CmQuotaReport_Init(&report);
    g_snprintf(report.gateway, sizeof(report.gateway), "10.1.%d.%d:8785",
               gateway / 250, gateway % 250);
    report.gateways = gateways;
    for (int i = 0; i < claims; i++) {
        struct cm_quota_claim claim = {
            .need = 2370, .first = 2370, .want = 5000};
        write_name(claim.account, i);
        g_array_append_val(report.claims, claim);
    }
    char *text = CmQuotaReport_Encode(&report);
    CmQuotaReport_Finish(&report);
    size_t bytes = strlen(text);
    struct cm_quota_report read;
    struct cm_quota_answer answer;
    CmQuotaReport_Init(&read);
    CmQuotaAnswer_Init(&answer);
    CmQuotaReport_Decode(&read, text, bytes);
    free(text);
    CmQuotaArbiter_Delegate(arbiter, read.gateway, read.gateways, now);
    struct cm_quota_rate rate = {.rate_per_s = 100000, .burst = 100000};
    for (guint i = 0; i < read.claims->len; i++) {
        struct cm_quota_grant grant = CmQuotaArbiter_Grant(
            arbiter, &g_array_index(read.claims, struct cm_quota_claim, i),
            &rate, 1, now);
        g_array_append_val(answer.grants, grant);
    }
    answer.gateways = CmQuotaArbiter_Gateways(arbiter, 0, now);
    CmQuotaReport_Finish(&read);
    text = CmQuotaAnswer_Encode(&answer);
    CmQuotaAnswer_Finish(&answer);
    bytes += strlen(text);
    CmQuotaAnswer_Init(&answer);
    CmQuotaAnswer_Decode(&answer, text, strlen(text));
    CmQuotaAnswer_Finish(&answer);
    free(text);
    return bytes;
}

static void
measure_reports(int gateways, int claims)
{
    struct timespec start = CmClock_Now(CmClock_System());
    struct cm_quota_arbiter arbiter;
    CmQuotaArbiter_Init(&arbiter, start);
    size_t bytes = 0;
    for (int i = 0; i < REPORTS; i++) {
        bytes += exchange(&arbiter, i % gateways, gateways, claims,
                          CmClock_Now(CmClock_System()));
    }
    double report_s =
        CmTime_DiffS(CmClock_Now(CmClock_System()), start) / REPORTS;
    double per_s = gateways * MS_PER_S /
                   (double)CmQuotaArbiter_ReportMs((double)gateways);
    double report_bytes = (double)bytes / REPORTS;
    printf("%8d %6d %10.2f %8.0f %10.1f %10.2f %10.1f\n", gateways, claims,
           report_s * US_PER_S, report_bytes, per_s, per_s * report_s * 100,
           per_s * report_bytes / 1000);
    CmQuotaArbiter_Finish(&arbiter);
}

static void
measure_lookups(void)
{
    struct cm_accounts *accounts = CmAccounts_New();
    char *keys[ACCOUNTS];
    for (int i = 0; i < ACCOUNTS; i++) {
        struct cm_account account = {.priority = 1};
        const char *problem;
        g_snprintf(account.name, sizeof(account.name), "account%04d", i);
        keys[i] = g_strdup_printf("%020d", i);
        CmAccounts_AddKey(accounts,
                          CmAccounts_Add(accounts, &account, &problem),
                          keys[i], &problem);
    }
    struct timespec start = CmClock_Now(CmClock_System());
    size_t found = 0;
    for (int i = 0; i < LOOKUPS; i++) {
        found += CmAccounts_FindByKey(accounts,
                                      keys[(i * 7919L) % ACCOUNTS]) != NULL;
    }
    double lookup_s =
        CmTime_DiffS(CmClock_Now(CmClock_System()), start) / LOOKUPS;
    printf("look-up of a key among %d accounts: %.0f ns (%zu found)\n",
           ACCOUNTS, lookup_s * NS_PER_S, found);
    for (int i = 0; i < ACCOUNTS; i++) {
        g_free(keys[i]);
    }
    CmAccounts_Free(accounts);
}

int
main(void)
{
    printf("%8s %6s %10s %8s %10s %10s %10s\n", "gateways", "claims",
           "us/report", "bytes", "reports/s", "% of core", "kB/s");
    static const int gateways[] = {20, 68, 420};
    static const int claims[] = {0, 4, 16};
    for (size_t g = 0; g < G_N_ELEMENTS(gateways); g++) {
        for (size_t c = 0; c < G_N_ELEMENTS(claims); c++) {
            measure_reports(gateways[g], claims[c]);
        }
    }
    measure_lookups();
    return 0;
}
