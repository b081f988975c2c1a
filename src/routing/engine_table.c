/** @file engine_table.c  See engine_table.h. */
#include "routing/engine_table.h"

#include "base/hash.h"
#include "base/log.h"
#include "config/config_object.h"

#include <string.h>

#define LOAD_REPORT_VALID_MS 500
#define LEAVING_VALID_MS 30000
#define MAX_REPORT_LAG_MS 3000
#define MISSING_MODEL_VALID_MS 10000
#define REFUSAL_BACKOFF_MS 50
#define MAX_EJECTION_DOUBLINGS 6
#define EXTRA_AFFINE_COUNT 2

typedef struct {
    char *id;
    char *url;
    char *zone;
    json_t *labels;
    bool listed;
    bool listed_leaving;
    uint64_t reported_leaving_until_ms;      /**< Reported by the engine or a peer. */
    uint64_t self_reported_leaving_until_ms; /**< Reported by the engine to this daemon. */
    uint64_t refusal_backoff_until_ms;
    uint64_t missing_model_until_ms;
    char *missing_model;
    uint32_t in_flight;
    uint32_t reported_online;
    uint64_t reported_at_ms;
    uint32_t consecutive_failures;
    uint32_t consecutive_ejections;
    uint64_t ejected_until_ms;
    uint64_t subset_weight; /**< Engines with the highest weights form this daemon's subset. */
} engine_entry;

struct hs_engine_table {
    char *daemon_id;
    char *zone;
    hs_engine_table_settings settings;
    GMutex lock;
    GHashTable *entries; /**< id -> engine_entry */
    GRand *random;
    uint64_t version;
};

static void free_entry(gpointer data) {
    engine_entry *entry = data;
    g_free(entry->id);
    g_free(entry->url);
    g_free(entry->zone);
    g_free(entry->missing_model);
    json_decref(entry->labels);
    g_free(entry);
}

hs_engine_table *hs_engine_table_new(const char *daemon_id, const char *zone,
                                     const hs_engine_table_settings *settings) {
    hs_engine_table *table = g_new0(hs_engine_table, 1);
    table->daemon_id = g_strdup(daemon_id);
    table->zone = g_strdup(zone);
    table->settings = *settings;
    table->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    table->random = g_rand_new_with_seed(g_str_hash(daemon_id));
    g_mutex_init(&table->lock);
    return table;
}

void hs_engine_table_free(hs_engine_table *table) {
    g_hash_table_destroy(table->entries);
    g_rand_free(table->random);
    g_mutex_clear(&table->lock);
    g_free(table->daemon_id);
    g_free(table->zone);
    g_free(table);
}

void hs_engine_table_begin_listing(hs_engine_table *table) {
    g_mutex_lock(&table->lock);
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, table->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &data))
        ((engine_entry *)data)->listed = false;
    g_mutex_unlock(&table->lock);
}

void hs_engine_table_put_listed(hs_engine_table *table, const char *id, const char *url,
                                const char *zone, const json_t *labels, bool leaving) {
    g_mutex_lock(&table->lock);
    engine_entry *entry = g_hash_table_lookup(table->entries, id);
    if (entry == NULL) {
        entry = g_new0(engine_entry, 1);
        entry->id = g_strdup(id);
        entry->subset_weight = hs_hash_pair(table->daemon_id, id);
        g_hash_table_insert(table->entries, entry->id, entry);
    }
    if (g_strcmp0(entry->url, url) != 0 || g_strcmp0(entry->zone, zone) != 0 ||
        !json_equal(entry->labels, labels)) {
        table->version++;
        g_free(entry->url);
        g_free(entry->zone);
        json_decref(entry->labels);
        entry->url = g_strdup(url);
        entry->zone = g_strdup(zone);
        entry->labels = json_deep_copy(labels);
    }
    entry->listed_leaving = leaving;
    entry->listed = true;
    g_mutex_unlock(&table->lock);
}

static gboolean is_entry_removable(gpointer key, gpointer value, gpointer user_data) {
    (void)key;
    (void)user_data;
    const engine_entry *entry = value;
    return !entry->listed && entry->in_flight == 0;
}

