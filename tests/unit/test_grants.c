/** @file test_grants.c  Tests of item grants and of partition ownership decisions. */
#include "batch/grant_table.h"
#include "batch/ownership.h"
#include "tests/unit/partition_builder.h"
#include "tests/unit/unit_tests.h"

#define LEASE_MS 100

static const char *const models[] = {"model"};
static const hs_grant_request request_a = {
    .scheduler_id = "a", .incarnation = 1, .models = models, .model_count = 1};
static const hs_grant_request request_b = {
    .scheduler_id = "b", .incarnation = 1, .models = models, .model_count = 1};

static uint32_t take(hs_grant_table *table, hs_partition *partition,
                     const hs_grant_request *request, uint32_t want, uint64_t now_ms,
                     uint64_t *first_grant) {
    g_autoptr(GPtrArray) grants = g_ptr_array_new();
    uint32_t granted = hs_grant_table_grant_items(table, partition, request, want, now_ms, grants);
    if (first_grant != NULL && grants->len > 0)
        *first_grant = ((hs_grant *)grants->pdata[0])->id;
    return granted;
}

static void every_item_is_granted_once(void) {
    hs_partition *partition = new_partition_with_job();
    hs_grant_table *table = hs_grant_table_new(LEASE_MS);
    CU_ASSERT_EQUAL(take(table, partition, &request_a, 3, 0, NULL), 3);
    CU_ASSERT_EQUAL(take(table, partition, &request_b, 99, 0, NULL), 5);
    CU_ASSERT_EQUAL(take(table, partition, &request_a, 99, 0, NULL), 0);
    CU_ASSERT_FALSE(hs_grant_table_has_ready_items(table, partition));
    hs_grant_table_free(table);
    hs_partition_free(partition);
}

static void run_once_item_is_granted_alone(void) {
    hs_partition *partition = new_partition_with_job();
    hs_grant_table *table = hs_grant_table_new(LEASE_MS);
    g_autoptr(GPtrArray) grants = g_ptr_array_new();
    hs_grant_table_grant_items(table, partition, &request_a, 8, 0, grants);
    uint32_t alone = 0;
    for (guint index = 0; index < grants->len; index++) {
        const hs_grant *grant = grants->pdata[index];
        alone += grant->run_once && grant->first_item == 5 && grant->item_count == 1;
    }
    CU_ASSERT_EQUAL(alone, 1);
    hs_grant_table_free(table);
    hs_partition_free(partition);
}

static void items_of_an_expired_grant_are_granted_again(void) {
    hs_partition *partition = new_partition_with_job();
    hs_grant_table *table = hs_grant_table_new(LEASE_MS);
    uint64_t grant = 0;
    take(table, partition, &request_a, 2, 0, &grant);
    CU_ASSERT_TRUE(hs_grant_table_renew(table, grant, "a", 50));
    hs_grant_table_remove_ended(table, partition, 120);
    CU_ASSERT_EQUAL(hs_grant_table_size(table), 1);
    hs_grant_table_remove_ended(table, partition, 150);
    CU_ASSERT_EQUAL(hs_grant_table_size(table), 0);
    CU_ASSERT_FALSE(hs_grant_table_renew(table, grant, "a", 151));
    CU_ASSERT_EQUAL(take(table, partition, &request_b, 8, 151, NULL), 8);
    hs_grant_table_free(table);
    hs_partition_free(partition);
}

static void item_with_an_intent_is_not_granted_again(void) {
    hs_partition *partition = new_partition_with_job();
    hs_grant_table *table = hs_grant_table_new(LEASE_MS);
    take(table, partition, &request_a, 8, 0, NULL);
    apply_intent_record(partition, 5, "attempt", 1);
    hs_grant_table_remove_ended(table, partition, LEASE_MS);
    CU_ASSERT_EQUAL(take(table, partition, &request_b, 99, LEASE_MS, NULL), 7);
    CU_ASSERT_FALSE(hs_grant_table_is_granted(table, TEST_JOB, 5));
    hs_grant_table_free(table);
    hs_partition_free(partition);
}

static void items_of_a_restarted_scheduler_are_granted_again(void) {
    hs_partition *partition = new_partition_with_job();
    hs_grant_table *table = hs_grant_table_new(LEASE_MS);
    take(table, partition, &request_a, 8, 0, NULL);
    hs_grant_table_drop_scheduler(table, "a", 1);
    CU_ASSERT_EQUAL(take(table, partition, &request_b, 8, 0, NULL), 0);
    hs_grant_table_drop_scheduler(table, "a", 2);
    CU_ASSERT_EQUAL(take(table, partition, &request_b, 8, 0, NULL), 8);
    hs_grant_table_free(table);
    hs_partition_free(partition);
}

static void grants_of_a_cancelled_job_are_removed(void) {
    hs_partition *partition = new_partition_with_job();
    hs_grant_table *table = hs_grant_table_new(LEASE_MS);
    uint64_t grant = 0;
    take(table, partition, &request_a, 2, 0, &grant);
    apply_cancel_record(partition, TEST_JOB);
    hs_grant_table_remove_ended(table, partition, 1);
    CU_ASSERT_FALSE(hs_grant_table_renew(table, grant, "a", 2));
    CU_ASSERT_EQUAL(take(table, partition, &request_a, 8, 2, NULL), 0);
    hs_grant_table_free(table);
    hs_partition_free(partition);
}

static void count_revocation(const hs_grant *grant, void *user_data) {
    (void)grant;
    ++*(uint32_t *)user_data;
}

