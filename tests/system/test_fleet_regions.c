/**
 * @file test_fleet_regions.c
 * System tests of allowed regions: a daemon in each of three regions, an engine in each of two.
 */
#include "base/clock.h"
#include "http/http_fields.h"
#include "platform/names.h"
#include "tests/support/fault_proxy.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/job_end_calls.h"
#include "tests/system/system_tests.h"

#include <signal.h>
#include <string.h>

/** Time in ms within which all daemons apply a configuration. */
#define APPLY_MS 700
/** Time in ms within which a refusal that waits for nothing is answered. */
#define AT_ONCE_MS 100
/** Time in ms within which daemons find a dead engine and probe it again after its restart. */
#define RECOVERY_MS 8000
/** Enough jobs that each daemon owns some of their partitions. */
#define FORWARDED_JOBS 24
/** Jobs of one item each that an engine runs at the same time. */
#define RUNNING_JOBS 7
/** Time in ms within which a daemon has written its log lines. */
#define LOG_MS 500
/** Time in ms within which the partitions of a lost daemon have other owners. */
#define OWNER_LOSS_MS 6000
#define NO_DAEMON_METRIC "heathsail_job_items_waiting{reason=\"no_daemon_in_region\"} "
#define NEAR_ENGINE 0
#define FAR_ENGINE 1

#define ALLOW(region) "\"allowed-regions\":[\"" region "\"],"

static const char *const zones[] = {"akl-a", "wlg-a", "chc-a"};
static char log_directory[] = "/tmp/heathsail-regions-XXXXXX";
static int version = 100;

static void configure(const char *members) {
    bench.settings.route_members = members;
    bench_configure(++version);
    hs_clock_sleep_ms(APPLY_MS);
}

int begin_fleet_regions(void) {
    if (strstr(log_directory, "XXXXXX") != NULL && g_mkdtemp(log_directory) == NULL)
        return -1;
    bench.settings = (bench_settings){.zones = zones,
                                      .zone_regions = "akl-a:akl,wlg-a:wlg,chc-a:chc",
                                      .log_directory = log_directory};
    return bench_set_up();
}

int end_fleet_regions(void) {
    int ended = bench_tear_down();
    bench.settings = (bench_settings){0};
    return ended;
}

static uint32_t runs_at(int engine, const char *id) {
    return token_engine_run_count(bench.engines[engine], id);
}

/** Sends a request and returns its status; @p took_ms: until the answer. */
static uint32_t post(int daemon, const char *id, uint64_t *took_ms) {
    uint64_t start_ms = hs_clock_monotonic_ms();
    bench_answer answer = post_request(daemon, "/plain/x", id);
    uint32_t status = answer.status;
    CU_ASSERT_EQUAL(status == 503, hs_http_fields_find(answer.fields, "Retry-After") != NULL);
    *took_ms = hs_clock_monotonic_ms() - start_ms;
    bench_answer_clear(&answer);
    return status;
}

/** Whether a daemon's output has a line with both texts. */
static bool has_logged(int daemon, const char *first, const char *second) {
    g_autofree char *path = g_strdup_printf("%s/daemon-%d.log", log_directory, daemon);
    g_autofree char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL))
        return false;
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    bool is_found = false;
    for (int index = 0; lines[index] != NULL && !is_found; index++)
        is_found = strstr(lines[index], first) != NULL && strstr(lines[index], second) != NULL;
    return is_found;
}

/** Guards against a run outside of the regions, from whichever daemon, and after a change. */
static void requests_run_in_allowed_regions(void) {
    uint64_t took_ms = 0;
    configure(ALLOW("wlg"));
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        for (int call = 0; call < 20; call++)
            CU_ASSERT_EQUAL(post(daemon, "to-wlg", &took_ms), 200);
    CU_ASSERT_EQUAL(runs_at(NEAR_ENGINE, "to-wlg"), 0);
    CU_ASSERT_EQUAL(runs_at(FAR_ENGINE, "to-wlg"), 60);
    hs_clock_sleep_ms(LOG_MS);
    CU_ASSERT_TRUE(has_logged(0, "request=to-wlg", "region=wlg"));
    configure(ALLOW("akl"));
    for (int call = 0; call < 20; call++)
        CU_ASSERT_EQUAL(post(1, "to-akl", &took_ms), 200);
    CU_ASSERT_EQUAL(runs_at(FAR_ENGINE, "to-akl"), 0);
}

