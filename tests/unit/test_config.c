/** @file test_config.c  Configuration: schemas, selectors, the fold and its transfer to a peer. */
#include "config/config_object.h"
#include "config/config_state.h"
#include "config/config_store.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

#define GROUP_JSON "{\"selector\":{\"service\":\"quote-desk\"},\"models\":[\"m\"]}"

static hs_change_verdict apply(hs_config_fold *fold, uint64_t offset, const char *id,
                               const char *name, uint64_t base, bool deleted, const char *json) {
    Hs__ConfigChange change = HS__CONFIG_CHANGE__INIT;
    change.change_id = (char *)id;
    change.kind = (char *)HS_KIND_ENGINE_GROUP;
    change.name = (char *)name;
    change.base_revision = base;
    change.deleted = deleted;
    change.object_json = (char *)json;
    return hs_config_fold_apply(fold, offset, &change);
}

static void first_of_two_concurrent_changes_is_accepted(void) {
    hs_config_fold *fold = hs_config_fold_new();
    CU_ASSERT_EQUAL(apply(fold, 0, "a", "g", 0, false, GROUP_JSON), HS_CHANGE_ACCEPTED);
    CU_ASSERT_EQUAL(apply(fold, 1, "b", "g", 1, false, GROUP_JSON), HS_CHANGE_ACCEPTED);
    CU_ASSERT_EQUAL(apply(fold, 2, "c", "g", 1, false, GROUP_JSON), HS_CHANGE_REJECTED);
    CU_ASSERT_STRING_EQUAL(hs_config_fold_find(fold, HS_KIND_ENGINE_GROUP, "g")->change_id, "b");
    CU_ASSERT_EQUAL(hs_config_fold_find(fold, HS_KIND_ENGINE_GROUP, "g")->revision, 2);
    hs_config_fold_free(fold);
}

static void repeated_change_is_rejected(void) {
    hs_config_fold *fold = hs_config_fold_new();
    apply(fold, 0, "a", "g", 0, false, GROUP_JSON);
    CU_ASSERT_EQUAL(apply(fold, 1, "a", "g", 0, false, GROUP_JSON), HS_CHANGE_REJECTED);
    CU_ASSERT_EQUAL(hs_config_fold_find(fold, HS_KIND_ENGINE_GROUP, "g")->revision, 1);
    hs_config_fold_free(fold);
}

static void late_repeat_does_not_restore_a_deleted_object(void) {
    hs_config_fold *fold = hs_config_fold_new();
    apply(fold, 0, "a", "g", 0, false, GROUP_JSON);
    CU_ASSERT_EQUAL(apply(fold, 1, "b", "g", 1, true, ""), HS_CHANGE_ACCEPTED);
    CU_ASSERT_EQUAL(apply(fold, 2, "a", "g", 0, false, GROUP_JSON), HS_CHANGE_REJECTED);
    CU_ASSERT_PTR_NULL(hs_config_fold_find(fold, HS_KIND_ENGINE_GROUP, "g")->content);
    hs_config_fold_free(fold);
}

static void out_of_order_record_is_ignored(void) {
    hs_config_fold *fold = hs_config_fold_new();
    CU_ASSERT_EQUAL(apply(fold, 1, "a", "g", 0, false, GROUP_JSON), HS_CHANGE_IGNORED);
    CU_ASSERT_EQUAL(fold->next_offset, 0);
    hs_config_fold_free(fold);
}

static void schema_errors_name_the_field(void) {
    static const struct {
        const char *json;
        const char *expected;
    } cases[] = {{"{\"selector\":{},\"models\":[\"m\"],\"x\":1}", "unknown field x"},
                 {"{\"models\":[\"m\"]}", "missing field selector"},
                 {"{\"selector\":{\"a\":1},\"models\":[\"m\"]}", "bad value of field selector"},
                 {"{\"selector\":{},\"models\":[]}", "bad value of field models"},
                 {"{\"selector\":{},\"models\":[\"m\"],\"batch\":1}", "bad value of field batch"},
                 {"[1]", "JSON object"}};
    for (size_t index = 0; index < sizeof cases / sizeof cases[0]; index++) {
        hs_error error = {0};
        json_t *object = json_loads(cases[index].json, 0, NULL);
        CU_ASSERT_EQUAL(hs_config_object_check(HS_KIND_ENGINE_GROUP, "g", object, &error),
                        HS_INVALID);
        CU_ASSERT_PTR_NOT_NULL(strstr(error.message, cases[index].expected));
        json_decref(object);
    }
}

static void selector_requires_all_its_labels(void) {
    json_t *labels = json_pack("{s:s,s:s}", "service", "quote-desk", "tier", "a");
    json_t *selector = json_pack("{s:s}", "service", "quote-desk");
    CU_ASSERT_TRUE(hs_selector_matches(selector, labels));
    json_object_set_new(selector, "tier", json_string("b"));
    CU_ASSERT_FALSE(hs_selector_matches(selector, labels));
    json_decref(selector);
    json_decref(labels);
}

static void state_is_unchanged_by_encoding_and_decoding(void) {
    hs_config_fold *fold = hs_config_fold_new();
    apply(fold, 0, "a", "g", 0, false, GROUP_JSON);
    apply(fold, 1, "b", "h", 0, false, GROUP_JSON);
    apply(fold, 2, "c", "h", 2, true, "");
    g_autoptr(GByteArray) bytes = hs_config_state_encode(fold);
    hs_config_fold *copy = hs_config_state_decode(bytes->data, bytes->len);
    CU_ASSERT_EQUAL(copy->next_offset, 3);
    CU_ASSERT_EQUAL(hs_config_fold_find(copy, HS_KIND_ENGINE_GROUP, "g")->revision, 1);
    CU_ASSERT_PTR_NULL(hs_config_fold_find(copy, HS_KIND_ENGINE_GROUP, "h")->content);
    CU_ASSERT_EQUAL(apply(copy, 3, "a", "h", 0, false, GROUP_JSON), HS_CHANGE_REJECTED);
    hs_config_fold_free(copy);
    hs_config_fold_free(fold);
}

static void store_does_not_adopt_an_older_state(void) {
    hs_log_client log = {.base_url = (char *)"http://127.0.0.1:1", .timeout_s = 1};
    hs_config_store *store = hs_config_store_new(&log);
    hs_config_fold *newer = hs_config_fold_new();
    hs_config_fold *older = hs_config_fold_new();
    newer->next_offset = 7;
    older->next_offset = 6;
    CU_ASSERT_TRUE(hs_config_store_adopt(store, newer));
    CU_ASSERT_FALSE(hs_config_store_adopt(store, older));
    CU_ASSERT_EQUAL(hs_config_store_offset(store), 7);
    hs_config_store_free(store);
}

const test_case config_tests[] = {
    {"first_of_two_concurrent_changes_is_accepted", first_of_two_concurrent_changes_is_accepted},
    {"repeated_change_is_rejected", repeated_change_is_rejected},
    {"late_repeat_does_not_restore_a_deleted_object",
     late_repeat_does_not_restore_a_deleted_object},
    {"out_of_order_record_is_ignored", out_of_order_record_is_ignored},
    {"schema_errors_name_the_field", schema_errors_name_the_field},
    {"selector_requires_all_its_labels", selector_requires_all_its_labels},
    {"state_is_unchanged_by_encoding_and_decoding", state_is_unchanged_by_encoding_and_decoding},
    {"store_does_not_adopt_an_older_state", store_does_not_adopt_an_older_state},
    {NULL, NULL}};
