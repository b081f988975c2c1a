/** @file test_deal.c  Tests the allocation of slots to tenants: a burst delays only its tenant. */
#include "jobs/item_choice.h"
#include "jobs/job_plan.h"
#include "tests/unit/unit_tests.h"

#include <glib.h>

#define PASS_MS 100
#define SIMULATION_MS 60000
#define ITEM_DEADLINE_MS 18000
#define OWNERS 8
#define JOB_ITEMS 10
#define OWNER_SLOTS 20
#define FEW_SLOTS 9 /* The demand is about 1.7 times as high. */
#define TENANTS 12
#define BURST_TENANT 0
#define MAX_ITEMS 4096
#define BURST_START_MS 15000
#define BURST_DURATION_MS 3000
#define BURST_FACTOR 6
#define ITEMS_PER_PASS 2.0 /* About 0.75 of all slots. */

typedef struct {
    int64_t deadline_ms;
    int64_t remaining_work_ms;
    int64_t rank; /**< As computed by hs_job_plan_rank. */
    uint32_t tenant;
    uint32_t job;
    uint32_t owner;
    bool is_running;
    bool has_ended;
    bool is_in_time;
} simulated_item;

/** What defines the groups among which slots are allocated. */
typedef enum { ONE_GROUP, BY_TENANT, BY_JOB } group_kind;

typedef struct {
    bool has_burst;
    group_kind grouping;
    uint32_t slots; /**< Slots of each owner. */
} simulation_settings;

typedef struct {
    uint32_t others;
    uint32_t others_in_time;
    uint32_t burst_in_time;
    uint32_t idle_with_work; /**< Sum of idle slots over all passes with waiting items. */
} simulation_result;

typedef struct {
    simulated_item items[MAX_ITEMS];
    size_t count;
    GRand *rng;       /**< For the items of the constant load. */
    GRand *burst_rng; /**< For the items of the burst. */
} simulation;

static void add_item(simulation *state, GRand *rng, uint32_t tenant, int64_t now_ms) {
    state->items[state->count++] =
        (simulated_item){.deadline_ms = now_ms + ITEM_DEADLINE_MS,
                         .remaining_work_ms = g_rand_int_range(rng, 3000, 9000),
                         .tenant = tenant,
                         .job = (uint32_t)(state->count / JOB_ITEMS),
                         .owner = (uint32_t)(state->count / JOB_ITEMS % OWNERS)};
}

static void add_arrivals(simulation *state, const simulation_settings *terms, int64_t now_ms) {
    for (int index = 0; index < (int)ITEMS_PER_PASS; index++)
        add_item(state, state->rng, (uint32_t)g_rand_int_range(state->rng, 0, TENANTS), now_ms);
    bool is_burst = now_ms >= BURST_START_MS && now_ms < BURST_START_MS + BURST_DURATION_MS;
    for (int index = 0; is_burst && terms->has_burst && index < BURST_FACTOR * (int)ITEMS_PER_PASS;
         index++)
        add_item(state, state->burst_rng, BURST_TENANT, now_ms);
}

static int by_deadline(const void *first, const void *second) {
    int64_t left = (*(simulated_item *const *)first)->deadline_ms;
    int64_t right = (*(simulated_item *const *)second)->deadline_ms;
    return (left > right) - (left < right);
}

static int by_rank(const void *first, const void *second) {
    int64_t left = (*(simulated_item *const *)first)->rank;
    int64_t right = (*(simulated_item *const *)second)->rank;
    return (left > right) - (left < right);
}

static uint32_t group_of(const simulated_item *item, const simulation_settings *terms) {
    if (terms->grouping == BY_JOB)
        return item->job;
    return terms->grouping == BY_TENANT ? item->tenant : 0;
}

