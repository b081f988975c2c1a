/**
 * @file test_pace_play.c
 * Simulates the choice among engines of unequal pace under a step load: 90 daemons choose, by their
 * own reports, among 60 engines with paces of 0.6, 1 and 1.6 that are temporarily slower.
 */
#include "fleet/engine_choice.h"
#include "fleet/engine_pace.h"
#include "fleet/engine_spread.h"
#include "tests/unit/unit_tests.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

enum { ENGINES = 60, SLOTS = 8, DECIDERS = 90, MAX_QUEUE = 512, MAX_POLLS = 3 };
enum { RUN_MS = 200, FIRST_MS = 10, RUN_EVENTS = 19, TARGET_MS = 300 };
enum { SIMULATION_MS = 29000, WARMUP_MS = 5800, HISTORY_MS = 601, MAX_WAITS = 200000 };
enum { PERIOD_MS = 5800, HIGH_LOAD_MS = 2400 };
#define LOW_LOAD 0.38
#define HIGH_LOAD 1.87
#define SLOWDOWN_FACTOR 2.5
#define SLOW_SHARE 0.15
/** Bound of an engine's expected work relative to the mean. */
#define MAX_WORK_RATIO 1.5
/** Probability per ms that a slowdown starts and ends; it lasts 600 ms on average. */
#define SLOWDOWN_START_CHANCE (SLOW_SHARE / (1 - SLOW_SHARE) / 600)
#define SLOWDOWN_END_CHANCE (1.0 / 600)

typedef enum { BY_SERVICE, BY_PACE, BY_SPREAD, LEAST_OUTSTANDING, EXACT } policy;

typedef struct {
    int arrived_ms;
    int started_ms;      /**< -1: waiting. */
    double remaining_ms; /**< Remaining run time at a pace of 1. */
} run;

/** State of an engine that a daemon could observe at one time. */
typedef struct {
    int running;
    hs_engine_pace pace;
} observation;

typedef struct {
    double base_pace;    /**< Without slowdowns. */
    double current_pace; /**< Slowdown included. */
    run runs[MAX_QUEUE];
    int count;
    double work_ms;      /**< Expected work of the requests on the engine, summed over time. */
    hs_engine_pace pace; /**< By the observations of all daemons. */
    observation history[HISTORY_MS];
} engine_model;

typedef struct {
    policy chosen_by;
    int max_view_age_ms; /**< Exclusive upper bound; 0: views are exact. */
    bool has_reports;    /**< The engines report their slowdown. */
    bool are_equal;      /**< All paces are 1, without slowdowns. */
    GRand *random;
    hs_engine_speed speed;
    engine_model engines[ENGINES];
    int waits[MAX_WAITS];
    int counted;
    int in_time;
} simulation;

static const double paces[] = {0.6, 1.0, 1.6};

/** Returns the exact delay to the first event, plus a small cost per run to rank idle engines. */
static double true_delay(const engine_model *engine) {
    double excess = fmax(engine->count + 1 - SLOTS, 0);
    return (excess / SLOTS * RUN_MS + FIRST_MS) * engine->current_pace + engine->count * 0.5;
}

/** Returns the age of a daemon's view of an engine; views are refreshed out of phase. */
static int view_age_ms(const simulation *state, int decider, int index, int now_ms) {
    if (state->max_view_age_ms == 0)
        return 0;
    return (now_ms + decider * 131 + index * 37) % state->max_view_age_ms;
}

static const observation *view_of(const simulation *state, int decider, int index, int now_ms) {
    int then_ms = MAX(now_ms - view_age_ms(state, decider, index, now_ms), 0);
    return &state->engines[index].history[then_ms % HISTORY_MS];
}

/** @p running: requests assumed to be on the engine. */
static double estimated_delay(const simulation *state, const engine_model *engine,
                              const observation *view, int running, int now_ms) {
    if (state->chosen_by == EXACT)
        return true_delay(engine);
    if (state->chosen_by == LEAST_OUTSTANDING)
        return running;
    hs_engine_candidate candidate = {.slots = SLOTS, .running = running};
    if (state->chosen_by == BY_PACE)
        candidate.pace =
            hs_engine_pace_factor(&view->pace, state->speed.event_ms, (uint64_t)now_ms);
    return hs_engine_choice_cost(&candidate, &state->speed);
}

