/**
 * @file test_forecast.c  Tests the demand forecast, and simulates the effect of the capacity that
 * it reserves on online requests and items.
 */
#include "jobs/demand_forecast.h"
#include "jobs/item_choice.h"
#include "jobs/job_room.h"
#include "tests/unit/unit_tests.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>

#define TICK_MS 10
#define PASS_MS 100
#define SIMULATION_MS 90000
#define MEASURED_FROM_MS 15000
#define ONLINE_RUN_MS 900
#define ITEM_DEADLINE_MS 18000
#define PREEMPTION_PAUSE_MS 100
#define RESTART_COST_MS 150
#define WAVE_START_MS 300
#define MAX_ITEMS 8192

/** Capacity that items that are not urgent leave free for online requests. */
typedef enum {
    NO_FORECAST,    /**< Current demand only. */
    RECENT_MAXIMUM, /**< Maximum demand of the recorded history. */
    WHOLE_RUN,      /**< Forecast for the item's remaining run time. */
    USEFUL_RUN,     /**< Forecast for the minimum useful run time, as the scheduler does. */
    POLICIES
} reserve_policy;

/** Online demand in slots. */
typedef double (*demand_shape)(uint64_t now_ms);

typedef struct {
    const char *name;
    demand_shape demand;
    bool (*is_wave_start)(uint64_t now_ms);
    double items_per_second;
    uint32_t slots;
    bool has_burst; /**< Six times as many items for 3 s. */
} simulation_settings;

typedef struct {
    double deadline_ms;
    double work_left_ms;
    uint64_t may_start_ms;
    bool is_running;
    bool has_ended;
} simulated_item;

typedef struct {
    uint32_t wave_requests;
    uint32_t wave_requests_without_wait;
    uint32_t items;
    uint32_t items_in_time;
    uint32_t preemptions;
    double idle;
    double total_slots;
} simulation_result;

typedef struct {
    const simulation_settings *terms;
    reserve_policy policy;
    GRand *rng;
    simulated_item items[MAX_ITEMS];
    size_t item_count;
    uint32_t online;
    uint32_t batch;
    uint32_t ending[ONLINE_RUN_MS / TICK_MS];
    double fractional_items;
    hs_demand_forecast forecast;
    simulation_result result;
} simulation;

static double step_waves(uint64_t now_ms) {
    return now_ms % 5800 < 3400 ? 95 : 460;
}
static bool step_waves_start(uint64_t now_ms) {
    return now_ms % 5800 >= 3400 && now_ms % 5800 < 3400 + WAVE_START_MS;
}
static double ramps(uint64_t now_ms) {
    uint64_t at_ms = now_ms % 10000;
    return at_ms < 5000 ? 74 + 286.0 * (double)at_ms / 5000
                        : 360 - 286.0 * (double)(at_ms - 5000) / 5000;
}
static bool ramps_are_rising(uint64_t now_ms) {
    return now_ms % 10000 < 5000;
}
static double spike(uint64_t now_ms) {
    return now_ms % 40000 >= 38000 ? 360 : 150;
}
static bool spike_starts(uint64_t now_ms) {
    return now_ms % 40000 >= 38000 && now_ms % 40000 < 38000 + WAVE_START_MS;
}
static double constant(uint64_t now_ms) {
    (void)now_ms;
    return 240;
}
static bool always(uint64_t now_ms) {
    (void)now_ms;
    return true;
}
/** Step waves that stop half-way through the simulation. */
static double ending_step_waves(uint64_t now_ms) {
    return now_ms < 45000 ? step_waves(now_ms) : 95;
}

static double rank_of(const simulated_item *item, double now_ms) {
    return item->deadline_ms - now_ms + item->work_left_ms;
}

/** Preempts the running item of the highest rank. */
static void preempt_item(simulation *state, uint64_t now_ms) {
    simulated_item *next = NULL;
    for (size_t index = 0; index < state->item_count; index++) {
        simulated_item *item = &state->items[index];
        if (item->is_running && (next == NULL || rank_of(item, 0) > rank_of(next, 0)))
            next = item;
    }
    if (next == NULL)
        return;
    next->is_running = false;
    next->work_left_ms += RESTART_COST_MS;
    next->may_start_ms = now_ms + PREEMPTION_PAUSE_MS;
    state->batch--;
    state->result.preemptions += now_ms >= MEASURED_FROM_MS;
}

