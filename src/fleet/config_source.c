/** @file config_source.c  See config_source.h. */
#include "fleet/config_source.h"

#include "base/clock.h"
#include "base/log.h"
#include "fleet/engine_evacuation.h"
#include "platform/config_codec.h"
#include "tenants/tenant_index.h"

#include <string.h>

/** Time that a long poll may take beyond its hold time. */
#define LONG_POLL_MARGIN_MS 600
/**
 * First delay before a failed read is retried; doubles up to MAX_RETRY_DELAY_MS, to limit the load
 * of many daemons on a recovering store. The maximum is a fifth of the shortest time in which a
 * version is due (2 s).
 */
#define MIN_RETRY_DELAY_MS 100
#define MAX_RETRY_DELAY_MS 400

struct hs_config_source {
    hs_state_feed *feed;
    uint32_t poll_ms;
    GMutex lock;
    hs_fleet_config *config;
    GBytes *value;          /**< Value of the record of config; NULL: not known. */
    uint64_t peer_as_of_ms; /**< As of when another daemon gave the configuration; 0: none did. */
    hs_fleet_engines
        *engines; /**< Gets the evacuations of the same topic; NULL: they are dropped. */
    gint is_stopping;
    GThread *thread;
};

hs_config_source *hs_config_source_new(hs_store_client *store, uint32_t apply_ms) {
    hs_config_source *source = g_new0(hs_config_source, 1);
    source->feed = hs_state_feed_new(store, HS_TOPIC_CONFIG, "config");
    /* Leaves time to retry a poll on a silent connection before a version must be in use. */
    source->poll_ms = apply_ms / 2;
    g_mutex_init(&source->lock);
    return source;
}

hs_state_feed *hs_config_source_feed(hs_config_source *source) {
    return source->feed;
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

static const char *first_service(const hs_fleet_route *route) {
    return g_array_index(route->shares, hs_route_share, 0).service;
}

/** Returns since when requests of @p before have gone to the first service of @p route only. */
static uint64_t find_sole_since_ms(const hs_fleet_route *route, const hs_fleet_route *before,
                                   uint64_t now_ms) {
    bool is_same =
        before->shares->len == 1 && strcmp(first_service(before), first_service(route)) == 0;
    return is_same ? before->sole_since_ms : now_ms;
}

/** Adds the software of the services of @p before, so that it is known after a restart too. */
static void inherit_software(hs_fleet_engines *engines, const hs_fleet_route *route,
                             const hs_fleet_route *before) {
    for (guint index = 0; index < before->shares->len; index++) {
        const char *service = g_array_index(before->shares, hs_route_share, index).service;
        if (strcmp(service, first_service(route)) != 0)
            hs_fleet_engines_inherit_software(engines, first_service(route), service);
    }
}

/** Records which services had requests of @p route, of which @p before was the route until now. */
static void note_route_before(const hs_config_source *source, hs_fleet_route *route,
                              const hs_fleet_route *before, uint64_t now_ms) {
    route->sole_since_ms = MAX(route->sole_since_ms, find_sole_since_ms(route, before, now_ms));
    if (source->engines != NULL && route->shares->len == 1)
        inherit_software(source->engines, route, before);
}

/** Compares each route with the routes of the version before that had its requests. */
static void note_sole_services(const hs_config_source *source, hs_fleet_config *config,
                               const hs_fleet_config *previous) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    for (guint index = 0; index < config->routes->len; index++) {
        hs_fleet_route *route = config->routes->pdata[index];
        const hs_fleet_route *wider =
            hs_fleet_config_find_route(previous, route->host, route->path_prefix);
        if (wider != NULL)
            note_route_before(source, route, wider, now_ms);
    }
    for (guint index = 0; index < previous->routes->len; index++) {
        const hs_fleet_route *before = previous->routes->pdata[index];
        hs_fleet_route *route =
            (hs_fleet_route *)hs_fleet_config_find_route(config, before->host, before->path_prefix);
        if (route != NULL)
            note_route_before(source, route, before, now_ms);
    }
}

