/** @file test_spread.c  Simulates many daemons that choose engines by ageing load reports. */
#include "fleet/engine_spread.h"
#include "tests/unit/unit_tests.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define ENGINES 60
#define SLOTS 8
#define DAEMONS 90
#define RUN_MS 700
#define MAX_REPORT_AGE_MS 600
#define MAX_POLLS 3
#define SEEDS 2
#define SIMULATION_MS 24000
/** Start-up time that is not evaluated, as all engines are empty first. */
#define WARMUP_MS 4000
/** Duration of the high load in each period of the step load. */
#define HIGH_LOAD_MS 2400
/** Bound of an engine's load relative to the mean. */
#define MAX_LOAD_RATIO 1.5
/** Required share of the requests in time with exact loads. */
#define MIN_SHARE_OF_EXACT 0.9
#define PERIOD_MS 5800

typedef enum { AT_RANDOM, BY_REPORTS, BY_CHEAPEST_REPORT, BY_EXACT_LOAD } policy;

typedef struct {
    double utilisation;     /**< Share of all slots; of a step load, while it is high. */
    double low_utilization; /**< Share of all slots while a step load is low. */
    policy chosen_by;
} load;

typedef struct {
    double wait_p99_ms;
    double late_share;     /**< Share of the waits above 100 ms. */
    double max_load_ratio; /**< Highest engine load over RUN_MS, relative to the mean. */
    double polls;          /**< Arbiters polled per request. */
    double connected;      /**< Share of the requests sent on an idle connection. */
} outcome;

typedef struct {
    double slot_free_ms[SLOTS]; /**< Time at which each slot becomes free. */
    GArray *active;             /**< of double: end times of the requests that run or wait. */
    uint16_t counts[MAX_REPORT_AGE_MS + 1]; /**< Requests by ms, as a ring buffer. */
} engine_model;

static engine_model fleet[ENGINES];
static const hs_engine_speed speed = {.tokens_per_ms = 40, .run_ms = RUN_MS};

static uint32_t count_at(const engine_model *engine, int now_ms, int age_ms) {
    return engine->counts[MAX(now_ms - age_ms, 0) % (MAX_REPORT_AGE_MS + 1)];
}

static void end_runs(engine_model *engine, int now_ms) {
    for (guint index = engine->active->len; index > 0; index--)
        if (g_array_index(engine->active, double, index - 1) <= now_ms)
            g_array_remove_index_fast(engine->active, index - 1);
    engine->counts[now_ms % (MAX_REPORT_AGE_MS + 1)] = (uint16_t)engine->active->len;
}

/** Adds a request to the engine; returns its wait in ms. */
static double start_run(engine_model *engine, int now_ms, double run_ms) {
    int slot = 0;
    for (int index = 1; index < SLOTS; index++)
        if (engine->slot_free_ms[index] < engine->slot_free_ms[slot])
            slot = index;
    double start_ms = fmax(engine->slot_free_ms[slot], now_ms);
    engine->slot_free_ms[slot] = start_ms + run_ms;
    g_array_append_val(engine->active, engine->slot_free_ms[slot]);
    engine->counts[now_ms % (MAX_REPORT_AGE_MS + 1)] = (uint16_t)engine->active->len;
    return start_ms - now_ms;
}

/** Fills in one daemon's view: a report of random age for each engine, and some connections. */
static void fill_view(hs_engine_candidate *view, policy chosen_by, int now_ms, GRand *random) {
    uint32_t daemon = (uint32_t)g_rand_int_range(random, 0, DAEMONS);
    for (int index = 0; index < ENGINES; index++) {
        int age_ms =
            chosen_by == BY_EXACT_LOAD ? 0 : g_rand_int_range(random, 0, MAX_REPORT_AGE_MS + 1);
        view[index] =
            (hs_engine_candidate){.slots = SLOTS,
                                  .is_connected = chosen_by == AT_RANDOM ||
                                                  (daemon * 31 + (uint32_t)index * 17) % 10 == 0,
                                  .pace = 1};
        if (chosen_by != AT_RANDOM)
            view[index].running = count_at(&fleet[index], now_ms, age_ms);
        if (chosen_by == BY_REPORTS)
            view[index].load_report_age_ms = age_ms;
    }
}

