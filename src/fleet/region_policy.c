/** @file region_policy.c  See region_policy.h. */
#include "fleet/region_policy.h"

#include "fleet/config_source.h"

#include <string.h>

hs_region_policy hs_region_policy_make(const hs_topology *topology, const hs_fleet_route *route,
                                       const hs_fleet_tenant *tenant) {
    return (hs_region_policy){
        .topology = topology,
        .regions_of_route = route != NULL ? route->allowed_regions : NULL,
        .regions_of_tenant = tenant != NULL ? tenant->allowed_regions : NULL,
    };
}

void hs_region_policy_add_job_route(hs_region_policy *policy, const hs_fleet_route *route) {
    policy->regions_of_job = route != NULL ? route->allowed_regions : NULL;
}

/** Returns the first tenant of that name, whose limits apply; see tenants/tenant_index.h. */
static const hs_fleet_tenant *find_tenant(const hs_fleet_config *config, const char *name) {
    for (guint index = 0; index < config->tenants->len; index++) {
        const hs_fleet_tenant *tenant = config->tenants->pdata[index];
        if (strcmp(tenant->name, name) == 0)
            return tenant;
    }
    return NULL;
}

hs_region_policy hs_region_policy_for_tenant_name(const hs_topology *topology,
                                                  const hs_fleet_config *config,
                                                  const hs_fleet_route *route, const char *tenant) {
    bool is_named = tenant != NULL && *tenant != '\0';
    return hs_region_policy_make(topology, route, is_named ? find_tenant(config, tenant) : NULL);
}

bool hs_region_policy_is_restricted(const hs_region_policy *policy) {
    return policy->regions_of_route != NULL || policy->regions_of_tenant != NULL ||
           policy->regions_of_job != NULL;
}

static bool lists(const GPtrArray *regions, const char *region) {
    if (regions == NULL)
        return true;
    for (guint index = 0; index < regions->len; index++)
        if (strcmp(regions->pdata[index], region) == 0)
            return true;
    return false;
}

bool hs_region_policy_allows_region(const hs_region_policy *policy, const char *region) {
    if (!hs_region_policy_is_restricted(policy))
        return true;
    return region != NULL && lists(policy->regions_of_route, region) &&
           lists(policy->regions_of_tenant, region) && lists(policy->regions_of_job, region);
}

bool hs_region_policy_allows_zone(const hs_region_policy *policy, const char *zone) {
    return !hs_region_policy_is_restricted(policy) ||
           hs_region_policy_allows_region(policy, hs_topology_region(policy->topology, zone));
}

bool hs_body_regions_is_restricted(const hs_body_regions *regions) {
    return regions != NULL &&
           (regions->is_mixed || hs_region_policy_is_restricted(&regions->policy));
}

bool hs_body_regions_allow(const hs_body_regions *regions, const char *daemon_region) {
    if (!hs_body_regions_is_restricted(regions))
        return true;
    bool is_callers = daemon_region != NULL && regions->caller_region != NULL &&
                      strcmp(daemon_region, regions->caller_region) == 0;
    return !regions->is_mixed &&
           (is_callers || hs_region_policy_allows_region(&regions->policy, daemon_region));
}

bool hs_region_policy_allows_any_job(const hs_topology *topology, const hs_fleet_config *config,
                                     const char *tenant, const char *daemon_region,
                                     const char *caller_region) {
    for (guint index = 0; index < config->routes->len; index++) {
        const hs_fleet_route *route = config->routes->pdata[index];
        hs_body_regions regions = {
            .policy = hs_region_policy_for_tenant_name(topology, config, route, tenant),
            .caller_region = caller_region};
        if (route->kind == HS_ROUTE_BATCH && !hs_body_regions_allow(&regions, daemon_region))
            return false;
    }
    return true;
}

/** Returns the list of which every allowed region is a member. The policy is restricted. */
static const GPtrArray *candidates_of(const hs_region_policy *policy) {
    if (policy->regions_of_route != NULL)
        return policy->regions_of_route;
    return policy->regions_of_tenant != NULL ? policy->regions_of_tenant : policy->regions_of_job;
}

bool hs_region_policy_can_be_met(const hs_region_policy *policy) {
    if (!hs_region_policy_is_restricted(policy))
        return true;
    const GPtrArray *candidates = candidates_of(policy);
    for (guint index = 0; index < candidates->len; index++)
        if (hs_region_policy_allows_region(policy, candidates->pdata[index]) &&
            hs_topology_has_zone_in(policy->topology, candidates->pdata[index]))
            return true;
    return false;
}

static gint compare_texts(gconstpointer first, gconstpointer second) {
    return strcmp(*(const char *const *)first, *(const char *const *)second);
}

char *hs_region_policy_describe(const hs_region_policy *policy) {
    g_autoptr(GPtrArray) allowed = g_ptr_array_new();
    const GPtrArray *candidates =
        hs_region_policy_is_restricted(policy) ? candidates_of(policy) : NULL;
    for (guint index = 0; candidates != NULL && index < candidates->len; index++)
        if (hs_region_policy_allows_region(policy, candidates->pdata[index]))
            g_ptr_array_add(allowed, candidates->pdata[index]);
    g_ptr_array_sort(allowed, compare_texts);
    GString *text = g_string_new(NULL);
    const char *last = NULL;
    for (guint index = 0; index < allowed->len; index++) {
        const char *region = allowed->pdata[index];
        if (last == NULL || strcmp(last, region) != 0)
            g_string_append_printf(text, "%s%s", last != NULL ? "," : "", region);
        last = region;
    }
    return g_string_free(text, FALSE);
}

char *hs_region_policy_group(const hs_region_policy *policy, const char *service) {
    if (!hs_region_policy_is_restricted(policy))
        return g_strdup(service);
    g_autofree char *regions = hs_region_policy_describe(policy);
    return g_strdup_printf("%s%c%s", service, HS_REGION_GROUP_SEPARATOR, regions);
}

GPtrArray *hs_region_policy_regions_of_host(const hs_fleet_config *config, const char *host) {
    GPtrArray *regions = NULL;
    for (guint index = 0; index < config->routes->len; index++) {
        const hs_fleet_route *route = config->routes->pdata[index];
        if (route->allowed_regions == NULL || !hs_fleet_route_has_host(route, host))
            continue;
        if (regions == NULL)
            regions = g_ptr_array_new();
        for (guint place = 0; place < route->allowed_regions->len; place++)
            g_ptr_array_add(regions, route->allowed_regions->pdata[place]);
    }
    return regions;
}