/** Returns the engine with the lowest estimated delay; @p running: -1 for unpolled engines. */
static int best_engine(const simulation *state, int decider, int first, const int *running,
                       int now_ms) {
    int best = first;
    double best_delay = INFINITY;
    for (int step = 0; step < ENGINES; step++) {
        int index = (first + step) % ENGINES;
        const observation *view = view_of(state, decider, index, now_ms);
        double delay =
            estimated_delay(state, &state->engines[index], view,
                            running[index] >= 0 ? running[index] : view->running, now_ms);
        if (delay < best_delay) {
            best = index;
            best_delay = delay;
        }
    }
    return best;
}

/** Chooses as a daemon does, by its reports with their ages and by the engines' paces. */
static int spread_engine(const simulation *state, int decider, int first, const int *running,
                         int now_ms) {
    hs_engine_candidate view[ENGINES];
    hs_engine_tie_break tie_break = {.draw = g_rand_double(state->random), .first = (size_t)first};
    for (int index = 0; index < ENGINES; index++) {
        const observation *observed = view_of(state, decider, index, now_ms);
        bool is_polled = running[index] >= 0;
        view[index] = (hs_engine_candidate){
            .slots = SLOTS,
            .running = is_polled ? running[index] : observed->running,
            .load_report_age_ms = is_polled ? 0 : view_age_ms(state, decider, index, now_ms),
            .pace =
                hs_engine_pace_factor(&observed->pace, state->speed.event_ms, (uint64_t)now_ms)};
    }
    return hs_engine_spread_pick(view, ENGINES, &tie_break, &state->speed);
}

/** Polls the arbiter of the chosen engine, and chooses again while that engine is full. */
static int choose_engine(const simulation *state, int now_ms) {
    int decider = g_rand_int_range(state->random, 0, DECIDERS);
    int first = g_rand_int_range(state->random, 0, ENGINES);
    int running[ENGINES];
    int best = -1;
    memset(running, -1, sizeof running);
    for (int poll = 0; poll < MAX_POLLS; poll++) {
        int next = state->chosen_by == BY_SPREAD
                       ? spread_engine(state, decider, first, running, now_ms)
                       : best_engine(state, decider, first, running, now_ms);
        if (next == best)
            break;
        best = next;
        running[best] = state->engines[best].count;
        if (running[best] < SLOTS)
            break;
    }
    return best;
}

static void send_request(simulation *state, int now_ms) {
    engine_model *engine = &state->engines[choose_engine(state, now_ms)];
    CU_ASSERT_FATAL(engine->count < MAX_QUEUE);
    engine->runs[engine->count++] =
        (run){.arrived_ms = now_ms, .started_ms = -1, .remaining_ms = RUN_MS};
    if (state->has_reports) /* As in the response header. */
        hs_engine_pace_note_slowdown(&engine->pace,
                                     (uint32_t)(engine->current_pace / engine->base_pace * 100), 0,
                                     (uint64_t)now_ms);
}

static void note_start(simulation *state, const engine_model *engine, run *started, int now_ms) {
    started->started_ms = now_ms;
    if (started->arrived_ms < WARMUP_MS || state->counted == MAX_WAITS)
        return;
    int wait_ms = now_ms - started->arrived_ms + (int)(FIRST_MS * engine->current_pace);
    state->waits[state->counted++] = wait_ms;
    state->in_time += wait_ms <= TARGET_MS;
}

static void note_end(simulation *state, engine_model *engine, const run *ended, int now_ms) {
    double event_ms = (double)(now_ms - ended->started_ms) / RUN_EVENTS;
    state->speed.event_ms += (event_ms - state->speed.event_ms) * 0.02;
    hs_engine_pace_note_events(&engine->pace, RUN_EVENTS, (uint64_t)(now_ms - ended->started_ms),
                               (uint64_t)now_ms);
}

