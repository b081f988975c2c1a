/** @file config_store.c  See config_store.h. */
#include "config/config_store.h"

#include "base/clock.h"
#include "base/log.h"

#include <string.h>

#define READ_WAIT_MS 10000
#define MAX_READ_BYTES (4U << 20)
#define RETRY_INTERVAL_MS 100

typedef struct {
    bool known; /**< Whether the verdict is known. */
    hs_change_verdict verdict;
    uint64_t revision;
} watched_change;

struct hs_config_store {
    const hs_log_client *log;
    GMutex lock;
    GCond changed; /**< The view was replaced. */
    hs_config_fold *fold;
    hs_config_view *view;
    GHashTable *watched; /**< change id -> watched_change */
    bool confirmed;
    gint stopping;
    GThread *reader;
};

hs_config_store *hs_config_store_new(const hs_log_client *log) {
    hs_config_store *store = g_new0(hs_config_store, 1);
    store->log = log;
    g_mutex_init(&store->lock);
    g_cond_init(&store->changed);
    store->fold = hs_config_fold_new();
    store->view = hs_config_view_new(store->fold);
    store->watched = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return store;
}

void hs_config_store_free(hs_config_store *store) {
    hs_config_fold_free(store->fold);
    hs_config_view_release(store->view);
    g_hash_table_destroy(store->watched);
    g_mutex_clear(&store->lock);
    g_cond_clear(&store->changed);
    g_free(store);
}

/** Records the verdict on a watched change. Later verdicts on the same change are ignored. */
static void note_verdict(hs_config_store *store, const Hs__ConfigChange *change,
                         hs_change_verdict verdict) {
    watched_change *watched = g_hash_table_lookup(store->watched, change->change_id);
    if (watched == NULL || watched->known)
        return;
    const hs_config_object *object = hs_config_fold_find(store->fold, change->kind, change->name);
    watched->known = true;
    watched->verdict = verdict;
    watched->revision = object != NULL ? object->revision : 0;
}

static void apply_record(hs_config_store *store, const hs_log_record *record) {
    Hs__ConfigChange *change = hs__config_change__unpack(NULL, record->length, record->bytes);
    hs_change_verdict verdict = hs_config_fold_apply(store->fold, record->offset, change);
    if (change == NULL)
        return;
    if (record->offset + 1 == store->fold->next_offset)
        note_verdict(store, change, verdict);
    hs_log_info("config_change",
                "offset=%" G_GUINT64_FORMAT " kind=%s name=%s change_id=%s accepted=%d",
                record->offset, change->kind, change->name, change->change_id,
                verdict == HS_CHANGE_ACCEPTED);
    hs__config_change__free_unpacked(change, NULL);
}

/** Replaces the view after the fold has changed. The caller holds the lock. */
static void refresh_view(hs_config_store *store) {
    hs_config_view_release(store->view);
    store->view = hs_config_view_new(store->fold);
    g_cond_broadcast(&store->changed);
}

static void apply_slice(hs_config_store *store, const hs_log_slice *slice) {
    g_mutex_lock(&store->lock);
    for (guint index = 0; index < slice->records->len; index++)
        apply_record(store, &g_array_index(slice->records, hs_log_record, index));
    if (slice->records->len > 0)
        refresh_view(store);
    else
        store->confirmed = true;
    g_mutex_unlock(&store->lock);
}

bool hs_config_store_catch_up(hs_config_store *store) {
    for (;;) {
        hs_log_slice slice;
        hs_error error = {0};
        if (hs_log_read(store->log, HS_CONFIG_STREAM, hs_config_store_offset(store), 0,
                        MAX_READ_BYTES, &slice, &error) != 0)
            return false;
        bool at_end = slice.records->len == 0;
        apply_slice(store, &slice);
        hs_log_slice_clear(&slice);
        if (at_end)
            return true;
    }
}

