/** @file resolve_addresses.c  See resolve_addresses.h. */
#include "directory/resolve_addresses.h"

#include "base/hash.h"
#include "directory/caller_choice.h"
#include "platform/caller_codec.h"

#include <arpa/inet.h>
#include <string.h>

/** With fewer daemons of the caller's zone others are named too: one of them may be lost. */
#define ZONE_LEAST 2

static char *address_of(const hs_member *member) {
    struct in_addr number = {.s_addr = htonl(member->address)};
    return g_strdup_printf("%s:%u", inet_ntoa(number), member->admin_port);
}

/** Live members of the query's zone, or of all others where @p inside is false, into @p found. */
static void find_zone(const hs_membership *membership, const hs_resolve_query *query, bool inside,
                      GPtrArray *found) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        hs_member *member = members->pdata[index];
        bool is_self = member == hs_membership_self(membership);
        bool matches = (query->zone != NULL && strcmp(member->zone, query->zone) == 0) == inside;
        bool usable = is_self ? !query->without_self : member->state == HS_MEMBER_ALIVE;
        if (matches && usable)
            g_ptr_array_add(found, member);
    }
}

/** The chosen ones of @p found, as an answer names them. */
static char **name_chosen(const GPtrArray *found, uint64_t caller) {
    g_autofree hs_caller_choice *choices = g_new0(hs_caller_choice, found->len);
    for (guint index = 0; index < found->len; index++) {
        const hs_member *member = found->pdata[index];
        choices[index].daemon = hs_hash_bytes(member->id, strlen(member->id));
        choices[index].capacity = hs_caller_capacity(&member->size);
    }
    if (caller == 0 || hs_caller_choice_is_even(choices, found->len))
        caller = g_random_int();
    hs_caller_choice_make(choices, found->len, caller, HS_RESOLVE_ADDRESSES_MAX);
    GPtrArray *addresses = g_ptr_array_new();
    for (guint index = 0; index < found->len; index++)
        if (choices[index].is_chosen)
            g_ptr_array_add(addresses, address_of(found->pdata[index]));
    g_ptr_array_add(addresses, NULL);
    return (char **)g_ptr_array_free(addresses, FALSE);
}

char **hs_resolve_addresses(const hs_membership *membership, const hs_resolve_query *query) {
    g_autoptr(GPtrArray) found = g_ptr_array_new();
    find_zone(membership, query, true, found);
    if (found->len < ZONE_LEAST)
        find_zone(membership, query, false, found);
    return found->len > 0 ? name_chosen(found, query->caller) : NULL;
}
