/**
 * @file resolve_addresses.h
 * Selects the addresses of the daemons that a caller should use. Pure, except that the selection is
 * random if all machines have the same capacity or the caller is unknown.
 */
#ifndef HS_DIRECTORY_RESOLVE_ADDRESSES_H
#define HS_DIRECTORY_RESOLVE_ADDRESSES_H

#include "membership/membership.h"

/** Parameters of a selection. */
typedef struct {
    const char *zone;  /**< The caller's; NULL: unknown. */
    uint64_t caller;   /**< Identifies the caller, see caller_choice.h; 0: unknown. */
    bool without_self; /**< Leave this daemon out, as it is shutting down. */
} hs_resolve_query;

/**
 * Returns "IPv4:port" texts of live daemons in the caller's zone, or in all zones if these are too
 * few, selected by capacity. NULL-terminated; free with g_strfreev. NULL: there are none.
 */
char **hs_resolve_addresses(const hs_membership *membership, const hs_resolve_query *query);

#endif
