/**
 * @file test_urgency.c
 * Simulates the choice of an engine under overload: a less urgent kind of requests is not served
 * more often than a more urgent one, nor more often in time.
 */
#include "fleet/config_source.h"
#include "fleet/engine_choice.h"
#include "platform/config_codec.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

enum { ENGINES = 3, SLOTS = 8, RUN_MS = 200, SIMULATION_MS = 20000, MAX_QUEUE_LENGTH = 256 };
/**
 * Margins by which the served share, and the share served in time, of a less urgent kind may
 * exceed that of a more urgent one.
 */
#define MAX_SERVED_LEAD 0.05
#define MAX_IN_TIME_LEAD 0.15

enum { URGENT, LESS_URGENT, BATCH, KINDS };

/** A kind with a longer target latency accepts queues that are too long for the urgent kind. */
static const int target_ms[KINDS] = {300, 1500, 20000};

/** One request at an engine. */
typedef struct {
    int kind;
    int arrived_ms;
    int left_ms; /**< Remaining run time. */
} run;

/** Runs in the order of arrival; the first SLOTS are executed. */
typedef struct {
    run runs[MAX_QUEUE_LENGTH];
    int count;
} engine;

typedef struct {
    int requested[KINDS];
    int served[KINDS];
    int in_time[KINDS];
    int waiting_items;
    engine engines[ENGINES];
} simulation;

static const hs_engine_speed speed = {
    .tokens_per_ms = 50, .run_ms = RUN_MS, .online_run_ms = RUN_MS, .first_byte_ms = 5};

static int count_batch(const engine *target) {
    int batch = 0;
    for (int index = 0; index < target->count; index++)
        batch += target->runs[index].kind == BATCH;
    return batch;
}

static void remove_run(engine *target, int index) {
    memmove(&target->runs[index], &target->runs[index + 1],
            sizeof(run) * (size_t)(target->count - index - 1));
    target->count--;
}

/** Preempts batch items for online requests, the newest first. */
static void preempt_items(simulation *simulated, engine *target) {
    for (int index = target->count - 1; index >= 0 && target->count > SLOTS; index--)
        if (target->runs[index].kind == BATCH) {
            remove_run(target, index);
            simulated->waiting_items++;
        }
}

static void list_candidates(const simulation *simulated, hs_engine_candidate *candidates) {
    for (int index = 0; index < ENGINES; index++)
        candidates[index] = (hs_engine_candidate){.slots = SLOTS,
                                                  .running = simulated->engines[index].count,
                                                  .batch = count_batch(&simulated->engines[index])};
}

static void send_request(simulation *simulated, int kind, int now_ms) {
    hs_engine_candidate candidates[ENGINES];
    simulated->requested[kind]++;
    list_candidates(simulated, candidates);
    int picked = hs_engine_choice_pick(candidates, ENGINES, (size_t)now_ms % ENGINES, &speed);
    double online = candidates[picked].running - candidates[picked].batch + 1;
    double wait_ms = hs_engine_choice_wait_ms(online, SLOTS, 0, &speed);
    uint64_t begin_ms =
        hs_engine_choice_start_limit_ms((uint64_t)target_ms[kind], 0, kind == LESS_URGENT);
    if (!hs_engine_choice_can_start_in_time(wait_ms, &speed, begin_ms))
        return;
    engine *target = &simulated->engines[picked];
    target->runs[target->count++] = (run){.kind = kind, .arrived_ms = now_ms, .left_ms = RUN_MS};
    preempt_items(simulated, target);
}

static void start_items(simulation *simulated, int now_ms) {
    hs_engine_candidate candidates[ENGINES];
    list_candidates(simulated, candidates);
    int picked = hs_engine_choice_pick_for_batch(candidates, ENGINES, 0, &speed);
    if (simulated->waiting_items == 0 || picked == HS_ENGINE_NONE)
        return;
    engine *target = &simulated->engines[picked];
    target->runs[target->count++] = (run){.kind = BATCH, .arrived_ms = now_ms, .left_ms = RUN_MS};
    simulated->waiting_items--;
}

static void execute_runs(simulation *simulated, int now_ms) {
    for (int engine_index = 0; engine_index < ENGINES; engine_index++)
        for (int index = MIN(simulated->engines[engine_index].count, SLOTS) - 1; index >= 0;
             index--) {
            run *executed = &simulated->engines[engine_index].runs[index];
            bool is_starting = executed->left_ms == RUN_MS;
            if (is_starting && now_ms - executed->arrived_ms <= target_ms[executed->kind])
                simulated->in_time[executed->kind]++;
            if (--executed->left_ms > 0)
                continue;
            simulated->served[executed->kind]++;
            remove_run(&simulated->engines[engine_index], index);
        }
}

