/** @file log_store.c  See log_store.h. */
#include "standin/log_store/log_store.h"

#include "base/clock.h"
#include "http/http_fields.h"
#include "http/listener.h"
#include "platform/caller_codec.h"
#include "platform/names.h"
#include "standin/port_lease/port_lease.h"

#include <jansson.h>
#include <string.h>
#include <sys/socket.h>

#define PARTITION_COUNT 12
#define UNRESPONSIVE_WAIT_MS 20000
#define POLL_INTERVAL_MS 5
#define MAX_BODY_BYTES (16U * 1024 * 1024)
/** Keys on a page of a listing. */
#define NEWEST_PAGE_KEYS 500

/** One partition of a topic. */
typedef struct {
    GPtrArray *records; /**< of GBytes*; the offset of the first one is @c first. */
    uint64_t first;
} partition;

/** Newest value of a key. */
typedef struct {
    GBytes *value;
    uint64_t offset;
} keyed_value;

typedef struct {
    partition partitions[PARTITION_COUNT];
    GHashTable *newest_by_key; /**< key -> keyed_value*; empty unless the topic is keyed. */
} topic;

typedef struct {
    char *name;
    uint64_t expires_at_ms;
} member;

struct log_store {
    hs_listener *listener;
    uint16_t port;
    GMutex lock;
    GHashTable *topics;            /**< name -> topic* */
    GPtrArray *members;            /**< of member*; there is one group for all topics. */
    char *owners[PARTITION_COUNT]; /**< Member name by partition; NULL: none. */
    uint64_t generation;
    uint32_t assignment_offset; /**< Added to the partition number to find the assigned member. */
    log_store_mode mode;
    char *mode_prefix;
    uint32_t mode_count;
    gint delay_ms;
    gint stopping;
    GHashTable *call_counts; /**< Target up to its first parameter (the topic) -> count. */
};

static void free_topic(gpointer data) {
    topic *freed = data;
    for (int partition_id = 0; partition_id < PARTITION_COUNT; partition_id++)
        g_ptr_array_free(freed->partitions[partition_id].records, TRUE);
    g_hash_table_destroy(freed->newest_by_key);
    g_free(freed);
}

static void free_keyed_value(gpointer data) {
    keyed_value *freed = data;
    g_bytes_unref(freed->value);
    g_free(freed);
}

static void free_member(gpointer data) {
    member *freed = data;
    g_free(freed->name);
    g_free(freed);
}

static topic *find_or_add_topic(log_store *store, const char *name) {
    topic *found = g_hash_table_lookup(store->topics, name);
    if (found != NULL)
        return found;
    found = g_new0(topic, 1);
    for (int partition_id = 0; partition_id < PARTITION_COUNT; partition_id++)
        found->partitions[partition_id].records =
            g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    found->newest_by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_keyed_value);
    g_hash_table_insert(store->topics, g_strdup(name), found);
    return found;
}

static bool is_keyed(const char *name) {
    return g_str_has_prefix(name, "keyed.");
}

static void add_record(topic *target, uint32_t partition_id, bool keyed, const guint8 *bytes,
                       size_t length) {
    partition *log = &target->partitions[partition_id];
    uint64_t offset = log->first + log->records->len;
    g_ptr_array_add(log->records, g_bytes_new(bytes, length));
    if (!keyed)
        return;
    char *key = g_strndup((const char *)bytes + 1, bytes[0]);
    size_t value_length = length - 1 - bytes[0];
    if (value_length == 0) {
        g_hash_table_remove(target->newest_by_key, key);
        g_free(key);
        return;
    }
    keyed_value *entry = g_new0(keyed_value, 1);
    entry->value = g_bytes_new(bytes + 1 + bytes[0], value_length);
    entry->offset = offset;
    g_hash_table_insert(target->newest_by_key, key, entry);
}

static void reply_json(hs_inbound *inbound, uint32_t status, json_t *body) {
    GArray *fields = hs_http_fields_new();
    hs_http_fields_add(fields, "Content-Type", "application/json");
    char *text = json_dumps(body, JSON_COMPACT);
    hs_inbound_reply(inbound, status, fields, text, strlen(text));
    free(text);
    json_decref(body);
    hs_http_fields_free(fields);
}

