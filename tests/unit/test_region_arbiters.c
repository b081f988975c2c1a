/** @file test_region_arbiters.c  Arbiters of engines in 6 zones, 3 regions and 360 members. */
#include "membership/member_record.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

#define MEMBERS 360
#define REGIONS 3
#define ENGINES 600
/** Engines by which the load of a member is measured; few would differ by chance. */
#define MEASURED_ENGINES 72000
#define MAX_LOAD_RATIO 1.3

static const char *const regions[REGIONS] = {"akl", "wlg", "chc"};
static const hs_membership_settings settings = {.forget_ms = 1000};

static int region_of(int member) {
    return member % REGIONS;
}

static void apply(hs_membership *membership, int member, uint64_t incarnation,
                  Hs__MemberState state, const char *region) {
    char id[16];
    g_snprintf(id, sizeof id, "m%03d", member);
    Hs__MemberRecord record = HS__MEMBER_RECORD__INIT;
    record.id = id;
    record.incarnation = incarnation;
    record.version = 1;
    record.state = state;
    record.region = (char *)region;
    hs_membership_apply_record(membership, &record, HS_RECORD_FROM_GOSSIP, 1);
}

/** Applies records of all members in the order of a permutation. */
static void apply_all(hs_membership *membership, int step) {
    for (int count = 0; count < MEMBERS; count++) {
        int member = count * step % MEMBERS;
        apply(membership, member, 1, HS__MEMBER_STATE__MEMBER_ALIVE, regions[region_of(member)]);
    }
}

/** The view of a member, which has received the records in the order given by @p step. */
static hs_membership *make_view(int member, int step) {
    char id[16];
    g_snprintf(id, sizeof id, "m%03d", member);
    hs_member self = {.id = id,
                      .zone = (char *)"z",
                      .region = (char *)regions[region_of(member)],
                      .incarnation = 1};
    hs_membership *membership = hs_membership_new(&self, &settings, 1);
    apply_all(membership, step);
    return membership;
}

static const hs_member *arbiter_of(const hs_membership *membership, int engine) {
    char key[32];
    g_snprintf(key, sizeof key, "engine-%x", (unsigned)engine);
    return hs_membership_rank_in_region(membership, key, regions[engine % REGIONS]);
}

static void load_on_arbiters_is_even_and_regional(void) {
    hs_membership *membership = make_view(0, 1);
    g_autoptr(GHashTable) loads = g_hash_table_new(g_direct_hash, g_direct_equal);
    int highest = 0;
    bool is_regional = true;
    for (int engine = 0; engine < MEASURED_ENGINES; engine++) {
        const hs_member *arbiter = arbiter_of(membership, engine);
        int load = GPOINTER_TO_INT(g_hash_table_lookup(loads, arbiter)) + 1;
        g_hash_table_insert(loads, (gpointer)arbiter, GINT_TO_POINTER(load));
        highest = MAX(highest, load);
        is_regional = is_regional && strcmp(arbiter->region, regions[engine % REGIONS]) == 0;
    }
    CU_ASSERT(is_regional);
    CU_ASSERT(highest <= MAX_LOAD_RATIO * MEASURED_ENGINES / MEMBERS);
    hs_membership_free(membership);
}

/** Counts engines whose arbiter is not the one in @p before, by the engine's region. */
static void count_moved(const hs_membership *membership, char *const *before, int *moved) {
    memset(moved, 0, REGIONS * sizeof *moved);
    for (int engine = 0; engine < ENGINES; engine++)
        moved[engine % REGIONS] += strcmp(arbiter_of(membership, engine)->id, before[engine]) != 0;
}

static void set_region_state(hs_membership *membership, int region, uint64_t incarnation,
                             Hs__MemberState state) {
    for (int member = region; member < MEMBERS; member += REGIONS)
        apply(membership, member, incarnation, state, regions[region]);
}

/** A lost or cut-off region must not move the arbiters of the other regions' engines. */
static void only_a_lost_region_moves(void) {
    hs_membership *membership = make_view(0, 1);
    g_autoptr(GPtrArray) before = g_ptr_array_new();
    int moved[REGIONS];
    for (int engine = 0; engine < ENGINES; engine++)
        g_ptr_array_add(before, arbiter_of(membership, engine)->id);
    set_region_state(membership, 2, 1, HS__MEMBER_STATE__MEMBER_DEAD);
    count_moved(membership, (char *const *)before->pdata, moved);
    CU_ASSERT_EQUAL(moved[0], 0);
    CU_ASSERT_EQUAL(moved[1], 0);
    CU_ASSERT_EQUAL(moved[2], ENGINES / REGIONS);
    set_region_state(membership, 2, 2, HS__MEMBER_STATE__MEMBER_ALIVE);
    count_moved(membership, (char *const *)before->pdata, moved);
    CU_ASSERT_EQUAL(moved[0] + moved[1] + moved[2], 0);
    apply(membership, 4, 1, HS__MEMBER_STATE__MEMBER_DEAD, regions[1]);
    count_moved(membership, (char *const *)before->pdata, moved);
    CU_ASSERT_EQUAL(moved[0] + moved[2], 0);
    CU_ASSERT(moved[1] < ENGINES / REGIONS / 10);
    hs_membership_free(membership);
}

