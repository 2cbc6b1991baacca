/// @file software_history.c
/// Times at which software versions were listed.

#include "streams/software_history.h"

#include "base/clock.h"

/// Time after which a version that is no longer listed is forgotten.
#define VERSION_EXPIRY_MS 600000

/// Versions of one service.
struct cm_service_software {
    struct timespec since; ///< begin of the history
    GHashTable *last_seen; ///< version to struct timespec
};

static void
free_service(void *data)
{
    struct cm_service_software *service = data;
    g_hash_table_destroy(service->last_seen);
    g_free(service);
}

void
CmSoftwareHistory_Init(struct cm_software_history *history)
{
    *history = (struct cm_software_history){
        .services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          free_service)};
}

void
CmSoftwareHistory_Finish(struct cm_software_history *history)
{
    g_hash_table_destroy(history->services);
}

static struct cm_service_software *
get_or_add_service(struct cm_software_history *history, const char *name,
                   struct timespec now)
{
    struct cm_service_software *service =
        g_hash_table_lookup(history->services, name);
    if (service == NULL) {
        service = g_new0(struct cm_service_software, 1);
        service->since = now;
        service->last_seen =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(history->services, g_strdup(name), service);
    }
    return service;
}

static void
see(struct cm_service_software *service, const char *software,
    struct timespec now)
{
    struct timespec *last_seen =
        g_hash_table_lookup(service->last_seen, software);
    if (last_seen == NULL) {
        last_seen = g_new0(struct timespec, 1);
        g_hash_table_insert(service->last_seen, g_strdup(software), last_seen);
    }
    *last_seen = now;
}

static gboolean
is_forgotten(void *software, void *last_seen, void *now)
{
    return CmTime_DiffMs(*(struct timespec *)now,
                         *(struct timespec *)last_seen) > VERSION_EXPIRY_MS;
}

void
CmSoftwareHistory_Observe(struct cm_software_history *history,
                          const struct cm_targets *targets,
                          struct timespec now)
{
    history->observed_at = now;
    const struct cm_live_target *target;
    CmList_FOREACH (target, &targets->list, link) {
        see(get_or_add_service(history, target->service, now),
            target->software, now);
    }
    GHashTableIter iter;
    void *service;
    g_hash_table_iter_init(&iter, history->services);
    while (g_hash_table_iter_next(&iter, NULL, &service)) {
        g_hash_table_foreach_remove(
            ((struct cm_service_software *)service)->last_seen, is_forgotten,
            &now);
    }
}

const char *
CmSoftwareHistory_Only(const struct cm_software_history *history,
                       const char *service, int64_t span_ms)
{
    const struct cm_service_software *known =
        g_hash_table_lookup(history->services, service);
    if (known == NULL ||
        CmTime_DiffMs(history->observed_at, known->since) < span_ms) {
        return NULL;
    }
    const char *only = NULL;
    GHashTableIter iter;
    void *software;
    void *last_seen;
    g_hash_table_iter_init(&iter, known->last_seen);
    while (g_hash_table_iter_next(&iter, &software, &last_seen)) {
        if (CmTime_DiffMs(history->observed_at,
                          *(struct timespec *)last_seen) > span_ms) {
            continue;
        }
        if (only != NULL) {
            return NULL;
        }
        only = software;
    }
    return only;
}

struct timespec
CmSoftwareHistory_LastSeen(const struct cm_software_history *history,
                           const char *service, const char *software)
{
    const struct cm_service_software *known =
        g_hash_table_lookup(history->services, service);
    const struct timespec *last_seen =
        known != NULL ? g_hash_table_lookup(known->last_seen, software) : NULL;
    return last_seen != NULL ? *last_seen : (struct timespec){0};
}
