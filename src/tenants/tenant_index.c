/** @file tenant_index.c  See tenant_index.h. */
#include "tenants/tenant_index.h"

#include "base/hash.h"
#include "base/visible_text.h"

#include <string.h>

/** Longest key and longest tenant name. */
#define MAX_TEXT_BYTES 4096

/** Hashes a key; lookup times don't reveal how long a prefix of a guessed key is correct. */
static guint hash_key(gconstpointer key) {
    return (guint)hs_hash_bytes(key, strlen(key));
}

/** Adds the keys of @p tenant to the index as keys of @p owner. */
static void add_keys(hs_fleet_config *config, GHashTable *disputed, const hs_fleet_tenant *tenant,
                     hs_fleet_tenant *owner, hs_tenant_faults *faults) {
    for (guint index = 0; index < tenant->keys->len; index++) {
        char *key = tenant->keys->pdata[index];
        const hs_fleet_tenant *holder = g_hash_table_lookup(config->tenant_by_key, key);
        if (!hs_text_is_visible(key, MAX_TEXT_BYTES)) {
            faults->unusable_keys++;
        } else if (holder != NULL && holder != owner) {
            g_hash_table_add(disputed, key);
        } else if (holder == NULL) {
            g_hash_table_insert(config->tenant_by_key, key, owner);
        }
    }
}

static void remove_disputed_keys(hs_fleet_config *config, GHashTable *disputed) {
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, disputed);
    while (g_hash_table_iter_next(&iterator, &key, NULL))
        g_hash_table_remove(config->tenant_by_key, key);
}

static bool has_public_route(const hs_fleet_config *config) {
    for (guint index = 0; index < config->routes->len; index++)
        if (((const hs_fleet_route *)config->routes->pdata[index])->is_public)
            return true;
    return false;
}

/** Sets which ranks requests can have apart from those of their routes. */
static void set_rank_bounds(hs_fleet_config *config) {
    config->highest_tenant_priority = UINT32_MAX;
    config->has_unranked_callers = !config->needs_keys || has_public_route(config);
    for (guint index = 0; index < config->tenants->len; index++) {
        const hs_fleet_tenant *tenant = config->tenants->pdata[index];
        if (tenant->has_priority)
            config->highest_tenant_priority =
                MIN(config->highest_tenant_priority, tenant->priority);
        else
            config->has_unranked_callers = true;
    }
}

hs_tenant_faults hs_tenant_index_build(hs_fleet_config *config) {
    hs_tenant_faults faults = {0};
    set_rank_bounds(config);
    GHashTable *by_name = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTable *disputed = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_destroy(config->tenant_by_key);
    config->tenant_by_key = g_hash_table_new(hash_key, g_str_equal);
    for (guint index = 0; index < config->tenants->len; index++) {
        hs_fleet_tenant *tenant = config->tenants->pdata[index];
        if (!hs_text_is_visible(tenant->name, MAX_TEXT_BYTES)) {
            faults.unusable_tenants++;
            continue;
        }
        hs_fleet_tenant *owner = g_hash_table_lookup(by_name, tenant->name);
        faults.duplicate_names += owner != NULL;
        if (owner == NULL) {
            owner = tenant;
            g_hash_table_insert(by_name, tenant->name, tenant);
        }
        add_keys(config, disputed, tenant, owner, &faults);
    }
    faults.disputed_keys = g_hash_table_size(disputed);
    remove_disputed_keys(config, disputed);
    g_hash_table_destroy(disputed);
    g_hash_table_destroy(by_name);
    return faults;
}

uint32_t hs_tenant_rank(const hs_fleet_route *route, const hs_fleet_tenant *tenant) {
    return tenant != NULL && tenant->has_priority ? tenant->priority : route->priority;
}

const hs_fleet_tenant *hs_tenant_index_find(const hs_fleet_config *config, const char *key) {
    return g_hash_table_lookup(config->tenant_by_key, key);
}

hs_access hs_tenant_access_decide(const hs_fleet_config *config, const hs_access_request *request,
                                  const hs_fleet_tenant **tenant) {
    *tenant = NULL;
    if (!config->needs_keys)
        return HS_ACCESS_GRANTED;
    hs_access access = HS_ACCESS_GRANTED;
    if (request->key == NULL)
        access = HS_ACCESS_KEY_MISSING;
    else if (request->has_many_keys || !hs_text_is_visible(request->key, MAX_TEXT_BYTES))
        access = HS_ACCESS_KEY_MALFORMED;
    else if ((*tenant = hs_tenant_index_find(config, request->key)) == NULL)
        access = HS_ACCESS_KEY_UNKNOWN;
    return request->is_public ? HS_ACCESS_GRANTED : access;
}

bool hs_tenant_has_public_jobs(const hs_fleet_config *config) {
    for (guint index = 0; index < config->routes->len; index++) {
        const hs_fleet_route *route = config->routes->pdata[index];
        if (route->kind == HS_ROUTE_BATCH && route->is_public)
            return true;
    }
    return false;
}
