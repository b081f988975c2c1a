/** @file feed_members.c  See feed_members.h. */
#include "directory/feed_members.h"

#include "base/clock.h"
#include "base/hash.h"
#include "directory/daemon_directory_state.h"

#include <string.h>

static uint64_t hash_text(const char *text) {
    return *text != '\0' ? hs_hash_bytes(text, strlen(text)) : 0;
}

static hs_feed_node make_node(const hs_member *member) {
    return (hs_feed_node){.id = hash_text(member->id),
                          .zone = hash_text(member->zone),
                          .region = hash_text(member->region),
                          .strength = member->size.link_kbps,
                          .address = member->address,
                          .port = member->peer_port,
                          .is_starting = member->is_starting};
}

hs_feed_tree *hs_feed_tree_of(const hs_membership *membership) {
    g_autoptr(GArray) nodes = g_array_new(FALSE, FALSE, sizeof(hs_feed_node));
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    uint32_t running = 0;
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        if (!hs_member_is_running(member) || hs_daemon_is_seed(member->id))
            continue;
        running++;
        hs_feed_node node = make_node(member);
        if (member->relays_state)
            g_array_append_val(nodes, node);
    }
    return hs_feed_tree_new(nodes, hash_text(hs_membership_self(membership)->id), running);
}

static hs_feed_tree *get_tree(void *user_data) {
    hs_daemon_directory *directory = user_data;
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    uint64_t version = hs_membership_running_version(membership);
    if (directory->feed_tree == NULL || directory->feed_tree_version != version) {
        hs_feed_tree_unref(directory->feed_tree);
        directory->feed_tree = hs_feed_tree_of(membership);
        directory->feed_tree_version = version;
    }
    hs_feed_tree *tree = hs_feed_tree_ref(directory->feed_tree);
    hs_membership_service_unlock(directory->membership);
    return tree;
}

/** Whether a member or a seed is known beside this daemon. */
static bool knows_others(void *user_data) {
    hs_daemon_directory *directory = user_data;
    hs_membership *membership = hs_membership_service_lock(directory->membership);
    bool has_members = hs_membership_count(membership) > 1;
    hs_membership_service_unlock(directory->membership);
    return has_members;
}

bool hs_feed_members_rank(hs_daemon_directory *directory, uint32_t *rank) {
    bool is_starting = hs_clock_monotonic_ms() < directory->probing_ms + HS_FEED_START_WAIT_MS;
    if (is_starting && knows_others(directory))
        return false;
    hs_feed_tree *tree = get_tree(directory);
    bool is_direct = hs_feed_tree_is_direct(tree);
    *rank = is_direct ? UINT32_MAX : hs_feed_tree_rank(tree);
    hs_feed_tree_unref(tree);
    return is_direct || g_atomic_int_get(&directory->joined) != 0;
}

hs_feed_members hs_feed_members_of(hs_daemon_directory *directory) {
    return (hs_feed_members){
        .get_tree = get_tree, .knows_others = knows_others, .user_data = directory};
}