static void add_online_requests(simulation *state, uint64_t now_ms) {
    size_t slot_index = now_ms / TICK_MS % (ONLINE_RUN_MS / TICK_MS);
    state->online -= state->ending[slot_index];
    double rate = state->terms->demand(now_ms) / ONLINE_RUN_MS * TICK_MS;
    uint32_t arrivals = (uint32_t)rate + (g_rand_double(state->rng) < rate - floor(rate));
    state->ending[slot_index] = arrivals;
    bool counts_as_wave = state->terms->is_wave_start(now_ms) && now_ms >= MEASURED_FROM_MS;
    for (uint32_t index = 0; index < arrivals; index++) {
        bool is_free = state->online + state->batch < state->terms->slots;
        if (!is_free && state->batch > 0)
            preempt_item(state, now_ms);
        state->online++;
        state->result.wave_requests += counts_as_wave;
        state->result.wave_requests_without_wait += counts_as_wave && is_free;
    }
}

static void add_items(simulation *state, uint64_t now_ms) {
    bool is_burst = state->terms->has_burst && now_ms >= 30000 && now_ms < 33000;
    state->fractional_items += state->terms->items_per_second * (is_burst ? 6 : 1) * TICK_MS / 1000;
    while (state->fractional_items >= 10) { /* Each job has ten items. */
        for (int index = 0; index < 10 && state->item_count < MAX_ITEMS; index++)
            state->items[state->item_count++] =
                (simulated_item){.deadline_ms = (double)now_ms + ITEM_DEADLINE_MS,
                                 .work_left_ms = g_rand_double_range(state->rng, 3000, 9000)};
        state->fractional_items -= 10;
    }
}

static void run_items(simulation *state, uint64_t now_ms) {
    for (size_t index = 0; index < state->item_count; index++) {
        simulated_item *item = &state->items[index];
        if (!item->is_running)
            continue;
        item->work_left_ms -= TICK_MS;
        if (item->work_left_ms > 0)
            continue;
        item->is_running = false;
        item->has_ended = true;
        state->batch--;
        bool counts = item->deadline_ms >= MEASURED_FROM_MS + ITEM_DEADLINE_MS &&
                      item->deadline_ms < SIMULATION_MS;
        state->result.items_in_time += counts && (double)now_ms <= item->deadline_ms;
    }
}

static int by_rank(const void *first, const void *second) {
    double left = rank_of(*(simulated_item *const *)first, 0);
    double right = rank_of(*(simulated_item *const *)second, 0);
    return (left > right) - (left < right);
}

static double recent_maximum(const hs_demand_forecast *forecast) {
    double highest = 0;
    for (size_t index = 0; index < HS_DEMAND_STEPS; index++)
        highest = fmax(highest, forecast->online[index]);
    return highest;
}

static double expected(const simulation *state, const hs_demand_outlook *outlook,
                       double work_left_ms) {
    double soon = 0;
    if (state->policy == RECENT_MAXIMUM)
        soon = recent_maximum(&state->forecast);
    else if (state->policy == WHOLE_RUN)
        soon = hs_demand_outlook_expect(outlook, (uint64_t)work_left_ms);
    else if (state->policy == USEFUL_RUN)
        soon = hs_demand_outlook_expect(outlook, HS_MIN_USEFUL_RUN_MS);
    return fmax(soon, state->online);
}

/** A scheduler pass of an owner that has all partitions. */
static void start_items(simulation *state, uint64_t now_ms) {
    static simulated_item *open[MAX_ITEMS];
    static hs_choice_item choice[MAX_ITEMS];
    size_t count = 0;
    for (size_t index = 0; index < state->item_count; index++)
        if (!state->items[index].has_ended)
            open[count++] = &state->items[index];
    qsort(open, count, sizeof(void *), by_rank);
    for (size_t index = 0; index < count; index++)
        choice[index] =
            (hs_choice_item){.left_ms = (int64_t)open[index]->deadline_ms - (int64_t)now_ms,
                             .remaining_ms = (uint64_t)fmax(open[index]->work_left_ms, 1)};
    hs_demand_outlook outlook = hs_demand_forecast_read(&state->forecast);
    double usable_slots = fmax(state->terms->slots - outlook.mean, 1) * 0.9;
    bool is_scarce = hs_item_choice_is_capacity_scarce(choice, count, usable_slots);
    for (size_t index = 0; index < count; index++) {
        simulated_item *item = open[index];
        double reserved = is_scarce ? state->online : expected(state, &outlook, item->work_left_ms);
        if (item->is_running || now_ms < item->may_start_ms ||
            state->batch + reserved + 1 > state->terms->slots)
            continue;
        item->is_running = true;
        state->batch++;
    }
}

