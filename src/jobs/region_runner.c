/** @file region_runner.c  See region_runner.h. */
#include "jobs/region_runner.h"

#include "base/hash.h"

uint64_t hs_region_runner_choose(const GArray *candidates, uint32_t partition,
                                 const hs_region_policy *policy) {
    uint64_t best = HS_NO_RUNNER;
    uint64_t best_rank = 0;
    for (guint index = 0; index < candidates->len; index++) {
        const hs_daemon_region *candidate = &g_array_index(candidates, hs_daemon_region, index);
        if (!hs_region_policy_allows_region(policy, candidate->region))
            continue;
        uint64_t pair[2] = {partition, candidate->daemon};
        uint64_t rank = hs_hash_bytes(pair, sizeof pair);
        if (best == HS_NO_RUNNER || rank > best_rank) {
            best = candidate->daemon;
            best_rank = rank;
        }
    }
    return best;
}

static void add_policy(GArray *policies, GHashTable *known, const hs_region_policy *policy) {
    if (hs_region_policy_is_restricted(policy) &&
        g_hash_table_add(known, hs_region_policy_describe(policy)))
        g_array_append_val(policies, *policy);
}

GArray *hs_region_runner_list_policies(const hs_topology *topology, const hs_fleet_config *config) {
    GArray *policies = g_array_new(FALSE, FALSE, sizeof(hs_region_policy));
    g_autoptr(GHashTable) known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (guint number = 0; number < config->routes->len; number++) {
        const hs_fleet_route *route = config->routes->pdata[number];
        if (route->kind != HS_ROUTE_BATCH)
            continue;
        hs_region_policy policy = hs_region_policy_make(topology, route, NULL);
        add_policy(policies, known, &policy);
        for (guint index = 0; index < config->tenants->len; index++) {
            policy = hs_region_policy_make(topology, route, config->tenants->pdata[index]);
            add_policy(policies, known, &policy);
        }
    }
    return policies;
}
