/** @file test_deal.c  One tenant's heap of jobs delays only itself. */
#include "jobs/item_choice.h"
#include "jobs/job_plan.h"
#include "tests/unit/unit_tests.h"

#include <glib.h>

#define PASS_MS 100
#define DAY_MS 60000
#define DUE_MS 18000
#define OWNERS 8
#define JOB_ITEMS 10
#define OWNER_SLOTS 20
#define FEW_SLOTS 9 /* Some 1.7 times as much is asked for. */
#define TENANTS 12
#define HEAP_TENANT 0
#define ITEMS_MOST 4096
#define HEAP_FROM_MS 15000
#define HEAP_FOR_MS 3000
#define HEAP_TIMES 6
#define ITEMS_A_PASS 2.0 /* Some 0.75 of all slots. */

typedef struct {
    int64_t due_ms;
    int64_t needs_ms;
    int64_t rank; /**< As job_plan.c has it. */
    uint32_t tenant;
    uint32_t job;
    uint32_t owner;
    bool is_running;
    bool has_ended;
    bool is_in_time;
} dealt_item;

/** Whose the items are. */
typedef enum { OF_ALL, OF_TENANTS, OF_JOBS } claim_kind;

typedef struct {
    bool has_heap;
    claim_kind claims;
    uint32_t slots; /**< Of each owner. */
} day_terms;

typedef struct {
    uint32_t others;
    uint32_t others_in_time;
    uint32_t heap_in_time;
    uint32_t idle_with_work; /**< Slots of passes. */
} day_outcome;

typedef struct {
    dealt_item items[ITEMS_MOST];
    size_t count;
    GRand *chance;      /**< Of the items that come every day. */
    GRand *heap_chance; /**< Of those of the heap. */
} dealt_day;

static void add_item(dealt_day *day, GRand *chance, uint32_t tenant, int64_t now_ms) {
    day->items[day->count++] = (dealt_item){.due_ms = now_ms + DUE_MS,
                                            .needs_ms = g_rand_int_range(chance, 3000, 9000),
                                            .tenant = tenant,
                                            .job = (uint32_t)(day->count / JOB_ITEMS),
                                            .owner = (uint32_t)(day->count / JOB_ITEMS % OWNERS)};
}

static void come(dealt_day *day, const day_terms *terms, int64_t now_ms) {
    for (int index = 0; index < (int)ITEMS_A_PASS; index++)
        add_item(day, day->chance, (uint32_t)g_rand_int_range(day->chance, 0, TENANTS), now_ms);
    bool is_heap = now_ms >= HEAP_FROM_MS && now_ms < HEAP_FROM_MS + HEAP_FOR_MS;
    for (int index = 0; is_heap && terms->has_heap && index < HEAP_TIMES * (int)ITEMS_A_PASS;
         index++)
        add_item(day, day->heap_chance, HEAP_TENANT, now_ms);
}

static int by_due_time(const void *first, const void *second) {
    int64_t one = (*(dealt_item *const *)first)->due_ms;
    int64_t other = (*(dealt_item *const *)second)->due_ms;
    return (one > other) - (one < other);
}

static int by_rank(const void *first, const void *second) {
    int64_t one = (*(dealt_item *const *)first)->rank;
    int64_t other = (*(dealt_item *const *)second)->rank;
    return (one > other) - (one < other);
}

static uint32_t claimant_of(const dealt_item *item, const day_terms *terms) {
    if (terms->claims == OF_JOBS)
        return item->job;
    return terms->claims == OF_TENANTS ? item->tenant : 0;
}

