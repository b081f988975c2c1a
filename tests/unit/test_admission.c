/**
 * @file test_admission.c
 * Service pressure and admission decisions, also in a simulation of daemons with outdated engine
 * load reports.
 */
#include "fleet/engine_choice.h"
#include "online/admission.h"
#include "online/hold_queue.h"
#include "online/refusal_choice.h"
#include "online/retry_after.h"
#include "tests/unit/unit_tests.h"

#include <math.h>
#include <string.h>

#define ENGINES 48
#define SLOTS 8
#define DAEMONS 64
#define RUN_MS 700.0
#define STEP_MS 5
#define DURATION_MS 20000
#define TARGET_MS 300
#define NEED_MS 40
#define DEADLINE_MS 5000
#define MAX_QUERIES 3
/** Steps of load history; covers the oldest report. */
#define HISTORY 128

/** What the expected wait is estimated from. */
typedef enum { BY_COMPLETED_RUNS, BY_CURRENT_LOAD, BY_OBSERVED_DELAY } wait_estimate;

typedef struct {
    uint64_t first_ms;
    uint64_t arrived_ms;
    uint64_t next_ms; /**< Time of its next attempt or its return. */
    uint32_t daemon;
    bool has_returned;
    bool is_held;
    bool is_over;
} sim_request;

/** State of a daemon's CoDel-like controller of the observed delay. */
typedef struct {
    uint64_t above_since_ms; /**< Since when the delay exceeds its target; 0: it does not. */
    uint64_t next_drop_ms;
    uint32_t drops;
} delay_control;

typedef struct {
    wait_estimate rule;
    bool is_lasting; /**< The shortage lasts to the end. */
    uint32_t seed;
    uint64_t now_ms;
    double ends[ENGINES][512]; /**< End times of the requests placed there. */
    uint32_t placed[ENGINES];
    double slot_free[ENGINES][SLOTS];
    uint32_t history[HISTORY][ENGINES];
    hs_hold_queue held[DAEMONS];
    uint64_t head_ms[DAEMONS]; /**< Arrival of the oldest held request; 0: none. */
    delay_control control[DAEMONS];
    hs_pressure_trend trends[DAEMONS];
    GArray *requests; /**< of play_request */
    uint32_t arrivals, in_time, late, late_first, in_time_again, refused_again, refused;
    double idle, idle_total;    /**< Idle and total slots while a request waited. */
    uint64_t first_full_ms;     /**< When all slots were first in use. */
    uint64_t first_detected_ms; /**< When half of the daemons first saw a shortage. */
    bool is_any_waiting;
} simulation;

static double random_unit(simulation *sim) {
    sim->seed = sim->seed * 1664525U + 1013904223U;
    return (double)(sim->seed >> 8) / (1U << 24);
}

static uint32_t count_online(simulation *sim, int engine) {
    uint32_t running = 0;
    for (uint32_t index = 0; index < sim->placed[engine]; index++)
        if (sim->ends[engine][index] > (double)sim->now_ms)
            sim->ends[engine][running++] = sim->ends[engine][index];
    sim->placed[engine] = running;
    return running;
}

/** Reports are 100 to 400 ms old, depending on the daemon and the engine. */
static uint64_t report_age_ms(uint32_t daemon, int engine) {
    return 100 + (daemon * 7919U + (uint32_t)engine * 104729U) % 300;
}

static uint32_t reported_online(const simulation *sim, uint32_t daemon, int engine) {
    uint64_t age_ms = MIN(report_age_ms(daemon, engine), sim->now_ms);
    return sim->history[(sim->now_ms - age_ms) / STEP_MS % HISTORY][engine];
}

static hs_service_pressure pressure_of(simulation *sim, uint32_t daemon) {
    hs_pressure_sample samples[ENGINES];
    for (int engine = 0; engine < ENGINES; engine++)
        samples[engine] = (hs_pressure_sample){.slots = SLOTS,
                                               .online = reported_online(sim, daemon, engine),
                                               .age_ms = report_age_ms(daemon, engine)};
    hs_service_pressure pressure = hs_service_pressure_make(samples, ENGINES, RUN_MS);
    if (sim->rule == BY_CURRENT_LOAD)
        hs_service_pressure_project(&pressure, &sim->trends[daemon], sim->now_ms);
    return pressure;
}

