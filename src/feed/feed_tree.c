/** @file feed_tree.c  See feed_tree.h. */
#include "feed/feed_tree.h"

#include "base/hash.h"

/**
 * Age of the records at which the next daemon by rank reads the store in a reader's place. It is
 * above the age that records have at the last daemon of a tree on a calm day.
 */
#define TAKEOVER_AGE_MS 2000
/** Age added for each rank, so that some seven daemons a second take over. */
#define TAKEOVER_STEP_MS 150
/** First daemons of a zone, which follow the readers. */
#define ZONE_HEADS 2
/** Stand-ins at first, and the time after which there are twice as many. */
#define FIRST_STAND_INS 4
#define STAND_IN_STEP_MS 150
/** Most stand-ins at a time, and the time after which others take their turn. */
#define MAX_STAND_INS 64
#define STAND_IN_TURN_MS 2000
/** Kinds of daemons that are tried in turn in place of the parent. */
enum { TRY_PARENT, TRY_SIBLING_OF_PARENT, TRY_HEAD, TRY_READER, TRY_STAND_IN, TRY_COUNT };

struct hs_feed_tree {
    gint references;
    GArray *region;    /**< Of hs_feed_node: those of this daemon's region, by rank. */
    GArray *zone;      /**< Of hs_feed_node: those of this daemon's zone, by rank. */
    GArray *stand_ins; /**< Of hs_feed_node: those of the region in the order of their turns. */
    uint32_t turn;     /**< In that order; UINT32_MAX: none. */
    uint64_t self;
    uint32_t rank;       /**< In the region; UINT32_MAX: none. */
    uint32_t zone_index; /**< In the zone; if not in the view, the number of its nodes. */
    uint32_t live_count;
};

/** Orders by readiness, then by the size of the machines, then by the hash of the ids. */
static gint compare_nodes(gconstpointer left, gconstpointer right) {
    const hs_feed_node *first = left;
    const hs_feed_node *second = right;
    if (first->is_starting != second->is_starting)
        return first->is_starting ? 1 : -1;
    if (first->strength != second->strength)
        return first->strength > second->strength ? -1 : 1;
    return (first->id > second->id) - (first->id < second->id);
}

static uint64_t get_turn_key(const hs_feed_node *node) {
    return hs_hash_bytes(&node->id, sizeof node->id);
}

static gint compare_turns(gconstpointer left, gconstpointer right) {
    uint64_t first = get_turn_key(left);
    uint64_t second = get_turn_key(right);
    return (first > second) - (first < second);
}

static uint32_t find_index(const GArray *nodes, uint64_t id, uint32_t missing) {
    for (guint index = 0; index < nodes->len; index++)
        if (g_array_index(nodes, hs_feed_node, index).id == id)
            return index;
    return missing;
}

hs_feed_tree *hs_feed_tree_new(const GArray *nodes, uint64_t self, uint32_t live_count) {
    hs_feed_tree *tree = g_new0(hs_feed_tree, 1);
    tree->references = 1;
    tree->self = self;
    tree->live_count = MAX(live_count, 1);
    tree->region = g_array_new(FALSE, FALSE, sizeof(hs_feed_node));
    tree->zone = g_array_new(FALSE, FALSE, sizeof(hs_feed_node));
    uint32_t own = find_index(nodes, self, UINT32_MAX);
    const hs_feed_node *own_node =
        own != UINT32_MAX ? &g_array_index(nodes, hs_feed_node, own) : NULL;
    for (guint index = 0; index < nodes->len; index++) {
        const hs_feed_node *node = &g_array_index(nodes, hs_feed_node, index);
        if (own_node == NULL || node->region == own_node->region)
            g_array_append_val(tree->region, *node);
        if (own_node == NULL || node->zone == own_node->zone)
            g_array_append_val(tree->zone, *node);
    }
    g_array_sort(tree->region, compare_nodes);
    g_array_sort(tree->zone, compare_nodes);
    tree->stand_ins = g_array_copy(tree->region);
    g_array_sort(tree->stand_ins, compare_turns);
    tree->turn = find_index(tree->stand_ins, self, UINT32_MAX);
    tree->rank = find_index(tree->region, self, UINT32_MAX);
    tree->zone_index = find_index(tree->zone, self, tree->zone->len);
    return tree;
}

hs_feed_tree *hs_feed_tree_ref(hs_feed_tree *tree) {
    g_atomic_int_inc(&tree->references);
    return tree;
}

void hs_feed_tree_unref(hs_feed_tree *tree) {
    if (tree == NULL || !g_atomic_int_dec_and_test(&tree->references))
        return;
    g_array_free(tree->region, TRUE);
    g_array_free(tree->zone, TRUE);
    g_array_free(tree->stand_ins, TRUE);
    g_free(tree);
}

uint64_t hs_feed_tree_self(const hs_feed_tree *tree) {
    return tree->self;
}

uint32_t hs_feed_tree_rank(const hs_feed_tree *tree) {
    return tree->rank;
}

uint32_t hs_feed_tree_live_count(const hs_feed_tree *tree) {
    return tree->live_count;
}

bool hs_feed_tree_is_direct(const hs_feed_tree *tree) {
    return tree->live_count <= HS_FEED_DIRECT_DAEMONS;
}

bool hs_feed_tree_is_reader(const hs_feed_tree *tree) {
    return hs_feed_tree_is_direct(tree) || tree->rank < HS_FEED_READERS;
}