void hs_engine_table_end_listing(hs_engine_table *table) {
    g_mutex_lock(&table->lock);
    table->version += g_hash_table_foreach_remove(table->entries, is_entry_removable, NULL) > 0;
    g_mutex_unlock(&table->lock);
}

static bool is_leaving(const engine_entry *entry, uint64_t now_ms) {
    return entry->listed_leaving || !entry->listed || now_ms < entry->reported_leaving_until_ms;
}

static uint32_t estimate_online_load(const engine_entry *entry, uint64_t now_ms) {
    bool is_recent = entry->reported_at_ms + LOAD_REPORT_VALID_MS > now_ms;
    return is_recent ? MAX(entry->reported_online, entry->in_flight) : entry->in_flight;
}

static bool is_excluded(const hs_routing_query *query, const char *id) {
    for (uint32_t index = 0; index < query->excluded_count; index++)
        if (strcmp(query->excluded_ids[index], id) == 0)
            return true;
    return false;
}

static bool lacks_model(const engine_entry *entry, const char *model, uint64_t now_ms) {
    return now_ms < entry->missing_model_until_ms && g_strcmp0(entry->missing_model, model) == 0;
}

static gint compare_subset_weight(gconstpointer left, gconstpointer right) {
    const engine_entry *first = *(engine_entry *const *)left;
    const engine_entry *second = *(engine_entry *const *)right;
    return (first->subset_weight < second->subset_weight) -
           (first->subset_weight > second->subset_weight);
}

/** Swaps the engine with the highest prefix weight of [from, len) to position @p from. */
static void move_most_affine_to(GPtrArray *entries, guint from, uint64_t prefix_hash) {
    guint best = from;
    uint64_t best_weight = 0;
    char prefix[24];
    g_snprintf(prefix, sizeof prefix, "%" G_GUINT64_FORMAT, prefix_hash);
    for (guint index = from; index < entries->len; index++) {
        uint64_t weight = hs_hash_pair(prefix, ((engine_entry *)entries->pdata[index])->id);
        if (weight < best_weight)
            continue;
        best = index;
        best_weight = weight;
    }
    gpointer replaced = entries->pdata[from];
    entries->pdata[from] = entries->pdata[best];
    entries->pdata[best] = replaced;
}

/**
 * Returns the candidates of the query's group: this daemon's subset, then the remaining engines
 * with the highest affinity to the prefix. The entries are borrowed.
 */
static GPtrArray *collect_candidates(hs_engine_table *table, const hs_routing_query *query) {
    GPtrArray *entries = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, table->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const engine_entry *entry = data;
        if (hs_selector_matches(query->group->selector, entry->labels))
            g_ptr_array_add(entries, data);
    }
    g_ptr_array_sort(entries, compare_subset_weight);
    guint count = MIN(entries->len, table->settings.subset_size);
    for (int extra = 0; extra < EXTRA_AFFINE_COUNT && count < entries->len; extra++)
        move_most_affine_to(entries, count++, query->prefix_hash);
    g_ptr_array_set_size(entries, (gint)count);
    return entries;
}

static hs_route_candidate describe_candidate(const hs_engine_table *table,
                                             const engine_entry *entry,
                                             const hs_routing_query *query, uint64_t now_ms) {
    char prefix[24];
    g_snprintf(prefix, sizeof prefix, "%" G_GUINT64_FORMAT, query->prefix_hash);
    hs_route_candidate candidate = {.engine_id = entry->id,
                                    .online_in_flight = estimate_online_load(entry, now_ms),
                                    .same_zone = strcmp(entry->zone, table->zone) == 0,
                                    .holds_model = !lacks_model(entry, query->model, now_ms),
                                    .prefix_weight = hs_hash_pair(prefix, entry->id)};
    candidate.available = !is_leaving(entry, now_ms) && now_ms >= entry->ejected_until_ms &&
                          now_ms >= entry->refusal_backoff_until_ms &&
                          !is_excluded(query, entry->id) &&
                          candidate.online_in_flight < table->settings.max_in_flight;
    return candidate;
}