/** Guards against a refusal that comes late, without a reason of its own, or after a run. */
static void requests_without_a_region_are_refused_at_once(void) {
    static const struct {
        const char *members;
        const char *reason;
    } cases[] = {{ALLOW("chc"), "no_engine_in_region"}, {ALLOW("dud"), "no_allowed_region"}};
    for (size_t index = 0; index < G_N_ELEMENTS(cases); index++) {
        uint64_t took_ms = 0;
        configure(cases[index].members);
        g_autofree char *metric =
            g_strdup_printf("heathsail_requests_ended{reason=\"%s\"} ", cases[index].reason);
        CU_ASSERT_EQUAL(post(0, cases[index].reason, &took_ms), 503);
        CU_ASSERT(took_ms < AT_ONCE_MS);
        CU_ASSERT_EQUAL(get_daemon_metric(0, metric), 1);
        CU_ASSERT_EQUAL(bench_run_count(cases[index].reason), 0);
    }
    CU_ASSERT_EQUAL(submit_job(0, "job-nowhere", 2), 503);
}

/** Guards against a failover out of the regions, and against one that fails to end. */
static void a_lost_region_is_not_replaced_by_another(void) {
    uint64_t took_ms = 0;
    configure(ALLOW("wlg"));
    token_engine_crash(bench.engines[FAR_ENGINE]);
    for (int call = 0; call < 10; call++)
        CU_ASSERT_EQUAL(post(0, "lost", &took_ms), 503);
    CU_ASSERT_EQUAL(bench_run_count("lost"), 0);
    bench_answer other = post_request(0, "/again/s", "unrestricted");
    CU_ASSERT_EQUAL(other.status, 200);
    bench_answer_clear(&other);
    token_engine_restart(bench.engines[FAR_ENGINE], "engine-1");
    token_engine_announce(bench.engines[FAR_ENGINE], bench.store, false);
    uint64_t until_ms = hs_clock_monotonic_ms() + RECOVERY_MS;
    while (post(0, "back", &took_ms) != 200 && hs_clock_monotonic_ms() < until_ms)
        hs_clock_sleep_ms(50);
    CU_ASSERT_EQUAL(runs_at(FAR_ENGINE, "back"), 1);
    CU_ASSERT_EQUAL(runs_at(NEAR_ENGINE, "back"), 0);
}

