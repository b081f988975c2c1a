/** @file config_source.c  See config_source.h. */
#include "fleet/config_source.h"

#include "base/clock.h"
#include "base/log.h"
#include "fleet/engine_evacuation.h"
#include "platform/config_codec.h"
#include "store/store_contact.h"
#include "tenants/tenant_index.h"

#include <string.h>

#define MAX_READ_KB 1024
/** Time that a long poll may take beyond its hold time. */
#define LONG_POLL_MARGIN_MS 600
/**
 * First delay before a failed read is retried; doubles up to MAX_RETRY_DELAY_MS, to limit the load
 * of many daemons on a recovering store.
 */
#define MIN_RETRY_DELAY_MS 100
#define MAX_RETRY_DELAY_MS 400

struct hs_config_source {
    hs_store_client *store;
    uint32_t poll_ms;
    GMutex lock;
    hs_fleet_config *config;
    GBytes *value;          /**< Value of the record of config; NULL: not known. */
    uint64_t peer_as_of_ms; /**< As of when another daemon gave the configuration; 0: none did. */
    hs_store_contact contact;
    hs_fleet_engines
        *engines; /**< Gets the evacuations of the same topic; NULL: they are dropped. */
    gint is_stopping;
    GThread *thread;
};

hs_config_source *hs_config_source_new(hs_store_client *store, uint32_t apply_ms) {
    hs_config_source *source = g_new0(hs_config_source, 1);
    source->store = store;
    /* Leaves time to retry a poll on a silent connection before a version must be in use. */
    source->poll_ms = apply_ms / 2;
    g_mutex_init(&source->lock);
    hs_store_contact_init(&source->contact, "config");
    return source;
}

void hs_config_source_set_engines(hs_config_source *source, hs_fleet_engines *engines) {
    source->engines = engines;
}

hs_fleet_config *hs_config_source_get(hs_config_source *source) {
    g_mutex_lock(&source->lock);
    hs_fleet_config *config = source->config != NULL ? hs_fleet_config_ref(source->config) : NULL;
    g_mutex_unlock(&source->lock);
    return config;
}

/** Replaces the value of the current configuration's record. The caller holds the lock. */
static void replace_value(hs_config_source *source, GBytes *value) {
    if (source->value != NULL)
        g_bytes_unref(source->value);
    source->value = value != NULL ? g_bytes_ref(value) : NULL;
}

/** As hs_config_source_apply_if_newer, with the record's value; NULL: not known. */
static bool apply_record(hs_config_source *source, hs_fleet_config *config, GBytes *value) {
    g_mutex_lock(&source->lock);
    bool is_newer = source->config == NULL || config->version > source->config->version;
    hs_fleet_config *released = is_newer ? source->config : config;
    uint64_t previous_version = source->config != NULL ? source->config->version : 0;
    if (is_newer) {
        source->config = config;
        replace_value(source, value);
    }
    g_mutex_unlock(&source->lock);
    if (is_newer)
        hs_log_info("config_applied",
                    "version=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
                    " offset=%" G_GUINT64_FORMAT " routes=%u services=%u tenants=%u keys=%u",
                    (guint64)config->version, (guint64)previous_version, (guint64)config->offset,
                    config->routes->len, config->services->len, config->tenants->len,
                    g_hash_table_size(config->tenant_by_key));
    hs_fleet_config_unref(released);
    return is_newer;
}

bool hs_config_source_apply_if_newer(hs_config_source *source, hs_fleet_config *config) {
    return apply_record(source, config, NULL);
}

uint64_t hs_config_source_last_received_ms(hs_config_source *source) {
    return hs_store_contact_last_received_ms(&source->contact);
}

uint64_t hs_config_source_as_of_ms(hs_config_source *source) {
    g_mutex_lock(&source->lock);
    uint64_t peer_as_of_ms = source->peer_as_of_ms;
    g_mutex_unlock(&source->lock);
    return MAX(hs_store_contact_as_of_ms(&source->contact), peer_as_of_ms);
}

GBytes *hs_config_source_get_value(hs_config_source *source, uint64_t *offset) {
    g_mutex_lock(&source->lock);
    GBytes *value = source->value != NULL ? g_bytes_ref(source->value) : NULL;
    *offset = value != NULL ? source->config->offset : 0;
    g_mutex_unlock(&source->lock);
    return value;
}

/** Builds the tenant index, and logs the numbers of faulty tenants and keys. */
static void index_tenants(hs_fleet_config *config) {
    hs_tenant_faults faults = hs_tenant_index_build(config);
    if (faults.unusable_tenants + faults.duplicate_names + faults.unusable_keys +
            faults.disputed_keys ==
        0)
        return;
    hs_log_warning("tenants_faulty",
                   "version=%" G_GUINT64_FORMAT " tenants=%u unusable_tenants=%u repeated_names=%u"
                   " unusable_keys=%u disputed_keys=%u",
                   (guint64)config->version, config->tenants->len, faults.unusable_tenants,
                   faults.duplicate_names, faults.unusable_keys, faults.disputed_keys);
}