static void advance(simulation *state, engine_model *engine, int now_ms) {
    bool is_slow = engine->current_pace > engine->base_pace;
    engine->work_ms += engine->count * engine->current_pace * RUN_MS;
    if (!state->are_equal &&
        g_rand_double(state->random) < (is_slow ? SLOWDOWN_END_CHANCE : SLOWDOWN_START_CHANCE))
        engine->current_pace = engine->base_pace * (is_slow ? 1 : SLOWDOWN_FACTOR);
    for (int index = MIN(engine->count, SLOTS) - 1; index >= 0; index--) {
        run *current = &engine->runs[index];
        if (current->started_ms < 0)
            note_start(state, engine, current, now_ms);
        current->remaining_ms -= 1 / engine->current_pace;
        if (current->remaining_ms > 0)
            continue;
        note_end(state, engine, current, now_ms);
        engine->count--;
        memmove(current, current + 1, sizeof(run) * (size_t)(engine->count - index));
    }
    engine->history[now_ms % HISTORY_MS] =
        (observation){.running = engine->count, .pace = engine->pace};
}

static gint compare_waits(gconstpointer first, gconstpointer second) {
    return *(const int *)first - *(const int *)second;
}

static double share_in_time(const simulation *state) {
    return (double)state->in_time / state->counted;
}

static int wait_p99_ms(const simulation *state) {
    return state->waits[state->counted * 99 / 100];
}

/** Returns the expected work of the engine with most work, relative to the mean. */
static double max_work_ratio(const simulation *state) {
    double max_ms = 0;
    double sum = 0;
    for (int index = 0; index < ENGINES; index++) {
        max_ms = fmax(max_ms, state->engines[index].work_ms);
        sum += state->engines[index].work_ms;
    }
    return max_ms / (sum / ENGINES);
}

/** Returns the capacity of all engines in runs per ms. */
static double capacity_per_ms(const simulation *state) {
    double runs_per_ms = 0;
    double mean_slowdown = state->are_equal ? 1 : 1 + SLOW_SHARE * (SLOWDOWN_FACTOR - 1);
    for (int index = 0; index < ENGINES; index++)
        runs_per_ms += SLOTS / (RUN_MS * state->engines[index].base_pace * mean_slowdown);
    return runs_per_ms;
}

/** Simulates a step load with a mean of @p load times the capacity. Free the result with g_free. */
static simulation *simulate_step_load(policy chosen_by, int max_view_age_ms, bool are_equal,
                                      double load) {
    simulation *state = g_new0(simulation, 1);
    *state = (simulation){.chosen_by = chosen_by,
                          .max_view_age_ms = max_view_age_ms,
                          .has_reports = !are_equal,
                          .are_equal = are_equal,
                          .random = g_rand_new_with_seed(7),
                          .speed = {.tokens_per_ms = 60,
                                    .run_ms = RUN_MS,
                                    .online_run_ms = RUN_MS,
                                    .first_byte_ms = FIRST_MS,
                                    .event_ms = (double)RUN_MS / RUN_EVENTS}};
    for (int index = 0; index < ENGINES; index++) {
        engine_model *engine = &state->engines[index];
        engine->base_pace = are_equal ? 1 : paces[index % 3];
        engine->current_pace = engine->base_pace;
    }
    double arrivals_per_ms = capacity_per_ms(state) * load;
    double due_requests = 0;
    for (int now_ms = 0; now_ms < SIMULATION_MS; now_ms++) {
        for (int index = 0; index < ENGINES; index++)
            advance(state, &state->engines[index], now_ms);
        due_requests +=
            arrivals_per_ms * (now_ms % PERIOD_MS < HIGH_LOAD_MS ? HIGH_LOAD : LOW_LOAD);
        while (due_requests >= 1) {
            send_request(state, now_ms);
            due_requests--;
        }
    }
    g_rand_free(state->random);
    qsort(state->waits, (size_t)state->counted, sizeof(int), compare_waits);
    g_debug("policy %d, max view age %d ms: in time %.3f, p99 %d ms, max work ratio %.2f",
            chosen_by, max_view_age_ms, share_in_time(state), wait_p99_ms(state),
            max_work_ratio(state));
    return state;
}

