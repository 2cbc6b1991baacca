/// @file quarantine.c
/// Contents that crash targets.

#include "routing/quarantine.h"

#include <string.h>

#include "base/clock.h"

struct content {
    int crashes;
    bool refused;
    char *last_crash;
    struct timespec at;
};

static void
content_free(gpointer data)
{
    struct content *content = data;
    g_free(content->last_crash);
    g_free(content);
}

void
CmQuarantine_Init(struct cm_quarantine *quarantine)
{
    quarantine->contents =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, content_free);
}

void
CmQuarantine_Finish(struct cm_quarantine *quarantine)
{
    g_hash_table_destroy(quarantine->contents);
}

static struct content *
find(const struct cm_quarantine *quarantine, const char *fingerprint,
     struct timespec now)
{
    struct content *content =
        g_hash_table_lookup(quarantine->contents, fingerprint);
    if (content == NULL ||
        CmTime_DiffMs(now, content->at) >= CM_QUARANTINE_EXPIRY_MS) {
        return NULL;
    }
    return content;
}

static gboolean
is_old(gpointer key, gpointer value, gpointer context)
{
    const struct content *content = value;
    const struct timespec *now = context;
    return CmTime_DiffMs(*now, content->at) >= CM_QUARANTINE_EXPIRY_MS;
}

/// @return the record, or NULL where the table is full of fresh ones.
static struct content *
find_or_add(struct cm_quarantine *quarantine, const char *fingerprint,
            struct timespec now)
{
    struct content *content = find(quarantine, fingerprint, now);
    if (content != NULL) {
        return content;
    }
    if (g_hash_table_size(quarantine->contents) >= CM_QUARANTINE_MAX) {
        g_hash_table_foreach_remove(quarantine->contents, is_old, &now);
    }
    if (g_hash_table_size(quarantine->contents) >= CM_QUARANTINE_MAX) {
        return NULL;
    }
    content = g_new0(struct content, 1);
    content->at = now;
    g_hash_table_replace(quarantine->contents, g_strdup(fingerprint), content);
    return content;
}

/// @return how many of the contents ran in an earlier crash.
static size_t
count_earlier(const struct cm_quarantine *quarantine, const char *crash,
              const char *const *fingerprints, size_t n, struct timespec now)
{
    size_t count = 0;
    for (size_t i = 0; i < n; i++) {
        const struct content *content = find(quarantine, fingerprints[i], now);
        count += content != NULL && strcmp(content->last_crash, crash) != 0;
    }
    return count;
}

void
CmQuarantine_RecordCrash(struct cm_quarantine *quarantine, const char *crash,
                         const char *const *fingerprints, size_t n,
                         struct timespec now)
{
    // Several that ran in an earlier crash cannot be told apart by this one:
    // each waits for a crash in which it alone comes back.
    bool decisive =
        count_earlier(quarantine, crash, fingerprints, n, now) == 1;
    for (size_t i = 0; i < n; i++) {
        struct content *content =
            find_or_add(quarantine, fingerprints[i], now);
        if (content == NULL || (content->last_crash != NULL &&
                                strcmp(content->last_crash, crash) == 0)) {
            continue;
        }
        g_free(content->last_crash);
        content->last_crash = g_strdup(crash);
        content->crashes++;
        content->at = now;
        if (content->crashes >= CM_QUARANTINE_CRASHES && decisive) {
            content->refused = true;
        }
    }
}

void
CmQuarantine_ClearSuspect(struct cm_quarantine *quarantine,
                          const char *fingerprint)
{
    const struct content *content =
        g_hash_table_lookup(quarantine->contents, fingerprint);
    if (content != NULL && !content->refused) {
        g_hash_table_remove(quarantine->contents, fingerprint);
    }
}

bool
CmQuarantine_IsRefused(const struct cm_quarantine *quarantine,
                       const char *fingerprint, struct timespec now)
{
    const struct content *content = find(quarantine, fingerprint, now);
    return content != NULL && content->refused;
}

bool
CmQuarantine_IsSuspect(const struct cm_quarantine *quarantine,
                       const char *fingerprint, struct timespec now)
{
    return find(quarantine, fingerprint, now) != NULL;
}

void
CmQuarantine_ForEach(const struct cm_quarantine *quarantine,
                     struct timespec now,
                     void (*each)(void *context, const char *fingerprint),
                     void *context)
{
    GHashTableIter iter;
    gpointer fingerprint;
    g_hash_table_iter_init(&iter, quarantine->contents);
    while (g_hash_table_iter_next(&iter, &fingerprint, NULL)) {
        if (CmQuarantine_IsRefused(quarantine, fingerprint, now)) {
            each(context, fingerprint);
        }
    }
}
