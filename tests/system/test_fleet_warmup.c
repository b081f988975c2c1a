/** @file test_fleet_warmup.c  Requests to engines that turn cold under load, over real processes.
 */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"

#define CALLERS 24
#define RATE_PER_S 4
#define COLD_MS 7000
/** Time until the daemons are up for long enough to grant permits. */
#define SETTLE_MS 5000
/** Time in ms within which a change of an engine's entry reaches all daemons. */
#define ENTRY_PROPAGATION_MS 2000
#define RETRY_PAUSE_MS 20
/** Time in ms in which all daemons open connections to both engines, after the engines' warm-up. */
#define CONNECT_MS 1000
/** Callers at a restart, enough to use all slots of both engines, and the engines' limit. */
#define RESTART_CALLERS 48
#define RESTART_RATE_PER_S 2
/** Time in ms from a restart in which the engine's requests are counted. */
#define AFTER_RESTART_MS 2500

int begin_warmup(void) {
    if (bench_set_up() != 0)
        return -1;
    log_store_put(
        bench.store, TOPIC_CONFIG, KEY_CONFIG,
        "{\"version\":9,\"routes\":["
        "{\"name\":\"plain\",\"host\":\"" BENCH_HOST "\",\"path-prefix\":\"/plain/\","
        "\"kind\":\"idempotent\",\"timeout-ms\":2000,\"target-latency-ms\":500,"
        "\"service\":\"llm\",\"max-attempts\":3}],"
        "\"services\":[{\"name\":\"llm\",\"health-check\":\"/h\",\"max-connections\":1000,"
        "\"warmup-s\":7,\"warmup-per-s\":4}],"
        "\"limits\":{\"max-header-bytes\":8192,\"max-body-bytes\":100000,"
        "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}");
    hs_clock_sleep_ms(SETTLE_MS);
    return 0;
}

static void announce_cold_engines(void) {
    for (int index = 0; index < BENCH_ENGINES; index++) {
        g_autofree char *entry = g_strdup_printf(
            "{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\","
            "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"warmup-left-ms\":%d,"
            "\"sequence\":100}",
            token_engine_port(bench.engines[index]), COLD_MS);
        log_store_put(bench.store, TOPIC_ENGINES, token_engine_id(bench.engines[index]), entry);
    }
}

typedef struct {
    int number;
    uint64_t until_ms;
} caller;

/** Sends requests one after the other, as long as engines are cold and for a while after. */
static gpointer send_requests(gpointer data) {
    const caller *sending = data;
    for (int sent = 0; hs_clock_monotonic_ms() < sending->until_ms; sent++) {
        g_autofree char *id = g_strdup_printf("cold-%d-%d", sending->number, sent);
        bench_answer answer = post_request(sending->number % BENCH_DEFAULT_DAEMONS, "/plain/x", id);
        bench_answer_clear(&answer);
        hs_clock_sleep_ms(RETRY_PAUSE_MS);
    }
    return NULL;
}

/** Counts the engine's calls that began in a time. */
static uint32_t count_calls(token_engine *engine, uint64_t from_ms, uint64_t until_ms) {
    uint32_t count = 0;
    token_engine_call call;
    for (uint32_t number = 0; token_engine_find_call(engine, number, &call); number++)
        count += call.begun_ms >= from_ms && call.begun_ms < until_ms;
    return count;
}

/** Lets @p count callers send until @p until_ms. */
static void run_callers(int count, uint64_t until_ms) {
    g_autofree caller *callers = g_new(caller, (gsize)count);
    g_autofree GThread **threads = g_new(GThread *, (gsize)count);
    for (int index = 0; index < count; index++) {
        callers[index] = (caller){.number = index, .until_ms = until_ms};
        threads[index] = g_thread_new("caller", send_requests, &callers[index]);
    }
    for (int index = 0; index < count; index++)
        g_thread_join(threads[index]);
}

