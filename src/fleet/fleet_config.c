/**
 * @file fleet_config.c
 * Creates and frees configurations and engine entries, and compares priorities of requests. See
 * heathsail/fleet.h and config_source.h.
 */
#include "fleet/config_source.h"

#include <string.h>

static void free_regions(GPtrArray *regions) {
    if (regions != NULL)
        g_ptr_array_free(regions, TRUE);
}

static void free_route(gpointer data) {
    hs_fleet_route *route = data;
    g_free(route->name);
    g_free(route->host);
    g_free(route->path_prefix);
    g_array_free(route->shares, TRUE);
    free_regions(route->allowed_regions);
    g_free(route);
}

static void free_service(gpointer data) {
    hs_fleet_service *service = data;
    g_free(service->name);
    g_free(service->health_path);
    g_free(service);
}

static void free_tenant(gpointer data) {
    hs_fleet_tenant *tenant = data;
    g_free(tenant->name);
    g_ptr_array_free(tenant->keys, TRUE);
    free_regions(tenant->allowed_regions);
    g_free(tenant);
}

hs_fleet_config *hs_fleet_config_new(void) {
    hs_fleet_config *config = g_new0(hs_fleet_config, 1);
    config->references = 1;
    config->routes = g_ptr_array_new_with_free_func(free_route);
    config->services = g_ptr_array_new_with_free_func(free_service);
    config->tenants = g_ptr_array_new_with_free_func(free_tenant);
    config->highest_tenant_priority = UINT32_MAX;
    config->has_unranked_callers = true;
    config->tenant_by_key = g_hash_table_new(g_str_hash, g_str_equal);
    return config;
}

hs_fleet_config *hs_fleet_config_ref(hs_fleet_config *config) {
    g_atomic_int_inc(&config->references);
    return config;
}

void hs_fleet_config_unref(hs_fleet_config *config) {
    if (config == NULL || !g_atomic_int_dec_and_test(&config->references))
        return;
    g_hash_table_destroy(config->tenant_by_key);
    g_ptr_array_free(config->tenants, TRUE);
    g_ptr_array_free(config->routes, TRUE);
    g_ptr_array_free(config->services, TRUE);
    g_free(config);
}

void hs_engine_entry_clear(hs_engine_entry *entry) {
    g_free(entry->id);
    g_free(entry->service);
    g_free(entry->zone);
    g_free(entry->version);
    memset(entry, 0, sizeof *entry);
}

static bool has_service_share(const hs_fleet_route *route, const char *service) {
    for (guint index = 0; index < route->shares->len; index++) {
        const hs_route_share *share = &g_array_index(route->shares, hs_route_share, index);
        if (share->weight > 0 && strcmp(share->service, service) == 0)
            return true;
    }
    return false;
}

/** Returns the highest rank (lowest number) that an online request on @p route may have. */
static uint32_t highest_rank(const hs_fleet_config *config, const hs_fleet_route *route) {
    uint32_t route_rank = config->has_unranked_callers ? route->priority : UINT32_MAX;
    return MIN(route_rank, config->highest_tenant_priority);
}

bool hs_fleet_config_is_less_urgent(const hs_fleet_config *config, uint32_t rank,
                                    const char *service) {
    for (guint index = 0; index < config->routes->len; index++) {
        const hs_fleet_route *route = config->routes->pdata[index];
        if (route->kind != HS_ROUTE_BATCH && has_service_share(route, service) &&
            highest_rank(config, route) < rank)
            return true;
    }
    return false;
}
