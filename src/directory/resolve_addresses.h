/**
 * @file resolve_addresses.h
 * Which daemons a caller is told to use, by what is known of the members. Pure, but for
 * chance where all machines are alike, or the caller isn't known.
 */
#ifndef HS_DIRECTORY_RESOLVE_ADDRESSES_H
#define HS_DIRECTORY_RESOLVE_ADDRESSES_H

#include "membership/membership.h"

/** Who asks, and who answers. */
typedef struct {
    const char *zone; /**< The caller's; NULL: not told. */
    uint64_t caller;  /**< What tells one caller from another; see caller_choice.h; 0: not known. */
    bool without_self; /**< This daemon leaves. */
} hs_resolve_query;

/**
 * Live daemons of the caller's zone, and of the others where these are few, by what their machines
 * bear: "IPv4:port" texts, NULL-terminated; free with g_strfreev. NULL: there are none.
 */
char **hs_resolve_addresses(const hs_membership *membership, const hs_resolve_query *query);

#endif
