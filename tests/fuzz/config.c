/** @file config.c  Fuzz target: the operator's configuration and the entries of engines. */
#include "fleet/config_source.h"
#include "platform/config_codec.h"
#include "platform/entry_codec.h"
#include "tenants/tenant_index.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

static void read_config(const uint8_t *data, size_t size) {
    hs_error error = {0};
    hs_fleet_config *config = hs_platform_read_config(data, size, &error);
    if (config == NULL) {
        FUZZ_CHECK(error.code != 0);
        return;
    }
    hs_tenant_index_build(config);
    for (guint index = 0; index < config->tenants->len; index++) {
        const hs_fleet_tenant *tenant = config->tenants->pdata[index];
        FUZZ_CHECK(tenant->rate_per_s >= 0 && tenant->burst >= 0);
        for (guint key = 0; key < tenant->keys->len; key++) {
            const hs_fleet_tenant *key_owner =
                hs_tenant_index_find(config, tenant->keys->pdata[key]);
            FUZZ_CHECK(key_owner == NULL || strcmp(key_owner->name, tenant->name) == 0);
        }
    }
    for (guint index = 0; index < config->routes->len; index++) {
        const hs_fleet_route *route = config->routes->pdata[index];
        FUZZ_CHECK(route->shares->len > 0);
        const hs_fleet_route *found =
            hs_fleet_config_find_route(config, route->host, route->path_prefix);
        FUZZ_CHECK(found == NULL || g_str_has_prefix(route->path_prefix, found->path_prefix));
        for (guint share = 0; share < route->shares->len; share++)
            hs_fleet_config_find_service(
                config, g_array_index(route->shares, hs_route_share, share).service);
    }
    hs_fleet_config_unref(config);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
    hs_engine_entry entry = {0};
    read_config(data, size);
    if (hs_platform_read_engine_entry("e", data, size, &entry) == HS_ENTRY_VALID)
        FUZZ_CHECK(entry.port != 0 && *entry.service != '\0' && *entry.zone != '\0' &&
                   entry.slots > 0);
    else
        FUZZ_CHECK(entry.id == NULL);
    hs_engine_entry_clear(&entry);
    return 0;
}