static void start_run(simulation *sim, sim_request *request, int engine) {
    double *slots = sim->slot_free[engine];
    int first = 0;
    for (int slot = 1; slot < SLOTS; slot++)
        if (slots[slot] < slots[first])
            first = slot;
    double begin_ms = fmax(slots[first], (double)sim->now_ms);
    slots[first] = begin_ms + RUN_MS * (0.5 + random_unit(sim));
    sim->ends[engine][sim->placed[engine]++] = slots[first];
    bool in_time = begin_ms + NEED_MS <= (double)request->first_ms + TARGET_MS;
    bool is_in_time_again = begin_ms + NEED_MS <= (double)request->arrived_ms + TARGET_MS;
    sim->in_time += in_time;
    sim->late += !in_time;
    sim->late_first += !in_time && !request->has_returned;
    sim->in_time_again += request->has_returned && !in_time && is_in_time_again;
}

/** Asks the engines that seem best, as an attempt does; their arbiters know the exact load. */
static bool try_engines(simulation *sim, sim_request *request, uint64_t begin_ms) {
    static const hs_engine_speed speed = {
        .tokens_per_ms = 1, .run_ms = RUN_MS, .online_run_ms = RUN_MS, .first_byte_ms = NEED_MS};
    bool is_queried[ENGINES] = {false};
    int engine = 0;
    for (int query = 0; query < MAX_QUERIES; query++) {
        double best = INFINITY;
        for (int other = 0; other < ENGINES; other++) {
            double waiting =
                fmax((double)reported_online(sim, request->daemon, other) + 1 - SLOTS, 0);
            double cost = is_queried[other] ? INFINITY : waiting + random_unit(sim);
            if (cost < best) {
                best = cost;
                engine = other;
            }
        }
        is_queried[engine] = true;
        if (count_online(sim, engine) < SLOTS)
            break;
    }
    double wait_ms = hs_engine_choice_wait_ms(count_online(sim, engine) + 1, SLOTS, 0, &speed);
    if (!hs_engine_choice_can_start_in_time(wait_ms, &speed, begin_ms))
        return false;
    start_run(sim, request, engine);
    return true;
}

/** Drops at a growing rate once the delay has exceeded 30 ms for 100 ms. */
static bool is_dropped_by_delay(delay_control *control, uint64_t delay_ms, uint64_t now_ms) {
    if (delay_ms < 30) {
        *control = (delay_control){0};
        return false;
    }
    if (control->above_since_ms == 0)
        control->above_since_ms = now_ms;
    if (now_ms < control->above_since_ms + 100 || now_ms < control->next_drop_ms)
        return false;
    control->next_drop_ms = now_ms + (uint64_t)(100 / sqrt(++control->drops));
    return true;
}

static void set_held(simulation *sim, sim_request *request, bool is_held, bool is_placed) {
    if (request->is_held == is_held)
        return;
    request->is_held = is_held;
    if (is_held)
        hs_hold_queue_enter(&sim->held[request->daemon], sim->now_ms);
    else
        hs_hold_queue_leave(&sim->held[request->daemon], is_placed, sim->now_ms);
}

static void refuse(simulation *sim, sim_request *request, uint64_t expected_ms) {
    set_held(sim, request, false, false);
    sim->refused++;
    uint64_t back_ms =
        sim->now_ms + hs_retry_after_spread_ms(expected_ms, (uint64_t)(random_unit(sim) * 1e6));
    sim->refused_again += request->has_returned;
    request->is_over = request->has_returned || back_ms >= request->first_ms + DEADLINE_MS;
    request->has_returned = true;
    request->arrived_ms = request->next_ms = back_ms;
    request->daemon = (uint32_t)(random_unit(sim) * DAEMONS);
}

static hs_refusal_choice refusal_choice(simulation *sim, const sim_request *request) {
    const hs_service_pressure pressure = pressure_of(sim, request->daemon);
    double free = pressure.free_share * ENGINES * SLOTS;
    hs_refusal_view view = {
        .service = {.is_known = true,
                    .engines = ENGINES,
                    .healthy = ENGINES,
                    .slots = ENGINES * SLOTS,
                    .run_ms = RUN_MS,
                    .min_first_byte_ms = NEED_MS},
        .left_ms = request->first_ms + DEADLINE_MS - sim->now_ms,
        .drain_ms = sim->rule != BY_CURRENT_LOAD
                        ? hs_hold_queue_expected_ms(&sim->held[request->daemon], sim->now_ms)
                        : 0,
        .waited_ms = sim->now_ms - request->arrived_ms,
    };
    view.service.running = ENGINES * SLOTS - free;
    view.service.waiting =
        pressure.slot_free_interval_ms > 0
            ? fmax(pressure.wait_ms / pressure.slot_free_interval_ms - 1 + free, 0)
            : 0;
    return hs_refusal_choose(&view);
}