static simulation_result run_simulation(const simulation_settings *terms, reserve_policy policy) {
    simulation *state = g_new0(simulation, 1);
    state->terms = terms;
    state->policy = policy;
    state->rng = g_rand_new_with_seed(7);
    for (uint64_t now_ms = TICK_MS; now_ms < SIMULATION_MS; now_ms += TICK_MS) {
        add_online_requests(state, now_ms);
        add_items(state, now_ms);
        run_items(state, now_ms);
        if (now_ms % PASS_MS == 0) {
            hs_demand_forecast_note(&state->forecast, state->online, now_ms);
            start_items(state, now_ms);
        }
        if (now_ms < MEASURED_FROM_MS)
            continue;
        state->result.total_slots += terms->slots;
        state->result.idle += fmax((double)terms->slots - state->online - state->batch, 0);
    }
    for (size_t index = 0; index < state->item_count; index++)
        state->result.items +=
            state->items[index].deadline_ms >= MEASURED_FROM_MS + ITEM_DEADLINE_MS &&
            state->items[index].deadline_ms < SIMULATION_MS;
    simulation_result result = state->result;
    g_rand_free(state->rng);
    g_free(state);
    return result;
}

static double share_without_wait(const simulation_result *result) {
    return (double)result->wave_requests_without_wait / result->wave_requests;
}
static double share_in_time(const simulation_result *result) {
    return (double)result->items_in_time / result->items;
}
static double preemptions_per_item(const simulation_result *result) {
    return (double)result->preemptions / result->items;
}

enum { STEP_WAVES, BURST, FEWER_SLOTS, ENDING_STEP_WAVES, RAMPS };

static const simulation_settings simulations[] = {
    [STEP_WAVES] = {"step waves", step_waves, step_waves_start, 28, 480, false},
    [BURST] = {"step waves, burst", step_waves, step_waves_start, 28, 480, true},
    [FEWER_SLOTS] = {"step waves, 0.8 slots", step_waves, step_waves_start, 28, 384, false},
    [ENDING_STEP_WAVES] = {"ending step waves", ending_step_waves, step_waves_start, 28, 480,
                           false},
    [RAMPS] = {"ramps", ramps, ramps_are_rising, 28, 480, false},
    {"single spikes", spike, spike_starts, 28, 480, false},
    {"constant", constant, always, 28, 480, false},
};

static simulation_result results[G_N_ELEMENTS(simulations)][POLICIES];

static void run_all_simulations(void) {
    static bool has_run;
    if (has_run)
        return;
    has_run = true;
    for (size_t index = 0; index < G_N_ELEMENTS(simulations); index++)
        for (reserve_policy policy = NO_FORECAST; policy < POLICIES; policy++) {
            simulation_result *result = &results[index][policy];
            *result = run_simulation(&simulations[index], policy);
            if (g_getenv("FORECAST_TABLE") != NULL)
                printf("%-22s policy %d no wait %.3f preempted %.2f in time %.3f idle %.3f\n",
                       simulations[index].name, policy, share_without_wait(result),
                       preemptions_per_item(result), share_in_time(result),
                       result->idle / result->total_slots);
        }
}

/** Requests of recurring waves find free slots, and fewer items are preempted. */
static void capacity_is_reserved_before_waves(void) {
    run_all_simulations();
    CU_ASSERT_TRUE(share_without_wait(&results[STEP_WAVES][USEFUL_RUN]) >= 0.97);
    CU_ASSERT_TRUE(results[STEP_WAVES][USEFUL_RUN].preemptions <
                   results[STEP_WAVES][NO_FORECAST].preemptions);
}

