/// @file snapshot.c
/// Encodes popularity as a JSON array of [adapter, rate], and validates it on
/// decoding.

#include "placement/snapshot.h"

#include <string.h>

/// Lower rates are left out of snapshots: one request in 83 minutes.
#define RATE_MIN_PER_S 0.0002
/// Rates from this on are invalid in a snapshot.
#define RATE_MAX_PER_S 1e6
#define ADAPTER_NAME_MAX_BYTES 128

static void
rate_clear(gpointer data)
{
    g_free(((struct cm_adapter_rate *)data)->adapter);
}

static void
add_rate(void *context, const char *adapter, double rate)
{
    struct cm_adapter_rate item = {g_strdup(adapter), rate};
    g_array_append_val((GArray *)context, item);
}

static int
compare_rates(gconstpointer a, gconstpointer b)
{
    double left = ((const struct cm_adapter_rate *)a)->rate;
    double right = ((const struct cm_adapter_rate *)b)->rate;
    return left > right ? -1 : left < right;
}

GArray *
CmSnapshot_Rank(const struct cm_popularity *popularity, struct timespec now,
                double minimum)
{
    GArray *rates = g_array_new(FALSE, FALSE, sizeof(struct cm_adapter_rate));
    g_array_set_clear_func(rates, rate_clear);
    CmPopularity_ForEach(popularity, now, minimum, add_rate, rates);
    g_array_sort(rates, compare_rates);
    return rates;
}

json_t *
CmSnapshot_Encode(const struct cm_popularity *popularity, struct timespec now,
                  double factor)
{
    GArray *rates = CmSnapshot_Rank(popularity, now, RATE_MIN_PER_S);
    json_t *list = json_array();
    for (guint i = 0; i < rates->len && i < CM_SNAPSHOT_ADAPTERS_MAX; i++) {
        const struct cm_adapter_rate *item =
            &g_array_index(rates, struct cm_adapter_rate, i);
        json_array_append_new(
            list, json_pack("[s,f]", item->adapter, item->rate * factor));
    }
    g_array_free(rates, TRUE);
    return list;
}

static bool
is_valid_rate(const json_t *item)
{
    const char *adapter = json_string_value(json_array_get(item, 0));
    const json_t *rate = json_array_get(item, 1);
    return json_array_size(item) == 2 && adapter != NULL &&
           strlen(adapter) < ADAPTER_NAME_MAX_BYTES && json_is_number(rate) &&
           json_number_value(rate) >= 0 &&
           json_number_value(rate) < RATE_MAX_PER_S;
}

enum cm_snapshot_result
CmSnapshot_Decode(const json_t *json, struct cm_popularity *popularity,
                  struct timespec now, double factor)
{
    size_t n = json_array_size(json);
    if (!json_is_array(json) || n > CM_SNAPSHOT_ADAPTERS_MAX) {
        return CM_SNAPSHOT_MALFORMED;
    }
    for (size_t i = 0; i < n; i++) {
        if (!is_valid_rate(json_array_get(json, i))) {
            return CM_SNAPSHOT_MALFORMED;
        }
    }
    for (size_t i = 0; i < n; i++) {
        const json_t *item = json_array_get(json, i);
        CmPopularity_Set(
            popularity, json_string_value(json_array_get(item, 0)),
            json_number_value(json_array_get(item, 1)) * factor, now);
    }
    return CM_SNAPSHOT_RESTORED;
}
