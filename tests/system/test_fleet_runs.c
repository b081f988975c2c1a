/**
 * @file test_fleet_runs.c
 * Which engine's run made which event of an item's text, over real daemons.
 *
 * What users can see: a batch item's text that is whole, with every event once and in order, but
 * put together wrongly: after event n it goes on with a run that had been asked to go on after
 * another event. What the two runs make need not be one text.
 *
 * One order of events that leads there: an engine refuses an item, and the daemon keeps the
 * connection. It tries the item there again; the engine begins to run it, but first sends the
 * refusal once more, a surplus answer. The daemon takes that for the answer, tries another engine,
 * has some events from there and comes back on the kept connection. In the place of the answer to
 * this third try comes the answer to the second, which was asked to begin anew.
 *
 * The cause: all tries of an item carry one request id, and by that alone an answer was told from
 * others; and events that the text already had were skipped, so that the wrong run joined unseen.
 *
 * The evidence: the engine's own log of what each run was asked for, against the run that each
 * event of the text names.
 */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/support/surplus_engine.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"

#include <jansson.h>
#include <string.h>

#define SURPLUS_ID "surplus"
#define ITEM "runs-0"
/** Longest that an item needs in ms to be tried at each engine, tries at 50 to 1000 ms apart. */
#define TRY_LIMIT_MS 8000
#define POLL_MS 5
/** Longer in ms than a change of an engine's entry needs to reach all daemons. */
#define ENGINES_KNOWN_MS 2000
/** So many requests of one item at an engine: a refusal, and tries after it. */
#define TRIES_WANTED 3

static surplus_engine *surplus;

static void offer_surplus(bool is_ready) {
    static unsigned sequence;
    g_autofree char *entry = g_strdup_printf(
        "{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\",\"version\":\"v1\","
        "\"slots\":8,\"state\":\"%s\",\"warmup-left-ms\":0,\"sequence\":%u}",
        surplus_engine_port(surplus), is_ready ? "ready" : "draining", ++sequence);
    log_store_put(bench.store, TOPIC_ENGINES, SURPLUS_ID, entry);
}

/** Daemons send to the surplus engine alone, or to the others alone, a moment from now on. */
static void offer_engines(bool others) {
    for (int index = 0; index < BENCH_ENGINES; index++)
        token_engine_announce(bench.engines[index], bench.store, !others);
    offer_surplus(!others);
    hs_clock_sleep_ms(ENGINES_KNOWN_MS);
}

/** The surplus engine stands beside one that the tests steer. */
int begin_fleet_runs(void) {
    bench_prepare();
    surplus = surplus_engine_start(SURPLUS_ID, BENCH_EVENTS);
    int started = bench_start();
    offer_engines(false);
    return started;
}

int end_fleet_runs(void) {
    int ended = end_bench();
    surplus_engine_stop(surplus);
    return ended;
}

static bool wait_for_tries(uint32_t wanted) {
    uint64_t until_ms = hs_clock_monotonic_ms() + TRY_LIMIT_MS;
    while (surplus_engine_requests(surplus) < wanted && hs_clock_monotonic_ms() < until_ms)
        hs_clock_sleep_ms(POLL_MS);
    return surplus_engine_requests(surplus) >= wanted;
}

/** The engines refuse as soon as one of them has begun the item. Its result: not NULL if one has.
 */
static gpointer make_full_after_a_run(gpointer data) {
    (void)data;
    uint64_t until_ms = hs_clock_monotonic_ms() + TRY_LIMIT_MS;
    while (bench_runs(ITEM) == 0 && hs_clock_monotonic_ms() < until_ms)
        hs_clock_sleep_ms(POLL_MS);
    bench_set_engines(TOKEN_ENGINE_FULL);
    return GUINT_TO_POINTER(bench_runs(ITEM));
}