static int choose_index(const hs_engine_candidate *view, GRand *random) {
    hs_engine_tie_break tie_break = {.draw = g_rand_double(random),
                                     .first = (size_t)g_rand_int_range(random, 0, ENGINES)};
    return hs_engine_spread_pick(view, ENGINES, &tie_break, &speed);
}

static int count_free(const hs_engine_candidate *view) {
    int free = 0;
    for (int index = 0; index < ENGINES; index++)
        free += view[index].running + 1 <= SLOTS;
    return free;
}

/** Polls the arbiter of the chosen engine, and chooses again while that engine is full. */
static engine_model *find_engine(policy chosen_by, int now_ms, GRand *random, outcome *sums) {
    hs_engine_candidate view[ENGINES];
    fill_view(view, chosen_by, now_ms, random);
    int chosen = choose_index(view, random);
    for (int poll = 1; poll < MAX_POLLS && fleet[chosen].active->len >= SLOTS; poll++) {
        sums->polls++;
        view[chosen].running = fleet[chosen].active->len;
        view[chosen].load_report_age_ms = 0;
        if (count_free(view) == 0)
            break;
        chosen = choose_index(view, random);
    }
    sums->polls++;
    sums->connected += view[chosen].is_connected;
    return &fleet[chosen];
}

static double utilisation_at(const load *offered, int now_ms) {
    return now_ms % PERIOD_MS < HIGH_LOAD_MS ? offered->utilisation : offered->low_utilization;
}

/**
 * Sums up each engine's load. Every RUN_MS, returns the highest sum relative to the mean if the
 * load was high all the time, else 0.
 */
static double max_load_ratio(double *sums, const load *offered, int now_ms) {
    double max_sum = 0;
    double all = 0;
    for (int index = 0; index < ENGINES; index++)
        sums[index] += fleet[index].active->len;
    if (now_ms % RUN_MS != 0)
        return 0;
    for (int index = 0; index < ENGINES; index++) {
        max_sum = fmax(max_sum, sums[index]);
        all += sums[index];
        sums[index] = 0;
    }
    bool is_high = now_ms > RUN_MS && utilisation_at(offered, now_ms) == offered->utilisation &&
                   utilisation_at(offered, now_ms - RUN_MS) == offered->utilisation;
    return is_high ? max_sum * ENGINES / all : 0;
}

static int by_value(gconstpointer first, gconstpointer second) {
    double difference = *(const double *)first - *(const double *)second;
    return (difference > 0) - (difference < 0);
}

static double percentile(GArray *values, double share) {
    g_array_sort(values, by_value);
    return g_array_index(values, double, (guint)(share * (values->len - 1)));
}

static outcome simulate(const load *offered, guint32 seed) {
    g_autoptr(GRand) random = g_rand_new_with_seed(seed);
    g_autoptr(GArray) waits = g_array_new(FALSE, FALSE, sizeof(double));
    g_autoptr(GArray) load_ratios = g_array_new(FALSE, FALSE, sizeof(double));
    outcome result = {0};
    uint32_t requests = 0;
    double due_requests = 0;
    double sums[ENGINES] = {0};
    memset(fleet, 0, sizeof fleet);
    for (int index = 0; index < ENGINES; index++)
        fleet[index].active = g_array_new(FALSE, FALSE, sizeof(double));
    for (int now_ms = 0; now_ms < SIMULATION_MS; now_ms++) {
        for (int index = 0; index < ENGINES; index++)
            end_runs(&fleet[index], now_ms);
        double rate = utilisation_at(offered, now_ms) * ENGINES * SLOTS / RUN_MS;
        due_requests += -rate * log(1 - g_rand_double(random));
        int arriving = (int)due_requests;
        due_requests -= arriving;
        for (; arriving > 0; arriving--) {
            double wait_ms = start_run(find_engine(offered->chosen_by, now_ms, random, &result),
                                       now_ms, RUN_MS * (0.5 + g_rand_double(random)));
            requests++;
            if (now_ms < WARMUP_MS)
                continue;
            g_array_append_val(waits, wait_ms);
            result.late_share += wait_ms > 100;
        }
        double load_ratio = max_load_ratio(sums, offered, now_ms);
        if (now_ms >= WARMUP_MS && load_ratio > 0)
            g_array_append_val(load_ratios, load_ratio);
    }
    for (int index = 0; index < ENGINES; index++)
        g_array_free(fleet[index].active, TRUE);
    result.wait_p99_ms = percentile(waits, 0.99);
    result.late_share /= waits->len;
    result.max_load_ratio = percentile(load_ratios, 1);
    result.polls /= requests;
    result.connected /= requests;
    return result;
}