static uint64_t read_query_number(const char *target, const char *name, uint64_t fallback) {
    g_autofree char *value = hs_platform_find_query_value(target, name);
    return value != NULL ? g_ascii_strtoull(value, NULL, 10) : fallback;
}

static void serve_append(log_store *store, hs_inbound *inbound) {
    g_autofree char *name = hs_platform_find_query_value(inbound->target, "topic");
    uint32_t partition_id =
        (uint32_t)read_query_number(inbound->target, "part", 0) % PARTITION_COUNT;
    topic *target = find_or_add_topic(store, name);
    uint64_t offset =
        target->partitions[partition_id].first + target->partitions[partition_id].records->len;
    size_t position = 0;
    while (position + sizeof(guint32) <= inbound->body->len) {
        guint32 wire = 0;
        memcpy(&wire, inbound->body->data + position, sizeof wire);
        position += sizeof wire;
        add_record(target, partition_id, is_keyed(name), inbound->body->data + position,
                   g_ntohl(wire));
        position += g_ntohl(wire);
    }
    uint64_t end =
        target->partitions[partition_id].first + target->partitions[partition_id].records->len;
    reply_json(inbound, 200,
               json_pack("{s:I, s:I}", "offset", (json_int_t)offset, "end", (json_int_t)end));
}

static void append_uint64(GByteArray *response, uint64_t value) {
    uint64_t wire = GUINT64_TO_BE(value);
    g_byte_array_append(response, (const guint8 *)&wire, sizeof wire);
}

static void reply_records(hs_inbound *inbound, const partition *log, uint64_t from,
                          uint64_t max_bytes) {
    GByteArray *response = g_byte_array_new();
    uint64_t end = log->first + log->records->len;
    append_uint64(response, end);
    append_uint64(response, log->first);
    for (uint64_t offset = from; offset < end; offset++) {
        gsize length = 0;
        const guint8 *bytes = g_bytes_get_data(log->records->pdata[offset - log->first], &length);
        if (offset > from && response->len + length > max_bytes)
            break;
        guint32 wire = g_htonl((guint32)length);
        g_byte_array_append(response, (const guint8 *)&wire, sizeof wire);
        g_byte_array_append(response, bytes, (guint)length);
    }
    hs_inbound_reply(inbound, 200, NULL, response->data, response->len);
    g_byte_array_free(response, TRUE);
}

/** The caller holds the lock, which is released while the read waits for records. */
static void serve_read(log_store *store, hs_inbound *inbound) {
    g_autofree char *name = hs_platform_find_query_value(inbound->target, "topic");
    uint32_t partition_id =
        (uint32_t)read_query_number(inbound->target, "part", 0) % PARTITION_COUNT;
    uint64_t from = read_query_number(inbound->target, "from", 0);
    uint64_t max_bytes = read_query_number(inbound->target, "max_kb", 1024) * 1024;
    uint64_t deadline_ms =
        hs_clock_monotonic_ms() + read_query_number(inbound->target, "wait-ms", 0);
    const partition *log = &find_or_add_topic(store, name)->partitions[partition_id];
    while (from >= log->first + log->records->len && hs_clock_monotonic_ms() < deadline_ms) {
        g_mutex_unlock(&store->lock);
        hs_clock_sleep_ms(POLL_INTERVAL_MS);
        g_mutex_lock(&store->lock);
    }
    if (from < log->first)
        reply_json(inbound, 410, json_pack("{s:I}", "first", (json_int_t)log->first));
    else
        reply_records(inbound, log, from, max_bytes);
}

/** Lists up to NEWEST_PAGE_KEYS keys after @p after (NULL: from the first on), in order. */
static GList *list_page_keys(const topic *from, const char *after, bool *has_more) {
    GList *keys = g_list_sort(g_hash_table_get_keys(from->newest_by_key), (GCompareFunc)strcmp);
    while (after != NULL && keys != NULL && strcmp(keys->data, after) <= 0)
        keys = g_list_delete_link(keys, keys);
    GList *rest = g_list_nth(keys, NEWEST_PAGE_KEYS);
    *has_more = rest != NULL;
    if (rest != NULL) {
        rest->prev->next = NULL;
        rest->prev = NULL;
        g_list_free(rest);
    }
    return keys;
}

