/**
 * @file resolve_addresses.h
 * Which daemons a caller is told to use, by what is known of the members. Pure but for chance.
 */
#ifndef HS_DIRECTORY_RESOLVE_ADDRESSES_H
#define HS_DIRECTORY_RESOLVE_ADDRESSES_H

#include "membership/membership.h"

/**
 * Live daemons of the caller's zone, and of the others where these are few: "IPv4:port" texts,
 * NULL-terminated; free with g_strfreev. NULL: there are none. @p without_self: this daemon leaves.
 */
char **hs_resolve_addresses(const hs_membership *membership, const char *zone, bool without_self);

#endif
