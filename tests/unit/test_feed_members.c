/**
 * @file test_feed_members.c
 * Daemons that are starting, who takes part in the distribution of records, in the reads of the
 * registry and in the group of job owners.
 */
#include "directory/feed_members.h"
#include "directory/job_claims.h"
#include "directory/registry_plan.h"
#include "directory/resolve_addresses.h"
#include "jobs/group_choice.h"
#include "membership/membership.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

#define PARTS 24
/** Partition that all other members claim. */
#define CLAIMED_PART 3

static const hs_membership_settings settings = {
    .probe_timeout_ms = 10, .suspect_ms = 100, .forget_ms = 1000};

static hs_membership *new_membership(bool is_starting) {
    hs_member self = {.id = (char *)"self",
                      .zone = (char *)"z",
                      .incarnation = 5,
                      .address = 1,
                      .admin_port = 1,
                      .relays_state = true,
                      .is_starting = is_starting};
    return hs_membership_new(&self, &settings, 1);
}

/** How the record of the member "b" describes it. */
typedef struct {
    uint32_t version;
    bool relays_state;
    bool is_starting;
    bool reports_ends;
    hs_member_state state; /**< PROPOSED: alive. */
    const char *id;        /**< NULL: "b". */
} member_terms;

static void apply(hs_membership *membership, const member_terms *terms) {
    Hs__MemberRecord record = HS__MEMBER_RECORD__INIT;
    record.id = (char *)(terms->id != NULL ? terms->id : "b");
    record.incarnation = 1;
    record.version = terms->version;
    record.address = 2;
    record.peer_port = 2;
    record.admin_port = 2;
    record.zone = (char *)"z";
    record.relays_state = terms->relays_state;
    record.is_starting = terms->is_starting;
    record.reports_ends = terms->reports_ends;
    if (terms->state == HS_MEMBER_DEAD)
        record.state = HS__MEMBER_STATE__MEMBER_DEAD;
    if (terms->state == HS_MEMBER_LEAVING)
        record.state = HS__MEMBER_STATE__MEMBER_LEAVING;
    Hs__OwnedPartition owned = HS__OWNED_PARTITION__INIT;
    Hs__OwnedPartition *list[] = {&owned};
    owned.partition = CLAIMED_PART;
    record.n_owned = 1;
    record.owned = list;
    hs_membership_apply_record(membership, &record, HS_RECORD_FROM_GOSSIP, 1);
}

/** Number of addresses that callers get. */
static guint count_addresses(const hs_membership *membership) {
    hs_resolve_query query = {.zone = "z"};
    g_auto(GStrv) addresses = hs_resolve_addresses(membership, &query);
    return addresses != NULL ? g_strv_length(addresses) : 0;
}

static uint32_t count_nodes(const hs_membership *membership) {
    hs_feed_tree *tree = hs_feed_tree_of(membership);
    uint32_t count = hs_feed_tree_live_count(tree);
    hs_feed_tree_unref(tree);
    return count;
}

/** Guards against callers that are sent to a daemon without configuration or engines. */
static void callers_do_not_get_a_starting_daemon(void) {
    hs_membership *membership = new_membership(false);
    apply(membership, &(member_terms){.version = 1, .relays_state = true, .is_starting = true});
    CU_ASSERT_EQUAL(hs_membership_live_count(membership), 1);
    CU_ASSERT_EQUAL(count_addresses(membership), 1);
    CU_ASSERT_EQUAL(count_nodes(membership), 2);
    uint64_t live_version = hs_membership_live_version(membership);
    uint64_t running_version = hs_membership_running_version(membership);
    apply(membership, &(member_terms){.version = 2, .relays_state = true});
    CU_ASSERT_EQUAL(hs_membership_live_count(membership), 2);
    CU_ASSERT_EQUAL(count_addresses(membership), 2);
    CU_ASSERT(hs_membership_live_version(membership) != live_version);
    CU_ASSERT(hs_membership_running_version(membership) != running_version);
    hs_membership_free(membership);
}