static void serve_newest_values(log_store *store, hs_inbound *inbound) {
    g_autofree char *name = hs_platform_find_query_value(inbound->target, "topic");
    g_autofree char *after = hs_platform_find_query_value(inbound->target, "after");
    topic *from = find_or_add_topic(store, name);
    json_t *list = json_array();
    bool has_more = false;
    GList *keys = list_page_keys(from, after, &has_more);
    for (const GList *key = keys; key != NULL; key = key->next) {
        const keyed_value *entry = g_hash_table_lookup(from->newest_by_key, key->data);
        gsize length = 0;
        const guchar *bytes = g_bytes_get_data(entry->value, &length);
        g_autofree char *encoded = g_base64_encode(bytes, length);
        json_array_append_new(list, json_pack("{s:s, s:s, s:I}", "key", key->data, "value", encoded,
                                              "offset", (json_int_t)entry->offset));
    }
    g_list_free(keys);
    uint64_t end = from->partitions[0].first + from->partitions[0].records->len;
    reply_json(inbound, 200,
               json_pack("{s:o, s:b, s:I}", "requests", list, "has-more", (int)has_more, "end",
                         (json_int_t)end));
}

/** Returns the name of the member that the partition is assigned to, or "" if there is none. */
static const char *find_assigned_member(const log_store *store, guint partition_id) {
    if (store->members->len == 0)
        return "";
    const member *candidate =
        store->members->pdata[(partition_id + store->assignment_offset) % store->members->len];
    return candidate->name;
}

/** Revokes the member's partitions: all of them, or those that are assigned to other members. */
static void release_partitions(log_store *store, const char *name, bool all) {
    for (guint partition_id = 0; partition_id < PARTITION_COUNT; partition_id++) {
        if (store->owners[partition_id] == NULL || strcmp(store->owners[partition_id], name) != 0)
            continue;
        if (all || strcmp(find_assigned_member(store, partition_id), name) != 0)
            g_clear_pointer(&store->owners[partition_id], g_free);
    }
}

static void remove_member(log_store *store, guint index) {
    release_partitions(store, ((member *)store->members->pdata[index])->name, true);
    g_ptr_array_remove_index(store->members, index);
    store->generation++;
}

static void remove_expired_members(log_store *store, uint64_t now_ms) {
    for (guint index = store->members->len; index > 0; index--) {
        const member *candidate = store->members->pdata[index - 1];
        if (candidate->expires_at_ms < now_ms)
            remove_member(store, index - 1);
    }
}

static guint find_member_index(const log_store *store, const char *name) {
    for (guint index = 0; index < store->members->len; index++)
        if (strcmp(((member *)store->members->pdata[index])->name, name) == 0)
            return index;
    return store->members->len;
}

/**
 * Handles a join. A partition moves to another member only after its owner has joined with the
 * current generation, and so knows that the partition is no longer assigned to it.
 */
static void serve_join(log_store *store, hs_inbound *inbound) {
    json_t *body = json_loadb((const char *)inbound->body->data, inbound->body->len, 0, NULL);
    const char *name = json_string_value(json_object_get(body, "member"));
    const char *topic_name = json_string_value(json_array_get(json_object_get(body, "topics"), 0));
    uint64_t ttl_ms = (uint64_t)json_integer_value(json_object_get(body, "ttl-ms"));
    uint64_t known_generation = (uint64_t)json_integer_value(json_object_get(body, "generation"));
    uint64_t now_ms = hs_clock_monotonic_ms();
    remove_expired_members(store, now_ms);
    if (known_generation >= store->generation && store->members->len > 0)
        release_partitions(store, name, false);
    guint index = find_member_index(store, name);
    if (index == store->members->len) {
        member *added = g_new0(member, 1);
        added->name = g_strdup(name);
        g_ptr_array_add(store->members, added);
        store->generation++;
    }
    ((member *)store->members->pdata[index])->expires_at_ms = now_ms + ttl_ms;
    json_t *rows = json_array();
    for (guint partition_id = 0; partition_id < PARTITION_COUNT; partition_id++) {
        if (strcmp(find_assigned_member(store, partition_id), name) != 0 ||
            (store->owners[partition_id] != NULL && strcmp(store->owners[partition_id], name) != 0))
            continue;
        g_free(store->owners[partition_id]);
        store->owners[partition_id] = g_strdup(name);
        json_array_append_new(rows, json_pack("[s, i, i]", topic_name, (int)partition_id, 0));
    }
    reply_json(inbound, 200,
               json_pack("{s:I, s:I, s:o}", "generation", (json_int_t)store->generation, "ttl-ms",
                         (json_int_t)ttl_ms, "parts", rows));
    json_decref(body);
}

