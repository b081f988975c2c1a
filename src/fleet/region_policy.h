/**
 * @file region_policy.h
 * Decides in which regions a request or an item may run, and which daemons may handle its body.
 * Pure functions.
 *
 * A route and a tenant may each have a list of allowed regions. Where both have one, a region must
 * be in both lists. A zone whose region is unknown is not allowed where regions are restricted.
 */
#ifndef HS_FLEET_REGION_POLICY_H
#define HS_FLEET_REGION_POLICY_H

#include "base/topology.h"
#include "heathsail/fleet.h"

/**
 * Allowed regions of a request. All pointers are borrowed, the lists from the configuration that
 * the policy was made from. A zeroed policy allows all regions.
 */
typedef struct {
    const hs_topology *topology;        /**< NULL: no region is known. */
    const GPtrArray *regions_of_route;  /**< Of char*; NULL: all regions. */
    const GPtrArray *regions_of_tenant; /**< Of char*; NULL: all regions. */
    const GPtrArray *regions_of_job;    /**< Of char*; of the route of an item's job; NULL: all. */
} hs_region_policy;

/** Adds the regions of the route on which the item's job was submitted. @p route may be NULL. */
void hs_region_policy_add_job_route(hs_region_policy *policy, const hs_fleet_route *route);

/** Returns the policy of a request on @p route by @p tenant. All arguments may be NULL. */
hs_region_policy hs_region_policy_make(const hs_topology *topology, const hs_fleet_route *route,
                                       const hs_fleet_tenant *tenant);

/**
 * Like hs_region_policy_make, by the name of the tenant (NULL or "": none). A tenant that @p config
 * does not have imposes no restriction.
 */
hs_region_policy hs_region_policy_for_tenant_name(const hs_topology *topology,
                                                  const hs_fleet_config *config,
                                                  const hs_fleet_route *route, const char *tenant);

/** Reports whether the policy excludes any region. */
bool hs_region_policy_is_restricted(const hs_region_policy *policy);

/** Reports whether the policy allows @p region; NULL: the region is unknown. */
bool hs_region_policy_allows_region(const hs_region_policy *policy, const char *region);

/** Reports whether the policy allows the region of @p zone. @p zone may be NULL. */
bool hs_region_policy_allows_zone(const hs_region_policy *policy, const char *zone);

/** Where a body or a result may be sent. A zeroed struct allows all regions. */
typedef struct {
    hs_region_policy policy;
    const char *caller_region; /**< Region of the daemon that took the call; NULL: unknown. */
    bool is_mixed;             /**< Bodies of several policies, at least one of them restricted. */
} hs_body_regions;

/**
 * Reports whether a daemon in @p daemon_region (NULL: unknown) may receive the body: its region
 * must be allowed or the caller's own. Mixed bodies are sent to no daemon. @p regions may be NULL,
 * which allows all.
 */
bool hs_body_regions_allow(const hs_body_regions *regions, const char *daemon_region);

/** Reports whether any daemon is excluded. @p regions may be NULL. */
bool hs_body_regions_is_restricted(const hs_body_regions *regions);

/**
 * Reports whether results of any job on a batch route of @p config may be sent to a daemon in
 * @p daemon_region, for a job whose route is not known yet. @p tenant: name; NULL or "": none.
 */
bool hs_region_policy_allows_any_job(const hs_topology *topology, const hs_fleet_config *config,
                                     const char *tenant, const char *daemon_region,
                                     const char *caller_region);

/**
 * Reports whether any zone of the deployment is allowed. If not, the route's and the tenant's
 * regions have none in common, or the settings name no zone in a common one.
 */
bool hs_region_policy_can_be_met(const hs_region_policy *policy);

/** Returns the allowed regions, sorted and joined by commas; "": none. Free with g_free. */
char *hs_region_policy_describe(const hs_region_policy *policy);

/** Separates the service from the regions in hs_region_policy_group. */
#define HS_REGION_GROUP_SEPARATOR '@'

/**
 * Returns a key that is equal for all requests to @p service that may use the same engines: the
 * service itself if the policy is not restricted, otherwise "service@regions". Free with g_free.
 */
char *hs_region_policy_group(const hs_region_policy *policy, const char *service);

/**
 * Returns the regions allowed by any route of @p host (a port is ignored) that has allowed regions:
 * of const char*, borrowed from @p config. Free with g_ptr_array_free. NULL: no route of the host
 * has allowed regions.
 */
GPtrArray *hs_region_policy_regions_of_host(const hs_fleet_config *config, const char *host);

#endif