/** Guards against a record relayed by an older build that makes a starting daemon ready. */
static void a_record_of_an_older_build_changes_no_readiness(void) {
    hs_membership *membership = new_membership(false);
    apply(membership, &(member_terms){.version = 1, .relays_state = true, .is_starting = true});
    apply(membership, &(member_terms){.version = 1});
    CU_ASSERT_EQUAL(hs_membership_live_count(membership), 1);
    CU_ASSERT_TRUE(hs_membership_find(membership, "b")->relays_state);
    hs_membership_free(membership);
}

static bool are_ends_reported(const hs_membership *membership) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership_list(membership, members);
    return hs_job_claims_are_ends_reported(members);
}

/** Otherwise an owner would rely on reports of a build that sends none. */
static void ends_are_not_reported_beside_an_older_build(void) {
    hs_membership *membership = new_membership(false);
    apply(membership, &(member_terms){.version = 1});
    CU_ASSERT_FALSE(are_ends_reported(membership));
    apply(membership, &(member_terms){.version = 2, .reports_ends = true});
    CU_ASSERT_TRUE(are_ends_reported(membership));
    apply(membership, &(member_terms){.version = 3}); /* Relayed by an older build. */
    CU_ASSERT_TRUE(are_ends_reported(membership));
    hs_membership_free(membership);
}

/** Otherwise an owner that is cut off would rely on reports that cannot reach it. */
static void ends_are_not_reported_to_a_daemon_that_has_lost_most_others(void) {
    hs_membership *membership = new_membership(false);
    static const char *const ids[] = {"b", "c", "d"};
    for (guint index = 0; index < G_N_ELEMENTS(ids); index++)
        apply(membership, &(member_terms){.version = 1, .reports_ends = true, .id = ids[index]});
    CU_ASSERT_TRUE(are_ends_reported(membership));
    for (guint index = 0; index < 2; index++)
        apply(membership,
              &(member_terms){
                  .version = 1, .reports_ends = true, .id = ids[index], .state = HS_MEMBER_DEAD});
    CU_ASSERT_FALSE(are_ends_reported(membership));
    hs_membership_free(membership);
}

/** Otherwise an owner that knows nobody, after a start or a long cut, would rely on reports. */
static void ends_are_not_reported_to_a_daemon_that_knows_no_other(void) {
    hs_membership *membership = new_membership(false);
    CU_ASSERT_FALSE(are_ends_reported(membership));
    hs_membership_propose(membership, "c", 3, 3, 1);
    hs_membership_propose(membership, "d", 4, 4, 1);
    CU_ASSERT_FALSE(are_ends_reported(membership));
    apply(membership, &(member_terms){.version = 1, .reports_ends = true});
    CU_ASSERT_FALSE(are_ends_reported(membership)); /* Two of three have not answered yet. */
    hs_membership_free(membership);
}

/** Otherwise an owner that leaves would start items of jobs that end during its grace time. */
static void a_leaving_daemon_is_told_of_ends_and_does_not_rely_on_it(void) {
    hs_membership *membership = new_membership(false);
    apply(membership, &(member_terms){.version = 1, .reports_ends = true});
    CU_ASSERT_TRUE(are_ends_reported(membership));
    CU_ASSERT_TRUE(hs_job_claims_is_claimant(hs_membership_find(membership, "b"), CLAIMED_PART));
    CU_ASSERT_FALSE(
        hs_job_claims_is_claimant(hs_membership_find(membership, "b"), CLAIMED_PART + 1));
    apply(membership,
          &(member_terms){.version = 2, .reports_ends = true, .state = HS_MEMBER_LEAVING});
    CU_ASSERT_TRUE(hs_job_claims_is_claimant(hs_membership_find(membership, "b"), CLAIMED_PART));
    hs_membership_free(membership);
    membership = new_membership(false);
    apply(membership, &(member_terms){.version = 1, .reports_ends = true});
    apply(membership, &(member_terms){.version = 1, .state = HS_MEMBER_LEAVING, .id = "old"});
    CU_ASSERT_FALSE(are_ends_reported(membership)); /* An older build still serves callers. */
    hs_membership_free(membership);
    membership = new_membership(false);
    apply(membership, &(member_terms){.version = 1, .reports_ends = true});
    hs_membership_leave(membership);
    CU_ASSERT_FALSE(are_ends_reported(membership));
    hs_membership_free(membership);
}