/** Start an owner's items as a pass of it does: the chosen ones in order, then the others. */
static uint32_t start_owner(dealt_item **open, size_t count, const day_terms *terms,
                            int64_t now_ms) {
    hs_choice_item choice[ITEMS_MOST];
    uint32_t running = 0;
    qsort(open, count, sizeof(void *), by_due_time);
    for (size_t index = 0; index < count; index++) {
        choice[index] = (hs_choice_item){.left_ms = open[index]->due_ms - now_ms,
                                         .remaining_ms = (uint64_t)open[index]->needs_ms,
                                         .claimant = claimant_of(open[index], terms)};
        running += open[index]->is_running;
    }
    hs_item_choice_make(choice, count, terms->slots);
    for (size_t index = 0; index < count; index++)
        open[index]->rank = hs_job_plan_rank(&choice[index]);
    qsort(open, count, sizeof(void *), by_rank);
    for (size_t index = 0; index < count && running < terms->slots; index++) {
        running += !open[index]->is_running;
        open[index]->is_running = true;
    }
    return count > running ? terms->slots - running : 0;
}

static day_outcome run_day(const day_terms *terms) {
    day_outcome outcome = {0};
    dealt_day *day = g_new0(dealt_day, 1);
    day->chance = g_rand_new_with_seed(3);
    day->heap_chance = g_rand_new_with_seed(4);
    g_autofree dealt_item **open = g_new0(dealt_item *, ITEMS_MOST);
    for (int64_t now_ms = 0; now_ms < DAY_MS; now_ms += PASS_MS) {
        come(day, terms, now_ms);
        for (uint32_t owner = 0; owner < OWNERS; owner++) {
            size_t count = 0;
            for (size_t index = 0; index < day->count; index++)
                if (day->items[index].owner == owner && !day->items[index].has_ended)
                    open[count++] = &day->items[index];
            outcome.idle_with_work += start_owner(open, count, terms, now_ms);
        }
        for (size_t index = 0; index < day->count; index++) {
            dealt_item *item = &day->items[index];
            item->needs_ms -= item->is_running ? PASS_MS : 0;
            if (item->has_ended || item->needs_ms > 0)
                continue;
            item->has_ended = true;
            item->is_running = false;
            item->is_in_time = now_ms + PASS_MS <= item->due_ms;
        }
    }
    for (size_t index = 0; index < day->count; index++) {
        const dealt_item *item = &day->items[index];
        bool is_others = item->tenant != HEAP_TENANT;
        outcome.others += is_others && item->due_ms < DAY_MS;
        outcome.others_in_time += is_others && item->due_ms < DAY_MS && item->is_in_time;
        outcome.heap_in_time += !is_others && item->is_in_time;
    }
    g_rand_free(day->chance);
    g_rand_free(day->heap_chance);
    g_free(day);
    return outcome;
}

static double share_in_time(const day_outcome *outcome) {
    return (double)outcome->others_in_time / outcome->others;
}

/** Six times all others' work of 3 s: the others end as without it, the heap gets what is left. */
static void a_heap_delays_only_its_tenant(void) {
    day_outcome without =
        run_day(&(day_terms){.has_heap = false, .claims = OF_TENANTS, .slots = OWNER_SLOTS});
    day_outcome dealt =
        run_day(&(day_terms){.has_heap = true, .claims = OF_TENANTS, .slots = OWNER_SLOTS});
    day_outcome mixed =
        run_day(&(day_terms){.has_heap = true, .claims = OF_ALL, .slots = OWNER_SLOTS});
    if (g_getenv("DEAL_TABLE") != NULL)
        printf("others in time: no heap %.3f, dealt %.3f, as one %.3f; heap %u %u %u\n",
               share_in_time(&without), share_in_time(&dealt), share_in_time(&mixed),
               without.heap_in_time, dealt.heap_in_time, mixed.heap_in_time);
    CU_ASSERT_TRUE(share_in_time(&dealt) >= share_in_time(&without) - 0.01);
    CU_ASSERT_TRUE(share_in_time(&mixed) < share_in_time(&dealt));
    CU_ASSERT_TRUE(dealt.heap_in_time > without.heap_in_time);
    CU_ASSERT_EQUAL(dealt.idle_with_work, 0);
}

/** Of the others' items as many end in time as without the heap. */
static void a_heap_costs_others_nothing(void) {
    day_outcome without =
        run_day(&(day_terms){.has_heap = false, .claims = OF_TENANTS, .slots = OWNER_SLOTS});
    day_outcome dealt =
        run_day(&(day_terms){.has_heap = true, .claims = OF_TENANTS, .slots = OWNER_SLOTS});
    CU_ASSERT_TRUE(share_in_time(&dealt) >= share_in_time(&without));
}