static hs_admission_choice admission_choice(simulation *sim, const sim_request *request) {
    uint64_t head_ms = sim->head_ms[request->daemon];
    return hs_admission_choose(&(hs_admission_view){
        .pressure = pressure_of(sim, request->daemon),
        .head_waited_ms = head_ms > 0 ? sim->now_ms - head_ms : 0,
        .ahead_waited_ms = head_ms > 0 ? sim->now_ms - head_ms : 0,
        .min_first_byte_ms = NEED_MS,
        .target_ms = TARGET_MS,
        .waited_ms = sim->now_ms - request->arrived_ms,
        .was_tried = request->is_held, /* No request here is late at its first attempt. */
        .age_ms = request->arrived_ms - request->first_ms});
}

static void serve(simulation *sim, sim_request *request) {
    uint64_t age_ms = sim->now_ms - request->first_ms;
    uint64_t begin_ms = hs_engine_choice_start_limit_ms(TARGET_MS, age_ms, false);
    hs_admission_choice admission = {.verdict = HS_ADMISSION_OPEN, .may_try = true};
    if (sim->rule == BY_CURRENT_LOAD) {
        admission = admission_choice(sim, request);
        begin_ms = MIN(begin_ms, admission.begin_ms);
    }
    if (admission.may_try && try_engines(sim, request, begin_ms)) {
        set_held(sim, request, false, true);
        request->is_over = true;
        return;
    }
    if (admission.verdict == HS_ADMISSION_REFUSE) {
        refuse(sim, request, admission.expected_ms);
        return;
    }
    hs_refusal_choice choice = refusal_choice(sim, request);
    bool is_dropped = sim->rule == BY_OBSERVED_DELAY &&
                      is_dropped_by_delay(&sim->control[request->daemon],
                                          sim->now_ms - request->arrived_ms, sim->now_ms);
    if (is_dropped || choice.verdict != HS_REFUSAL_HOLD) {
        refuse(sim, request, choice.expected_ms);
        return;
    }
    set_held(sim, request, true, false);
    request->next_ms = sim->now_ms + choice.pause_ms;
}

/** Demand relative to capacity: alternates between 0.6 and 1.3, or stays at 1.3 if it lasts. */
static double current_demand(const simulation *sim) {
    uint64_t at_ms = sim->is_lasting ? sim->now_ms : sim->now_ms % 6000;
    return at_ms < 3400 ? 0.6 : 1.3;
}

static void find_heads(simulation *sim) {
    memset(sim->head_ms, 0, sizeof sim->head_ms);
    sim->is_any_waiting = false;
    for (guint index = 0; index < sim->requests->len; index++) {
        const sim_request *request = &g_array_index(sim->requests, sim_request, index);
        if (request->is_over || !request->is_held)
            continue;
        uint64_t *head_ms = &sim->head_ms[request->daemon];
        bool is_in_time = sim->now_ms + NEED_MS < request->first_ms + TARGET_MS;
        sim->is_any_waiting |= is_in_time;
        if (is_in_time && (*head_ms == 0 || request->arrived_ms < *head_ms))
            *head_ms = request->arrived_ms;
    }
}

static void count_idle(simulation *sim) {
    uint32_t idle = 0;
    for (int engine = 0; engine < ENGINES; engine++) {
        uint32_t online = count_online(sim, engine);
        sim->history[sim->now_ms / STEP_MS % HISTORY][engine] = online;
        idle += SLOTS - MIN(online, SLOTS);
    }
    if (!sim->is_any_waiting)
        return;
    sim->idle += idle;
    sim->idle_total += ENGINES * SLOTS;
}

static void detect_shortage(simulation *sim) {
    if (sim->first_full_ms != 0 && sim->first_detected_ms != 0)
        return;
    uint32_t online = 0;
    uint32_t detecting = 0;
    for (int engine = 0; engine < ENGINES; engine++)
        online += count_online(sim, engine);
    for (uint32_t daemon = 0; daemon < DAEMONS; daemon++)
        detecting += pressure_of(sim, daemon).is_short;
    if (online >= ENGINES * SLOTS && sim->first_full_ms == 0)
        sim->first_full_ms = sim->now_ms;
    if (2 * detecting >= DAEMONS && sim->first_detected_ms == 0)
        sim->first_detected_ms = sim->now_ms;
}