/** Guards against items that run outside of the regions, or that are lost while they wait. */
static void items_wait_for_an_engine_in_their_region(void) {
    configure(ALLOW("chc"));
    CU_ASSERT_EQUAL(submit_job(0, "job-waits", 6), 202);
    hs_clock_sleep_ms(1500);
    int waiting = 0;
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        waiting += get_daemon_metric(
            daemon, "heathsail_job_items_waiting{reason=\"no_engine_in_region\"} ");
    CU_ASSERT_EQUAL(waiting, 6);
    CU_ASSERT_EQUAL(bench_run_count("job-waits-0"), 0);
    configure(ALLOW("wlg"));
    g_autofree char *page = bench_wait_job(0, "job-waits", 6, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    for (int item = 0; item < 6; item++) {
        g_autofree char *id = g_strdup_printf("job-waits-%d", item);
        CU_ASSERT_EQUAL(runs_at(NEAR_ENGINE, id), 0);
        CU_ASSERT(runs_at(FAR_ENGINE, id) > 0);
    }
}

/**
 * Each daemon owns some of the jobs' partitions. Guards against an owner outside of the regions
 * that reads and runs the items, and against items that nobody runs.
 */
static void items_are_run_by_daemons_in_allowed_regions(void) {
    configure(ALLOW("wlg"));
    for (int job = 0; job < FORWARDED_JOBS; job++) {
        g_autofree char *id = g_strdup_printf("job-inside-%d", job);
        CU_ASSERT_EQUAL(submit_job(job % BENCH_DEFAULT_DAEMONS, id, 2), 202);
    }
    for (int job = 0; job < FORWARDED_JOBS; job++) {
        g_autofree char *id = g_strdup_printf("job-inside-%d", job);
        g_autofree char *page = bench_wait_job(0, id, 2, JOB_LIMIT_MS);
        CU_ASSERT_PTR_NOT_NULL(page);
        for (int item = 0; item < 2; item++) {
            g_autofree char *item_id = g_strdup_printf("%s-%d", id, item);
            CU_ASSERT_EQUAL(runs_at(FAR_ENGINE, item_id), 1);
        }
    }
    hs_clock_sleep_ms(LOG_MS);
    CU_ASSERT_TRUE(has_logged(1, "item_started", "job=job-inside-"));
    CU_ASSERT_FALSE(has_logged(0, "item_started", "job=job-inside-"));
    CU_ASSERT_FALSE(has_logged(2, "item_started", "job=job-inside-"));
}

/**
 * Guards against items that stay with a lost daemon, or move out of their region when all of its
 * daemons are lost.
 */
static void items_wait_for_a_daemon_in_their_region(void) {
    configure(ALLOW("chc\",\"wlg"));
    CU_ASSERT_EQUAL(bench_signal_daemon(1, SIGKILL), -1);
    hs_clock_sleep_ms(APPLY_MS);
    CU_ASSERT_EQUAL(submit_job(0, "job-chc", 4), 202);
    g_autofree char *page = bench_wait_job(0, "job-chc", 4, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    configure(ALLOW("wlg"));
    CU_ASSERT_EQUAL(submit_job(0, "job-later", 4), 202);
    hs_clock_sleep_ms(OWNER_LOSS_MS);
    int waiting = get_daemon_metric(0, NO_DAEMON_METRIC) + get_daemon_metric(2, NO_DAEMON_METRIC);
    CU_ASSERT_EQUAL(waiting, 4);
    CU_ASSERT_TRUE(bench_start_daemon(1, false));
    CU_ASSERT_TRUE(bench_wait_ready(1));
    g_autofree char *later = bench_wait_job(0, "job-later", 4, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(later);
    CU_ASSERT_FALSE(has_logged(0, "item_started", "job=job-later"));
    CU_ASSERT_FALSE(has_logged(2, "item_started", "job=job-later"));
}

/**
 * The store rejects the daemon in akl; daemons in wlg and chc reach it. Guards against a body that
 * is forwarded to a region that is neither allowed nor the caller's.
 */
static void bodies_are_forwarded_to_allowed_regions_only(void) {
    configure(ALLOW("wlg"));
    fault_proxy *proxy = fault_proxy_start(log_store_port(bench.store));
    bench_signal_daemon(0, SIGKILL);
    bench.store_ports[0] = fault_proxy_port(proxy);
    CU_ASSERT_TRUE(bench_start_daemon(0, false));
    CU_ASSERT_TRUE(bench_wait_ready(0));
    hs_clock_sleep_ms(5000); /* Lets owners be assigned and known. */
    fault_proxy_set_mode(proxy, PROXY_RESETS);
    hs_clock_sleep_ms(1500); /* Lets calls to the store fail. */
    uint32_t taken = 0;
    for (int job = 0; job < FORWARDED_JOBS; job++) {
        g_autofree char *id = g_strdup_printf("job-forwarded-%d", job);
        taken += submit_job(0, id, 2) == 202;
    }
    hs_clock_sleep_ms(LOG_MS);
    CU_ASSERT(taken > 0);
    CU_ASSERT_TRUE(has_logged(1, "job_stored", "job=job-forwarded-"));
    CU_ASSERT_FALSE(has_logged(2, "job_stored", "job=job-forwarded-"));
    fault_proxy_set_mode(proxy, PROXY_FORWARDS);
    bench_signal_daemon(0, SIGKILL);
    bench.store_ports[0] = 0;
    CU_ASSERT_TRUE(bench_start_daemon(0, false));
    CU_ASSERT_TRUE(bench_wait_ready(0));
    fault_proxy_stop(proxy);
}

/** Guards against an end that is reported to the owner only, and not to the daemon that runs. */
static void ends_reach_the_daemon_that_runs_items_for_another_region(void) {
    const job_group waiting = {"job-waiting", FORWARDED_JOBS, 1};
    const job_group running = {"job-running", RUNNING_JOBS, 1};
    configure(ALLOW("wlg"));
    CU_ASSERT_TRUE(wait_for_settled_owners());
    bench_set_engine_modes(TOKEN_ENGINE_ENDLESS);
    submit_jobs(&running);
    CU_ASSERT_TRUE(wait_for_open_runs(RUNNING_JOBS, RUNNING_MS));
    submit_refused_jobs(&waiting);
    silence_reads();
    CU_ASSERT_EQUAL(count_open_engine_runs(), RUNNING_JOBS);
    for (int job = 0; job < RUNNING_JOBS; job++)
        CU_ASSERT_TRUE(end_job_of(&running, job, job % 2 == 0 ? 0 : 2));
    CU_ASSERT_TRUE(wait_for_engine_runs_to_end(STOP_MS));
    for (int job = 0; job < FORWARDED_JOBS; job++)
        CU_ASSERT_TRUE(end_job_of(&waiting, job, job % 2 == 0 ? 0 : 2));
    silence_store();
    CU_ASSERT_EQUAL(count_late_runs(&waiting), 0);
    heal_store();
    CU_ASSERT_TRUE(wait_for_settled_owners());
}

/** Returns which daemons an answer names, as digits. */
static char *resolve(const char *query) {
    g_autofree char *target = g_strdup_printf(PATH_RESOLVE "?%s", query);
    bench_answer answer = bench_send(
        &(bench_call){.method = "GET", .target = target, .port = bench_directory_port(1)});
    GString *named = g_string_new(NULL);
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++) {
        g_autofree char *address = g_strdup_printf("127.0.0.1:%u", bench_front_port(daemon));
        if (answer.status == 200 && strstr(answer.body, address) != NULL)
            g_string_append_printf(named, "%d", daemon);
    }
    bench_answer_clear(&answer);
    return g_string_free(named, FALSE);
}

/** Guards against answers that send callers of a restricted host to other regions. */
static void addresses_follow_the_routes_of_the_host(void) {
    static const struct {
        const char *query;
        const char *named;
    } cases[] = {{"name=" BENCH_HOST "&zone=akl-a", "01"},
                 {"name=" BENCH_HOST "&region=chc", "12"},
                 {"name=" BENCH_HOST, "1"},
                 {"name=other&zone=akl-a", "012"}};
    configure(ALLOW("wlg"));
    for (size_t index = 0; index < G_N_ELEMENTS(cases); index++) {
        g_autofree char *named = resolve(cases[index].query);
        CU_ASSERT_STRING_EQUAL(named, cases[index].named);
    }
}

const test_case fleet_region_system_tests[] = {
    {"requests_run_in_allowed_regions", requests_run_in_allowed_regions},
    {"requests_without_a_region_are_refused_at_once",
     requests_without_a_region_are_refused_at_once},
    {"a_lost_region_is_not_replaced_by_another", a_lost_region_is_not_replaced_by_another},
    {"items_wait_for_an_engine_in_their_region", items_wait_for_an_engine_in_their_region},
    {"items_are_run_by_daemons_in_allowed_regions", items_are_run_by_daemons_in_allowed_regions},
    {"ends_reach_the_daemon_that_runs_items_for_another_region",
     ends_reach_the_daemon_that_runs_items_for_another_region},
    {"items_wait_for_a_daemon_in_their_region", items_wait_for_a_daemon_in_their_region},
    {"addresses_follow_the_routes_of_the_host", addresses_follow_the_routes_of_the_host},
    {"bodies_are_forwarded_to_allowed_regions_only", bodies_are_forwarded_to_allowed_regions_only},
    {NULL, NULL},
};