/** @p requests_per_ms is by kind. All engines together serve ENGINES * SLOTS / RUN_MS. */
static simulation simulate_overload(const double *requests_per_ms) {
    simulation simulated = {0};
    double due[KINDS] = {0};
    for (int now_ms = 0; now_ms < SIMULATION_MS; now_ms++) {
        for (int kind = 0; kind < KINDS; kind++)
            for (due[kind] += requests_per_ms[kind]; due[kind] >= 1; due[kind]--) {
                if (kind != BATCH)
                    send_request(&simulated, kind, now_ms);
                simulated.requested[BATCH] += kind == BATCH;
                simulated.waiting_items += kind == BATCH;
            }
        start_items(&simulated, now_ms);
        execute_runs(&simulated, now_ms);
    }
    return simulated;
}

static void check_priority(const simulation *simulated, int urgent, int less_urgent) {
    double lead = (double)simulated->served[less_urgent] / simulated->requested[less_urgent] -
                  (double)simulated->served[urgent] / simulated->requested[urgent];
    CU_ASSERT(lead <= MAX_SERVED_LEAD);
    lead = (double)simulated->in_time[less_urgent] / simulated->requested[less_urgent] -
           (double)simulated->in_time[urgent] / simulated->requested[urgent];
    CU_ASSERT(lead <= MAX_IN_TIME_LEAD);
}

/** Covers loads from 1.5 to 6 times the capacity in several mixes of the kinds. */
static void overload_reduces_less_urgent_requests_first(void) {
    static const double capacity = (double)ENGINES * SLOTS / RUN_MS;
    static const double mixes[][KINDS] = {{0.5, 0.5, 0.5}, {1.0, 0.2, 1.0}, {0.2, 1.0, 1.0},
                                          {1.0, 1.0, 0.2}, {2.0, 2.0, 2.0}, {3.0, 0.5, 0.5}};
    for (size_t index = 0; index < G_N_ELEMENTS(mixes); index++) {
        double requested[KINDS];
        for (int kind = 0; kind < KINDS; kind++)
            requested[kind] = mixes[index][kind] * capacity;
        simulation simulated = simulate_overload(requested);
        check_priority(&simulated, URGENT, LESS_URGENT);
        check_priority(&simulated, URGENT, BATCH);
        check_priority(&simulated, LESS_URGENT, BATCH);
        double all =
            simulated.served[URGENT] + simulated.served[LESS_URGENT] + simulated.served[BATCH];
        CU_ASSERT(all > 0.9 * capacity * SIMULATION_MS); /* The engines stay busy. */
    }
}

/** Guards against less urgent requests filling the queue that urgent requests need. */
static void only_online_routes_make_other_requests_less_urgent(void) {
    static const char *const text =
        "{\"version\":1,\"routes\":["
        "{\"name\":\"a\",\"host\":\"h\",\"path-prefix\":\"/a\",\"kind\":\"idempotent\","
        "\"service\":\"one\",\"priority\":0},"
        "{\"name\":\"b\",\"host\":\"h\",\"path-prefix\":\"/b\",\"kind\":\"idempotent\","
        "\"service\":\"one\",\"priority\":2},"
        "{\"name\":\"c\",\"host\":\"h\",\"path-prefix\":\"/c\",\"kind\":\"idempotent\","
        "\"service\":\"two\",\"priority\":2},"
        "{\"name\":\"d\",\"host\":\"h\",\"path-prefix\":\"/d\",\"kind\":\"batch\","
        "\"service\":\"two\",\"priority\":0}],\"services\":[]}";
    hs_error error = {0};
    hs_fleet_config *config = hs_platform_read_config(text, strlen(text), &error);
    CU_ASSERT_PTR_NOT_NULL(config);
    if (config == NULL)
        return;
    static const bool is_less[] = {false, true, false};
    static const char *const services[] = {"one", "one", "two"};
    for (guint index = 0; index < G_N_ELEMENTS(is_less); index++) {
        const hs_fleet_route *route = config->routes->pdata[index];
        CU_ASSERT_EQUAL(hs_fleet_config_is_less_urgent(config, route->priority, services[index]),
                        is_less[index]);
    }
    hs_fleet_config_unref(config);
    CU_ASSERT_EQUAL(hs_engine_choice_start_limit_ms(300, 100, false), 200);
    CU_ASSERT_EQUAL(hs_engine_choice_start_limit_ms(300, 400, false), 0);
    CU_ASSERT_EQUAL(hs_engine_choice_start_limit_ms(300, 0, true), 0);
}

const test_case urgency_tests[] = {
    {"overload_reduces_less_urgent_requests_first", overload_reduces_less_urgent_requests_first},
    {"only_online_routes_make_other_requests_less_urgent",
     only_online_routes_make_other_requests_less_urgent},
    {NULL, NULL}};