/** Returns the most calls of the engine in any second of a time. */
static uint32_t count_most_calls(token_engine *engine, uint64_t from_ms, uint64_t until_ms) {
    uint32_t most = 0;
    for (uint64_t second = from_ms; second + 1000 <= until_ms; second += 10)
        most = MAX(most, count_calls(engine, second, second + 1000));
    return most;
}

/** Guards against daemons that together send a cold engine more than it can handle, or nothing. */
static void cold_engines_get_requests_within_their_limit(void) {
    uint64_t announced_ms = hs_clock_monotonic_ms();
    announce_cold_engines();
    uint64_t warm_ms = announced_ms + COLD_MS;
    hs_clock_sleep_ms(ENTRY_PROPAGATION_MS);
    uint64_t from_ms = hs_clock_monotonic_ms();
    run_callers(CALLERS, warm_ms + ENTRY_PROPAGATION_MS);
    for (int index = 0; index < BENCH_ENGINES; index++) {
        token_engine *engine = bench.engines[index];
        uint32_t most = count_most_calls(engine, from_ms, warm_ms);
        uint32_t cold = count_calls(engine, from_ms, warm_ms);
        uint32_t warm = count_calls(engine, warm_ms, warm_ms + 2 * ENTRY_PROPAGATION_MS);
        g_print("# engine=%d cold_calls=%u in_ms=%u most_in_a_second=%u warm_calls=%u\n", index,
                cold, (unsigned)(warm_ms - from_ms), most, warm);
        CU_ASSERT(most <= RATE_PER_S * 1.5 + 5);
        CU_ASSERT(cold * 1000.0 >= 0.8 * RATE_PER_S * (double)(warm_ms - from_ms));
        CU_ASSERT(cold * 1000.0 <= RATE_PER_S * (double)(warm_ms - from_ms) + 2000);
        CU_ASSERT(warm > cold);
    }
}

/**
 * The engine restarts at once, and its new entry is not written. Guards against daemons that send
 * it as many requests as a warm engine until its first answer.
 */
static void a_restarted_engine_gets_its_limit_before_its_entry_is_read(void) {
    token_engine *engine = bench.engines[0];
    g_autofree char *id = g_strdup(token_engine_id(engine));
    run_callers(RESTART_CALLERS, hs_clock_monotonic_ms() + CONNECT_MS);
    token_engine_crash(engine);
    bench_set_engine_modes(TOKEN_ENGINE_SLOW); /* First answers are late, and slots are short. */
    token_engine_restart(engine, id);
    uint64_t from_ms = hs_clock_monotonic_ms();
    run_callers(RESTART_CALLERS, from_ms + AFTER_RESTART_MS);
    uint32_t most = count_most_calls(engine, from_ms, from_ms + AFTER_RESTART_MS);
    uint32_t count = count_calls(engine, from_ms, from_ms + AFTER_RESTART_MS);
    g_print("# restarted: calls=%u most_in_a_second=%u\n", count, most);
    CU_ASSERT(most <= RESTART_RATE_PER_S * 1.5 + 5);
    CU_ASSERT(count >= RESTART_RATE_PER_S);
}

int begin_warmup_restart(void) {
    bench.settings =
        (bench_settings){.warmup_s = COLD_MS / 1000, .warmup_per_s = RESTART_RATE_PER_S};
    if (bench_set_up() != 0)
        return -1;
    hs_clock_sleep_ms(COLD_MS + SETTLE_MS);
    return 0;
}

int end_warmup_restart(void) {
    bench.settings = (bench_settings){0};
    return bench_tear_down();
}

const test_case fleet_warmup_restart_system_tests[] = {
    {"a_restarted_engine_gets_its_limit_before_its_entry_is_read",
     a_restarted_engine_gets_its_limit_before_its_entry_is_read},
    {NULL, NULL}};

const test_case fleet_warmup_system_tests[] = {
    {"cold_engines_get_requests_within_their_limit", cold_engines_get_requests_within_their_limit},
    {NULL, NULL}};