static simulation *simulate(wait_estimate rule, uint32_t seed, bool is_lasting) {
    simulation *sim = g_new0(simulation, 1);
    sim->rule = rule;
    sim->is_lasting = is_lasting;
    sim->seed = seed;
    sim->requests = g_array_new(FALSE, TRUE, sizeof(sim_request));
    double due = 0;
    for (sim->now_ms = STEP_MS; sim->now_ms < DURATION_MS; sim->now_ms += STEP_MS) {
        find_heads(sim);
        count_idle(sim);
        detect_shortage(sim);
        for (guint index = 0; index < sim->requests->len; index++) {
            sim_request *request = &g_array_index(sim->requests, sim_request, index);
            if (!request->is_over && request->next_ms <= sim->now_ms)
                serve(sim, request);
        }
        due += current_demand(sim) * ENGINES * SLOTS / RUN_MS * STEP_MS;
        int arriving = (int)due;
        due -= arriving;
        for (int index = 0; index < arriving; index++) {
            sim_request request = {.first_ms = sim->now_ms,
                                   .arrived_ms = sim->now_ms,
                                   .next_ms = sim->now_ms,
                                   .daemon = (uint32_t)(random_unit(sim) * DAEMONS)};
            sim->arrivals++;
            serve(sim, &request);
            g_array_append_val(sim->requests, request);
        }
        for (guint index = sim->requests->len; index-- > 0;)
            if (g_array_index(sim->requests, sim_request, index).is_over)
                g_array_remove_index_fast(sim->requests, index);
    }
    g_array_free(sim->requests, TRUE);
    return sim;
}

static double first_attempts_in_time(const simulation *sim) {
    return (double)sim->in_time / (sim->in_time + sim->late_first);
}

static double idle_share(const simulation *sim) {
    return sim->idle / fmax(sim->idle_total, 1);
}

static void print_result(const simulation *sim, const char *estimate) {
    printf("%-14s in time %.3f late %.3f (not refused before %.3f) refused %u again %u idle %.3f "
           "full %u detected %u ms\n",
           estimate, (double)sim->in_time / sim->arrivals, (double)sim->late / sim->arrivals,
           (double)sim->late_first / sim->arrivals, sim->refused, sim->refused_again,
           idle_share(sim), (uint32_t)sim->first_full_ms, (uint32_t)sim->first_detected_ms);
}

/**
 * Requires that 95 % of the requests served without a refusal are in time, that more are in time
 * than with the other rules, and that a shortage is detected within 100 ms.
 */
static void compare_estimates(uint32_t seed, bool is_lasting) {
    simulation *by_completed = simulate(BY_COMPLETED_RUNS, seed, is_lasting);
    simulation *by_load = simulate(BY_CURRENT_LOAD, seed, is_lasting);
    simulation *by_delay = simulate(BY_OBSERVED_DELAY, seed, is_lasting);
    CU_ASSERT(first_attempts_in_time(by_load) >= 0.95);
    CU_ASSERT(by_load->in_time > by_completed->in_time);
    CU_ASSERT(by_load->in_time > by_delay->in_time);
    CU_ASSERT(by_load->first_detected_ms <= by_load->first_full_ms + 100);
    print_result(by_completed, "completed runs");
    print_result(by_load, "current load");
    print_result(by_delay, "observed delay");
    g_free(by_completed);
    g_free(by_load);
    g_free(by_delay);
}

/** Step load: demand is 1.3 of the capacity for 2.6 s of each 6 s, else 0.6. */
static void requests_served_under_step_load_are_in_time(void) {
    for (uint32_t seed = 7; seed < 10; seed++)
        compare_estimates(seed, false);
}

/** A shortage of 16 s, longer than callers wait. */
static void requests_served_in_a_lasting_shortage_are_in_time(void) {
    for (uint32_t seed = 7; seed < 10; seed++)
        compare_estimates(seed, true);
}

static double served_in_time(const simulation *sim) {
    return (double)sim->in_time / (sim->in_time + sim->late);
}

