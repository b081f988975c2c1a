/** @file resolve_addresses.c  See resolve_addresses.h. */
#include "directory/resolve_addresses.h"

#include "base/hash.h"
#include "directory/caller_choice.h"
#include "platform/caller_codec.h"

#include <arpa/inet.h>
#include <string.h>

/** With fewer daemons in the caller's zone, daemons of other zones are included. */
#define MIN_ZONE_DAEMONS 2

static char *format_address(const hs_member *member) {
    struct in_addr number = {.s_addr = htonl(member->address)};
    return g_strdup_printf("%s:%u", inet_ntoa(number), member->admin_port);
}

/** Adds the live members inside (@p in_zone) or outside of the query's zone to @p found. */
static void find_by_zone(const hs_membership *membership, const hs_resolve_query *query,
                         bool in_zone, GPtrArray *found) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        hs_member *member = members->pdata[index];
        bool is_self = member == hs_membership_self(membership);
        bool matches = (query->zone != NULL && strcmp(member->zone, query->zone) == 0) == in_zone;
        bool usable = is_self ? !query->without_self : member->state == HS_MEMBER_ALIVE;
        if (matches && usable)
            g_ptr_array_add(found, member);
    }
}

/** Selects members of @p found for the caller and returns their addresses. */
static char **choose_addresses(const GPtrArray *found, uint64_t caller) {
    g_autofree hs_caller_candidate *candidates = g_new0(hs_caller_candidate, found->len);
    for (guint index = 0; index < found->len; index++) {
        const hs_member *member = found->pdata[index];
        candidates[index].daemon = hs_hash_bytes(member->id, strlen(member->id));
        candidates[index].capacity = hs_caller_capacity(&member->size);
    }
    if (caller == 0 || hs_caller_choice_is_uniform(candidates, found->len))
        caller = g_random_int();
    hs_caller_choice_select(candidates, found->len, caller, HS_MAX_RESOLVE_ADDRESSES);
    GPtrArray *addresses = g_ptr_array_new();
    for (guint index = 0; index < found->len; index++)
        if (candidates[index].is_chosen)
            g_ptr_array_add(addresses, format_address(found->pdata[index]));
    g_ptr_array_add(addresses, NULL);
    return (char **)g_ptr_array_free(addresses, FALSE);
}

char **hs_resolve_addresses(const hs_membership *membership, const hs_resolve_query *query) {
    g_autoptr(GPtrArray) found = g_ptr_array_new();
    find_by_zone(membership, query, true, found);
    if (found->len < MIN_ZONE_DAEMONS)
        find_by_zone(membership, query, false, found);
    return found->len > 0 ? choose_addresses(found, query->caller) : NULL;
}
