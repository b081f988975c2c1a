/**
 * @file directory_members.c
 * What callers and daemons ask the directory: resolved addresses, owners of partitions, regions of
 * daemons; see daemon_directory.h.
 */
#include "directory/daemon_directory_state.h"

#include "base/clock.h"
#include "base/hash.h"
#include "directory/job_claims.h"

#include <string.h>

/** Time after joining for which a daemon that knows no other returns no addresses. */
#define SETTLE_MS 1500

uint32_t hs_daemon_directory_utilisation_percent(hs_daemon_directory *directory) {
    return (uint32_t)g_atomic_int_get(&directory->utilisation_percent);
}

char **hs_daemon_directory_resolve(hs_daemon_directory *directory, const hs_resolve_query *query) {
    if (g_atomic_int_get(&directory->joined) == 0)
        return NULL;
    bool is_settled = hs_clock_monotonic_ms() > directory->started_ms + SETTLE_MS;
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    bool knows_others = hs_membership_live_count(membership) > 1;
    char **addresses = NULL;
    hs_resolve_query completed = *query;
    completed.without_self = g_atomic_int_get(&directory->leaving) != 0;
    completed.topology = hs_fleet_engines_topology(directory->settings.engines);
    if (knows_others || is_settled)
        addresses = hs_resolve_addresses(membership, &completed);
    hs_membership_service_unlock(directory->membership);
    return addresses;
}

void hs_daemon_directory_announce_owned(hs_daemon_directory *directory, const GArray *partitions,
                                        uint64_t generation) {
    g_autoptr(GArray) owned = g_array_new(FALSE, FALSE, sizeof(hs_owned_partition));
    g_autoptr(GPtrArray) no_engines = g_ptr_array_new();
    for (guint index = 0; index < partitions->len; index++) {
        hs_owned_partition partition = {.partition = g_array_index(partitions, uint32_t, index),
                                        .epoch = (uint32_t)generation};
        g_array_append_val(owned, partition);
    }
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    hs_membership_update_self(membership, 0, owned, no_engines);
    hs_membership_service_unlock(directory->membership);
}

const hs_topology *hs_daemon_directory_topology(const hs_daemon_directory *directory) {
    return hs_fleet_engines_topology(directory->settings.engines);
}

const char *hs_daemon_directory_own_region(const hs_daemon_directory *directory) {
    return hs_topology_region(hs_daemon_directory_topology(directory), directory->settings.zone);
}

GArray *hs_daemon_directory_list_regions(hs_daemon_directory *directory) {
    GArray *regions = g_array_new(FALSE, FALSE, sizeof(hs_daemon_region));
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    const hs_topology *topology = hs_daemon_directory_topology(directory);
    bool has_regions = hs_topology_has_regions(topology);
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        bool is_self = member == hs_membership_self(membership);
        bool is_older_build = has_regions && *member->region == '\0';
        if (!is_self &&
            (!hs_member_is_live(member) || hs_daemon_is_seed(member->id) || is_older_build))
            continue;
        hs_daemon_region daemon = {.daemon = hs_hash_bytes(member->id, strlen(member->id)),
                                   .region = hs_topology_region(topology, member->zone)};
        g_array_append_val(regions, daemon);
    }
    hs_membership_service_unlock(directory->membership);
    return regions;
}

/** The address of a member; the caller holds the lock of the membership. */
static hs_daemon_address address_of(const hs_daemon_directory *directory,
                                    const hs_membership *membership, const hs_member *member) {
    return (hs_daemon_address){
        .address = member->address,
        .port = member->peer_port,
        .region = hs_topology_region(hs_daemon_directory_topology(directory), member->zone),
        .is_far = hs_membership_is_far(membership, member)};
}

bool hs_daemon_directory_find_daemon(hs_daemon_directory *directory, uint64_t daemon,
                                     hs_daemon_address *address) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    hs_membership_list(membership, members);
    const hs_member *found = NULL;
    for (guint index = 0; index < members->len && found == NULL; index++) {
        const hs_member *member = members->pdata[index];
        if (member != hs_membership_self(membership) && hs_member_is_alive(member) &&
            hs_hash_bytes(member->id, strlen(member->id)) == daemon)
            found = member;
    }
    if (found != NULL)
        *address = address_of(directory, membership, found);
    hs_membership_service_unlock(directory->membership);
    return found != NULL;
}

