/// @file accounts.h
/// Client accounts of one configuration: who may send requests, with which
/// keys, how urgent they are and how much they may use. Looked up by key in
/// constant time. Immutable once filled in.
///
/// Keys are secrets: they are hashed for the lookup and never leave this
/// table. CmAccounts_KeyLabel() names one where that is needed.

#ifndef DISPATCH_ACCOUNTS_H
#define DISPATCH_ACCOUNTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// Size of an account's name; longer names are invalid.
#define CM_ACCOUNT_NAME_SIZE 64
/// Longest valid key, in bytes.
#define CM_ACCOUNT_KEY_MAX 256
/// Size of a key's label.
#define CM_KEY_LABEL_SIZE 9
/// Priority of an account that names none: the route's applies.
#define CM_ACCOUNT_NO_PRIORITY (-1)

/// What a quota counts.
enum cm_quota_unit {
    CM_QUOTA_REQUESTS,
    CM_QUOTA_TOKENS,
};

/// Quota over all gateways together.
struct cm_quota {
    enum cm_quota_unit unit;
    double rate_per_s; ///< 0 for no limit
    double burst;
    double plain_cost; ///< of a request that names no tokens, in tokens
};

struct cm_account {
    char name[CM_ACCOUNT_NAME_SIZE];
    int64_t priority; ///< 0 is the most urgent; or CM_ACCOUNT_NO_PRIORITY
    struct cm_quota quota;
};

struct cm_accounts {
    GHashTable *by_name; ///< name to struct cm_account, which it owns
    GHashTable *by_key;  ///< key to the same
    size_t n_limited;    ///< accounts with a quota
};

/// @return an empty table.
struct cm_accounts *
CmAccounts_New(void);

/// Frees the table; it may be NULL.
void
CmAccounts_Free(struct cm_accounts *accounts);

/// Adds an account without keys.
/// @return the copy in the table, or NULL with `*problem` set: the name is
/// missing, too long, not printable or taken, or a figure is not a finite
/// number of at least 0.
struct cm_account *
CmAccounts_Add(struct cm_accounts *accounts, const struct cm_account *account,
               const char **problem);

/// Adds a key to an account of the table.
/// @return false with `*problem` set: the key is malformed, or another account
/// has it. Then neither account may use it, as it tells them not apart.
bool
CmAccounts_AddKey(struct cm_accounts *accounts, struct cm_account *account,
                  const char *key, const char **problem);

/// @return the account that holds the key, or NULL.
const struct cm_account *
CmAccounts_FindByKey(const struct cm_accounts *accounts, const char *key);

/// @return the account of that name, or NULL.
const struct cm_account *
CmAccounts_FindByName(const struct cm_accounts *accounts, const char *name);

/// @return the number of accounts.
size_t
CmAccounts_Count(const struct cm_accounts *accounts);

/// Writes the name under which a key may appear in logs.
void
CmAccounts_KeyLabel(const char *key, char label[CM_KEY_LABEL_SIZE]);

/// @return what one request costs its account.
/// @param tokens that it may use, prompt and output; negative if not named.
double
CmQuota_Cost(const struct cm_quota *quota, int64_t tokens);

/// @return whether the account has a quota.
static inline bool
CmQuota_IsLimited(const struct cm_quota *quota)
{
    return quota->rate_per_s > 0;
}

#endif
