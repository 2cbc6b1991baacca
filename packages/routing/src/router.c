/// @file router.c
/// Keeps the services, targets and adapters that the routing policies use, and
/// ejects failing targets.

#include "routing/router.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

/// Assumed averages of a target before its first report.
#define DEFAULT_LOAD_MS 250
#define DEFAULT_RUN_MS 100
/// Share of an engine's capacity that one adapter fills before it gets a
/// further preferred target.
#define PREFERRED_FILL 0.7
/// Share of the average run time that must be left after the wait.
#define RUN_TIME_SHARE 0.8

static void
adapter_free(gpointer data)
{
    struct cm_route_adapter *adapter = data;
    g_array_free(adapter->copies, TRUE);
    g_free(adapter->name);
    g_free(adapter);
}

void
CmRouter_Init(struct cm_router *router, const struct cm_policy_ops *policy,
              GRand *random)
{
    memset(router, 0, sizeof(*router));
    router->policy = policy;
    router->random = random;
    router->targets = g_hash_table_new(g_str_hash, g_str_equal);
    router->stall_weight = 0.5;
    router->batch_weight = 0.5;
    router->live_entries = 1;
    LIST_INIT(&router->services);
}

static void
service_free(struct cm_router *router, struct cm_route_service *service)
{
    struct cm_route_target *target;
    while ((target = LIST_FIRST(&service->targets)) != NULL) {
        CmRouter_RemoveTarget(router, target);
    }
    LIST_REMOVE(service, link);
    g_hash_table_destroy(service->adapters);
    CmPopularity_Finish(&service->popularity);
    g_ptr_array_free(service->usable, TRUE);
    g_free(service->name);
    g_free(service);
}

void
CmRouter_Finish(struct cm_router *router)
{
    struct cm_route_service *service;
    while ((service = LIST_FIRST(&router->services)) != NULL) {
        service_free(router, service);
    }
    g_hash_table_destroy(router->targets);
}

struct cm_route_service *
CmRouter_FindOrAddService(struct cm_router *router, const char *name,
                          bool engines)
{
    struct cm_route_service *service;
    CmList_FOREACH (service, &router->services, link) {
        if (strcmp(service->name, name) == 0) {
            return service;
        }
    }
    service = g_new0(struct cm_route_service, 1);
    service->name = g_strdup(name);
    service->engines = engines;
    service->epoch = 1;
    service->usable = g_ptr_array_new();
    service->adapters =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, adapter_free);
    CmPopularity_Init(&service->popularity);
    LIST_INIT(&service->targets);
    LIST_INSERT_HEAD(&router->services, service, link);
    return service;
}

struct cm_route_target *
CmRouter_FindTarget(const struct cm_router *router, const char *name)
{
    return g_hash_table_lookup(router->targets, name);
}

struct cm_route_target *
CmRouter_FindOrAddTarget(struct cm_router *router,
                         struct cm_route_service *service, const char *name,
                         bool other_zone)
{
    struct cm_route_target *target = CmRouter_FindTarget(router, name);
    if (target == NULL) {
        target = g_new0(struct cm_route_target, 1);
        target->service = service;
        target->name = g_strdup(name);
        target->name_hash = CmHash_Text(name, 0);
        target->capacity = 1;
        target->load_ms = DEFAULT_LOAD_MS;
        target->run_ms = DEFAULT_RUN_MS;
        target->adapters = g_ptr_array_new();
        LIST_INSERT_HEAD(&service->targets, target, link);
        service->n_targets++;
        g_hash_table_insert(router->targets, target->name, target);
    }
    target->other_zone = other_zone;
    return target;
}

void
CmRouter_RemoveTarget(struct cm_router *router, struct cm_route_target *target)
{
    CmRouter_SetUsable(router, target, false, (struct timespec){0});
    CmRouter_ClearCopies(target);
    LIST_REMOVE(target, link);
    target->service->n_targets--;
    g_hash_table_remove(router->targets, target->name);
    g_ptr_array_free(target->adapters, TRUE);
    g_free(target->name);
    g_free(target);
}

void
CmRouter_SetUsable(struct cm_router *router, struct cm_route_target *target,
                   bool usable, struct timespec now)
{
    if (target->usable == usable) {
        return;
    }
    struct cm_route_service *service = target->service;
    target->usable = usable;
    service->epoch++;
    if (usable) {
        target->index = service->usable->len;
        target->usable_since = now;
        target->failures = 0;
        g_ptr_array_add(service->usable, target);
        return;
    }
    g_ptr_array_remove_index_fast(service->usable, (guint)target->index);
    if (target->index < service->usable->len) {
        struct cm_route_target *moved =
            g_ptr_array_index(service->usable, target->index);
        moved->index = target->index;
    }
}