/** Returns the mean over the seeds; of max_load_ratio the maximum. */
static outcome simulate_seeds(load offered, policy chosen_by) {
    static const guint32 seeds[SEEDS] = {7, 11};
    outcome mean = {0};
    offered.chosen_by = chosen_by;
    for (size_t index = 0; index < SEEDS; index++) {
        outcome result = simulate(&offered, seeds[index]);
        mean.wait_p99_ms += result.wait_p99_ms / (double)SEEDS;
        mean.late_share += result.late_share / (double)SEEDS;
        mean.max_load_ratio = fmax(mean.max_load_ratio, result.max_load_ratio);
        mean.polls += result.polls / (double)SEEDS;
        mean.connected += result.connected / (double)SEEDS;
    }
    g_debug("use %.2f %.2f policy %d: p99 %.0f ms late %.4f ratio %.2f polls %.2f connected %.2f",
            offered.utilisation, offered.low_utilization, chosen_by, mean.wait_p99_ms,
            mean.late_share, mean.max_load_ratio, mean.polls, mean.connected);
    return mean;
}

typedef enum { PARTIAL_LOAD, FULL_LOAD, STEP_LOAD, LOADS } load_kind;

static const load loads[] = {[PARTIAL_LOAD] = {.utilisation = 0.85, .low_utilization = 0.85},
                             [FULL_LOAD] = {.utilisation = 0.95, .low_utilization = 0.95},
                             [STEP_LOAD] = {.utilisation = 0.95, .low_utilization = 0.20}};

static outcome outcomes[LOADS][BY_EXACT_LOAD + 1];

/** Fills in the outcome of each load and policy unless already done. */
static void simulate_all(void) {
    if (outcomes[0][0].polls > 0)
        return;
    for (int kind = 0; kind < LOADS; kind++)
        for (policy chosen_by = AT_RANDOM; chosen_by <= BY_EXACT_LOAD; chosen_by++)
            outcomes[kind][chosen_by] = simulate_seeds(loads[kind], chosen_by);
}

static void reports_spread_requests_over_engines(void) {
    simulate_all();
    for (int kind = 0; kind < LOADS; kind++) {
        const outcome *results = outcomes[kind];
        CU_ASSERT(results[BY_REPORTS].wait_p99_ms < results[BY_CHEAPEST_REPORT].wait_p99_ms);
        CU_ASSERT(results[BY_REPORTS].max_load_ratio < results[AT_RANDOM].max_load_ratio);
        CU_ASSERT(results[BY_REPORTS].polls <= results[AT_RANDOM].polls);
        CU_ASSERT(results[BY_EXACT_LOAD].wait_p99_ms <= results[BY_REPORTS].wait_p99_ms);
        if (kind != STEP_LOAD)
            CU_ASSERT(results[BY_REPORTS].wait_p99_ms < results[AT_RANDOM].wait_p99_ms);
    }
}

/** Old reports must not be worse than polling three random engines when the load rises. */
static void squares_wait_less_than_by_chance(void) {
    simulate_all();
    const outcome *results = outcomes[STEP_LOAD];
    CU_ASSERT(results[BY_REPORTS].wait_p99_ms < results[AT_RANDOM].wait_p99_ms);
}

