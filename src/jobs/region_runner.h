/**
 * @file region_runner.h
 * Chooses the daemon that runs the items of a partition that are restricted to regions. Pure
 * functions.
 *
 * The store assigns partitions to daemons of any region. Items restricted to regions are run by the
 * partition's owner if its region is allowed. Otherwise they are run by the live daemon that ranks
 * first for the partition by rendezvous hashing among those in allowed regions, which follows the
 * partition's log. Daemons that disagree on which daemons live may run an item twice; as with two
 * owners, the order of the log decides which result counts.
 */
#ifndef HS_JOBS_REGION_RUNNER_H
#define HS_JOBS_REGION_RUNNER_H

#include "directory/daemon_directory.h"

/** No daemon in an allowed region is live. */
#define HS_NO_RUNNER 0

/**
 * Returns the hash of the daemon among @p candidates (of hs_daemon_region) that ranks first for
 * @p partition in the allowed regions, or HS_NO_RUNNER.
 */
uint64_t hs_region_runner_choose(const GArray *candidates, uint32_t partition,
                                 const hs_region_policy *policy);

/**
 * Returns the distinct restricted policies of items by @p config, from which they are borrowed: of
 * hs_region_policy, for each batch route, without a tenant and with each tenant. Free with
 * g_array_free.
 */
GArray *hs_region_runner_list_policies(const hs_topology *topology, const hs_fleet_config *config);

#endif