struct cm_route_adapter *
CmRouter_FindOrAddAdapter(struct cm_route_service *service, const char *name)
{
    struct cm_route_adapter *adapter =
        g_hash_table_lookup(service->adapters, name);
    if (adapter == NULL) {
        adapter = g_new0(struct cm_route_adapter, 1);
        adapter->name = g_strdup(name);
        adapter->name_hash = CmHash_Text(name, 0);
        adapter->copies =
            g_array_new(FALSE, TRUE, sizeof(struct cm_route_copy));
        g_hash_table_insert(service->adapters, adapter->name, adapter);
    }
    return adapter;
}

static struct cm_route_copy *
find_copy(struct cm_route_adapter *adapter,
          const struct cm_route_target *target)
{
    for (guint i = 0; i < adapter->copies->len; i++) {
        struct cm_route_copy *copy =
            &g_array_index(adapter->copies, struct cm_route_copy, i);
        if (copy->target == target) {
            return copy;
        }
    }
    return NULL;
}

static void
remove_copy(struct cm_route_adapter *adapter,
            const struct cm_route_target *target)
{
    for (guint i = 0; i < adapter->copies->len; i++) {
        if (g_array_index(adapter->copies, struct cm_route_copy, i).target ==
            target) {
            g_array_remove_index_fast(adapter->copies, i);
            return;
        }
    }
}

void
CmRouter_ClearCopies(struct cm_route_target *target)
{
    for (guint i = 0; i < target->adapters->len; i++) {
        remove_copy(g_ptr_array_index(target->adapters, i), target);
    }
    g_ptr_array_set_size(target->adapters, 0);
    target->loading_slots = 0;
}

static struct cm_route_copy *
add_copy(struct cm_route_target *target, struct cm_route_adapter *adapter)
{
    struct cm_route_copy *copy = find_copy(adapter, target);
    if (copy != NULL) {
        return copy;
    }
    struct cm_route_copy new_copy = {.target = target};
    g_array_append_val(adapter->copies, new_copy);
    g_ptr_array_add(target->adapters, adapter);
    return find_copy(adapter, target);
}

void
CmRouter_AddCopy(struct cm_route_target *target, const char *adapter_name,
                 bool ready)
{
    struct cm_route_adapter *adapter =
        CmRouter_FindOrAddAdapter(target->service, adapter_name);
    struct cm_route_copy *copy = add_copy(target, adapter);
    copy->ready = ready;
    copy->reported = true;
    target->loading_slots += !ready;
}

bool
CmRouter_HasCopy(const struct cm_route_service *service,
                 const char *adapter_name)
{
    const struct cm_route_adapter *adapter =
        g_hash_table_lookup(service->adapters, adapter_name);
    for (guint i = 0; adapter != NULL && i < adapter->copies->len; i++) {
        if (g_array_index(adapter->copies, struct cm_route_copy, i)
                .target->usable) {
            return true;
        }
    }
    return false;
}

/// @return how many preferred targets the adapter's request rate calls for.
static size_t
preferred_count(const struct cm_router *router,
                const struct cm_route_service *service,
                const struct cm_route_adapter *adapter, struct timespec now)
{
    const struct cm_route_target *any = g_ptr_array_index(service->usable, 0);
    double rate = CmPopularity_Rate(&service->popularity, adapter->name, now) *
                  router->live_entries;
    double concurrency = rate * any->run_ms / CM_MS_PER_S;
    double count =
        ceil(concurrency / ((double)any->capacity * PREFERRED_FILL));
    // One more target than the rate calls for takes the overflow.
    count = count < 1 ? 2 : count + 1;
    return count < CM_PREFERRED_MAX ? (size_t)count : CM_PREFERRED_MAX;
}

/// Inserts a target into the `max` highest scores, highest first.
/// @return the new number of targets in `best`.
static size_t
insert_by_score(struct cm_route_target **best, uint64_t *scores, size_t n,
                size_t max, struct cm_route_target *target, uint64_t score)
{
    size_t place = n;
    while (place > 0 && scores[place - 1] < score) {
        place--;
    }
    if (place >= max) {
        return n;
    }
    size_t last = n < max ? n : max - 1;
    for (size_t i = last; i > place; i--) {
        best[i] = best[i - 1];
        scores[i] = scores[i - 1];
    }
    best[place] = target;
    scores[place] = score;
    return n < max ? n + 1 : max;
}