/**
 * Without a burst, no demand shape reduces the items in time; none reduces the requests served
 * without wait or adds preemptions beyond random variation.
 */
static void reserving_capacity_costs_no_item(void) {
    run_all_simulations();
    for (size_t index = 0; index < G_N_ELEMENTS(simulations); index++) {
        const simulation_result *before = &results[index][NO_FORECAST];
        const simulation_result *after = &results[index][USEFUL_RUN];
        CU_ASSERT_TRUE(share_without_wait(after) >= share_without_wait(before) - 0.005);
        CU_ASSERT_TRUE(share_in_time(after) >=
                       share_in_time(before) - (index == BURST ? 0.005 : 0));
        CU_ASSERT_TRUE(after->preemptions <= before->preemptions + 0.02 * before->items);
    }
}

/** After a burst, too, as many items end in time as without a forecast. */
static void room_costs_no_item_after_a_heap(void) {
    run_all_simulations();
    CU_ASSERT_TRUE(share_in_time(&results[BURST][USEFUL_RUN]) >=
                   share_in_time(&results[BURST][NO_FORECAST]));
}

/** No demand shape except ramps has more preemptions than without a forecast. */
static void reserving_capacity_adds_no_preemption(void) {
    run_all_simulations();
    for (size_t index = 0; index < G_N_ELEMENTS(simulations); index++)
        if (index != RAMPS)
            CU_ASSERT_TRUE(results[index][USEFUL_RUN].preemptions <=
                           results[index][NO_FORECAST].preemptions);
}

/** Ramps have no more preemptions than without a forecast. */
static void room_costs_no_cut_on_ramps(void) {
    run_all_simulations();
    CU_ASSERT_TRUE(results[RAMPS][USEFUL_RUN].preemptions <=
                   results[RAMPS][NO_FORECAST].preemptions);
}

/** The forecast avoids two of three preemptions by recurring waves. */
static void room_before_waves_saves_two_of_three_cuts(void) {
    run_all_simulations();
    CU_ASSERT_TRUE(3 * results[STEP_WAVES][USEFUL_RUN].preemptions <=
                   results[STEP_WAVES][NO_FORECAST].preemptions);
}

/** Of the items of a run with a sixfold burst, 90 % end in time. */
static void items_after_a_heap_end_in_time(void) {
    run_all_simulations();
    CU_ASSERT_TRUE(share_in_time(&results[BURST][USEFUL_RUN]) >= 0.90);
}

/** Records @p demand every 100 ms from @p from_ms to @p to_ms. */
static void record_demand(hs_demand_forecast *forecast, demand_shape demand, uint64_t from_ms,
                          uint64_t to_ms) {
    for (uint64_t now_ms = from_ms; now_ms < to_ms; now_ms += PASS_MS)
        hs_demand_forecast_note(forecast, demand(now_ms), now_ms);
}

static double expected_slots_at(const hs_demand_forecast *forecast, uint64_t ahead_ms) {
    hs_demand_outlook outlook = hs_demand_forecast_read(forecast);
    return hs_demand_outlook_expect(&outlook, ahead_ms);
}

/** Without a history, without waves, and after a single wave, current demand is expected. */
static void demand_that_never_returned_is_not_expected(void) {
    hs_demand_forecast forecast = {0};
    CU_ASSERT_EQUAL(expected_slots_at(&forecast, 5000), 0);
    record_demand(&forecast, constant, 100000, 120000);
    CU_ASSERT_EQUAL(expected_slots_at(&forecast, 5000), 240);
    hs_demand_forecast once = {0};
    record_demand(&once, step_waves, 5800 * 10, 5800 * 11 + 1000); /* One wave, then a gap. */
    CU_ASSERT_EQUAL(expected_slots_at(&once, 5000), 95);
}

/** A recurring wave is expected from the shortest observed gap on. */
static void a_recurring_wave_is_expected_before_it_starts(void) {
    hs_demand_forecast forecast = {0};
    record_demand(&forecast, step_waves, 58000, 58000 + 5 * 5800 + 1000);
    CU_ASSERT_EQUAL(expected_slots_at(&forecast, 1000), 95);
    CU_ASSERT_EQUAL(expected_slots_at(&forecast, 5000), 460);
    record_demand(&forecast, step_waves, 58000 + 5 * 5800 + 1000, 58000 + 5 * 5800 + 2600);
    CU_ASSERT_EQUAL(expected_slots_at(&forecast, 1000), 460);
}

