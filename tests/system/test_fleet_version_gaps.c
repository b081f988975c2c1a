/**
 * @file test_fleet_version_gaps.c
 * System tests of daemons that are out of step while software versions change: streams that they
 * take up are refused rather than joined from two versions.
 */
#include "base/clock.h"
#include "base/hash.h"
#include "platform/names.h"
#include "tests/support/socket_filter.h"
#include "tests/support/store_proxies.h"
#include "tests/system/crash_calls.h"
#include "tests/system/system_tests.h"
#include "tests/system/version_calls.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>

/** Time for which the entry of a withdrawn engine stands. */
#define WITHDRAWN_LISTED_MS 6000
/** From a change of the list of engines until all daemons in touch with the store know it. */
#define LIST_PROPAGATION_MS 1000
/** From a daemon's start until it has joined the others and has a list of engines. */
#define JOIN_MS 3000
/** Streams sent until one begins at the withdrawn engine. */
#define MAX_BEGUN_STREAMS 40
/** Daemons and streams of a release that one daemon misses. */
#define GAP_DAEMONS 8
#define MISSED_STREAMS 12
/** Faults for which a daemon stays cut from the store. */
#define CUT_TURNS 4
/** Below the stall detector's HS_MIN_STALL_MS, and above it. */
#define SHORT_STOP_MS 800
#define ISOLATED_MS 1500

static const char *const sole_version[CRASH_FLEET_ENGINES] = {"v1", "v1", "v1", "v1", "v1", "v1"};

/** Puts proxies between the store and the daemons, which are restarted for it. */
static void use_store_proxies(void) {
    if (store_proxies[0] != NULL)
        return;
    store_proxies_start();
    kill_and_restart_all_daemons();
}

/** Cuts one daemon after the other from the store, every second time one way only. */
static void cut_next_daemon_from_store(int turn) {
    int daemon = turn / CUT_TURNS % VERSION_DAEMONS;
    for (int other = 0; other < VERSION_DAEMONS; other++)
        fault_proxy_set_mode(store_proxies[other], other != daemon   ? PROXY_FORWARDS
                                                   : daemon % 2 == 0 ? PROXY_BLOCKS_ALL
                                                                     : PROXY_BLOCKS_ANSWERS);
    crash_two_engines(turn);
}

/** Suspends a daemon for less than what its stall detector notices. */
static void suspend_next_daemon_shortly(int turn) {
    bench_signal_daemon(turn % VERSION_DAEMONS, SIGSTOP);
    crash_two_engines(turn);
    hs_clock_sleep_ms(SHORT_STOP_MS);
    bench_signal_daemon(turn % VERSION_DAEMONS, SIGCONT);
}

/** Cuts a daemon from the others, which neither answer it nor are heard. */
static void suspend_all_but_one(int turn) {
    for (int daemon = 0; daemon < VERSION_DAEMONS; daemon++)
        if (daemon != turn % VERSION_DAEMONS)
            bench_signal_daemon(daemon, SIGSTOP);
    crash_two_engines(turn);
    hs_clock_sleep_ms(ISOLATED_MS);
    for (int daemon = 0; daemon < VERSION_DAEMONS; daemon++)
        bench_signal_daemon(daemon, SIGCONT);
}

/** Kills all daemons but one, which does not run meanwhile. */
static void kill_all_but_a_suspended_daemon(int turn) {
    int suspended = turn % VERSION_DAEMONS;
    bench_signal_daemon(suspended, SIGSTOP);
    crash_two_engines(turn);
    for (int daemon = 0; daemon < VERSION_DAEMONS; daemon++)
        if (daemon != suspended)
            bench_signal_daemon(daemon, SIGKILL);
    for (int daemon = 0; daemon < VERSION_DAEMONS; daemon++)
        if (daemon != suspended)
            bench_start_daemon(daemon, false);
    hs_clock_sleep_ms(ISOLATED_MS);
    bench_signal_daemon(suspended, SIGCONT);
    for (int daemon = 0; daemon < VERSION_DAEMONS; daemon++)
        CU_ASSERT_TRUE(bench_wait_ready(daemon));
}

static void no_stream_is_joined_at_a_daemon_that_is_cut_from_the_store(void) {
    use_store_proxies();
    call_beside_faults("cut-from-store", cut_next_daemon_from_store, FAULT_DELAY_MS);
    for (int daemon = 0; daemon < VERSION_DAEMONS; daemon++)
        fault_proxy_set_mode(store_proxies[daemon], PROXY_FORWARDS);
}

static void no_stream_is_joined_at_a_daemon_that_stood_still_unnoticed(void) {
    call_beside_faults("stopped-shortly", suspend_next_daemon_shortly, FAULT_DELAY_MS);
}

static void no_stream_is_joined_at_a_daemon_that_is_cut_from_the_others(void) {
    call_beside_faults("cut-from-others", suspend_all_but_one, FAULT_DELAY_MS);
}

static void no_stream_is_joined_at_a_daemon_that_outlives_the_others(void) {
    call_beside_faults("others-killed", kill_all_but_a_suspended_daemon, FAULT_DELAY_MS);
}