/**
 * Too little room for jobs that are all alike: to share it among them ends fewer items in time, so
 * that jobs of no tenant are one claimant together.
 */
static void jobs_that_are_alike_lose_by_sharing(void) {
    day_outcome as_one = run_day(&(day_terms){.claims = OF_ALL, .slots = FEW_SLOTS});
    day_outcome by_job = run_day(&(day_terms){.claims = OF_JOBS, .slots = FEW_SLOTS});
    if (g_getenv("DEAL_TABLE") != NULL)
        printf("scarce: as one %.3f, by job %.3f\n", share_in_time(&as_one),
               share_in_time(&by_job));
    CU_ASSERT_TRUE(share_in_time(&as_one) > share_in_time(&by_job));
}

/** What one claimant wants beyond its part is left out, what others want is not. */
static void the_claimant_with_most_work_loses(void) {
    hs_choice_item items[] = {{.left_ms = 9000, .remaining_ms = 3000, .claimant = 1},
                              {.left_ms = 9000, .remaining_ms = 3000, .claimant = 1},
                              {.left_ms = 9000, .remaining_ms = 3500, .claimant = 0}};
    CU_ASSERT_EQUAL(hs_item_choice_make(items, 3, 1.0), 6500);
    CU_ASSERT_TRUE(items[0].is_left_out != items[1].is_left_out);
    CU_ASSERT_FALSE(items[2].is_left_out);
}

/** Where all fit, whose items they are changes nothing. */
static void claimants_change_nothing_where_all_fit(void) {
    GRand *chance = g_rand_new_with_seed(6);
    for (int queue = 0; queue < 200; queue++) {
        hs_choice_item by_one[30];
        hs_choice_item by_many[30];
        int64_t left_ms = 3000;
        for (int index = 0; index < 30; index++) {
            left_ms += g_rand_int_range(chance, 0, 900);
            by_one[index] = (hs_choice_item){
                .left_ms = left_ms, .remaining_ms = (uint64_t)g_rand_int_range(chance, 100, 3000)};
            by_many[index] = by_one[index];
            by_many[index].claimant = (uint32_t)g_rand_int_range(chance, 0, 5);
        }
        CU_ASSERT_EQUAL(hs_item_choice_make(by_one, 30, 30), hs_item_choice_make(by_many, 30, 30));
        for (int index = 0; index < 30; index++)
            CU_ASSERT_EQUAL(by_one[index].is_left_out, by_many[index].is_left_out);
    }
    g_rand_free(chance);
}

/** Without dealing the rank is time left and need; with it, the time until it must start. */
static void ranks_change_only_where_room_is_dealt(void) {
    hs_choice_item item = {.left_ms = 9000, .remaining_ms = 3000};
    CU_ASSERT_EQUAL(hs_job_plan_rank(&item), 12000);
    item.is_dealt = true;
    CU_ASSERT_EQUAL(hs_job_plan_rank(&item), 6000);
    item.is_left_out = true;
    CU_ASSERT_EQUAL(hs_job_plan_rank(&item), HS_RANK_LEFT_OUT + 3000);
    item = (hs_choice_item){.left_ms = -5000, .remaining_ms = 3000};
    CU_ASSERT_EQUAL(hs_job_plan_rank(&item), 0);
}

const test_case deal_tests[] = {
    {"a_heap_delays_only_its_tenant", a_heap_delays_only_its_tenant},
    {"a_heap_costs_others_nothing", a_heap_costs_others_nothing},
    {"jobs_that_are_alike_lose_by_sharing", jobs_that_are_alike_lose_by_sharing},
    {"the_claimant_with_most_work_loses", the_claimant_with_most_work_loses},
    {"ranks_change_only_where_room_is_dealt", ranks_change_only_where_room_is_dealt},
    {"claimants_change_nothing_where_all_fit", claimants_change_nothing_where_all_fit},
    {NULL, NULL}};