size_t
CmRouter_FindPreferred(struct cm_router *router,
                       struct cm_route_service *service,
                       struct cm_route_adapter *adapter, struct timespec now)
{
    size_t needed = preferred_count(router, service, adapter, now);
    if (adapter->preferred_epoch != service->epoch) {
        // Highest random weight: Thaler and Ravishankar, 1998.
        uint64_t scores[CM_PREFERRED_MAX];
        adapter->n_preferred = 0;
        for (guint i = 0; i < service->usable->len; i++) {
            struct cm_route_target *target =
                g_ptr_array_index(service->usable, i);
            uint64_t pair[2] = {target->name_hash, adapter->name_hash};
            adapter->n_preferred = insert_by_score(
                adapter->preferred, scores, adapter->n_preferred,
                CM_PREFERRED_MAX, target, CmHash_Bytes(pair, sizeof(pair), 0));
        }
        adapter->preferred_epoch = service->epoch;
    }
    return needed < adapter->n_preferred ? needed : adapter->n_preferred;
}

/// @return expected run time, at most half of the time left: a short request
///         may take much less than the average.
static double
run_allowance_ms(const struct cm_route_target *target,
                 const struct cm_route_request *request)
{
    double expected_ms = target->run_ms * RUN_TIME_SHARE;
    double half_ms = (double)request->left_ms / 2;
    return expected_ms < half_ms ? expected_ms : half_ms;
}

void
CmRouter_Pick(struct cm_router *router, struct cm_route_service *service,
              const struct cm_route_request *request, struct timespec now,
              struct cm_route_decision *decision)
{
    memset(decision, 0, sizeof(*decision));
    if (request->adapter != NULL && request->n_excluded == 0) {
        CmPopularity_RecordRequest(&service->popularity, request->adapter,
                                   now);
    }
    if (service->usable->len == 0) {
        decision->result = CM_ROUTE_NO_TARGET;
        decision->reason = "no usable target";
        return;
    }
    router->policy->pick(router, service, request, now, decision);
    if (decision->target == NULL) {
        decision->result = CM_ROUTE_NO_TARGET;
        decision->reason = "no target is left to try";
        return;
    }
    if (decision->wait_ms + run_allowance_ms(decision->target, request) >
        (double)request->left_ms) {
        decision->result = CM_ROUTE_TOO_LATE;
        decision->reason = "the expected wait exceeds the time left";
        return;
    }
    decision->result = CM_ROUTE_PICKED;
}

void
CmRouter_RecordSend(struct cm_route_target *target, const char *adapter_name,
                    bool loads, bool suspect, struct timespec now)
{
    target->outstanding++;
    target->unreported++;
    target->suspects += suspect;
    if (!loads || adapter_name == NULL) {
        return;
    }
    // Later requests for the adapter wait for this load instead of starting
    // one at another target.
    struct cm_route_adapter *adapter =
        CmRouter_FindOrAddAdapter(target->service, adapter_name);
    struct cm_route_copy *copy = add_copy(target, adapter);
    copy->expected_until = CmTime_AddMs(now, CM_EXPECTED_LOAD_MS);
}

static size_t
count_ejected(const struct cm_route_service *service, struct timespec now)
{
    size_t count = 0;
    for (guint i = 0; i < service->usable->len; i++) {
        const struct cm_route_target *target =
            g_ptr_array_index(service->usable, i);
        count += CmTime_Before(now, target->ejected_until);
    }
    return count;
}

void
CmRouter_RecordEnd(struct cm_router *router, struct cm_route_target *target,
                   bool failed, bool suspect, struct timespec now)
{
    if (target->outstanding > 0) {
        target->outstanding--;
    }
    if (suspect && target->suspects > 0) {
        target->suspects--;
    }
    if (!failed) {
        target->failures = 0;
        return;
    }
    target->failures++;
    const struct cm_route_service *service = target->service;
    size_t limit = service->n_targets * CM_EJECT_MAX_PERCENT / 100;
    if (target->failures >= CM_EJECT_FAILURES &&
        count_ejected(service, now) < limit) {
        target->ejected_until = CmTime_AddMs(now, CM_EJECT_MS);
        target->failures = 0;
    }
}

char *
CmRouter_DescribeCandidates(const struct cm_route_decision *decision)
{
    GString *text = g_string_new(NULL);
    for (size_t i = 0; i < decision->n_candidates; i++) {
        const struct cm_route_candidate *candidate = &decision->candidates[i];
        g_string_append_printf(text, "%s%s cost=%.1f wait=%.1fms",
                               i > 0 ? "; " : "", candidate->target->name,
                               candidate->cost, candidate->wait_ms);
    }
    return g_string_free(text, FALSE);
}