/** Returns the daemon that has a rank, from 0, for recording the service's versions. */
static int find_recorder(const char *service, int rank) {
    uint64_t weights[VERSION_DAEMONS];
    for (int daemon = 0; daemon < VERSION_DAEMONS; daemon++) {
        g_autofree char *id = g_strdup_printf("front-%d", daemon);
        weights[daemon] = hs_hash_pair(service, id);
    }
    for (int daemon = 0; daemon < VERSION_DAEMONS; daemon++) {
        int before = 0;
        for (int other = 0; other < VERSION_DAEMONS; other++)
            before += weights[other] > weights[daemon];
        if (before == rank)
            return daemon;
    }
    return 0;
}

/** Starts the engine of a release and waits until all daemons that run know it. */
static token_engine *release_engine(const char *service) {
    token_engine *engine = token_engine_start(
        &(token_engine_settings){.id = WITHDRAWN_ID,
                                 .service = service,
                                 .pace = {.events = VERSION_EVENTS, .event_ms = VERSION_EVENT_MS},
                                 .version = WITHDRAWN_VERSION});
    token_engine_announce(engine, bench.store, false);
    hs_clock_sleep_ms(LIST_PROPAGATION_MS);
    return engine;
}

/** Begins streams until one receives events of the withdrawn engine; returns whether one did. */
static bool begin_at_withdrawn(caller_stream *stream, int daemon) {
    for (int number = 0; number < MAX_BEGUN_STREAMS; number++) {
        g_autofree char *id = g_strdup_printf("withdrawn-%d-first", number);
        *stream = (caller_stream){0};
        send_try(stream, daemon, id, FAULT_DELAY_MS);
        if (g_strcmp0(stream->version, WITHDRAWN_VERSION) == 0)
            return true;
    }
    return false;
}

/** Takes a stream up at each daemon, after all of them were killed and started again. */
static void take_up_after_all_were_killed(const caller_stream *stream, const char *title) {
    uint32_t mixed = 0;
    uint32_t went_on = 0;
    kill_and_restart_all_daemons();
    for (int daemon = 0; daemon < VERSION_DAEMONS; daemon++) {
        caller_stream taken_up = *stream;
        g_autofree char *id = g_strdup_printf("%s-%d-second", title, daemon);
        went_on += send_try(&taken_up, daemon, id, 0) > 0;
        mixed += taken_up.is_mixed;
        CU_ASSERT_FALSE(taken_up.is_out_of_order);
    }
    fprintf(stderr, "%s: of %d taken up, %u went on, %u mixed\n", title, VERSION_DAEMONS, went_on,
            mixed);
    CU_ASSERT_EQUAL(mixed, 0);
}

/** Begins a stream at an engine of a release, which is withdrawn; returns its engine. */
static token_engine *release_and_withdraw(caller_stream *stream, int daemon) {
    token_engine *engine = release_engine("llm");
    hs_clock_sleep_ms(WITHDRAWN_LISTED_MS);
    CU_ASSERT_TRUE(begin_at_withdrawn(stream, daemon));
    token_engine_crash(engine);
    log_store_put(bench.store, TOPIC_ENGINES, WITHDRAWN_ID, "");
    hs_clock_sleep_ms(LIST_PROPAGATION_MS);
    return engine;
}

/** Guards against a version that no daemon records, as the one that does has lost the store. */
static void a_withdrawn_version_is_known_after_all_daemons_were_killed(void) {
    int recorder = find_recorder("llm", 0);
    use_store_proxies();
    fault_proxy_set_mode(store_proxies[recorder], PROXY_BLOCKS_ALL);
    caller_stream stream;
    token_engine *engine = release_and_withdraw(&stream, (recorder + 1) % VERSION_DAEMONS);
    for (int daemon = 0; daemon < VERSION_DAEMONS; daemon++)
        bench_signal_daemon(daemon, SIGKILL);
    fault_proxy_set_mode(store_proxies[recorder], PROXY_FORWARDS);
    take_up_after_all_were_killed(&stream, "not recorded");
    token_engine_stop(engine);
}

/** Guards against a daemon that hears nothing and replaces the versions that others recorded. */
static void a_withdrawn_version_stays_known_beside_a_daemon_that_receives_nothing(void) {
    int deaf = find_recorder("llm", VERSION_DAEMONS - 1);
    use_store_proxies();
    hs_clock_sleep_ms(JOIN_MS);
    fault_proxy_set_mode(store_proxies[deaf], PROXY_BLOCKS_ANSWERS);
    CU_ASSERT_EQUAL(socket_filter_drop_datagrams(bench.pids[deaf], bench_control_port(deaf)), 1);
    caller_stream stream;
    token_engine *engine = release_and_withdraw(&stream, (deaf + 1) % VERSION_DAEMONS);
    for (int daemon = 0; daemon < VERSION_DAEMONS; daemon++)
        bench_signal_daemon(daemon, SIGKILL);
    fault_proxy_set_mode(store_proxies[deaf], PROXY_FORWARDS);
    take_up_after_all_were_killed(&stream, "replaced");
    token_engine_stop(engine);
}