bool hs_engine_table_acquire(hs_engine_table *table, const hs_routing_query *query, uint64_t now_ms,
                             hs_engine_choice *choice) {
    g_mutex_lock(&table->lock);
    g_autoptr(GPtrArray) entries = collect_candidates(table, query);
    g_autofree hs_route_candidate *candidates = g_new0(hs_route_candidate, entries->len + 1);
    for (guint index = 0; index < entries->len; index++)
        candidates[index] = describe_candidate(table, entries->pdata[index], query, now_ms);
    hs_route_choice picked = hs_route_pick(candidates, entries->len, table->random);
    *choice = (hs_engine_choice){.reason = picked.reason,
                                 .score = picked.score,
                                 .available_count = picked.available_count,
                                 .candidate_count = entries->len};
    if (picked.index >= 0) {
        engine_entry *entry = entries->pdata[picked.index];
        entry->in_flight++;
        g_strlcpy(choice->id, entry->id, sizeof choice->id);
        g_strlcpy(choice->url, entry->url, sizeof choice->url);
        g_strlcpy(choice->zone, entry->zone, sizeof choice->zone);
    }
    g_mutex_unlock(&table->lock);
    return picked.index >= 0;
}

static void note_failure(const hs_engine_table *table, engine_entry *entry, uint64_t now_ms) {
    entry->consecutive_failures++;
    if (entry->consecutive_failures < table->settings.ejection_failures)
        return;
    uint32_t doublings = MIN(entry->consecutive_ejections, MAX_EJECTION_DOUBLINGS);
    entry->ejected_until_ms = now_ms + ((uint64_t)table->settings.ejection_ms << doublings);
    entry->consecutive_ejections++;
    /* The first failure after the ejection ejects the engine again. */
    entry->consecutive_failures = table->settings.ejection_failures - 1;
    hs_log_warning("engine_ejected", "engine=%s ejections=%u", entry->id,
                   entry->consecutive_ejections);
}

static void note_verdict(const hs_engine_table *table, engine_entry *entry, const char *model,
                         hs_attempt_verdict verdict, uint64_t now_ms) {
    switch (verdict) {
    case HS_ATTEMPT_VERDICT_COMPLETED:
        entry->consecutive_failures = 0;
        entry->consecutive_ejections = 0;
        return;
    case HS_ATTEMPT_VERDICT_FAILED:
        note_failure(table, entry, now_ms);
        return;
    case HS_ATTEMPT_VERDICT_REFUSED:
        entry->refusal_backoff_until_ms = now_ms + REFUSAL_BACKOFF_MS;
        return;
    case HS_ATTEMPT_VERDICT_LEAVING:
        entry->reported_leaving_until_ms = now_ms + LEAVING_VALID_MS;
        entry->self_reported_leaving_until_ms = entry->reported_leaving_until_ms;
        hs_log_info("engine_leaving", "engine=%s source=refusal", entry->id);
        return;
    case HS_ATTEMPT_VERDICT_NO_MODEL:
        entry->missing_model_until_ms = now_ms + MISSING_MODEL_VALID_MS;
        g_free(entry->missing_model);
        entry->missing_model = g_strdup(model);
        return;
    }
}

uint32_t hs_engine_table_finish(hs_engine_table *table, const char *id, const char *model,
                                hs_attempt_verdict verdict, uint64_t now_ms) {
    uint32_t remaining = 0;
    g_mutex_lock(&table->lock);
    engine_entry *entry = g_hash_table_lookup(table->entries, id);
    if (entry != NULL) {
        entry->in_flight -= entry->in_flight > 0;
        remaining = entry->in_flight;
        note_verdict(table, entry, model, verdict, now_ms);
    }
    g_mutex_unlock(&table->lock);
    return remaining;
}

bool hs_engine_table_get_in_flight(hs_engine_table *table, const char *id, uint32_t *in_flight,
                                   char zone[64]) {
    g_mutex_lock(&table->lock);
    const engine_entry *entry = g_hash_table_lookup(table->entries, id);
    if (entry != NULL) {
        *in_flight = entry->in_flight;
        g_strlcpy(zone, entry->zone, 64);
    }
    g_mutex_unlock(&table->lock);
    return entry != NULL;
}