static gpointer read_changes(gpointer data) {
    hs_config_store *store = data;
    while (!g_atomic_int_get(&store->stopping)) {
        hs_log_slice slice;
        hs_error error = {0};
        uint64_t offset = hs_config_store_offset(store);
        uint32_t wait_ms = hs_config_store_is_confirmed(store) ? READ_WAIT_MS : 0;
        if (hs_log_read(store->log, HS_CONFIG_STREAM, offset, wait_ms, MAX_READ_BYTES, &slice,
                        &error) != 0) {
            hs_clock_sleep_ms(RETRY_INTERVAL_MS);
            continue;
        }
        apply_slice(store, &slice);
        hs_log_slice_clear(&slice);
    }
    return NULL;
}

void hs_config_store_start(hs_config_store *store) {
    store->reader = g_thread_new("config-reader", read_changes, store);
}

void hs_config_store_stop(hs_config_store *store) {
    /* A long poll may take up to READ_WAIT_MS, so the thread is not joined. */
    g_atomic_int_set(&store->stopping, true);
    g_thread_unref(store->reader);
}

hs_config_view *hs_config_store_acquire_view(hs_config_store *store) {
    g_mutex_lock(&store->lock);
    hs_config_view *view = hs_config_view_acquire(store->view);
    g_mutex_unlock(&store->lock);
    return view;
}

uint64_t hs_config_store_offset(hs_config_store *store) {
    g_mutex_lock(&store->lock);
    uint64_t offset = store->fold->next_offset;
    g_mutex_unlock(&store->lock);
    return offset;
}

bool hs_config_store_is_confirmed(hs_config_store *store) {
    g_mutex_lock(&store->lock);
    bool confirmed = store->confirmed;
    g_mutex_unlock(&store->lock);
    return confirmed;
}

void hs_config_store_mark_unconfirmed(hs_config_store *store) {
    g_mutex_lock(&store->lock);
    store->confirmed = false;
    g_mutex_unlock(&store->lock);
}

void hs_config_store_confirm(hs_config_store *store) {
    g_mutex_lock(&store->lock);
    store->confirmed = true;
    g_mutex_unlock(&store->lock);
}

/** Records acceptance of the watched changes found in the fold. The caller holds the lock. */
static void note_adopted_changes(hs_config_store *store) {
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, store->fold->objects);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_config_object *object = data;
        watched_change *watched = g_hash_table_lookup(store->watched, object->change_id);
        if (watched != NULL && !watched->known)
            *watched = (watched_change){
                .known = true, .verdict = HS_CHANGE_ACCEPTED, .revision = object->revision};
    }
}

bool hs_config_store_adopt(hs_config_store *store, hs_config_fold *fold) {
    g_mutex_lock(&store->lock);
    bool ahead = fold->next_offset > store->fold->next_offset;
    hs_config_fold *unused = fold;
    if (ahead) {
        unused = store->fold;
        store->fold = fold;
        note_adopted_changes(store);
        refresh_view(store);
    }
    g_mutex_unlock(&store->lock);
    hs_config_fold_free(unused);
    return ahead;
}

void hs_config_store_read(hs_config_store *store,
                          void (*reader)(const hs_config_fold *fold, void *user_data),
                          void *user_data) {
    g_mutex_lock(&store->lock);
    reader(store->fold, user_data);
    g_mutex_unlock(&store->lock);
}

void hs_config_store_watch(hs_config_store *store, const char *change_id) {
    g_mutex_lock(&store->lock);
    g_hash_table_insert(store->watched, g_strdup(change_id), g_new0(watched_change, 1));
    g_mutex_unlock(&store->lock);
}

bool hs_config_store_await(hs_config_store *store, const char *change_id, uint64_t deadline_ms,
                           hs_change_verdict *verdict, uint64_t *revision) {
    g_mutex_lock(&store->lock);
    watched_change *watched = g_hash_table_lookup(store->watched, change_id);
    while (!watched->known)
        if (!hs_clock_wait_until(deadline_ms, &store->changed, &store->lock))
            break;
    bool known = watched->known;
    *verdict = watched->verdict;
    *revision = watched->revision;
    g_mutex_unlock(&store->lock);
    return known;
}

void hs_config_store_unwatch(hs_config_store *store, const char *change_id) {
    g_mutex_lock(&store->lock);
    g_hash_table_remove(store->watched, change_id);
    g_mutex_unlock(&store->lock);
}