static bool is_balanced(load_kind kind) {
    return outcomes[kind][BY_REPORTS].max_load_ratio <= MAX_LOAD_RATIO;
}

static void no_engine_is_stampeded(void) {
    simulate_all();
    CU_ASSERT(is_balanced(PARTIAL_LOAD));
    CU_ASSERT(is_balanced(STEP_LOAD));
}

static void no_engine_is_stampeded_at_full_load(void) {
    static const guint32 seeds[] = {7, 11, 13, 17, 19, 23};
    load offered = loads[FULL_LOAD];
    offered.chosen_by = BY_REPORTS;
    for (size_t index = 0; index < G_N_ELEMENTS(seeds); index++) {
        outcome result = simulate(&offered, seeds[index]);
        g_debug("seed %u max load ratio %.2f", seeds[index], result.max_load_ratio);
        CU_ASSERT(result.max_load_ratio <= MAX_LOAD_RATIO);
    }
}

static bool is_nearly_as_timely_as_exact(load_kind kind) {
    const outcome *results = outcomes[kind];
    return 1 - results[BY_REPORTS].late_share >=
           MIN_SHARE_OF_EXACT * (1 - results[BY_EXACT_LOAD].late_share);
}

static void requests_begin_in_time_nearly_as_by_exact_knowledge(void) {
    simulate_all();
    CU_ASSERT(is_nearly_as_timely_as_exact(PARTIAL_LOAD));
    CU_ASSERT(is_nearly_as_timely_as_exact(STEP_LOAD));
}

static void full_load_begins_in_time_nearly_as_by_exact_knowledge(void) {
    simulate_all();
    CU_ASSERT(is_nearly_as_timely_as_exact(FULL_LOAD));
}

static void longest_waits_are_nearly_those_by_exact_knowledge(void) {
    simulate_all();
    for (int kind = 0; kind < LOADS; kind++) {
        const outcome *results = outcomes[kind];
        CU_ASSERT(results[BY_REPORTS].wait_p99_ms <=
                  results[BY_EXACT_LOAD].wait_p99_ms * (2 - MIN_SHARE_OF_EXACT));
    }
}

static void exact_loads_choose_the_lowest_cost(void) {
    g_autoptr(GRand) random = g_rand_new_with_seed(5);
    for (int trial = 0; trial < 200; trial++) {
        hs_engine_candidate view[ENGINES];
        for (int index = 0; index < ENGINES; index++)
            view[index] = (hs_engine_candidate){.slots = SLOTS,
                                                .running = g_rand_int_range(random, 0, 16),
                                                .distance = index % 2 ? HS_DISTANCE_SAME_ZONE
                                                                      : HS_DISTANCE_OTHER_ZONE,
                                                .is_connected = index % 3 == 0};
        hs_engine_tie_break tie_break = {.draw = g_rand_double(random), .first = (size_t)trial};
        CU_ASSERT_EQUAL(hs_engine_spread_pick(view, ENGINES, &tie_break, &speed),
                        hs_engine_choice_pick(view, ENGINES, tie_break.first, &speed));
    }
}

const test_case spread_tests[] = {
    {"reports_spread_requests_over_engines", reports_spread_requests_over_engines},
    {"squares_wait_less_than_by_chance", squares_wait_less_than_by_chance},
    {"no_engine_is_stampeded", no_engine_is_stampeded},
    {"no_engine_is_stampeded_at_full_load", no_engine_is_stampeded_at_full_load},
    {"requests_begin_in_time_nearly_as_by_exact_knowledge",
     requests_begin_in_time_nearly_as_by_exact_knowledge},
    {"full_load_begins_in_time_nearly_as_by_exact_knowledge",
     full_load_begins_in_time_nearly_as_by_exact_knowledge},
    {"longest_waits_are_nearly_those_by_exact_knowledge",
     longest_waits_are_nearly_those_by_exact_knowledge},
    {"exact_loads_choose_the_lowest_cost", exact_loads_choose_the_lowest_cost},
    {NULL, NULL}};
