/**
 * @file test_urgency.c
 * Kinds of requests of one service under overload, played over the choice of an engine: a less
 * urgent kind is not served more often than a more urgent one, nor with a larger share in time.
 */
#include "fleet/config_source.h"
#include "fleet/engine_choice.h"
#include "platform/config_codec.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

enum { ENGINES = 3, SLOTS = 8, RUN_MS = 200, PLAY_MS = 20000, QUEUE_MOST = 256 };
/** Share of asked requests served, and of its credit, by which a less urgent kind may lead. */
#define SERVED_LEAD 0.05
#define CREDIT_LEAD 0.15

enum { URGENT, LESS_URGENT, BATCH, KINDS };

/** A kind that may be answered later stands in queues that are too long for the urgent one. */
static const int target_ms[KINDS] = {300, 1500, 20000};

/** One request at an engine. */
typedef struct {
    int kind;
    int came_ms;
    int left_ms; /**< Of its run. */
} run;

/** Runs in the order in which they came; the first SLOTS are worked on. */
typedef struct {
    run runs[QUEUE_MOST];
    int count;
} engine;

typedef struct {
    int asked[KINDS];
    int served[KINDS];
    int in_time[KINDS];
    int waiting_items;
    engine engines[ENGINES];
} play;

static const hs_engine_speed speed = {
    .tokens_per_ms = 50, .run_ms = RUN_MS, .online_run_ms = RUN_MS, .first_byte_ms = 5};

static int count_batch(const engine *at) {
    int batch = 0;
    for (int index = 0; index < at->count; index++)
        batch += at->runs[index].kind == BATCH;
    return batch;
}

static void remove_run(engine *at, int index) {
    memmove(&at->runs[index], &at->runs[index + 1], sizeof(run) * (size_t)(at->count - index - 1));
    at->count--;
}

/** Batch items leave for requests, the newest first. */
static void step_aside(play *played, engine *at) {
    for (int index = at->count - 1; index >= 0 && at->count > SLOTS; index--)
        if (at->runs[index].kind == BATCH) {
            remove_run(at, index);
            played->waiting_items++;
        }
}

static void candidates_of(const play *played, hs_engine_candidate *candidates) {
    for (int index = 0; index < ENGINES; index++)
        candidates[index] = (hs_engine_candidate){.slots = SLOTS,
                                                  .running = played->engines[index].count,
                                                  .batch = count_batch(&played->engines[index])};
}

static void ask(play *played, int kind, int now_ms) {
    hs_engine_candidate candidates[ENGINES];
    played->asked[kind]++;
    candidates_of(played, candidates);
    int picked = hs_engine_choice_pick(candidates, ENGINES, (size_t)now_ms % ENGINES, &speed);
    double online = candidates[picked].running - candidates[picked].batch + 1;
    double wait_ms = hs_engine_choice_wait_ms(online, SLOTS, 0, &speed);
    uint64_t begin_ms =
        hs_engine_choice_start_limit_ms((uint64_t)target_ms[kind], 0, kind == LESS_URGENT);
    if (!hs_engine_choice_can_start_in_time(wait_ms, &speed, begin_ms))
        return;
    engine *at = &played->engines[picked];
    at->runs[at->count++] = (run){.kind = kind, .came_ms = now_ms, .left_ms = RUN_MS};
    step_aside(played, at);
}

static void start_items(play *played, int now_ms) {
    hs_engine_candidate candidates[ENGINES];
    candidates_of(played, candidates);
    int picked = hs_engine_choice_pick_for_batch(candidates, ENGINES, 0, &speed);
    if (played->waiting_items == 0 || picked == HS_ENGINE_NONE)
        return;
    engine *at = &played->engines[picked];
    at->runs[at->count++] = (run){.kind = BATCH, .came_ms = now_ms, .left_ms = RUN_MS};
    played->waiting_items--;
}

static void work(play *played, int now_ms) {
    for (int at = 0; at < ENGINES; at++)
        for (int index = MIN(played->engines[at].count, SLOTS) - 1; index >= 0; index--) {
            run *worked = &played->engines[at].runs[index];
            bool begins = worked->left_ms == RUN_MS;
            if (begins && now_ms - worked->came_ms <= target_ms[worked->kind])
                played->in_time[worked->kind]++;
            if (--worked->left_ms > 0)
                continue;
            played->served[worked->kind]++;
            remove_run(&played->engines[at], index);
        }
}

/** @p asked_each_ms: of each kind; the engines together serve ENGINES * SLOTS / RUN_MS. */
static play play_overload(const double *asked_each_ms) {
    play played = {0};
    double due[KINDS] = {0};
    for (int now_ms = 0; now_ms < PLAY_MS; now_ms++) {
        for (int kind = 0; kind < KINDS; kind++)
            for (due[kind] += asked_each_ms[kind]; due[kind] >= 1; due[kind]--) {
                if (kind != BATCH)
                    ask(&played, kind, now_ms);
                played.asked[BATCH] += kind == BATCH;
                played.waiting_items += kind == BATCH;
            }
        start_items(&played, now_ms);
        work(&played, now_ms);
    }
    return played;
}

static void check_order(const play *played, int urgent, int less) {
    double lead = (double)played->served[less] / played->asked[less] -
                  (double)played->served[urgent] / played->asked[urgent];
    CU_ASSERT(lead <= SERVED_LEAD);
    lead = (double)played->in_time[less] / played->asked[less] -
           (double)played->in_time[urgent] / played->asked[urgent];
    CU_ASSERT(lead <= CREDIT_LEAD);
}

/** From just over what the engines can do to four times that, in several mixes of the kinds. */
static void overload_is_borne_by_the_less_urgent(void) {
    static const double capacity = (double)ENGINES * SLOTS / RUN_MS;
    static const double mixes[][KINDS] = {{0.5, 0.5, 0.5}, {1.0, 0.2, 1.0}, {0.2, 1.0, 1.0},
                                          {1.0, 1.0, 0.2}, {2.0, 2.0, 2.0}, {3.0, 0.5, 0.5}};
    for (size_t index = 0; index < G_N_ELEMENTS(mixes); index++) {
        double asked[KINDS];
        for (int kind = 0; kind < KINDS; kind++)
            asked[kind] = mixes[index][kind] * capacity;
        play played = play_overload(asked);
        check_order(&played, URGENT, LESS_URGENT);
        check_order(&played, URGENT, BATCH);
        check_order(&played, LESS_URGENT, BATCH);
        double all = played.served[URGENT] + played.served[LESS_URGENT] + played.served[BATCH];
        CU_ASSERT(all > 0.9 * capacity * PLAY_MS); /* The engines stay busy. */
    }
}

/** Without the order by urgency the less urgent kind fills the queue that the urgent one needs. */
static void only_a_more_urgent_online_kind_puts_one_behind(void) {
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
    {"overload_is_borne_by_the_less_urgent", overload_is_borne_by_the_less_urgent},
    {"only_a_more_urgent_online_kind_puts_one_behind",
     only_a_more_urgent_online_kind_puts_one_behind},
    {NULL, NULL}};