static void serve_leave(log_store *store, hs_inbound *inbound) {
    json_t *body = json_loadb((const char *)inbound->body->data, inbound->body->len, 0, NULL);
    guint index = find_member_index(store, json_string_value(json_object_get(body, "member")));
    if (index < store->members->len)
        remove_member(store, index);
    json_decref(body);
    reply_json(inbound, 200, json_object());
}

static void serve_trim(log_store *store, hs_inbound *inbound) {
    json_t *body = json_loadb((const char *)inbound->body->data, inbound->body->len, 0, NULL);
    const char *name = json_string_value(json_object_get(body, "topic"));
    if (name == NULL) { /* The same body as the platform's store sends. */
        json_decref(body);
        reply_json(inbound, 400, json_pack("{s:s}", "why", "the body can't be read"));
        return;
    }
    uint32_t partition_id =
        (uint32_t)json_integer_value(json_object_get(body, "part")) % PARTITION_COUNT;
    uint64_t before = (uint64_t)json_integer_value(json_object_get(body, "before"));
    partition *log = &find_or_add_topic(store, name)->partitions[partition_id];
    json_decref(body);
    while (log->first < before && log->records->len > 0) {
        g_ptr_array_remove_index(log->records, 0);
        log->first++;
    }
    reply_json(inbound, 200, json_object());
}

static bool target_has_prefix(const hs_inbound *inbound, const char *call) {
    return g_str_has_prefix(inbound->target, call);
}

static void serve_call(log_store *store, hs_inbound *inbound) {
    if (target_has_prefix(inbound, CALL_APPEND))
        serve_append(store, inbound);
    else if (target_has_prefix(inbound, CALL_READ))
        serve_read(store, inbound);
    else if (target_has_prefix(inbound, CALL_NEWEST))
        serve_newest_values(store, inbound);
    else if (target_has_prefix(inbound, CALL_JOIN))
        serve_join(store, inbound);
    else if (target_has_prefix(inbound, CALL_LEAVE))
        serve_leave(store, inbound);
    else if (target_has_prefix(inbound, CALL_TRIM))
        serve_trim(store, inbound);
    else
        reply_json(inbound, 404, json_object());
}

/** Returns the mode for the call and decrements the fault count. The caller holds the lock. */
static log_store_mode consume_mode(log_store *store, const hs_inbound *inbound) {
    if (store->mode_count == 0 ||
        (store->mode_prefix != NULL && !target_has_prefix(inbound, store->mode_prefix)))
        return LOG_STORE_HEALTHY;
    store->mode_count--;
    return store->mode;
}

static void count_call(log_store *store, const hs_inbound *inbound) {
    char *call = g_strndup(inbound->target, strcspn(inbound->target, "&"));
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(store->call_counts, call));
    g_hash_table_insert(store->call_counts, call, GUINT_TO_POINTER(count + 1));
}

/** Shuts the connection down, so that no response reaches the caller. */
static void break_connection(hs_inbound *inbound) {
    shutdown(inbound->descriptor, SHUT_RDWR);
}

/** Waits for longer than the caller's timeout, or until the store is stopped. */
static void wait_unresponsive(log_store *store) {
    uint64_t deadline_ms = hs_clock_monotonic_ms() + UNRESPONSIVE_WAIT_MS;
    while (hs_clock_monotonic_ms() < deadline_ms && g_atomic_int_get(&store->stopping) == 0)
        hs_clock_sleep_ms(POLL_INTERVAL_MS);
}