static void check_all_served(bool is_lasting) {
    for (uint32_t seed = 7; seed < 10; seed++) {
        g_autofree simulation *sim = simulate(BY_CURRENT_LOAD, seed, is_lasting);
        CU_ASSERT(served_in_time(sim) >= 0.95);
    }
}

/** Under step load, 95 % of all served requests are in time, including returning callers'. */
static void whatever_is_served_in_squares_is_in_time(void) {
    check_all_served(false);
}

/** The same in a lasting shortage. */
static void whatever_is_served_in_a_lasting_shortage_is_in_time(void) {
    check_all_served(true);
}

/** At most 2 % of the slots are idle while a request that can be in time waits. */
static void hardly_any_room_idles_while_somebody_waits(void) {
    for (uint32_t seed = 7; seed < 10; seed++)
        for (int is_lasting = 0; is_lasting < 2; is_lasting++) {
            g_autofree simulation *sim = simulate(BY_CURRENT_LOAD, seed, is_lasting == 1);
            CU_ASSERT(idle_share(sim) <= 0.02);
        }
}

/** Ten engines with 8 slots and runs of 800 ms: a slot becomes free every 10 ms. */
static hs_service_pressure ten_engines(double online, uint64_t age_ms, size_t reported) {
    hs_pressure_sample samples[10];
    for (size_t index = 0; index < G_N_ELEMENTS(samples); index++)
        samples[index] = (hs_pressure_sample){
            .slots = 8, .online = online, .age_ms = index < reported ? age_ms : UINT64_MAX};
    return hs_service_pressure_make(samples, G_N_ELEMENTS(samples), 800);
}