/** Guards against grants of a cancelled job whose cancellation the owner has not read yet. */
static void a_job_cancelled_ahead_of_its_record_gets_no_grant(void) {
    hs_partition *partition = new_partition_with_job();
    hs_grant_table *table = hs_grant_table_new(LEASE_MS);
    uint64_t grant = 0;
    uint32_t revoked = 0;
    take(table, partition, &request_a, 2, 0, &grant);
    hs_grant_table_cancel_job(table, partition, TEST_JOB, count_revocation, &revoked);
    CU_ASSERT_EQUAL(revoked, 1);
    CU_ASSERT_FALSE(hs_grant_table_renew(table, grant, "a", 1));
    CU_ASSERT_FALSE(hs_grant_table_has_ready_items(table, partition));
    hs_grant_table_remove_ended(table, partition, 1);
    CU_ASSERT_EQUAL(take(table, partition, &request_a, 8, 2, NULL), 0);
    apply_cancel_record(partition, TEST_JOB);
    hs_grant_table_remove_ended(table, partition, 3);
    CU_ASSERT_EQUAL(take(table, partition, &request_a, 8, 4, NULL), 0);
    hs_grant_table_free(table);
    hs_partition_free(partition);
}

static void scheduler_without_the_model_gets_no_grant(void) {
    static const char *const others[] = {"other"};
    hs_grant_request request = request_a;
    request.models = others;
    hs_partition *partition = new_partition_with_job();
    hs_grant_table *table = hs_grant_table_new(LEASE_MS);
    CU_ASSERT_EQUAL(take(table, partition, &request, 8, 0, NULL), 0);
    hs_grant_table_free(table);
    hs_partition_free(partition);
}

static const hs_ownership_settings settings = {.settle_ms = 10, .handover_ms = 100};

static void partition_without_owner_is_claimed_after_the_settle_time(void) {
    hs_ownership_history history = {0};
    hs_ownership_view view = {.self_is_first = true};
    CU_ASSERT_EQUAL(hs_ownership_decide(&settings, &view, &history, 5), HS_OWNERSHIP_KEEP);
    CU_ASSERT_EQUAL(hs_ownership_decide(&settings, &view, &history, 14), HS_OWNERSHIP_KEEP);
    CU_ASSERT_EQUAL(hs_ownership_decide(&settings, &view, &history, 15), HS_OWNERSHIP_CLAIM);
    view.owner_is_known = true;
    CU_ASSERT_EQUAL(hs_ownership_decide(&settings, &view, &history, 99), HS_OWNERSHIP_KEEP);
    view = (hs_ownership_view){.self_is_first = false};
    CU_ASSERT_EQUAL(hs_ownership_decide(&settings, &view, &history, 999), HS_OWNERSHIP_KEEP);
}

static void claim_delay_grows_after_each_loss(void) {
    hs_ownership_history history = {0};
    hs_ownership_view view = {.self_is_first = true};
    hs_ownership_note_loss(&history, 1);
    hs_ownership_note_loss(&history, 2);
    CU_ASSERT_EQUAL(hs_ownership_decide(&settings, &view, &history, 3), HS_OWNERSHIP_KEEP);
    CU_ASSERT_EQUAL(hs_ownership_decide(&settings, &view, &history, 42), HS_OWNERSHIP_KEEP);
    CU_ASSERT_EQUAL(hs_ownership_decide(&settings, &view, &history, 43), HS_OWNERSHIP_CLAIM);
}

static void partition_is_released_when_leaving_or_not_first(void) {
    hs_ownership_history history = {0};
    hs_ownership_view view = {.self_owns = true, .self_is_first = false};
    CU_ASSERT_EQUAL(hs_ownership_decide(&settings, &view, &history, 1), HS_OWNERSHIP_KEEP);
    CU_ASSERT_EQUAL(hs_ownership_decide(&settings, &view, &history, 101), HS_OWNERSHIP_RELEASE);
    view = (hs_ownership_view){.self_owns = true, .self_is_first = true, .self_is_leaving = true};
    CU_ASSERT_EQUAL(hs_ownership_decide(&settings, &view, &history, 102), HS_OWNERSHIP_RELEASE);
}

const test_case grant_tests[] = {
    {"every_item_is_granted_once", every_item_is_granted_once},
    {"run_once_item_is_granted_alone", run_once_item_is_granted_alone},
    {"items_of_an_expired_grant_are_granted_again", items_of_an_expired_grant_are_granted_again},
    {"item_with_an_intent_is_not_granted_again", item_with_an_intent_is_not_granted_again},
    {"items_of_a_restarted_scheduler_are_granted_again",
     items_of_a_restarted_scheduler_are_granted_again},
    {"grants_of_a_cancelled_job_are_removed", grants_of_a_cancelled_job_are_removed},
    {"a_job_cancelled_ahead_of_its_record_gets_no_grant",
     a_job_cancelled_ahead_of_its_record_gets_no_grant},
    {"scheduler_without_the_model_gets_no_grant", scheduler_without_the_model_gets_no_grant},
    {"partition_without_owner_is_claimed_after_the_settle_time",
     partition_without_owner_is_claimed_after_the_settle_time},
    {"claim_delay_grows_after_each_loss", claim_delay_grows_after_each_loss},
    {"partition_is_released_when_leaving_or_not_first",
     partition_is_released_when_leaving_or_not_first},
    {NULL, NULL}};