/** Parses a configuration and applies it if it is newer. Returns whether it was applied. */
static bool apply_value(hs_config_source *source, const uint8_t *value, size_t length,
                        uint64_t offset) {
    hs_error error = {0};
    if (length == 0)
        return false;
    hs_fleet_config *config = hs_platform_read_config(value, length, &error);
    if (config == NULL) {
        hs_log_warning("config_unreadable", "offset=%" G_GUINT64_FORMAT " cause=\"%s\"",
                       (guint64)offset, error.message);
        return false;
    }
    config->offset = offset;
    index_tenants(config);
    g_autoptr(GBytes) record = g_bytes_new(value, length);
    return apply_record(source, config, record);
}

bool hs_config_source_apply_from_peer(hs_config_source *source, GBytes *value, uint64_t offset,
                                      uint64_t as_of_ms) {
    gsize length = 0;
    const uint8_t *bytes = g_bytes_get_data(value, &length);
    if (hs_config_source_last_received_ms(source) != 0 ||
        !apply_value(source, bytes, length, offset))
        return false;
    g_mutex_lock(&source->lock);
    source->peer_as_of_ms = as_of_ms;
    g_mutex_unlock(&source->lock);
    return true;
}

/** Applies the evacuations among @p entries, all newest records of the topic. */
static void apply_evacuations(hs_config_source *source, const GArray *entries, uint64_t end,
                              uint64_t sent_ms) {
    hs_evacuation_set set;
    hs_evacuation_set_init(&set, end);
    for (guint index = 0; index < entries->len; index++) {
        const hs_newest_entry *entry = &g_array_index(entries, hs_newest_entry, index);
        g_autofree char *zone = hs_platform_read_evacuated_zone(entry->key, strlen(entry->key));
        if (zone != NULL)
            hs_evacuation_set_add(&set, zone, entry->offset, entry->value_length > 0);
    }
    if (source->engines != NULL)
        hs_fleet_engines_put_evacuations(source->engines, &set, sent_ms);
    hs_evacuation_set_clear(&set);
}

/**
 * Reads the newest records of all keys into @p entries; @p end is set to the end of the topic's log
 * as of the first page, so that later records are read by following the log.
 */
static hs_store_outcome read_keys(hs_config_source *source, GByteArray *answer, GArray *entries,
                                  uint64_t *end) {
    hs_store_outcome outcome = HS_STORE_DONE;
    bool has_more = true;
    while (outcome == HS_STORE_DONE && has_more) {
        guint known = entries->len;
        uint64_t page_end = 0;
        const char *after =
            known > 0 ? g_array_index(entries, hs_newest_entry, known - 1).key : NULL;
        hs_store_call call = hs_platform_build_newest_call(HS_TOPIC_CONFIG, after);
        hs_deadline deadline = hs_clock_monotonic_ms() + source->poll_ms + LONG_POLL_MARGIN_MS;
        outcome = hs_store_client_send(source->store, &call, deadline, NULL, answer);
        if (outcome == HS_STORE_DONE &&
            !hs_platform_read_newest(answer, entries, &has_more, &page_end))
            outcome = HS_STORE_UNKNOWN;
        if (known == 0)
            *end = page_end;
        has_more = has_more && entries->len > known;
    }
    return outcome;
}

/** Reads the newest version; @p next is set to the end of the topic's log. */
static hs_store_outcome read_newest(hs_config_source *source, GByteArray *answer, uint64_t *next,
                                    uint64_t sent_ms) {
    GArray *entries = hs_newest_entries_new();
    hs_store_outcome outcome = read_keys(source, answer, entries, next);
    if (outcome == HS_STORE_DONE) /* Without all keys, missing ones would count as removed. */
        apply_evacuations(source, entries, *next, sent_ms);
    for (guint index = 0; index < entries->len; index++) {
        const hs_newest_entry *entry = &g_array_index(entries, hs_newest_entry, index);
        if (hs_platform_is_config_key(entry->key, strlen(entry->key)))
            apply_value(source, entry->value, entry->value_length, entry->offset);
    }
    g_array_free(entries, TRUE);
    return outcome;
}

/** Applies a followed record as an evacuation, or as a record of another key. */
static void apply_evacuation(hs_config_source *source, const hs_store_record *record,
                             uint64_t offset) {
    g_autofree char *zone = hs_platform_read_evacuated_zone(record->key, record->key_length);
    if (source->engines != NULL)
        hs_fleet_engines_put_evacuation_record(source->engines, zone, record->value_length > 0,
                                               offset);
}

/**
 * Returns whether the log ends before the position of this daemon, or of the known evacuations: the
 * store has lost its history and begins anew, or a peer's position was wrong.
 */
static bool is_position_wrong(hs_config_source *source, const GByteArray *answer, uint64_t next,
                              uint64_t sent_ms) {
    uint64_t end = 0;
    uint64_t first = 0;
    if (!hs_platform_read_bounds(answer, &end, &first))
        return false;
    return end < next || (source->engines != NULL &&
                          hs_fleet_engines_is_evacuation_beyond(source->engines, end, sent_ms));
}

