/** @file fleet_config.c  Life of the typed configuration and engine entries; see heathsail/fleet.h.
 */
#include "fleet/config_source.h"

#include <string.h>

static void free_route(gpointer data) {
    hs_fleet_route *route = data;
    g_free(route->name);
    g_free(route->host);
    g_free(route->path_prefix);
    g_array_free(route->shares, TRUE);
    g_free(route);
}

static void free_service(gpointer data) {
    hs_fleet_service *service = data;
    g_free(service->name);
    g_free(service->health_path);
    g_free(service);
}

hs_fleet_config *hs_fleet_config_new(void) {
    hs_fleet_config *config = g_new0(hs_fleet_config, 1);
    config->references = 1;
    config->routes = g_ptr_array_new_with_free_func(free_route);
    config->services = g_ptr_array_new_with_free_func(free_service);
    return config;
}

hs_fleet_config *hs_fleet_config_ref(hs_fleet_config *config) {
    g_atomic_int_inc(&config->references);
    return config;
}

void hs_fleet_config_unref(hs_fleet_config *config) {
    if (config == NULL || !g_atomic_int_dec_and_test(&config->references))
        return;
    g_ptr_array_free(config->routes, TRUE);
    g_ptr_array_free(config->services, TRUE);
    g_free(config);
}

void hs_engine_entry_clear(hs_engine_entry *entry) {
    g_free(entry->id);
    g_free(entry->service);
    g_free(entry->zone);
    memset(entry, 0, sizeof *entry);
}

static bool brings_to(const hs_fleet_route *route, const char *service) {
    for (guint index = 0; index < route->shares->len; index++) {
        const hs_route_share *share = &g_array_index(route->shares, hs_route_share, index);
        if (share->weight > 0 && strcmp(share->service, service) == 0)
            return true;
    }
    return false;
}

bool hs_fleet_config_is_less_urgent(const hs_fleet_config *config, const hs_fleet_route *route,
                                    const char *service) {
    for (guint index = 0; index < config->routes->len; index++) {
        const hs_fleet_route *other = config->routes->pdata[index];
        if (other->kind != HS_ROUTE_BATCH && other->priority < route->priority &&
            brings_to(other, service))
            return true;
    }
    return false;
}