static void pressure_counts_running_and_waiting_requests(void) {
    hs_service_pressure pressure = ten_engines(8, 100, 10);
    CU_ASSERT_TRUE(pressure.is_short);
    CU_ASSERT_EQUAL(pressure.reported, 10);
    CU_ASSERT_DOUBLE_EQUAL(pressure.free_share, 0, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(pressure.slot_free_interval_ms, 10, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(pressure.wait_ms, 10, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(pressure.age_ms, 100, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(ten_engines(9, 100, 10).wait_ms, 110, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(ten_engines(9, 100, 5).wait_ms, 110, 1e-9);
    CU_ASSERT_FALSE(ten_engines(6, 100, 10).is_short);
    CU_ASSERT_DOUBLE_EQUAL(ten_engines(6, 100, 10).wait_ms, 0, 1e-9);
    hs_pressure_sample slow = {.slots = 8, .online = 9, .pace = 1.6, .age_ms = 10};
    CU_ASSERT_DOUBLE_EQUAL(hs_service_pressure_make(&slow, 1, 800).wait_ms, 320, 1e-9);
    slow.batch = 8; /* Batch items are preempted. */
    slow.online = 0;
    CU_ASSERT_FALSE(hs_service_pressure_make(&slow, 1, 800).is_short);
}

/** Old reports, or reports for fewer than half of the engines, do not indicate a shortage. */
static void missing_load_reports_are_no_shortage(void) {
    CU_ASSERT_FALSE(ten_engines(20, HS_MAX_PRESSURE_REPORT_AGE_MS + 1, 10).is_short);
    CU_ASSERT_FALSE(ten_engines(20, 100, 4).is_short);
    CU_ASSERT_DOUBLE_EQUAL(ten_engines(20, 100, 4).wait_ms, 0, 1e-9);
    CU_ASSERT_TRUE(ten_engines(20, 100, 5).is_short);
    hs_service_pressure none = ten_engines(20, 100, 0);
    CU_ASSERT_EQUAL(none.reported, 0);
    CU_ASSERT_DOUBLE_EQUAL(none.free_share, 1, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(none.wait_ms, 0, 1e-9);
    CU_ASSERT_FALSE(hs_service_pressure_make(NULL, 0, 0).is_short);
}

/** Load that grew between two reports is extrapolated to now; falling load is not. */
static void growing_load_is_extrapolated(void) {
    hs_pressure_trend trend = {0};
    hs_service_pressure pressure = ten_engines(5, 200, 10);
    hs_service_pressure_project(&pressure, &trend, 1000);
    CU_ASSERT_DOUBLE_EQUAL(pressure.load, 0.625, 1e-9);
    pressure = ten_engines(7, 200, 10);
    hs_service_pressure_project(&pressure, &trend, 1200);
    CU_ASSERT_DOUBLE_EQUAL(pressure.load, 1.125, 1e-9);
    CU_ASSERT_TRUE(pressure.is_short);
    CU_ASSERT_DOUBLE_EQUAL(pressure.wait_ms, 110, 1e-9);
    pressure = ten_engines(5, 200, 10);
    hs_service_pressure_project(&pressure, &trend, 1400);
    CU_ASSERT_DOUBLE_EQUAL(pressure.load, 0.625, 1e-9);
    pressure = ten_engines(20, 100, 0);
    hs_service_pressure_project(&pressure, &trend, 1600);
    CU_ASSERT_DOUBLE_EQUAL(pressure.free_share, 1, 1e-9);
    CU_ASSERT_EQUAL(trend.at_ms, 0);
}

static hs_admission_view short_view(double wait_ms) {
    return (hs_admission_view){
        .pressure = {.engines = 10, .reported = 10, .wait_ms = wait_ms, .is_short = true},
        .min_first_byte_ms = 40,
        .target_ms = 300};
}

/** The expected wait may take up to half of the remaining 260 ms. */
static void requests_that_would_be_late_are_refused_at_once(void) {
    hs_admission_view view = short_view(130);
    hs_admission_choice choice = hs_admission_choose(&view);
    CU_ASSERT_EQUAL(choice.verdict, HS_ADMISSION_IN_TIME);
    CU_ASSERT_EQUAL(choice.max_hold_ms, 260);
    CU_ASSERT_EQUAL(choice.begin_ms, 170);
    view.head_waited_ms = 131; /* Only requests behind it wait. */
    CU_ASSERT_EQUAL(hs_admission_choose(&view).verdict, HS_ADMISSION_IN_TIME);
    view.ahead_waited_ms = 131;
    choice = hs_admission_choose(&view);
    CU_ASSERT_EQUAL(choice.verdict, HS_ADMISSION_REFUSE);
    CU_ASSERT_EQUAL(choice.expected_ms, 131);
    view = short_view(10);
    view.waited_ms = 260;
    view.was_tried = true;
    CU_ASSERT_EQUAL(hs_admission_choose(&view).verdict, HS_ADMISSION_REFUSE);
    CU_ASSERT_FALSE(hs_admission_choose(&view).may_try);
    view.waited_ms = 0;
    CU_ASSERT_TRUE(hs_admission_choose(&view).may_try);
}

static void returning_callers_are_served_best_effort(void) {
    hs_admission_view view = short_view(200);
    for (view.age_ms = HS_RETRY_AFTER_MIN_MS; view.age_ms < 4000; view.age_ms += 100)
        CU_ASSERT_EQUAL(hs_admission_choose(&view).verdict, HS_ADMISSION_BEST_EFFORT);
    view.age_ms = 0;
    view.waited_ms = 260; /* It was late before its first attempt. */
    CU_ASSERT_EQUAL(hs_admission_choose(&view).verdict, HS_ADMISSION_BEST_EFFORT);
    view.waited_ms = 0;
    view.age_ms = HS_RETRY_AFTER_MIN_MS - 1; /* Within the variation of timeouts. */
    CU_ASSERT_EQUAL(hs_admission_choose(&view).verdict, HS_ADMISSION_REFUSE);
    view = short_view(10);
    view.age_ms = 100;
    CU_ASSERT_EQUAL(hs_admission_choose(&view).verdict, HS_ADMISSION_IN_TIME);
    view.is_less_urgent = true;
    CU_ASSERT_EQUAL(hs_admission_choose(&view).verdict, HS_ADMISSION_BEST_EFFORT);
}

/** A best-effort request gets a spare slot only if no request that can be in time waits. */
static void best_effort_requests_take_spare_slots_only(void) {
    hs_admission_view late = short_view(0);
    late.pressure = ten_engines(7.4, 100, 10); /* 6 of 80 slots are free. */
    CU_ASSERT_TRUE(late.pressure.is_short);
    late.age_ms = 400;
    CU_ASSERT_EQUAL(hs_admission_choose(&late).verdict, HS_ADMISSION_BEST_EFFORT);
    late.waited_ms = 3000; /* It has waited long. */
    CU_ASSERT_TRUE(hs_admission_choose(&late).may_try);
    hs_admission_view less_urgent = late;
    less_urgent.age_ms = less_urgent.waited_ms = 0;
    less_urgent.is_less_urgent = true;
    CU_ASSERT_EQUAL(hs_admission_choose(&less_urgent).verdict, HS_ADMISSION_BEST_EFFORT);
    CU_ASSERT_TRUE(hs_admission_choose(&less_urgent).may_try);
    late.head_waited_ms = less_urgent.head_waited_ms = 1;
    CU_ASSERT_FALSE(hs_admission_choose(&late).may_try);
    CU_ASSERT_FALSE(hs_admission_choose(&less_urgent).may_try);
    late.head_waited_ms = less_urgent.head_waited_ms = 0;
    late.pressure = less_urgent.pressure = ten_engines(8, 100, 10);
    CU_ASSERT_FALSE(hs_admission_choose(&late).may_try);
    CU_ASSERT_FALSE(hs_admission_choose(&less_urgent).may_try);
}

/** A long wait despite reported free slots means a shortage, if enough engines have reported. */
static void overdue_held_requests_indicate_a_shortage(void) {
    hs_admission_view view = {
        .pressure = ten_engines(6, 100, 10), .min_first_byte_ms = 40, .target_ms = 300};
    view.head_waited_ms = 50;
    CU_ASSERT_EQUAL(hs_admission_choose(&view).verdict, HS_ADMISSION_OPEN);
    view.head_waited_ms = 51;
    CU_ASSERT_EQUAL(hs_admission_choose(&view).verdict, HS_ADMISSION_IN_TIME);
    view.head_waited_ms = view.ahead_waited_ms = 200;
    CU_ASSERT_EQUAL(hs_admission_choose(&view).verdict, HS_ADMISSION_REFUSE);
    view.pressure = ten_engines(4, 100, 10);
    for (view.waited_ms = 0; view.waited_ms < 4000; view.waited_ms += 50) {
        view.head_waited_ms = view.ahead_waited_ms = view.waited_ms;
        CU_ASSERT_EQUAL(hs_admission_choose(&view).verdict, HS_ADMISSION_OPEN);
    }
    view.pressure = ten_engines(6, 100, 4);
    CU_ASSERT_EQUAL(hs_admission_choose(&view).verdict, HS_ADMISSION_OPEN);
}

/** Also for requests that may have run, and on routes without an objective. */
static void admission_is_open_without_a_shortage(void) {
    hs_admission_view view = short_view(1000);
    view.may_have_run = true;
    CU_ASSERT_EQUAL(hs_admission_choose(&view).verdict, HS_ADMISSION_OPEN);
    view = short_view(1000);
    view.target_ms = 0;
    CU_ASSERT_EQUAL(hs_admission_choose(&view).verdict, HS_ADMISSION_OPEN);
    view = short_view(1000);
    view.pressure = ten_engines(20, 100, 0);
    for (view.waited_ms = 0; view.waited_ms < 4000; view.waited_ms += 50)
        CU_ASSERT_EQUAL(hs_admission_choose(&view).verdict, HS_ADMISSION_OPEN);
}

const test_case admission_tests[] = {
    {"pressure_counts_running_and_waiting_requests", pressure_counts_running_and_waiting_requests},
    {"missing_load_reports_are_no_shortage", missing_load_reports_are_no_shortage},
    {"growing_load_is_extrapolated", growing_load_is_extrapolated},
    {"requests_that_would_be_late_are_refused_at_once",
     requests_that_would_be_late_are_refused_at_once},
    {"returning_callers_are_served_best_effort", returning_callers_are_served_best_effort},
    {"best_effort_requests_take_spare_slots_only", best_effort_requests_take_spare_slots_only},
    {"overdue_held_requests_indicate_a_shortage", overdue_held_requests_indicate_a_shortage},
    {"admission_is_open_without_a_shortage", admission_is_open_without_a_shortage},
    {"requests_served_under_step_load_are_in_time", requests_served_under_step_load_are_in_time},
    {"requests_served_in_a_lasting_shortage_are_in_time",
     requests_served_in_a_lasting_shortage_are_in_time},
    {"whatever_is_served_in_squares_is_in_time", whatever_is_served_in_squares_is_in_time},
    {"whatever_is_served_in_a_lasting_shortage_is_in_time",
     whatever_is_served_in_a_lasting_shortage_is_in_time},
    {"hardly_any_room_idles_while_somebody_waits", hardly_any_room_idles_while_somebody_waits},
    {NULL, NULL}};