/**
 * With exact views and steps to 1.2 times the capacity, the choice by pace is within 10 % of the
 * one with exact knowledge, and better than the choice by the service's mean pace.
 */
static void step_load_is_served_nearly_as_with_exact_knowledge(void) {
    simulation *by_pace = simulate_step_load(BY_PACE, 0, false, 0.65);
    simulation *exact = simulate_step_load(EXACT, 0, false, 0.65);
    CU_ASSERT(share_in_time(by_pace) >= 0.9 * share_in_time(exact));
    CU_ASSERT(wait_p99_ms(by_pace) <= 1.1 * wait_p99_ms(exact));
    static const policy others[] = {BY_SERVICE, LEAST_OUTSTANDING};
    for (size_t index = 0; index < G_N_ELEMENTS(others); index++) {
        simulation *other = simulate_step_load(others[index], 0, false, 0.65);
        CU_ASSERT(share_in_time(by_pace) > share_in_time(other));
        CU_ASSERT(wait_p99_ms(by_pace) < wait_p99_ms(other));
        CU_ASSERT(max_work_ratio(by_pace) < max_work_ratio(other));
        g_free(other);
    }
    g_free(by_pace);
    g_free(exact);
}

/** Returns the result with reports of up to 600 ms of age; cached until the process ends. */
static const simulation *simulate_old_reports(void) {
    static simulation *by_reports = NULL;
    if (by_reports == NULL)
        by_reports = simulate_step_load(BY_SPREAD, 600, false, 0.65);
    return by_reports;
}

/** Old reports must cost at most 10 % of the requests in time, and overload no engine. */
static void step_load_is_served_with_old_reports(void) {
    const simulation *by_reports = simulate_old_reports();
    simulation *exact = simulate_step_load(EXACT, 0, false, 0.65);
    CU_ASSERT(share_in_time(by_reports) >= 0.9 * share_in_time(exact));
    CU_ASSERT(max_work_ratio(by_reports) <= MAX_WORK_RATIO);
    g_free(exact);
}

static void longest_waits_with_old_words_are_nearly_the_shortest(void) {
    simulation *exact = simulate_step_load(EXACT, 0, false, 0.65);
    CU_ASSERT(wait_p99_ms(simulate_old_reports()) <= 1.1 * wait_p99_ms(exact));
    g_free(exact);
}

/** Guards against a stampede on the engine that looks best, with exact views. */
static void no_engine_has_much_more_work_than_the_mean(void) {
    simulation *by_pace = simulate_step_load(BY_PACE, 0, false, 0.65);
    CU_ASSERT(max_work_ratio(by_pace) <= MAX_WORK_RATIO);
    g_free(by_pace);
}

static void pace_does_not_affect_equal_engines(void) {
    for (int view_ms = 0; view_ms <= 600; view_ms += 600) {
        simulation *by_pace = simulate_step_load(BY_PACE, view_ms, true, 0.65);
        simulation *by_service = simulate_step_load(BY_SERVICE, view_ms, true, 0.65);
        CU_ASSERT_EQUAL(by_pace->counted, by_service->counted);
        CU_ASSERT_EQUAL(memcmp(by_pace->waits, by_service->waits, sizeof by_pace->waits), 0);
        for (int index = 0; index < ENGINES; index++)
            CU_ASSERT_EQUAL(by_pace->engines[index].work_ms, by_service->engines[index].work_ms);
        g_free(by_pace);
        g_free(by_service);
    }
}

const test_case pace_play_tests[] = {
    {"step_load_is_served_nearly_as_with_exact_knowledge",
     step_load_is_served_nearly_as_with_exact_knowledge},
    {"step_load_is_served_with_old_reports", step_load_is_served_with_old_reports},
    {"longest_waits_with_old_words_are_nearly_the_shortest",
     longest_waits_with_old_words_are_nearly_the_shortest},
    {"no_engine_has_much_more_work_than_the_mean", no_engine_has_much_more_work_than_the_mean},
    {"pace_does_not_affect_equal_engines", pace_does_not_affect_equal_engines},
    {NULL, NULL}};