/** A wave that is overdue is no longer expected. */
static void a_missing_wave_is_no_longer_expected(void) {
    hs_demand_forecast forecast = {0};
    record_demand(&forecast, ending_step_waves, 20000, 45000 + 3400);
    CU_ASSERT_EQUAL(expected_slots_at(&forecast, 1000), 460);
    record_demand(&forecast, ending_step_waves, 45000 + 3400, 45000 + 2 * 3400);
    CU_ASSERT_TRUE(hs_demand_forecast_read(&forecast).has_failed);
    CU_ASSERT_EQUAL(expected_slots_at(&forecast, 1000), 95);
}

/** A daemon that was paused for longer than the history starts with an empty one. */
static void a_long_pause_clears_the_history(void) {
    hs_demand_forecast forecast = {0};
    record_demand(&forecast, step_waves, 58000, 58000 + 5 * 5800);
    hs_demand_forecast_note(&forecast, 7, 200000);
    CU_ASSERT_EQUAL(expected_slots_at(&forecast, 5000), 7);
    hs_demand_forecast_note(&forecast, 9, 200090);
    hs_demand_forecast_note(&forecast, 8, 200095); /* The maximum of a step counts. */
    CU_ASSERT_EQUAL(expected_slots_at(&forecast, 5000), 9);
}

/** Items may wait for capacity only while all of them can end in time. */
static void capacity_is_scarce_if_an_item_would_end_late(void) {
    hs_choice_item items[] = {{.left_ms = 12000, .remaining_ms = 4000},
                              {.left_ms = 12000, .remaining_ms = 4000},
                              {.left_ms = 30000, .remaining_ms = 4000}};
    CU_ASSERT_FALSE(hs_item_choice_is_capacity_scarce(items, 3, 10));
    CU_ASSERT_FALSE(hs_item_choice_is_capacity_scarce(items, 3, 1));
    CU_ASSERT_FALSE(hs_item_choice_is_capacity_scarce(items, 3, 0.5)); /* Counted as one slot. */
    CU_ASSERT_FALSE(hs_item_choice_is_capacity_scarce(items, 0, 1));
    items[1].left_ms = 8600; /* 8,000 ms exceed the usable share of it. */
    CU_ASSERT_TRUE(hs_item_choice_is_capacity_scarce(items, 3, 1));
    CU_ASSERT_FALSE(hs_item_choice_is_capacity_scarce(items, 3, 2));
    items[2].remaining_ms = 0; /* The run time is unknown. */
    CU_ASSERT_TRUE(hs_item_choice_is_capacity_scarce(items, 3, 10));
    items[2].remaining_ms = 4000;
    items[2].is_excluded = true;
    CU_ASSERT_TRUE(hs_item_choice_is_capacity_scarce(items, 3, 10));
}

const test_case forecast_tests[] = {
    {"capacity_is_reserved_before_waves", capacity_is_reserved_before_waves},
    {"reserving_capacity_costs_no_item", reserving_capacity_costs_no_item},
    {"room_costs_no_item_after_a_heap", room_costs_no_item_after_a_heap},
    {"reserving_capacity_adds_no_preemption", reserving_capacity_adds_no_preemption},
    {"room_costs_no_cut_on_ramps", room_costs_no_cut_on_ramps},
    {"room_before_waves_saves_two_of_three_cuts", room_before_waves_saves_two_of_three_cuts},
    {"items_after_a_heap_end_in_time", items_after_a_heap_end_in_time},
    {"demand_that_never_returned_is_not_expected", demand_that_never_returned_is_not_expected},
    {"a_recurring_wave_is_expected_before_it_starts",
     a_recurring_wave_is_expected_before_it_starts},
    {"a_missing_wave_is_no_longer_expected", a_missing_wave_is_no_longer_expected},
    {"a_long_pause_clears_the_history", a_long_pause_clears_the_history},
    {"capacity_is_scarce_if_an_item_would_end_late", capacity_is_scarce_if_an_item_would_end_late},
    {NULL, NULL}};