/** Of two views in which an older build may run, none may use the order by region alone. */
static void members_of_older_builds_agree_on_arbiters(void) {
    hs_membership *one = make_view(0, 1);
    hs_membership *other = make_view(1, 7);
    bool is_agreed = true;
    for (int engine = 0; engine < ENGINES; engine++)
        is_agreed =
            is_agreed && strcmp(arbiter_of(one, engine)->id, arbiter_of(other, engine)->id) == 0;
    apply(one, 9, 2, HS__MEMBER_STATE__MEMBER_ALIVE, "");
    apply(other, 9, 2, HS__MEMBER_STATE__MEMBER_ALIVE, "");
    for (int engine = 0; engine < ENGINES; engine++) {
        char key[32];
        g_snprintf(key, sizeof key, "engine-%x", (unsigned)engine);
        const char *first = hs_membership_rank_first(other, key, NULL)->id;
        is_agreed = is_agreed && strcmp(arbiter_of(one, engine)->id, first) == 0 &&
                    strcmp(arbiter_of(other, engine)->id, first) == 0;
    }
    CU_ASSERT(is_agreed);
    hs_membership_free(one);
    hs_membership_free(other);
}

/** Older builds relay records without the region; daemons with it and without would disagree. */
static void region_survives_relays_by_older_builds(void) {
    hs_membership *membership = make_view(0, 1);
    apply(membership, 1, 1, HS__MEMBER_STATE__MEMBER_SUSPECT, "");
    const hs_member *member = hs_membership_find(membership, "m001");
    CU_ASSERT_STRING_EQUAL(member->region, "wlg");
    Hs__MemberRecord *record = hs_member_record_new(member);
    CU_ASSERT_STRING_EQUAL(record->region, "wlg");
    hs_member_record_free(record);
    apply(membership, 1, 2, HS__MEMBER_STATE__MEMBER_ALIVE, "");
    CU_ASSERT_STRING_EQUAL(member->region, "");
    g_autoptr(GArray) known = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_autoptr(GPtrArray) missing = g_ptr_array_new();
    hs_membership_list_hashes(membership, known);
    apply(membership, 1, 2, HS__MEMBER_STATE__MEMBER_ALIVE, "wlg");
    CU_ASSERT_STRING_EQUAL(member->region, "wlg");
    hs_membership_list_missing(membership, (const uint32_t *)(void *)known->data, known->len,
                               missing);
    CU_ASSERT_EQUAL(missing->len, 1);
    hs_membership_free(membership);
}

/** Counts the next probes to other regions; @p targets: receives all targets of probes. */
static int count_far_probes(hs_membership *membership, int probes, GHashTable *targets) {
    g_autoptr(GArray) orders = g_array_new(FALSE, FALSE, sizeof(hs_probe_order));
    int far = 0;
    for (int index = 0; index < probes; index++)
        hs_membership_probe_next(membership, 1, orders);
    for (guint index = 0; index < orders->len; index++) {
        const char *id = g_array_index(orders, hs_probe_order, index).receiver_id;
        const hs_member *member = hs_membership_find(membership, id);
        far += hs_membership_is_far(membership, member);
        g_hash_table_add(targets, member->id);
    }
    return far;
}

/** Probes were spread over all regions, and two of three crossed regions. */
static void one_in_four_probes_leaves_the_region(void) {
    hs_membership *membership = make_view(0, 1);
    g_autoptr(GHashTable) targets = g_hash_table_new(g_str_hash, g_str_equal);
    CU_ASSERT_EQUAL(count_far_probes(membership, 400, targets), 100);
    CU_ASSERT_EQUAL(g_hash_table_size(targets), 100 + MEMBERS / REGIONS - 1);
    count_far_probes(membership, 600, targets);
    CU_ASSERT_EQUAL(g_hash_table_size(targets), MEMBERS - 1);
    apply(membership, 1, 1, HS__MEMBER_STATE__MEMBER_SUSPECT, regions[1]);
    CU_ASSERT_EQUAL(count_far_probes(membership, 40, targets), 10);
    set_region_state(membership, 1, 1, HS__MEMBER_STATE__MEMBER_SUSPECT);
    CU_ASSERT_EQUAL(count_far_probes(membership, 40, targets), 30);
    set_region_state(membership, 1, 1, HS__MEMBER_STATE__MEMBER_DEAD);
    set_region_state(membership, 2, 1, HS__MEMBER_STATE__MEMBER_DEAD);
    CU_ASSERT_EQUAL(count_far_probes(membership, 40, targets), 0);
    hs_membership_free(membership);
}

const test_case region_arbiter_tests[] = {
    {"load_on_arbiters_is_even_and_regional", load_on_arbiters_is_even_and_regional},
    {"only_a_lost_region_moves", only_a_lost_region_moves},
    {"members_of_older_builds_agree_on_arbiters", members_of_older_builds_agree_on_arbiters},
    {"region_survives_relays_by_older_builds", region_survives_relays_by_older_builds},
    {"one_in_four_probes_leaves_the_region", one_in_four_probes_leaves_the_region},
    {NULL, NULL}};
