/** @file test_placement.c  Placement of models by an engine group's controller. */
#include "tests/system/system_tests.h"

#include <signal.h>
#include <string.h>

#define PLACEMENT_TIMEOUT_MS 15000
#define DRAFTING_ENGINES 3

static bool has_model(int engine, const char *model) {
    json_t *models = NULL;
    client_call("GET", test_fleet.engine_urls[engine], "/v1/models", NULL, NULL, NULL, &models);
    bool is_found = false;
    size_t index;
    json_t *entry;
    json_array_foreach(json_object_get(models, "data"), index, entry) {
        is_found =
            is_found || g_strcmp0(json_string_value(json_object_get(entry, "id")), model) == 0;
    }
    json_decref(models);
    return is_found;
}

static int count_model_copies(const char *model) {
    int copies = 0;
    for (int engine = 0; engine < DRAFTING_ENGINES; engine++)
        copies += has_model(engine, model);
    return copies;
}

/** Condition of has_wanted_copies. */
typedef struct {
    const char *model;
    int copies;
} wanted_copies;

static bool has_wanted_copies(void *user_data) {
    const wanted_copies *wanted = user_data;
    return count_model_copies(wanted->model) == wanted->copies;
}

static void put_configuration(const char *path, const char *body) {
    CU_ASSERT_EQUAL(client_call("PUT", test_fleet.admin_urls[0], path, NULL, body, NULL, NULL),
                    200);
}

static long complete_on(const char *model) {
    g_autofree char *body =
        g_strdup_printf("{\"model\":\"%s\",\"max_tokens\":2,\"prompt\":\"placed\"}", model);
    return client_call("POST", test_fleet.caller_urls[1], "/v1/completions", TEST_TENANT, body,
                       NULL, NULL);
}

static void model_is_loaded_on_the_configured_number_of_engines(void) {
    put_configuration(
        "/admin/v1/engine-groups/season",
        "{\"selector\":{\"service\":\"quote-desk\"},\"models\":[\"season-1b\"],\"replicas\":2,"
        "\"models_per_engine\":2}");
    put_configuration("/admin/v1/services/season",
                      "{\"models\":[\"season-1b\"],\"engine_group\":\"season\"}");
    wanted_copies wanted = {"season-1b", 2};
    CU_ASSERT_TRUE(wait_until(has_wanted_copies, &wanted, PLACEMENT_TIMEOUT_MS));
    for (int request = 0; request < 12; request++)
        CU_ASSERT_EQUAL(complete_on("season-1b"), 200);
    CU_ASSERT_EQUAL(count_model_copies("drafting-7b"), DRAFTING_ENGINES);
}

static void model_lost_with_its_engine_is_loaded_on_another(void) {
    int lost = 0;
    while (lost < DRAFTING_ENGINES && !has_model(lost, "season-1b"))
        lost++;
    CU_ASSERT_FATAL(lost < DRAFTING_ENGINES);
    fleet_signal(&test_fleet.engine_pids[lost], SIGKILL);
    wanted_copies wanted = {"season-1b", 2};
    CU_ASSERT_TRUE(wait_until(has_wanted_copies, &wanted, PLACEMENT_TIMEOUT_MS));
    CU_ASSERT_TRUE(fleet_start_engine(&test_fleet, lost));
}

static void order_of_a_superseded_controller_is_refused(void) {
    static const char *const newer =
        "{\"scope\":\"season\",\"epoch\":1000000,\"action\":\"load\",\"model\":\"late-1b\"}";
    static const char *const older =
        "{\"scope\":\"season\",\"epoch\":1,\"action\":\"unload\",\"model\":\"late-1b\"}";
    const char *url = test_fleet.engine_urls[0];
    CU_ASSERT_EQUAL(client_call("POST", url, "/orders", NULL, newer, NULL, NULL), 200);
    CU_ASSERT_EQUAL(client_call("POST", url, "/orders", NULL, older, NULL, NULL), 409);
    CU_ASSERT_TRUE(has_model(0, "late-1b"));
}

const test_case placement_system_tests[] = {
    {"model_is_loaded_on_the_configured_number_of_engines",
     model_is_loaded_on_the_configured_number_of_engines},
    {"model_lost_with_its_engine_is_loaded_on_another",
     model_lost_with_its_engine_is_loaded_on_another},
    {"order_of_a_superseded_controller_is_refused", order_of_a_superseded_controller_is_refused},
    {NULL, NULL}};
