/// @file index.c
/// Hash tables of the targets by id, address, service and adapter.

#include "dispatch/index.h"

#include "dispatch/target_defs.h"

static GHashTable *
new_array_table(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                 (GDestroyNotify)g_ptr_array_unref);
}

void
CmTargetIndex_Init(struct cm_target_index *index)
{
    index->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    index->by_address = new_array_table();
    index->by_service = new_array_table();
    index->by_adapter = new_array_table();
    index->engines = g_ptr_array_new();
}

void
CmTargetIndex_Finish(struct cm_target_index *index)
{
    g_hash_table_destroy(index->by_id);
    g_hash_table_destroy(index->by_address);
    g_hash_table_destroy(index->by_service);
    g_hash_table_destroy(index->by_adapter);
    g_ptr_array_unref(index->engines);
}

/// @return the array under `key`, added to the table if there is none.
static GPtrArray *
get_or_add_array(GHashTable *table, const char *key)
{
    GPtrArray *array = g_hash_table_lookup(table, key);
    if (array == NULL) {
        array = g_ptr_array_new();
        g_hash_table_insert(table, g_strdup(key), array);
    }
    return array;
}

/// Removes `target` from the array under `key`, and the array once it is
/// empty.
/// @param ordered keep the order of the other targets.
static void
remove_from(GHashTable *table, const char *key, struct cm_live_target *target,
            bool ordered)
{
    GPtrArray *array = g_hash_table_lookup(table, key);
    if (array == NULL) {
        return;
    }
    if (ordered) {
        g_ptr_array_remove(array, target);
    }
    else {
        g_ptr_array_remove_fast(array, target);
    }
    if (array->len == 0) {
        g_hash_table_remove(table, key);
    }
}

size_t
CmTargetIndex_LowerBound(const GPtrArray *service, uint64_t hash)
{
    size_t low = 0;
    size_t high = service->len;
    while (low < high) {
        size_t middle = low + (high - low) / 2;
        const struct cm_live_target *target =
            g_ptr_array_index(service, middle);
        if (target->hash < hash) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static void
insert_by_hash(GPtrArray *array, struct cm_live_target *target)
{
    size_t position = CmTargetIndex_LowerBound(array, target->hash);
    g_ptr_array_insert(array, (gint)position, target);
}

void
CmTargetIndex_Add(struct cm_target_index *index, struct cm_live_target *target)
{
    g_hash_table_replace(index->by_id, target->id, target);
    g_ptr_array_add(get_or_add_array(index->by_address, target->address),
                    target);
    insert_by_hash(get_or_add_array(index->by_service, target->service),
                   target);
    if (target->is_engine) {
        insert_by_hash(index->engines, target);
    }
}

void
CmTargetIndex_Remove(struct cm_target_index *index,
                     struct cm_live_target *target)
{
    if (g_hash_table_lookup(index->by_id, target->id) == target) {
        g_hash_table_remove(index->by_id, target->id);
    }
    remove_from(index->by_address, target->address, target, false);
    remove_from(index->by_service, target->service, target, true);
    g_ptr_array_remove(index->engines, target);
    GHashTableIter iter;
    void *adapter;
    g_hash_table_iter_init(&iter, target->copies);
    while (g_hash_table_iter_next(&iter, &adapter, NULL)) {
        remove_from(index->by_adapter, adapter, target, false);
    }
}

void
CmTargetIndex_AddCopy(struct cm_target_index *index, const char *adapter,
                      struct cm_live_target *target)
{
    g_ptr_array_add(get_or_add_array(index->by_adapter, adapter), target);
}

void
CmTargetIndex_RemoveCopy(struct cm_target_index *index, const char *adapter,
                         struct cm_live_target *target)
{
    remove_from(index->by_adapter, adapter, target, false);
}

struct cm_live_target *
CmTargetIndex_Find(const struct cm_target_index *index, const char *id)
{
    return g_hash_table_lookup(index->by_id, id);
}

const GPtrArray *
CmTargetIndex_AtAddress(const struct cm_target_index *index,
                        const char *address)
{
    return g_hash_table_lookup(index->by_address, address);
}

const GPtrArray *
CmTargetIndex_OfService(const struct cm_target_index *index,
                        const char *service)
{
    return g_hash_table_lookup(index->by_service, service);
}

const GPtrArray *
CmTargetIndex_WithCopy(const struct cm_target_index *index,
                       const char *adapter)
{
    return g_hash_table_lookup(index->by_adapter, adapter);
}