/**
 * Waits up to @p wait_ms for records from the offset @p next on, and advances @p next.
 */
static hs_store_outcome follow(hs_config_source *source, GByteArray *answer, uint64_t *next,
                               uint32_t wait_ms) {
    uint64_t sent_ms = hs_clock_monotonic_ms();
    hs_store_call call =
        hs_platform_build_read_call(HS_TOPIC_CONFIG, 0, *next, MAX_READ_KB, wait_ms);
    hs_deadline deadline = hs_clock_monotonic_ms() + wait_ms + LONG_POLL_MARGIN_MS;
    hs_store_outcome outcome = hs_store_client_send(source->store, &call, deadline, NULL, answer);
    size_t position = 0;
    hs_store_record record;
    if (outcome == HS_STORE_DONE && is_position_wrong(source, answer, *next, sent_ms))
        return HS_STORE_GONE;
    while (outcome == HS_STORE_DONE &&
           hs_platform_read_next_record(answer, true, &position, &record)) {
        apply_evacuation(source, &record, *next);
        if (hs_platform_is_config_key(record.key, record.key_length))
            apply_value(source, record.value, record.value_length, *next);
        (*next)++;
    }
    return outcome;
}

/** Reads the topic once; @p is_positioned: @p next is known, so that the log can be followed. */
static hs_store_outcome read_topic(hs_config_source *source, GByteArray *answer, uint64_t *next,
                                   bool is_positioned) {
    bool is_read_due =
        source->engines != NULL && hs_fleet_engines_begin_evacuation_read(source->engines);
    uint64_t sent_ms = hs_clock_monotonic_ms();
    hs_store_outcome outcome = is_positioned
                                   ? follow(source, answer, next, is_read_due ? 0 : source->poll_ms)
                                   : read_newest(source, answer, next, sent_ms);
    if (source->engines != NULL && outcome != HS_STORE_GONE)
        hs_fleet_engines_end_evacuation_read(source->engines, sent_ms, outcome == HS_STORE_DONE);
    return outcome;
}

static gpointer run_source(gpointer data) {
    hs_config_source *source = data;
    GByteArray *answer = g_byte_array_new();
    uint64_t next = 0;
    bool is_positioned = false;
    uint64_t retry_delay_ms = MIN_RETRY_DELAY_MS;
    while (!g_atomic_int_get(&source->is_stopping)) {
        hs_store_contact_note_call(&source->contact);
        hs_store_outcome outcome = read_topic(source, answer, &next, is_positioned);
        hs_store_contact_note_outcome(&source->contact, outcome);
        if (outcome == HS_STORE_DONE || outcome == HS_STORE_GONE) {
            is_positioned = outcome == HS_STORE_DONE;
            retry_delay_ms = MIN_RETRY_DELAY_MS;
        } else {
            hs_clock_sleep_ms(retry_delay_ms);
            retry_delay_ms = MIN(retry_delay_ms * 2, MAX_RETRY_DELAY_MS);
        }
    }
    g_byte_array_free(answer, TRUE);
    return NULL;
}

void hs_config_source_start(hs_config_source *source) {
    source->thread = g_thread_new("config-source", run_source, source);
}

void hs_config_source_free(hs_config_source *source) {
    if (source == NULL)
        return;
    g_atomic_int_set(&source->is_stopping, 1);
    if (source->thread != NULL)
        g_thread_join(source->thread);
    hs_fleet_config_unref(source->config);
    replace_value(source, NULL);
    hs_store_contact_clear(&source->contact);
    g_mutex_clear(&source->lock);
    g_free(source);
}

static bool is_host(const char *host, const char *expected) {
    size_t length = strcspn(host, ":");
    return strlen(expected) == length && g_ascii_strncasecmp(host, expected, length) == 0;
}

bool hs_fleet_route_has_host(const hs_fleet_route *route, const char *host) {
    return is_host(host, route->host);
}

const hs_fleet_route *hs_fleet_config_find_route(const hs_fleet_config *config, const char *host,
                                                 const char *target) {
    const hs_fleet_route *found = NULL;
    size_t found_length = 0;
    for (guint index = 0; index < config->routes->len; index++) {
        const hs_fleet_route *route = config->routes->pdata[index];
        size_t length = strlen(route->path_prefix);
        if ((found == NULL || length > found_length) && is_host(host, route->host) &&
            strncmp(target, route->path_prefix, length) == 0) {
            found = route;
            found_length = length;
        }
    }
    return found;
}

const hs_fleet_service *hs_fleet_config_find_service(const hs_fleet_config *config,
                                                     const char *name) {
    for (guint index = 0; index < config->services->len; index++) {
        const hs_fleet_service *service = config->services->pdata[index];
        if (strcmp(service->name, name) == 0)
            return service;
    }
    return NULL;
}
