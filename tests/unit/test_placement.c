/** @file test_placement.c  Tests of the placement plan, copy allocation and demand decay. */
#include "placement/demand.h"
#include "placement/plan.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

#define ENGINES 4

static const hs_placement_settings settings = {.models_per_engine = 2, .max_orders = 4};

/** Initializes the engines. @p held: comma-separated model names by engine. */
static void fill_engines(hs_placement_engine *engines, const char *const *held) {
    static const char *const ids[] = {"e0", "e1", "e2", "e3"};
    for (int index = 0; index < ENGINES; index++) {
        engines[index] = (hs_placement_engine){.id = ids[index],
                                               .models = g_ptr_array_new_with_free_func(g_free)};
        g_auto(GStrv) names = g_strsplit(held[index], ",", -1);
        for (int name = 0; names[name] != NULL && *names[name] != '\0'; name++)
            g_ptr_array_add(engines[index].models, g_strdup(names[name]));
    }
}

static void free_engines(hs_placement_engine *engines) {
    for (int index = 0; index < ENGINES; index++)
        g_ptr_array_free(engines[index].models, TRUE);
}

static uint32_t copies(const hs_placement_engine *engines, const char *model) {
    uint32_t count = 0;
    for (int index = 0; index < ENGINES; index++)
        count += g_ptr_array_find_with_equal_func(engines[index].models, model, g_str_equal, NULL);
    return count;
}

/** Plans and executes the orders at once. Returns the number of orders. */
static uint32_t execute_plan(hs_placement_engine *engines, const hs_placement_model *models,
                             uint32_t model_count) {
    g_autoptr(GArray) orders = g_array_new(FALSE, FALSE, sizeof(hs_placement_order));
    hs_placement_plan(&settings, engines, ENGINES, models, model_count, orders);
    for (guint index = 0; index < orders->len; index++) {
        const hs_placement_order *order = &g_array_index(orders, hs_placement_order, index);
        GPtrArray *held = engines[order->engine].models;
        guint position = 0;
        if (order->action == HS_PLACEMENT_LOAD)
            g_ptr_array_add(held, g_strdup(order->model));
        else if (g_ptr_array_find_with_equal_func(held, order->model, g_str_equal, &position))
            g_ptr_array_remove_index(held, position);
        CU_ASSERT(held->len <= settings.models_per_engine);
    }
    return orders->len;
}

static void loads_wanted_copies_and_then_orders_nothing(void) {
    hs_placement_engine engines[ENGINES];
    fill_engines(engines, (const char *const[]){"a", "a", "", ""});
    const hs_placement_model models[] = {{"a", 2, true}, {"b", 3, true}};
    while (execute_plan(engines, models, 2) > 0)
        continue;
    CU_ASSERT_EQUAL(copies(engines, "a"), 2);
    CU_ASSERT_EQUAL(copies(engines, "b"), 3);
    free_engines(engines);
}

static void rollout_never_unloads_the_last_copy(void) {
    hs_placement_engine engines[ENGINES];
    fill_engines(engines, (const char *const[]){"v1,x", "v1,x", "v1,x", "v1,x"});
    const hs_placement_model both[] = {{"v1", 1, true}, {"v2", 4, true}, {"x", 4, true}};
    for (int round = 0; round < 30; round++) {
        execute_plan(engines, both, 3);
        CU_ASSERT(copies(engines, "v1") >= 1);
        CU_ASSERT(copies(engines, "x") >= 1);
    }
    CU_ASSERT(copies(engines, "v2") >= 1);
    const hs_placement_model after[] = {{"v2", 4, true}, {"x", 4, true}};
    for (int round = 0; round < 30; round++) {
        execute_plan(engines, after, 2);
        CU_ASSERT(copies(engines, "v2") >= 1);
        CU_ASSERT(copies(engines, "x") >= 1);
    }
    CU_ASSERT_EQUAL(copies(engines, "v2"), 4);
    CU_ASSERT_EQUAL(copies(engines, "x"), 4);
    free_engines(engines);
}

static void excluded_engine_gets_no_orders_and_its_copies_do_not_count(void) {
    hs_placement_engine engines[ENGINES];
    fill_engines(engines, (const char *const[]){"a", "", "", ""});
    engines[0].excluded = true;
    const hs_placement_model models[] = {{"a", 1, true}};
    execute_plan(engines, models, 1);
    CU_ASSERT_EQUAL(copies(engines, "a"), 2);
    CU_ASSERT_EQUAL(engines[0].models->len, 1);
    free_engines(engines);
}

static void copies_follow_demand(void) {
    const double demand[] = {100, 10, 1};
    uint32_t wanted[3];
    hs_placement_allocate_copies(6, 2, demand, 3, wanted);
    CU_ASSERT_EQUAL(wanted[0], 6);
    CU_ASSERT(wanted[1] > wanted[2] || wanted[1] == 5);
    CU_ASSERT(wanted[2] >= 1);
    CU_ASSERT_EQUAL(wanted[0] + wanted[1] + wanted[2], 12);
    hs_placement_allocate_copies(0, 2, demand, 3, wanted);
    CU_ASSERT_EQUAL(wanted[0], 0);
    hs_placement_allocate_copies(2, 2, demand, 1, wanted);
    CU_ASSERT_EQUAL(wanted[0], 2);
}

static void demand_decays(void) {
    hs_demand *demand = hs_demand_new();
    hs_demand_add(demand, "g", "m", 8);
    CU_ASSERT_DOUBLE_EQUAL(hs_demand_read(demand, "g", "m", 1000), 8, 0.01);
    CU_ASSERT_DOUBLE_EQUAL(hs_demand_read(demand, "g", "m", 61000), 4, 0.01);
    CU_ASSERT_DOUBLE_EQUAL(hs_demand_read(demand, "g", "other", 61000), 0, 0.01);
    hs_demand_free(demand);
}

const test_case placement_tests[] = {
    {"loads_wanted_copies_and_then_orders_nothing", loads_wanted_copies_and_then_orders_nothing},
    {"rollout_never_unloads_the_last_copy", rollout_never_unloads_the_last_copy},
    {"excluded_engine_gets_no_orders_and_its_copies_do_not_count",
     excluded_engine_gets_no_orders_and_its_copies_do_not_count},
    {"copies_follow_demand", copies_follow_demand},
    {"demand_decays", demand_decays},
    {NULL, NULL}};
