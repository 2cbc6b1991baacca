/// @file limit_table.c
/// The limits that targets name.

#include "ratelimit/limit_table.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"

void
CmLimitTable_Init(struct cm_limit_table *table,
                  const struct cm_limit_listener *listener, void *context)
{
    *table = (struct cm_limit_table){.listener = listener, .context = context};
    table->limits =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

void
CmLimitTable_Finish(struct cm_limit_table *table)
{
    g_hash_table_destroy(table->limits);
}

static struct cm_named_limit *
find(const struct cm_limit_table *table, const char *target)
{
    char name[CM_LIMIT_NAME_SIZE];
    g_strlcpy(name, target, sizeof(name));
    return g_hash_table_lookup(table->limits, name);
}

static struct cm_named_limit *
add(struct cm_limit_table *table, const char *target)
{
    struct cm_named_limit *limit = g_new0(struct cm_named_limit, 1);
    g_strlcpy(limit->target, target, sizeof(limit->target));
    limit->per_s = CM_LIMIT_NONE;
    limit->news_per_s = CM_LIMIT_NONE;
    g_hash_table_insert(table->limits, limit->target, limit);
    return limit;
}

/// @return whether two limits differ so much that others should know.
static bool
differs(double per_s, double other_per_s)
{
    if (per_s < 0 || other_per_s < 0) {
        return (per_s < 0) != (other_per_s < 0);
    }
    return fabs(per_s - other_per_s) >
           CM_LIMIT_NEWS_SHARE * MAX(per_s, other_per_s);
}

/// @return whether the limit was named first or withdrawn since the last news.
static bool
is_urgent(const struct cm_named_limit *limit)
{
    return (limit->per_s < 0) != (limit->news_per_s < 0);
}

void
CmLimitTable_Set(struct cm_limit_table *table, const char *target,
                 double per_s, const char *heard_by, struct timespec heard,
                 struct timespec now)
{
    struct cm_named_limit *limit = find(table, target);
    if (limit == NULL) {
        if (per_s < 0) {
            return;
        }
        limit = add(table, target);
    }
    else if (CmTime_Before(heard, limit->heard)) {
        return;
    }
    double before_per_s = limit->per_s;
    table->n_named += per_s >= 0;
    table->n_named -= before_per_s >= 0;
    limit->per_s = MAX(per_s, CM_LIMIT_NONE);
    limit->heard = heard;
    g_strlcpy(limit->heard_by, heard_by, sizeof(limit->heard_by));
    limit->is_news = differs(limit->per_s, limit->news_per_s);
    bool is_change = is_urgent(limit) || CmTime_DiffMs(now, limit->news_at) >=
                                             CM_LIMIT_NEWS_INTERVAL_MS;
    if (limit->is_news && is_change && table->listener != NULL) {
        table->listener->changed(table->context, limit, before_per_s);
    }
}

const struct cm_named_limit *
CmLimitTable_Latest(const struct cm_limit_table *table, const char *target)
{
    return find(table, target);
}

const struct cm_named_limit *
CmLimitTable_Find(const struct cm_limit_table *table, const char *target)
{
    if (table->n_named == 0) {
        return NULL;
    }
    const struct cm_named_limit *limit = find(table, target);
    return limit != NULL && limit->per_s >= 0 ? limit : NULL;
}

size_t
CmLimitTable_TakeNews(struct cm_limit_table *table, struct timespec now,
                      void (*each)(void *context,
                                   const struct cm_named_limit *limit),
                      void *context)
{
    size_t taken = 0;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, table->limits);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct cm_named_limit *limit = value;
        if (!limit->is_news ||
            (!is_urgent(limit) &&
             CmTime_DiffMs(now, limit->news_at) < CM_LIMIT_NEWS_INTERVAL_MS)) {
            continue;
        }
        each(context, limit);
        limit->is_news = false;
        limit->news_per_s = limit->per_s;
        limit->news_at = now;
        taken++;
    }
    return taken;
}

void
CmLimitTable_Expire(struct cm_limit_table *table, struct timespec now,
                    bool (*is_gone)(void *context, const char *target),
                    void *context)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, table->limits);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct cm_named_limit *limit = value;
        if (CmTime_DiffMs(now, limit->heard) >= CM_LIMIT_EXPIRY_MS ||
            (is_gone != NULL && is_gone(context, limit->target))) {
            table->n_named -= limit->per_s >= 0;
            g_hash_table_iter_remove(&iter);
        }
    }
}
