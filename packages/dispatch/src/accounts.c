/// @file accounts.c
/// Client accounts of one configuration.
///
/// Load pattern: each request looks up its key, and a configuration may hold
/// 10,000 accounts with several keys each.

#include "dispatch/accounts.h"

#include <math.h>
#include <string.h>

#include "base/hash.h"

/// Most tokens that a request without named tokens costs. A larger claim would
/// make the whole message to the arbiter invalid.
#define CM_QUOTA_PLAIN_COST_MAX 1e9

struct cm_accounts *
CmAccounts_New(void)
{
    struct cm_accounts *accounts = g_new0(struct cm_accounts, 1);
    accounts->by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    accounts->by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return accounts;
}

void
CmAccounts_Free(struct cm_accounts *accounts)
{
    if (accounts != NULL) {
        g_hash_table_destroy(accounts->by_key);
        g_hash_table_destroy(accounts->by_name);
        g_free(accounts);
    }
}

/// @return whether `text` has 1 to `max` printable ASCII characters without
/// spaces, so that it can be the value of a header field.
static bool
is_token(const char *text, size_t max)
{
    size_t length = 0;
    while (g_ascii_isgraph(text[length])) {
        length++;
    }
    return length > 0 && length <= max && text[length] == '\0';
}

static bool
is_amount(double number)
{
    return isfinite(number) && number >= 0;
}

struct cm_account *
CmAccounts_Add(struct cm_accounts *accounts, const struct cm_account *account,
               const char **problem)
{
    const struct cm_quota *quota = &account->quota;
    *problem = NULL;
    if (!is_token(account->name, CM_ACCOUNT_NAME_SIZE - 1)) {
        *problem = "the name is missing or malformed";
    }
    else if (CmAccounts_FindByName(accounts, account->name) != NULL) {
        *problem = "the name is taken";
    }
    else if (!is_amount(quota->rate_per_s) || !is_amount(quota->burst) ||
             !is_amount(quota->plain_cost)) {
        *problem = "a figure of its quota is negative or no number";
    }
    if (*problem != NULL) {
        return NULL;
    }
    struct cm_account *copy = g_new(struct cm_account, 1);
    *copy = *account;
    g_hash_table_insert(accounts->by_name, copy->name, copy);
    accounts->n_limited += CmQuota_IsLimited(quota);
    return copy;
}

bool
CmAccounts_AddKey(struct cm_accounts *accounts, struct cm_account *account,
                  const char *key, const char **problem)
{
    void *holder = NULL;
    if (key == NULL || !is_token(key, CM_ACCOUNT_KEY_MAX)) {
        *problem = "a key is malformed";
        return false;
    }
    if (g_hash_table_lookup_extended(accounts->by_key, key, NULL, &holder)) {
        if (holder == account) {
            return true;
        }
        // A third account that names it must not get it, either.
        g_hash_table_insert(accounts->by_key, g_strdup(key), NULL);
        *problem = "a key is that of another account, too";
        return false;
    }
    g_hash_table_insert(accounts->by_key, g_strdup(key), account);
    return true;
}

const struct cm_account *
CmAccounts_FindByKey(const struct cm_accounts *accounts, const char *key)
{
    return g_hash_table_lookup(accounts->by_key, key);
}

const struct cm_account *
CmAccounts_FindByName(const struct cm_accounts *accounts, const char *name)
{
    return g_hash_table_lookup(accounts->by_name, name);
}

size_t
CmAccounts_Count(const struct cm_accounts *accounts)
{
    return g_hash_table_size(accounts->by_name);
}

void
CmAccounts_KeyLabel(const char *key, char label[CM_KEY_LABEL_SIZE])
{
    char digest[CM_DIGEST_SIZE];
    CmHash_Digest(key, strlen(key), digest);
    g_strlcpy(label, digest, CM_KEY_LABEL_SIZE);
}

double
CmQuota_Cost(const struct cm_quota *quota, int64_t tokens)
{
    if (quota->unit == CM_QUOTA_REQUESTS) {
        return 1;
    }
    return tokens >= 0 ? (double)tokens
                       : MIN(quota->plain_cost, CM_QUOTA_PLAIN_COST_MAX);
}