void hs_engine_table_put_load_report(hs_engine_table *table, const char *id, uint32_t online,
                                     bool leaving, uint64_t now_ms) {
    g_mutex_lock(&table->lock);
    engine_entry *entry = g_hash_table_lookup(table->entries, id);
    if (entry != NULL) {
        entry->reported_online = online;
        entry->reported_at_ms = now_ms;
        if (leaving)
            entry->reported_leaving_until_ms = now_ms + LEAVING_VALID_MS;
    }
    g_mutex_unlock(&table->lock);
}

void hs_engine_table_note_leaving(hs_engine_table *table, const char *id, bool is_self_reported,
                                  uint64_t now_ms) {
    g_mutex_lock(&table->lock);
    engine_entry *entry = g_hash_table_lookup(table->entries, id);
    if (entry != NULL) {
        if (now_ms >= entry->reported_leaving_until_ms)
            hs_log_info("engine_leaving", "engine=%s source=%s", id,
                        is_self_reported ? "report" : "peer");
        entry->reported_leaving_until_ms = now_ms + LEAVING_VALID_MS;
        if (is_self_reported)
            entry->self_reported_leaving_until_ms = entry->reported_leaving_until_ms;
    }
    g_mutex_unlock(&table->lock);
}

void hs_engine_table_note_serving(hs_engine_table *table, const char *id, uint64_t now_ms) {
    g_mutex_lock(&table->lock);
    engine_entry *entry = g_hash_table_lookup(table->entries, id);
    bool is_newer = entry != NULL && now_ms + LEAVING_VALID_MS >=
                                         entry->reported_leaving_until_ms + MAX_REPORT_LAG_MS;
    if (is_newer) {
        entry->reported_leaving_until_ms = 0;
        entry->self_reported_leaving_until_ms = 0;
    }
    g_mutex_unlock(&table->lock);
}

static gint compare_ids(gconstpointer left, gconstpointer right) {
    return strcmp(*(char *const *)left, *(char *const *)right);
}

GPtrArray *hs_engine_table_list_leaving(hs_engine_table *table, uint64_t now_ms) {
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
    g_mutex_lock(&table->lock);
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, table->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const engine_entry *entry = data;
        if (now_ms < entry->self_reported_leaving_until_ms)
            g_ptr_array_add(ids, g_strdup(entry->id));
    }
    g_mutex_unlock(&table->lock);
    g_ptr_array_sort(ids, compare_ids);
    return ids;
}

uint64_t hs_engine_table_version(hs_engine_table *table) {
    g_mutex_lock(&table->lock);
    uint64_t version = table->version;
    g_mutex_unlock(&table->lock);
    return version;
}

bool hs_engine_table_is_avoided(hs_engine_table *table, const char *id, uint64_t now_ms) {
    g_mutex_lock(&table->lock);
    const engine_entry *entry = g_hash_table_lookup(table->entries, id);
    bool avoided = entry == NULL || is_leaving(entry, now_ms) || now_ms < entry->ejected_until_ms;
    g_mutex_unlock(&table->lock);
    return avoided;
}

GArray *hs_engine_table_infos(hs_engine_table *table, uint64_t now_ms) {
    GArray *infos = g_array_new(FALSE, TRUE, sizeof(hs_engine_info));
    g_mutex_lock(&table->lock);
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, table->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const engine_entry *entry = data;
        hs_engine_info info = {.labels = json_incref(entry->labels),
                               .leaving = is_leaving(entry, now_ms),
                               .ejected = now_ms < entry->ejected_until_ms,
                               .in_flight = entry->in_flight,
                               .estimated_online = estimate_online_load(entry, now_ms)};
        g_strlcpy(info.id, entry->id, sizeof info.id);
        g_strlcpy(info.url, entry->url, sizeof info.url);
        g_strlcpy(info.zone, entry->zone, sizeof info.zone);
        g_array_append_val(infos, info);
    }
    g_mutex_unlock(&table->lock);
    return infos;
}

void hs_engine_infos_free(GArray *infos) {
    for (guint index = 0; index < infos->len; index++)
        json_decref(g_array_index(infos, hs_engine_info, index).labels);
    g_array_free(infos, TRUE);
}