GArray *hs_daemon_directory_list_claimants(hs_daemon_directory *directory, uint32_t partition) {
    GArray *claimants = g_array_new(FALSE, FALSE, sizeof(hs_daemon_address));
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        if (!hs_job_claims_is_claimant(member, partition))
            continue;
        hs_daemon_address address = address_of(directory, membership, member);
        address.reports_ends = member->reports_ends;
        g_array_append_val(claimants, address);
    }
    hs_membership_service_unlock(directory->membership);
    return claimants;
}

bool hs_daemon_directory_are_ends_reported(hs_daemon_directory *directory) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    hs_membership_list(membership, members);
    for (guint index = members->len; index > 0; index--)
        if (hs_daemon_is_seed(((const hs_member *)members->pdata[index - 1])->id))
            g_ptr_array_remove_index_fast(members, index - 1);
    uint32_t rejoin_count = hs_membership_rejoin_count(membership);
    bool was_held_for_dead = rejoin_count != directory->reports_rejoin_count;
    directory->reports_rejoin_count = rejoin_count;
    bool are_reported = !was_held_for_dead && hs_job_claims_are_ends_reported(members);
    hs_membership_service_unlock(directory->membership);
    return are_reported;
}

bool hs_daemon_directory_is_settled(hs_daemon_directory *directory) {
    hs_stall_detector *detector = directory->settings.stall_detector;
    uint64_t stalled_ms = detector != NULL ? hs_stall_detector_get_last_stall_ms(detector) : 0;
    return g_atomic_int_get(&directory->joined) != 0 &&
           hs_clock_monotonic_ms() > MAX(directory->started_ms, stalled_ms) + SETTLE_MS;
}

bool hs_daemon_directory_find_owner(hs_daemon_directory *directory, uint32_t partition,
                                    hs_daemon_address *owner) {
    uint32_t epoch = 0;
    const hs_membership *membership = hs_membership_service_lock(directory->membership);
    const hs_member *member = hs_membership_find_owner(membership, partition, &epoch);
    bool is_other =
        member != NULL && member != hs_membership_self(membership) && hs_member_is_alive(member);
    if (is_other)
        *owner = address_of(directory, membership, member);
    hs_membership_service_unlock(directory->membership);
    return is_other;
}

bool hs_daemon_directory_has_regions(const hs_daemon_directory *directory) {
    return hs_topology_has_regions(hs_daemon_directory_topology(directory)) &&
           hs_daemon_directory_own_region(directory) != NULL;
}

hs_owner_counts hs_daemon_directory_count_owners(hs_daemon_directory *directory,
                                                 uint32_t partition_count) {
    hs_owner_counts counts = {0};
    const hs_membership *membership = hs_membership_service_lock(directory->membership);
    for (uint32_t partition = 0; partition < partition_count; partition++) {
        uint32_t epoch = 0;
        const hs_member *member = hs_membership_find_owner(membership, partition, &epoch);
        counts.own += member != NULL && member == hs_membership_self(membership);
        counts.located += member != NULL && hs_member_is_alive(member);
    }
    hs_membership_service_unlock(directory->membership);
    return counts;
}

hs_tenant_limiter *hs_daemon_directory_limiter(hs_daemon_directory *directory) {
    return directory->limiter;
}

char *hs_daemon_directory_describe_traffic(hs_daemon_directory *directory) {
    return hs_peer_socket_describe(directory->socket);
}

uint32_t hs_daemon_directory_live_count(hs_daemon_directory *directory) {
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    uint32_t count = hs_membership_live_count(membership);
    hs_membership_service_unlock(directory->membership);
    return MAX(count, 1);
}

uint32_t hs_daemon_directory_ttl_s(const hs_daemon_directory *directory) {
    return (uint32_t)g_atomic_int_get(&directory->resolve_ttl_s);
}