/** Guards against a daemon that finds no arbiter since it does not count itself. */
static void a_starting_daemon_counts_itself(void) {
    hs_membership *membership = new_membership(true);
    CU_ASSERT_EQUAL(hs_membership_live_count(membership), 1);
    CU_ASSERT_PTR_EQUAL(hs_membership_rank_first(membership, "key", NULL),
                        hs_membership_self(membership));
    hs_membership_set_starting(membership, false);
    CU_ASSERT_EQUAL(hs_membership_self(membership)->version, 2);
    hs_membership_free(membership);
}

/** Guards against reads of the registry that grow with the square of the fleet. */
static void the_registry_is_read_by_few_of_a_large_fleet(void) {
    static const uint32_t sizes[] = {30, 986, 2000};
    for (guint size = 0; size < G_N_ELEMENTS(sizes); size++) {
        uint32_t reads = 0;
        for (uint32_t number = 0; number < sizes[size]; number++)
            reads += hs_registry_is_read_due(sizes[size], (number + 0.5) / sizes[size]);
        CU_ASSERT(reads >= MIN(sizes[size], 40));
        CU_ASSERT(reads <= 50);
    }
    CU_ASSERT_FALSE(hs_registry_is_known_from_members(30, 5000));
    CU_ASSERT_FALSE(hs_registry_is_known_from_members(986, 100));
    CU_ASSERT_TRUE(hs_registry_is_known_from_members(986, 2000));
}

/** Guards against owners on small machines, and partitions that move with each restart. */
static void partitions_are_owned_by_the_largest_machines(void) {
    CU_ASSERT_TRUE(hs_job_group_should_join(UINT32_MAX, PARTS, false));
    CU_ASSERT_TRUE(hs_job_group_should_join(0, PARTS, false));
    CU_ASSERT_TRUE(hs_job_group_should_join(47, PARTS, false));
    CU_ASSERT_FALSE(hs_job_group_should_join(48, PARTS, false));
    CU_ASSERT_TRUE(hs_job_group_should_join(48, PARTS, true));
    CU_ASSERT_FALSE(hs_job_group_should_join(96, PARTS, true));
}

const test_case feed_member_tests[] = {
    {"callers_do_not_get_a_starting_daemon", callers_do_not_get_a_starting_daemon},
    {"a_record_of_an_older_build_changes_no_readiness",
     a_record_of_an_older_build_changes_no_readiness},
    {"ends_are_not_reported_beside_an_older_build", ends_are_not_reported_beside_an_older_build},
    {"ends_are_not_reported_to_a_daemon_that_has_lost_most_others",
     ends_are_not_reported_to_a_daemon_that_has_lost_most_others},
    {"ends_are_not_reported_to_a_daemon_that_knows_no_other",
     ends_are_not_reported_to_a_daemon_that_knows_no_other},
    {"a_leaving_daemon_is_told_of_ends_and_does_not_rely_on_it",
     a_leaving_daemon_is_told_of_ends_and_does_not_rely_on_it},
    {"a_starting_daemon_counts_itself", a_starting_daemon_counts_itself},
    {"the_registry_is_read_by_few_of_a_large_fleet", the_registry_is_read_by_few_of_a_large_fleet},
    {"partitions_are_owned_by_the_largest_machines", partitions_are_owned_by_the_largest_machines},
    {NULL, NULL}};