static void serve(hs_inbound *inbound, void *user_data) {
    log_store *store = user_data;
    hs_clock_sleep_ms((uint64_t)g_atomic_int_get(&store->delay_ms));
    g_mutex_lock(&store->lock);
    count_call(store, inbound);
    log_store_mode mode = consume_mode(store, inbound);
    if (mode == LOG_STORE_HEALTHY || mode == LOG_STORE_LOSES_ANSWER)
        serve_call(store, inbound);
    g_mutex_unlock(&store->lock);
    if (mode == LOG_STORE_REFUSES || mode == LOG_STORE_THROTTLES)
        reply_json(inbound, mode == LOG_STORE_REFUSES ? 503 : 429, json_object());
    if (mode == LOG_STORE_UNRESPONSIVE) {
        wait_unresponsive(store);
        hs_inbound_drop(inbound);
    }
    if (mode == LOG_STORE_LOSES_ANSWER || mode == LOG_STORE_DROPS_CALLS)
        break_connection(inbound);
}

log_store *log_store_start(uint16_t port) {
    log_store *store = g_new0(log_store, 1);
    g_mutex_init(&store->lock);
    store->topics = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_topic);
    store->members = g_ptr_array_new_with_free_func(free_member);
    store->call_counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    store->port = port != 0 ? port : port_lease_take(1);
    store->listener = hs_listener_start("127.0.0.1", store->port,
                                        &(hs_listener_limits){.max_body_bytes = MAX_BODY_BYTES},
                                        serve, store, NULL);
    return store;
}

void log_store_stop(log_store *store) {
    g_atomic_int_set(&store->stopping, 1);
    hs_listener_stop(store->listener);
    g_hash_table_destroy(store->topics);
    g_hash_table_destroy(store->call_counts);
    g_ptr_array_free(store->members, TRUE);
    for (guint partition_id = 0; partition_id < PARTITION_COUNT; partition_id++)
        g_free(store->owners[partition_id]);
    g_free(store->mode_prefix);
    g_mutex_clear(&store->lock);
    g_free(store);
}

uint16_t log_store_port(const log_store *store) {
    return store->port;
}

void log_store_set_mode(log_store *store, log_store_mode mode, const char *prefix, uint32_t count) {
    g_mutex_lock(&store->lock);
    store->mode = mode;
    store->mode_count = mode == LOG_STORE_HEALTHY ? 0 : count;
    g_free(store->mode_prefix);
    store->mode_prefix = g_strdup(prefix);
    g_mutex_unlock(&store->lock);
}

void log_store_set_delay(log_store *store, uint32_t delay_ms) {
    g_atomic_int_set(&store->delay_ms, (gint)delay_ms);
}

void log_store_put(log_store *store, const char *name, const char *key, const char *value) {
    GByteArray *record = g_byte_array_new();
    guint8 key_length = (guint8)strlen(key);
    g_byte_array_append(record, &key_length, 1);
    g_byte_array_append(record, (const guint8 *)key, key_length);
    g_byte_array_append(record, (const guint8 *)value, (guint)strlen(value));
    g_mutex_lock(&store->lock);
    add_record(find_or_add_topic(store, name), 0, true, record->data, record->len);
    g_mutex_unlock(&store->lock);
    g_byte_array_free(record, TRUE);
}

void log_store_put_raw(log_store *store, const char *name, const void *record, size_t length) {
    g_mutex_lock(&store->lock);
    add_record(find_or_add_topic(store, name), 0, false, record, length);
    g_mutex_unlock(&store->lock);
}

void log_store_discard_records(log_store *store, const char *name) {
    g_mutex_lock(&store->lock);
    topic *emptied = find_or_add_topic(store, name);
    for (int partition_id = 0; partition_id < PARTITION_COUNT; partition_id++) {
        partition *log = &emptied->partitions[partition_id];
        log->first += log->records->len;
        g_ptr_array_set_size(log->records, 0);
    }
    g_mutex_unlock(&store->lock);
}

void log_store_rebalance(log_store *store) {
    g_mutex_lock(&store->lock);
    store->assignment_offset++;
    store->generation++;
    for (guint partition_id = 0; partition_id < PARTITION_COUNT; partition_id++)
        g_clear_pointer(&store->owners[partition_id], g_free);
    g_mutex_unlock(&store->lock);
}

uint32_t log_store_call_count(log_store *store, const char *prefix) {
    uint32_t total = 0;
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_mutex_lock(&store->lock);
    g_hash_table_iter_init(&iterator, store->call_counts);
    while (g_hash_table_iter_next(&iterator, &key, &value))
        if (g_str_has_prefix(key, prefix))
            total += GPOINTER_TO_UINT(value);
    g_mutex_unlock(&store->lock);
    return total;
}