/** As hs_config_source_apply_if_newer, with the record's value; NULL: not known. */
static bool apply_record(hs_config_source *source, hs_fleet_config *config, GBytes *value) {
    g_mutex_lock(&source->lock);
    bool is_newer = source->config == NULL || config->version > source->config->version;
    hs_fleet_config *released = is_newer ? source->config : config;
    uint64_t previous_version = source->config != NULL ? source->config->version : 0;
    if (is_newer) {
        if (source->config != NULL)
            note_sole_services(source, config, source->config);
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
    return hs_state_feed_store_received_ms(source->feed);
}

uint64_t hs_config_source_as_of_ms(hs_config_source *source) {
    g_mutex_lock(&source->lock);
    uint64_t peer_as_of_ms = source->peer_as_of_ms;
    g_mutex_unlock(&source->lock);
    return MAX(hs_state_feed_as_of_ms(source->feed), peer_as_of_ms);
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
static bool apply_value(hs_config_source *source, GBytes *record, uint64_t offset) {
    hs_error error = {0};
    gsize length = 0;
    const uint8_t *value = g_bytes_get_data(record, &length);
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
    return apply_record(source, config, record);
}

bool hs_config_source_apply_from_peer(hs_config_source *source, GBytes *value, uint64_t offset,
                                      uint64_t as_of_ms) {
    if (hs_config_source_last_received_ms(source) != 0 || hs_state_feed_is_complete(source->feed) ||
        !apply_value(source, value, offset))
        return false;
    g_mutex_lock(&source->lock);
    source->peer_as_of_ms = as_of_ms;
    g_mutex_unlock(&source->lock);
    return true;
}

/** Applies the evacuations among all records of the topic. */
static void apply_evacuations(hs_config_source *source, const GPtrArray *records,
                              const hs_feed_batch *batch) {
    hs_evacuation_set set;
    hs_evacuation_set_init(&set, batch->next);
    for (guint index = 0; index < records->len; index++) {
        const hs_feed_record *record = records->pdata[index];
        g_autofree char *zone = hs_platform_read_evacuated_zone(record->key, strlen(record->key));
        if (zone != NULL)
            hs_evacuation_set_add(&set, zone, record->offset, !hs_feed_record_is_removal(record));
    }
    if (source->engines != NULL)
        hs_fleet_engines_put_evacuations(source->engines, &set, batch->as_of_ms);
    hs_evacuation_set_clear(&set);
}

/** Applies the record if it is the configuration's. */
static void apply_if_config(hs_config_source *source, const hs_feed_record *record) {
    if (hs_platform_is_config_key(record->key, strlen(record->key)))
        apply_value(source, record->value, record->offset);
}

/** Applies a followed record as an evacuation, or as a record of another key. */
static void apply_evacuation(hs_config_source *source, const hs_feed_record *record) {
    g_autofree char *zone = hs_platform_read_evacuated_zone(record->key, strlen(record->key));
    if (source->engines != NULL)
        hs_fleet_engines_put_evacuation_record(source->engines, zone,
                                               !hs_feed_record_is_removal(record), record->offset);
}

/**
 * Returns whether the known evacuations have a position beyond the end of the log: they came from
 * another daemon, and are of a log that was lost.
 */
static bool is_evacuation_beyond(hs_config_source *source, const hs_feed_batch *batch) {
    return source->engines != NULL && !batch->has_more &&
           hs_fleet_engines_is_evacuation_beyond(source->engines, batch->next, batch->as_of_ms);
}

/**
 * Applies a batch. Records of a listing that is not complete are applied with its last part:
 * without all keys, missing ones would count as removed.
 */
static void apply_batch(hs_config_source *source, const hs_feed_batch *batch) {
    if (!hs_state_feed_is_complete(source->feed))
        return;
    if (batch->is_listed || is_evacuation_beyond(source, batch)) {
        g_autoptr(GPtrArray) records = hs_state_feed_list(source->feed);
        apply_evacuations(source, records, batch);
        for (guint index = 0; index < records->len; index++)
            apply_if_config(source, records->pdata[index]);
        return;
    }
    for (guint index = 0; index < batch->changes->len; index++) {
        apply_evacuation(source, batch->changes->pdata[index]);
        apply_if_config(source, batch->changes->pdata[index]);
    }
}

/** Reads the topic once and applies the answer. Returns the outcome and the source. */
static hs_feed_source read_topic(hs_config_source *source, hs_store_outcome *outcome) {
    bool is_read_due =
        source->engines != NULL && hs_fleet_engines_begin_evacuation_read(source->engines);
    bool is_awaiting = hs_state_feed_is_awaiting(source->feed);
    uint32_t wait_ms = is_awaiting ? MIN(HS_FEED_AWAIT_MS, source->poll_ms) : source->poll_ms;
    hs_feed_limits limits = {.store_wait_ms = is_read_due ? 0 : wait_ms,
                             .store_timeout_ms = LONG_POLL_MARGIN_MS};
    hs_feed_batch batch;
    hs_state_feed_read(source->feed, &limits, &batch);
    if (batch.outcome == HS_STORE_DONE)
        apply_batch(source, &batch);
    if (source->engines != NULL && batch.outcome != HS_STORE_GONE && !batch.has_more)
        hs_fleet_engines_end_evacuation_read(source->engines, batch.as_of_ms,
                                             batch.outcome == HS_STORE_DONE);
    *outcome = batch.outcome;
    hs_feed_source from = batch.source;
    hs_feed_batch_clear(&batch);
    return from;
}

static gpointer run_source(gpointer data) {
    hs_config_source *source = data;
    uint64_t retry_delay_ms = MIN_RETRY_DELAY_MS;
    while (!g_atomic_int_get(&source->is_stopping)) {
        hs_store_outcome outcome = HS_STORE_UNKNOWN;
        hs_feed_source from = read_topic(source, &outcome);
        if (outcome == HS_STORE_DONE || outcome == HS_STORE_GONE) {
            retry_delay_ms = MIN_RETRY_DELAY_MS;
        } else if (from == HS_FEED_STORE && !hs_state_feed_is_awaiting(source->feed)) {
            hs_clock_sleep_ms(retry_delay_ms);
            retry_delay_ms = MIN(retry_delay_ms * 2, MAX_RETRY_DELAY_MS);
        }
    }
    return NULL;
}

void hs_config_source_start(hs_config_source *source) {
    source->thread = g_thread_new("config-source", run_source, source);
}

void hs_config_source_stop(hs_config_source *source) {
    g_atomic_int_set(&source->is_stopping, 1);
    hs_state_feed_stop(source->feed);
    if (source->thread != NULL)
        g_thread_join(source->thread);
    source->thread = NULL;
}

void hs_config_source_free(hs_config_source *source) {
    if (source == NULL)
        return;
    hs_config_source_stop(source);
    hs_fleet_config_unref(source->config);
    replace_value(source, NULL);
    hs_state_feed_free(source->feed);
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
