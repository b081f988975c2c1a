/** @file resolve_addresses.c  See resolve_addresses.h. */
#include "directory/resolve_addresses.h"

#include "platform/caller_codec.h"

#include <arpa/inet.h>
#include <string.h>

/** With fewer daemons of the caller's zone others are named too: one of them may be lost. */
#define ZONE_LEAST 2

static void add_address(GPtrArray *addresses, const hs_member *member) {
    struct in_addr number = {.s_addr = htonl(member->address)};
    g_ptr_array_add(addresses, g_strdup_printf("%s:%u", inet_ntoa(number), member->admin_port));
}

/** Keep as many as an answer may name, chosen by chance, so that all daemons get callers. */
static void keep_some(GPtrArray *addresses) {
    if (addresses->len <= HS_RESOLVE_ADDRESSES_MAX)
        return;
    for (guint index = 0; index < HS_RESOLVE_ADDRESSES_MAX; index++) {
        guint other = (guint)g_random_int_range((gint32)index, (gint32)addresses->len);
        gpointer chosen = addresses->pdata[other];
        addresses->pdata[other] = addresses->pdata[index];
        addresses->pdata[index] = chosen;
    }
    g_ptr_array_set_size(addresses, HS_RESOLVE_ADDRESSES_MAX);
}

/** Live members of @p zone, or of all others where @p inside is false. */
static void add_zone(const hs_membership *membership, GPtrArray *addresses, const char *zone,
                     bool inside, bool without_self) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        bool is_self = member == hs_membership_self(membership);
        bool matches = (zone != NULL && strcmp(member->zone, zone) == 0) == inside;
        bool usable = is_self ? !without_self : member->state == HS_MEMBER_ALIVE;
        if (matches && usable)
            add_address(addresses, member);
    }
}

char **hs_resolve_addresses(const hs_membership *membership, const char *zone, bool without_self) {
    GPtrArray *addresses = g_ptr_array_new_with_free_func(g_free);
    add_zone(membership, addresses, zone, true, without_self);
    if (addresses->len < ZONE_LEAST)
        add_zone(membership, addresses, zone, false, without_self);
    if (addresses->len == 0) {
        g_ptr_array_free(addresses, TRUE);
        return NULL;
    }
    keep_some(addresses);
    g_ptr_array_add(addresses, NULL);
    return (char **)g_ptr_array_free(addresses, FALSE);
}
