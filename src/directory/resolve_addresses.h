/**
 * @file resolve_addresses.h
 * Selects the addresses of the daemons that a caller should use. Pure, except that the selection is
 * random if all machines have the same capacity or the caller is unknown.
 */
#ifndef HS_DIRECTORY_RESOLVE_ADDRESSES_H
#define HS_DIRECTORY_RESOLVE_ADDRESSES_H

#include "base/topology.h"
#include "membership/membership.h"

/** Parameters of a selection. Pointers are borrowed. */
typedef struct {
    const char *zone;   /**< The caller's; NULL: unknown. */
    const char *region; /**< The caller's, used if that of the zone is unknown; NULL: unknown. */
    const GPtrArray *allowed_regions; /**< See hs_region_policy_regions_of_host; NULL: all. */
    const hs_topology *topology;      /**< NULL: no regions are known. */
    uint64_t caller;   /**< Identifies the caller, see caller_choice.h; 0: unknown. */
    bool without_self; /**< Leave this daemon out, as it is shutting down. */
} hs_resolve_query;

/**
 * Returns "IPv4:port" texts of live daemons, selected by capacity. NULL-terminated; free with
 * g_strfreev. NULL: there are none.
 *
 * The daemons are those of the caller's zone. If these are too few, those of the caller's region
 * are included, then those of the allowed regions, then all others. Where the host has allowed
 * regions, others are included only if no daemon of the caller's or an allowed region is live:
 * bodies of its requests should not reach other regions. Without allowed regions and with fewer
 * than two regions, zones are the only distinction.
 */
char **hs_resolve_addresses(const hs_membership *membership, const hs_resolve_query *query);

#endif
