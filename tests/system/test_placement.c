/** @file test_placement.c  Models move between real engines by orders of the group's controller. */
#include "tests/system/system_tests.h"

#include <signal.h>
#include <string.h>

#define PLACED_TIMEOUT_MS 15000
#define DRAFTING_ENGINES 3

static bool engine_holds(int engine, const char *model) {
    json_t *models = NULL;
    client_call("GET", test_fleet.engine_urls[engine], "/v1/models", NULL, NULL, NULL, &models);
    bool holds = false;
    size_t index;
    json_t *entry;
    json_array_foreach(json_object_get(models, "data"), index, entry) {
        holds = holds || g_strcmp0(json_string_value(json_object_get(entry, "id")), model) == 0;
    }
    json_decref(models);
    return holds;
}

static int copies_of(const char *model) {
    int copies = 0;
    for (int engine = 0; engine < DRAFTING_ENGINES; engine++)
        copies += engine_holds(engine, model);
    return copies;
}

/** Copies to wait for. */
typedef struct {
    const char *model;
    int copies;
} wanted_copies;

static bool copies_are_there(void *user_data) {
    const wanted_copies *wanted = user_data;
    return copies_of(wanted->model) == wanted->copies;
}

static void put(const char *path, const char *body) {
    CU_ASSERT_EQUAL(client_call("PUT", test_fleet.admin_urls[0], path, NULL, body, NULL, NULL),
                    200);
}

static long complete_on(const char *model) {
    g_autofree char *body =
        g_strdup_printf("{\"model\":\"%s\",\"max_tokens\":2,\"prompt\":\"placed\"}", model);
    return client_call("POST", test_fleet.caller_urls[1], "/v1/completions", TEST_TENANT, body,
                       NULL, NULL);
}

static void model_is_loaded_on_as_many_engines_as_wanted(void) {
    put("/admin/v1/engine-groups/season",
        "{\"selector\":{\"service\":\"quote-desk\"},\"models\":[\"season-1b\"],\"replicas\":2,"
        "\"models_per_engine\":2}");
    put("/admin/v1/services/season", "{\"models\":[\"season-1b\"],\"engine_group\":\"season\"}");
    wanted_copies wanted = {"season-1b", 2};
    CU_ASSERT_TRUE(wait_until(copies_are_there, &wanted, PLACED_TIMEOUT_MS));
    for (int request = 0; request < 12; request++)
        CU_ASSERT_EQUAL(complete_on("season-1b"), 200);
    CU_ASSERT_EQUAL(copies_of("drafting-7b"), DRAFTING_ENGINES);
}

static void copy_lost_with_its_engine_is_loaded_elsewhere(void) {
    int lost = 0;
    while (lost < DRAFTING_ENGINES && !engine_holds(lost, "season-1b"))
        lost++;
    CU_ASSERT_FATAL(lost < DRAFTING_ENGINES);
    fleet_signal(&test_fleet.engine_pids[lost], SIGKILL);
    wanted_copies wanted = {"season-1b", 2};
    CU_ASSERT_TRUE(wait_until(copies_are_there, &wanted, PLACED_TIMEOUT_MS));
    CU_ASSERT_TRUE(fleet_start_engine(&test_fleet, lost));
}

static void overtaken_controllers_order_is_refused(void) {
    static const char *const newer =
        "{\"scope\":\"season\",\"epoch\":1000000,\"action\":\"load\",\"model\":\"late-1b\"}";
    static const char *const older =
        "{\"scope\":\"season\",\"epoch\":1,\"action\":\"unload\",\"model\":\"late-1b\"}";
    const char *url = test_fleet.engine_urls[0];
    CU_ASSERT_EQUAL(client_call("POST", url, "/orders", NULL, newer, NULL, NULL), 200);
    CU_ASSERT_EQUAL(client_call("POST", url, "/orders", NULL, older, NULL, NULL), 409);
    CU_ASSERT_TRUE(engine_holds(0, "late-1b"));
}

const test_case placement_system_tests[] = {
    {"model_is_loaded_on_as_many_engines_as_wanted", model_is_loaded_on_as_many_engines_as_wanted},
    {"copy_lost_with_its_engine_is_loaded_elsewhere",
     copy_lost_with_its_engine_is_loaded_elsewhere},
    {"overtaken_controllers_order_is_refused", overtaken_controllers_order_is_refused},
    {NULL, NULL}};