/** Starts an owner's items by rank as a scheduler pass does. Returns its idle slots. */
static uint32_t start_owner(simulated_item **open, size_t count, const simulation_settings *terms,
                            int64_t now_ms) {
    hs_choice_item choice[MAX_ITEMS];
    uint32_t running = 0;
    qsort(open, count, sizeof(void *), by_deadline);
    for (size_t index = 0; index < count; index++) {
        choice[index] = (hs_choice_item){.left_ms = open[index]->deadline_ms - now_ms,
                                         .remaining_ms = (uint64_t)open[index]->remaining_work_ms,
                                         .tenant_group = group_of(open[index], terms)};
        running += open[index]->is_running;
    }
    hs_item_choice_select(choice, count, terms->slots);
    for (size_t index = 0; index < count; index++)
        open[index]->rank = hs_job_plan_rank(&choice[index]);
    qsort(open, count, sizeof(void *), by_rank);
    for (size_t index = 0; index < count && running < terms->slots; index++) {
        running += !open[index]->is_running;
        open[index]->is_running = true;
    }
    return count > running ? terms->slots - running : 0;
}

static simulation_result run_simulation(const simulation_settings *terms) {
    simulation_result result = {0};
    simulation *state = g_new0(simulation, 1);
    state->rng = g_rand_new_with_seed(3);
    state->burst_rng = g_rand_new_with_seed(4);
    g_autofree simulated_item **open = g_new0(simulated_item *, MAX_ITEMS);
    for (int64_t now_ms = 0; now_ms < SIMULATION_MS; now_ms += PASS_MS) {
        add_arrivals(state, terms, now_ms);
        for (uint32_t owner = 0; owner < OWNERS; owner++) {
            size_t count = 0;
            for (size_t index = 0; index < state->count; index++)
                if (state->items[index].owner == owner && !state->items[index].has_ended)
                    open[count++] = &state->items[index];
            result.idle_with_work += start_owner(open, count, terms, now_ms);
        }
        for (size_t index = 0; index < state->count; index++) {
            simulated_item *item = &state->items[index];
            item->remaining_work_ms -= item->is_running ? PASS_MS : 0;
            if (item->has_ended || item->remaining_work_ms > 0)
                continue;
            item->has_ended = true;
            item->is_running = false;
            item->is_in_time = now_ms + PASS_MS <= item->deadline_ms;
        }
    }
    for (size_t index = 0; index < state->count; index++) {
        const simulated_item *item = &state->items[index];
        bool is_others = item->tenant != BURST_TENANT;
        result.others += is_others && item->deadline_ms < SIMULATION_MS;
        result.others_in_time += is_others && item->deadline_ms < SIMULATION_MS && item->is_in_time;
        result.burst_in_time += !is_others && item->is_in_time;
    }
    g_rand_free(state->rng);
    g_rand_free(state->burst_rng);
    g_free(state);
    return result;
}

static double share_in_time(const simulation_result *result) {
    return (double)result->others_in_time / result->others;
}

/** A sixfold burst of 3 s barely affects other tenants, and uses the slots that they leave. */
static void a_burst_delays_only_its_tenant(void) {
    simulation_result without_burst = run_simulation(
        &(simulation_settings){.has_burst = false, .grouping = BY_TENANT, .slots = OWNER_SLOTS});
    simulation_result with_burst = run_simulation(
        &(simulation_settings){.has_burst = true, .grouping = BY_TENANT, .slots = OWNER_SLOTS});
    simulation_result ungrouped = run_simulation(
        &(simulation_settings){.has_burst = true, .grouping = ONE_GROUP, .slots = OWNER_SLOTS});
    if (g_getenv("DEAL_TABLE") != NULL)
        printf("others in time: no burst %.3f, by tenant %.3f, one group %.3f; burst %u %u %u\n",
               share_in_time(&without_burst), share_in_time(&with_burst), share_in_time(&ungrouped),
               without_burst.burst_in_time, with_burst.burst_in_time, ungrouped.burst_in_time);
    CU_ASSERT_TRUE(share_in_time(&with_burst) >= share_in_time(&without_burst) - 0.01);
    CU_ASSERT_TRUE(share_in_time(&ungrouped) < share_in_time(&with_burst));
    CU_ASSERT_TRUE(with_burst.burst_in_time > without_burst.burst_in_time);
    CU_ASSERT_EQUAL(with_burst.idle_with_work, 0);
}

/** As many items of other tenants end in time as without the burst. */
static void a_heap_costs_others_nothing(void) {
    simulation_result without_burst = run_simulation(
        &(simulation_settings){.has_burst = false, .grouping = BY_TENANT, .slots = OWNER_SLOTS});
    simulation_result with_burst = run_simulation(
        &(simulation_settings){.has_burst = true, .grouping = BY_TENANT, .slots = OWNER_SLOTS});
    CU_ASSERT_TRUE(share_in_time(&with_burst) >= share_in_time(&without_burst));
}

