/** @file end_checks.c  Checks of the final state, after all faults have ended. */
#include "base/clock.h"
#include "tests/soak/checks.h"
#include "tests/soak/soak.h"

#include <string.h>

/** For all accepted jobs together; the longest text takes 8 s. */
#define JOBS_TIMEOUT_MS 90000
#define CONFIG_TIMEOUT_MS 8000
#define POLL_INTERVAL_MS 100
/** For the first request at a zone's engine after the last fault. */
#define ZONE_TIMEOUT_MS 10000
/** Daemons that each job is read from, to limit the duration; jobs rotate over all daemons. */
#define MAX_DAEMONS_PER_JOB 8

static void check_ready(void) {
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++)
        soak_check_ready(daemon, bench_wait_ready(daemon));
}

static void check_zones_serve(void) {
    for (int engine = 0; engine < BENCH_ENGINES; engine++)
        soak_check_zone_serves(engine, bench_front_port(engine), ZONE_TIMEOUT_MS);
}

static bool has_expected_config(const char *metrics) {
    g_autofree char *expected =
        g_strdup_printf("heathsail_config_version %d\n", record.config_version);
    return metrics != NULL && strstr(metrics, expected) != NULL;
}

static void check_config(void) {
    uint64_t deadline_ms = hs_clock_monotonic_ms() + CONFIG_TIMEOUT_MS;
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++) {
        bench_answer metrics = {0};
        do {
            bench_answer_clear(&metrics);
            metrics = bench_send(&(bench_call){
                .method = "GET", .target = "/metrics", .port = bench_metrics_port(daemon)});
        } while (!has_expected_config(metrics.body) && hs_clock_monotonic_ms() < deadline_ms);
        soak_check_config(daemon, metrics.body);
        bench_answer_clear(&metrics);
    }
}

/** Polls a daemon until it lists all results of a job, then checks their number. */
static void check_job_at(int daemon, const char *job, uint32_t expected, uint64_t deadline_ms) {
    uint32_t listed = soak_read_job(daemon, job);
    bool is_delete_requested = g_hash_table_contains(record.deleted_jobs, job);
    while (listed < expected && !is_delete_requested && hs_clock_monotonic_ms() < deadline_ms) {
        hs_clock_sleep_ms(POLL_INTERVAL_MS);
        listed = soak_read_job(daemon, job);
    }
    soak_check_listed(daemon, job, expected, listed);
}

/** Checks that every accepted job completes, with the same results at several daemons. */
static void check_jobs(void) {
    uint64_t deadline_ms = hs_clock_monotonic_ms() + JOBS_TIMEOUT_MS;
    int read_count = 0;
    GHashTableIter iterator;
    gpointer job = NULL;
    gpointer items = NULL;
    g_hash_table_iter_init(&iterator, record.accepted_jobs);
    while (g_hash_table_iter_next(&iterator, &job, &items))
        for (int count = 0; count < MIN(bench_daemon_count(), MAX_DAEMONS_PER_JOB); count++)
            check_job_at(read_count++ % bench_daemon_count(), job, (uint32_t)GPOINTER_TO_INT(items),
                         deadline_ms);
}

void soak_check_end(void) {
    check_ready();
    check_config();
    check_zones_serve();
    check_jobs();
    soak_check_runs();
    soak_check_ends();
    soak_check_sends_after_ends();
    soak_check_crashes();
    soak_check_operations();
    soak_check_stop_requests();
}
