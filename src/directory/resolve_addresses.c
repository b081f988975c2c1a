/** @file resolve_addresses.c  See resolve_addresses.h. */
#include "directory/resolve_addresses.h"

#include "base/hash.h"
#include "directory/caller_choice.h"
#include "platform/caller_codec.h"

#include <arpa/inet.h>
#include <string.h>

/** With fewer daemons near the caller, daemons farther away are included. */
#define MIN_ZONE_DAEMONS 2

static char *format_address(const hs_member *member) {
    struct in_addr number = {.s_addr = htonl(member->address)};
    return g_strdup_printf("%s:%u", inet_ntoa(number), member->admin_port);
}

/** Where a member is, seen from the caller; see hs_resolve_addresses. */
typedef enum { PLACE_ZONE, PLACE_REGION, PLACE_ALLOWED, PLACE_OTHER, PLACE_COUNT } place;

static bool is_equal(const char *first, const char *second) {
    return first != NULL && second != NULL && strcmp(first, second) == 0;
}

static bool lists(const GPtrArray *regions, const char *region) {
    for (guint index = 0; regions != NULL && index < regions->len; index++)
        if (is_equal(regions->pdata[index], region))
            return true;
    return false;
}

/** Whether regions matter to the answer; if not, all zones but the caller's are alike. */
static bool has_regions(const hs_resolve_query *query) {
    return query->allowed_regions != NULL || hs_topology_has_regions(query->topology);
}

static place place_of(const hs_resolve_query *query, const hs_member *member) {
    if (is_equal(member->zone, query->zone))
        return PLACE_ZONE;
    if (!has_regions(query))
        return PLACE_OTHER;
    const char *region = hs_topology_region(query->topology, member->zone);
    const char *of_zone = hs_topology_region(query->topology, query->zone);
    if (is_equal(region, of_zone != NULL ? of_zone : query->region))
        return PLACE_REGION;
    return lists(query->allowed_regions, region) ? PLACE_ALLOWED : PLACE_OTHER;
}

/** Adds the live members at @p wanted to @p found. */
static void find_at(const hs_membership *membership, const hs_resolve_query *query, place wanted,
                    GPtrArray *found) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        hs_member *member = members->pdata[index];
        bool is_self = member == hs_membership_self(membership);
        bool usable = is_self ? !query->without_self : hs_member_is_alive(member);
        if (usable && place_of(query, member) == wanted)
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

/** Returns the number of daemons at which no daemons of the next place are included. */
static guint enough_before(const hs_resolve_query *query, place next) {
    bool leaves_regions = next == PLACE_OTHER && query->allowed_regions != NULL;
    return leaves_regions ? 1 : MIN_ZONE_DAEMONS;
}

char **hs_resolve_addresses(const hs_membership *membership, const hs_resolve_query *query) {
    g_autoptr(GPtrArray) found = g_ptr_array_new();
    for (place next = PLACE_ZONE; next < PLACE_COUNT; next++)
        if (found->len < enough_before(query, next))
            find_at(membership, query, next, found);
    return found->len > 0 ? choose_addresses(found, query->caller) : NULL;
}