/**
 * If slots are scarce, allocating them by job ends fewer items in time than one common group;
 * therefore jobs without a tenant form one group.
 */
static void grouping_by_job_ends_fewer_items_in_time(void) {
    simulation_result one_group =
        run_simulation(&(simulation_settings){.grouping = ONE_GROUP, .slots = FEW_SLOTS});
    simulation_result by_job =
        run_simulation(&(simulation_settings){.grouping = BY_JOB, .slots = FEW_SLOTS});
    if (g_getenv("DEAL_TABLE") != NULL)
        printf("scarce: one group %.3f, by job %.3f\n", share_in_time(&one_group),
               share_in_time(&by_job));
    CU_ASSERT_TRUE(share_in_time(&one_group) > share_in_time(&by_job));
}

/** Items are excluded from the group with most work only. */
static void items_of_the_largest_group_are_excluded(void) {
    hs_choice_item items[] = {{.left_ms = 9000, .remaining_ms = 3000, .tenant_group = 1},
                              {.left_ms = 9000, .remaining_ms = 3000, .tenant_group = 1},
                              {.left_ms = 9000, .remaining_ms = 3500, .tenant_group = 0}};
    CU_ASSERT_EQUAL(hs_item_choice_select(items, 3, 1.0), 6500);
    CU_ASSERT_TRUE(items[0].is_excluded != items[1].is_excluded);
    CU_ASSERT_FALSE(items[2].is_excluded);
}

/** If all items fit, the selection is the same for any groups. */
static void groups_change_nothing_if_all_items_fit(void) {
    GRand *rng = g_rand_new_with_seed(6);
    for (int queue = 0; queue < 200; queue++) {
        hs_choice_item single_group[30];
        hs_choice_item several_groups[30];
        int64_t left_ms = 3000;
        for (int index = 0; index < 30; index++) {
            left_ms += g_rand_int_range(rng, 0, 900);
            single_group[index] = (hs_choice_item){
                .left_ms = left_ms, .remaining_ms = (uint64_t)g_rand_int_range(rng, 100, 3000)};
            several_groups[index] = single_group[index];
            several_groups[index].tenant_group = (uint32_t)g_rand_int_range(rng, 0, 5);
        }
        CU_ASSERT_EQUAL(hs_item_choice_select(single_group, 30, 30),
                        hs_item_choice_select(several_groups, 30, 30));
        for (int index = 0; index < 30; index++)
            CU_ASSERT_EQUAL(single_group[index].is_excluded, several_groups[index].is_excluded);
    }
    g_rand_free(rng);
}

/** The rank is time left plus run time; if groups compete, the latest start time. */
static void ranks_change_only_if_groups_compete(void) {
    hs_choice_item item = {.left_ms = 9000, .remaining_ms = 3000};
    CU_ASSERT_EQUAL(hs_job_plan_rank(&item), 12000);
    item.is_allocated = true;
    CU_ASSERT_EQUAL(hs_job_plan_rank(&item), 6000);
    item.is_excluded = true;
    CU_ASSERT_EQUAL(hs_job_plan_rank(&item), HS_EXCLUDED_RANK_BASE + 3000);
    item = (hs_choice_item){.left_ms = -5000, .remaining_ms = 3000};
    CU_ASSERT_EQUAL(hs_job_plan_rank(&item), 0);
}

const test_case allocation_tests[] = {
    {"a_burst_delays_only_its_tenant", a_burst_delays_only_its_tenant},
    {"a_heap_costs_others_nothing", a_heap_costs_others_nothing},
    {"grouping_by_job_ends_fewer_items_in_time", grouping_by_job_ends_fewer_items_in_time},
    {"items_of_the_largest_group_are_excluded", items_of_the_largest_group_are_excluded},
    {"ranks_change_only_if_groups_compete", ranks_change_only_if_groups_compete},
    {"groups_change_nothing_if_all_items_fit", groups_change_nothing_if_all_items_fit},
    {NULL, NULL}};
