/// @file limit_table.h
/// Rate limits that targets name in their responses, as one gateway knows
/// them from its own responses and from other gateways. The latest response
/// decides, whoever received it.

#ifndef RATELIMIT_LIMIT_TABLE_H
#define RATELIMIT_LIMIT_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <time.h>

/// Size of the names of targets and gateways; longer names are truncated.
#define CM_LIMIT_NAME_SIZE 64
/// A limit that no response names.
#define CM_LIMIT_NONE (-1.0)
/// Least change of a limit, as a share, that is news to other gateways.
#define CM_LIMIT_NEWS_SHARE 0.25
/// Least time between two news of one target's limit, unless it is named
/// first or withdrawn.
#define CM_LIMIT_NEWS_INTERVAL_MS 250
/// Time without a response of the target after which its entry is dropped.
/// Longer than any gateway waits for a permit, so that a limit ends by a
/// response.
#define CM_LIMIT_EXPIRY_MS 600000

/// What the latest response of a target named.
struct cm_named_limit {
    char target[CM_LIMIT_NAME_SIZE]; ///< its incarnation
    double per_s;                    ///< CM_LIMIT_NONE if it named none
    struct timespec heard;           ///< when the response was received
    char heard_by[CM_LIMIT_NAME_SIZE];
    bool is_news; ///< not sent to peers yet
    double news_per_s;
    struct timespec news_at;
};

/// Told of changes; may be NULL.
struct cm_limit_listener {
    /// A limit is named first, changes by CM_LIMIT_NEWS_SHARE, or is withdrawn
    /// (per_s is CM_LIMIT_NONE).
    void (*changed)(void *context, const struct cm_named_limit *limit,
                    double before_per_s);
};

struct cm_limit_table {
    GHashTable *limits; ///< target to struct cm_named_limit
    size_t n_named;     ///< entries with a limit
    const struct cm_limit_listener *listener;
    void *context;
};

void
CmLimitTable_Init(struct cm_limit_table *table,
                  const struct cm_limit_listener *listener, void *context);

void
CmLimitTable_Finish(struct cm_limit_table *table);

/// Records what a response named. Earlier responses than the known one change
/// nothing, nor do responses without a limit of targets that have named none.
/// @param per_s CM_LIMIT_NONE if it named none.
/// @param heard_by the gateway that received the response.
void
CmLimitTable_Set(struct cm_limit_table *table, const char *target,
                 double per_s, const char *heard_by, struct timespec heard,
                 struct timespec now);

/// @return the entry of a target whose latest response named a limit, or NULL.
const struct cm_named_limit *
CmLimitTable_Find(const struct cm_limit_table *table, const char *target);

/// @return what the latest response of a target named, or that it named no
/// limit any longer; NULL if it never named one.
const struct cm_named_limit *
CmLimitTable_Latest(const struct cm_limit_table *table, const char *target);

/// Calls `each` for every entry that is news, which it is not from then on.
/// @return their number.
size_t
CmLimitTable_TakeNews(struct cm_limit_table *table, struct timespec now,
                      void (*each)(void *context,
                                   const struct cm_named_limit *limit),
                      void *context);

/// Drops entries of targets that have not responded for long, or are gone; to
/// be called periodically.
/// @param is_gone tells whether a target has left; NULL for none.
void
CmLimitTable_Expire(struct cm_limit_table *table, struct timespec now,
                    bool (*is_gone)(void *context, const char *target),
                    void *context);

#endif