/** Guards against a stream that goes on at the service to which its route moved before the kills.
 */
static void a_stream_of_a_moved_route_is_not_joined_after_all_daemons_were_killed(void) {
    token_engine *engine = release_engine("frail");
    hs_clock_sleep_ms(JOIN_MS);
    caller_stream stream = {0};
    CU_ASSERT(send_try(&stream, 0, "moved-first", FAULT_DELAY_MS) > 0);
    bench.settings.again_service = "frail";
    bench_configure(2);
    hs_clock_sleep_ms(JOIN_MS);
    take_up_after_all_were_killed(&stream, "moved");
    bench.settings.again_service = NULL;
    token_engine_stop(engine);
}

/** Guards against a daemon that lists engines anew and does not know that it missed some. */
static void a_daemon_that_missed_a_withdrawn_version_joins_no_stream(void) {
    caller_stream streams[MISSED_STREAMS];
    int begun = 0;
    bench_signal_daemon(0, SIGSTOP);
    token_engine *engine = release_engine("llm");
    for (int number = 0; number < MISSED_STREAMS; number++) {
        g_autofree char *id = g_strdup_printf("missed-%d-first", number);
        streams[begun] = (caller_stream){0};
        send_try(&streams[begun], 1, id, FAULT_DELAY_MS);
        begun += g_strcmp0(streams[begun].version, WITHDRAWN_VERSION) == 0;
    }
    CU_ASSERT(begun > 0);
    token_engine_crash(engine);
    log_store_put(bench.store, TOPIC_ENGINES, WITHDRAWN_ID, "");
    log_store_discard_records(bench.store, TOPIC_ENGINES);
    for (int daemon = 1; daemon < bench_daemon_count(); daemon++)
        bench_signal_daemon(daemon, SIGKILL);
    bench_signal_daemon(0, SIGCONT);
    CU_ASSERT_TRUE(bench_wait_ready(0));
    uint32_t mixed = 0;
    for (int number = 0; number < begun; number++) {
        g_autofree char *id = g_strdup_printf("missed-%d-second", number);
        send_try(&streams[number], 0, id, 0);
        mixed += streams[number].is_mixed;
    }
    fprintf(stderr, "missed release: of %d streams taken up, %u mixed\n", begun, mixed);
    CU_ASSERT_EQUAL(mixed, 0);
    token_engine_stop(engine);
}

/** More daemons than know a stream's origin. */
int begin_version_gaps(void) {
    bench.settings = (bench_settings){.daemons = GAP_DAEMONS};
    return begin_crashes_with_settings(
        &(crash_fleet_settings){.engines = 2,
                                .pace = {.events = VERSION_EVENTS, .event_ms = VERSION_EVENT_MS},
                                .versions = sole_version});
}

int begin_version_records(void) {
    bench.settings = (bench_settings){.daemons = VERSION_DAEMONS};
    return begin_crashes_with_settings(
        &(crash_fleet_settings){.engines = 2,
                                .pace = {.events = VERSION_EVENTS, .event_ms = VERSION_EVENT_MS},
                                .versions = sole_version});
}

int end_version_records(void) {
    for (int daemon = 0; daemon < VERSION_DAEMONS; daemon++)
        bench_signal_daemon(daemon, SIGKILL);
    store_proxies_stop();
    return end_versions();
}

const test_case fleet_version_gap_system_tests[] = {
    {"a_daemon_that_missed_a_withdrawn_version_joins_no_stream",
     a_daemon_that_missed_a_withdrawn_version_joins_no_stream},
    {NULL, NULL},
};

const test_case fleet_version_cut_system_tests[] = {
    {"no_stream_is_joined_at_a_daemon_that_is_cut_from_the_store",
     no_stream_is_joined_at_a_daemon_that_is_cut_from_the_store},
    {"no_stream_is_joined_at_a_daemon_that_stood_still_unnoticed",
     no_stream_is_joined_at_a_daemon_that_stood_still_unnoticed},
    {"no_stream_is_joined_at_a_daemon_that_is_cut_from_the_others",
     no_stream_is_joined_at_a_daemon_that_is_cut_from_the_others},
    {"no_stream_is_joined_at_a_daemon_that_outlives_the_others",
     no_stream_is_joined_at_a_daemon_that_outlives_the_others},
    {NULL, NULL},
};

const test_case fleet_version_record_system_tests[] = {
    {"a_withdrawn_version_is_known_after_all_daemons_were_killed",
     a_withdrawn_version_is_known_after_all_daemons_were_killed},
    {NULL, NULL},
};

const test_case fleet_version_loss_system_tests[] = {
    {"a_withdrawn_version_stays_known_beside_a_daemon_that_receives_nothing",
     a_withdrawn_version_stays_known_beside_a_daemon_that_receives_nothing},
    {NULL, NULL},
};

const test_case fleet_version_move_system_tests[] = {
    {"a_stream_of_a_moved_route_is_not_joined_after_all_daemons_were_killed",
     a_stream_of_a_moved_route_is_not_joined_after_all_daemons_were_killed},
    {NULL, NULL},
};