/** Where the surplus engine goes on in a text, its run must have been asked to. */
static void check_text(const char *text) {
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    CU_ASSERT_EQUAL(g_strv_length(lines), BENCH_EVENTS);
    uint32_t surplus_events = 0;
    for (uint32_t before = 0; lines[before] != NULL; before++) {
        char engine_id[TOKEN_ENGINE_ID_BYTES] = "";
        uint32_t event = 0;
        uint32_t run = 0;
        CU_ASSERT_TRUE(token_engine_read_event(lines[before], &event, engine_id, &run));
        CU_ASSERT_EQUAL(event, before + 1);
        if (strcmp(engine_id, SURPLUS_ID) != 0 || surplus_events++ > 0)
            continue;
        uint32_t asked_after = UINT32_MAX;
        CU_ASSERT_TRUE(surplus_engine_asked_after(surplus, run, &asked_after));
        CU_ASSERT_EQUAL(asked_after, before);
    }
    CU_ASSERT(surplus_events > 0);
}

static void an_answer_to_an_earlier_try_is_not_taken_for_this_one(void) {
    CU_ASSERT_EQUAL(submit_job(0, "runs", 1), 202);
    CU_ASSERT_TRUE(wait_for_tries(TRIES_WANTED));
    bench_set_engines(TOKEN_ENGINE_BREAKS); /* Some events come from there, */
    GThread *full = g_thread_new("full", make_full_after_a_run, NULL); /* and no more. */
    offer_engines(true);
    CU_ASSERT_NOT_EQUAL(g_thread_join(full), NULL);
    offer_engines(false);
    g_autofree char *page = bench_wait_job(0, "runs", 1, JOB_LIMIT_MS);
    bench_set_engines(TOKEN_ENGINE_SOUND);
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page == NULL)
        return;
    json_t *root = json_loads(page, 0, NULL);
    const json_t *result = json_array_get(json_object_get(root, "results"), 0);
    check_text(json_string_value(json_object_get(result, "message")));
    json_decref(root);
}

/** Set what the engines do once a request has been begun @p runs times. */
static void after_runs(const char *request_id, uint32_t runs, token_engine_mode mode) {
    uint64_t until_ms = hs_clock_monotonic_ms() + TRY_LIMIT_MS;
    while (bench_runs(request_id) < runs && hs_clock_monotonic_ms() < until_ms)
        hs_clock_sleep_ms(POLL_MS);
    CU_ASSERT(bench_runs(request_id) >= runs);
    bench_set_engines(mode);
}

static uint64_t count_misplaced(void) {
    static const char name[] = "\nheathsail_runs_misplaced ";
    uint64_t misplaced = 0;
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++) {
        bench_answer metrics = bench_send(&(bench_call){
            .method = "GET", .target = "/metrics", .port = bench_metrics_port(daemon)});
        const char *line = strstr(metrics.body, name);
        if (line != NULL)
            misplaced += g_ascii_strtoull(line + strlen(name), NULL, 10);
        bench_answer_clear(&metrics);
    }
    return misplaced;
}

/** An engine passes over what it was asked, once: nothing of that run is taken, the next one is. */
static void a_run_that_begins_anew_is_not_taken_and_the_next_one_is(void) {
    offer_engines(true);
    uint64_t before = count_misplaced();
    bench_set_engines(TOKEN_ENGINE_BREAKS);
    CU_ASSERT_EQUAL(submit_job(1, "anew", 1), 202);
    after_runs("anew-0", 1, TOKEN_ENGINE_OVERLOOKS);
    after_runs("anew-0", 2, TOKEN_ENGINE_SOUND);
    g_autofree char *page = bench_wait_job(0, "anew", 1, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page != NULL)
        check_job_results(page, 1);
    CU_ASSERT_EQUAL(count_misplaced(), before + 1);
}

const test_case fleet_run_system_tests[] = {
    {"an_answer_to_an_earlier_try_is_not_taken_for_this_one",
     an_answer_to_an_earlier_try_is_not_taken_for_this_one},
    {"a_run_that_begins_anew_is_not_taken_and_the_next_one_is",
     a_run_that_begins_anew_is_not_taken_and_the_next_one_is},
    {NULL, NULL}};
