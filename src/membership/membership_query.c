/** @file membership_query.c  Read access to the membership state: live members, ranks, owners. */
#include "base/hash.h"
#include "membership/membership_state.h"

#include <string.h>

#define EPOCH_NONE 0

bool hs_member_is_running(const hs_member *member) {
    return member->state == HS_MEMBER_ALIVE || member->state == HS_MEMBER_SUSPECT;
}

/** Whether the member is ready to serve; this daemon itself counts as ready here. */
static bool is_ready(const hs_member *member) {
    return !member->is_starting || member->is_self;
}

bool hs_member_is_live(const hs_member *member) {
    return hs_member_is_running(member) && is_ready(member);
}

bool hs_member_is_alive(const hs_member *member) {
    return member->state == HS_MEMBER_ALIVE && is_ready(member);
}

char *hs_member_admin_url(uint32_t address, uint16_t port, const char *path) {
    return g_strdup_printf("http://%u.%u.%u.%u:%u%s", address >> 24, (address >> 16) & 0xffU,
                           (address >> 8) & 0xffU, address & 0xffU, port, path);
}

const hs_member *hs_membership_find(const hs_membership *membership, const char *id) {
    return g_hash_table_lookup(membership->members, id);
}

bool hs_membership_is_far(const hs_membership *membership, const hs_member *member) {
    const char *own = membership->self->region;
    return *own != '\0' && *member->region != '\0' && strcmp(own, member->region) != 0;
}

uint32_t hs_membership_count(const hs_membership *membership) {
    return g_hash_table_size(membership->members);
}

void hs_membership_list(const hs_membership *membership, GPtrArray *members) {
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, membership->members);
    while (g_hash_table_iter_next(&iterator, NULL, &data))
        g_ptr_array_add(members, data);
}

const hs_member *hs_membership_rank_first(const hs_membership *membership, const char *key,
                                          const char *zone) {
    const hs_member *best = NULL;
    uint64_t best_weight = 0;
    bool best_in_zone = false;
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, membership->members);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_member *member = data;
        if (!hs_member_is_live(member))
            continue;
        bool in_zone = zone != NULL && strcmp(zone, member->zone) == 0;
        uint64_t weight = hs_hash_pair(key, member->id);
        bool better = best == NULL || (in_zone && !best_in_zone) ||
                      (in_zone == best_in_zone && weight > best_weight);
        if (!better)
            continue;
        best = member;
        best_weight = weight;
        best_in_zone = in_zone;
    }
    return best;
}

/**
 * Returns whether every live member announces a region and at least one of them announces
 * @p region.
 */
static bool is_ranked_by_region(const hs_membership *membership, const char *region) {
    bool has_member = false;
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, membership->members);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_member *member = data;
        if (!hs_member_is_live(member))
            continue;
        if (*member->region == '\0')
            return false;
        has_member = has_member || strcmp(member->region, region) == 0;
    }
    return has_member;
}

const hs_member *hs_membership_rank_in_region(const hs_membership *membership, const char *key,
                                              const char *region) {
    if (region == NULL || !is_ranked_by_region(membership, region))
        return hs_membership_rank_first(membership, key, NULL);
    const hs_member *best = NULL;
    uint64_t best_weight = 0;
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, membership->members);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_member *member = data;
        if (!hs_member_is_live(member) || strcmp(member->region, region) != 0)
            continue;
        uint64_t weight = hs_hash_pair(key, member->id);
        if (best != NULL && weight <= best_weight)
            continue;
        best = member;
        best_weight = weight;
    }
    return best;
}

/** Orders members by descending weight, then by id. Returns less than 0 if @p one is first. */
static int compare_rank(const char *key, const hs_member *one, const hs_member *other) {
    uint64_t weight = hs_hash_pair(key, one->id);
    uint64_t other_weight = hs_hash_pair(key, other->id);
    if (weight != other_weight)
        return weight > other_weight ? -1 : 1;
    return strcmp(one->id, other->id);
}

const hs_member *hs_membership_rank_next(const hs_membership *membership, const char *key,
                                         const hs_member *after) {
    const hs_member *next = NULL;
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, membership->members);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_member *member = data;
        bool follows = after == NULL || compare_rank(key, after, member) < 0;
        if (hs_member_is_live(member) && follows &&
            (next == NULL || compare_rank(key, member, next) < 0))
            next = member;
    }
    return next;
}

const hs_member *hs_membership_find_owner(const hs_membership *membership, uint32_t partition,
                                          uint32_t *epoch) {
    const hs_member *owner = NULL;
    *epoch = EPOCH_NONE;
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, membership->members);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_member *member = data;
        if (!hs_member_is_live(member) && member->state != HS_MEMBER_LEAVING)
            continue;
        for (guint index = 0; index < member->owned->len; index++) {
            const hs_owned_partition *owned =
                &g_array_index(member->owned, hs_owned_partition, index);
            if (owned->partition != partition || owned->epoch <= *epoch)
                continue;
            owner = member;
            *epoch = owned->epoch;
        }
    }
    return owner;
}

uint32_t hs_membership_rejoin_count(const hs_membership *membership) {
    return membership->rejoin_count;
}

uint64_t hs_membership_live_version(const hs_membership *membership) {
    return membership->live_version;
}

uint64_t hs_membership_running_version(const hs_membership *membership) {
    return membership->running_version;
}

uint32_t hs_membership_live_count(const hs_membership *membership) {
    uint32_t count = 0;
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, membership->members);
    while (g_hash_table_iter_next(&iterator, NULL, &data))
        count += hs_member_is_live(data);
    return count;
}