/** Returns a number below @p limit that differs between daemons and attempts. */
static uint32_t draw(const hs_feed_tree *tree, uint32_t attempt, uint32_t limit) {
    uint64_t seed[2] = {tree->self, attempt};
    return (uint32_t)(hs_hash_bytes(seed, sizeof seed) % limit);
}

/** Returns a daemon of the region by rank, not this one; NULL: there is none. */
static const hs_feed_node *pick_in_region(const hs_feed_tree *tree, uint32_t first,
                                          uint32_t count) {
    count = MIN(count, tree->region->len);
    for (uint32_t step = 0; step < count; step++) {
        uint32_t index = (first + step) % count;
        if (index != tree->rank)
            return &g_array_index(tree->region, hs_feed_node, index);
    }
    return NULL;
}

/** Returns a daemon of the zone that is ranked before this one. */
static const hs_feed_node *pick_in_zone(const hs_feed_tree *tree, uint32_t index) {
    return &g_array_index(tree->zone, hs_feed_node, MIN(index, tree->zone_index - 1));
}

/** Returns a stand-in by its turn, not this daemon; NULL: there is none. */
static const hs_feed_node *pick_stand_in(const hs_feed_tree *tree, uint32_t index) {
    const GArray *nodes = tree->stand_ins;
    index %= MAX(nodes->len, 1);
    if (index == tree->turn)
        index = (index + 1) % nodes->len;
    return index < nodes->len && index != tree->turn ? &g_array_index(nodes, hs_feed_node, index)
                                                     : NULL;
}

/**
 * Returns the daemon that a reader asks: another reader, then the first stand-ins, then again with
 * twice as many of them.
 */
static const hs_feed_node *pick_for_reader(const hs_feed_tree *tree, uint32_t attempt) {
    uint32_t stand_ins = FIRST_STAND_INS;
    while (attempt > stand_ins) {
        attempt -= stand_ins + 1;
        stand_ins = MIN(stand_ins * 2, MAX_STAND_INS);
    }
    return attempt == 0 ? pick_in_region(tree, tree->rank + 1, HS_FEED_READERS)
                        : pick_stand_in(tree, attempt - 1);
}

bool hs_feed_tree_is_stand_in(const hs_feed_tree *tree, uint64_t cut_off_ms) {
    uint32_t count = tree->stand_ins->len;
    if (tree->turn >= count)
        return false;
    uint64_t doublings = MIN(cut_off_ms / STAND_IN_STEP_MS, 16);
    uint32_t stand_ins = MIN(FIRST_STAND_INS << doublings, MAX_STAND_INS);
    uint32_t first = (uint32_t)(cut_off_ms / STAND_IN_TURN_MS * MAX_STAND_INS % count);
    return (tree->turn + count - first) % count < stand_ins;
}

bool hs_feed_tree_yields_to(const hs_feed_tree *tree, uint64_t source) {
    return find_index(tree->region, source, UINT32_MAX) < HS_FEED_READERS ||
           find_index(tree->stand_ins, source, UINT32_MAX) < tree->turn;
}

const hs_feed_node *hs_feed_tree_parent(const hs_feed_tree *tree, uint32_t attempt) {
    if (tree->rank < HS_FEED_READERS)
        return pick_for_reader(tree, attempt);
    if (attempt % TRY_COUNT == TRY_STAND_IN)
        return pick_stand_in(tree, draw(tree, attempt, FIRST_STAND_INS));
    uint32_t reader = draw(tree, attempt / TRY_COUNT, HS_FEED_READERS);
    if (tree->zone_index < ZONE_HEADS || attempt % TRY_COUNT == TRY_READER)
        return pick_in_region(tree, reader + attempt % HS_FEED_READERS, HS_FEED_READERS);
    uint32_t parent = (tree->zone_index - ZONE_HEADS) / HS_FEED_CHILDREN;
    switch (attempt % TRY_COUNT) {
    case TRY_PARENT:
        return pick_in_zone(tree, parent);
    case TRY_SIBLING_OF_PARENT:
        return pick_in_zone(tree, draw(tree, attempt, parent + ZONE_HEADS));
    default:
        return pick_in_zone(tree, draw(tree, attempt, ZONE_HEADS));
    }
}

hs_feed_source hs_feed_choose_source(const hs_feed_tree *tree, const hs_feed_status *status,
                                     uint64_t now_ms) {
    bool is_starting = now_ms < status->started_ms + HS_FEED_START_WAIT_MS;
    if (is_starting && status->knows_other_addresses && hs_feed_tree_is_direct(tree))
        return HS_FEED_WAIT;
    uint64_t age_ms = now_ms - MIN(now_ms, MAX(status->as_of_ms, status->started_ms));
    bool takes_over = tree->rank != UINT32_MAX &&
                      age_ms > TAKEOVER_AGE_MS + (uint64_t)tree->rank * TAKEOVER_STEP_MS;
    bool stands_in = status->cut_off_since_ms != 0 &&
                     hs_feed_tree_is_stand_in(tree, now_ms - status->cut_off_since_ms);
    bool may_read =
        hs_feed_tree_is_reader(tree) || takes_over || stands_in || status->is_standing_in;
    if (may_read && now_ms >= status->store_allowed_ms)
        return HS_FEED_STORE;
    if (hs_feed_tree_is_direct(tree))
        return HS_FEED_WAIT;
    return hs_feed_tree_parent(tree, 0) != NULL ? HS_FEED_PARENT : HS_FEED_WAIT;
}
