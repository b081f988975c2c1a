/** @file end_checks.c  What must be there once all faults have ended; see soak.h. */
#include "base/clock.h"
#include "tests/soak/checks.h"
#include "tests/soak/soak.h"

#include <string.h>

/** Until all accepted jobs have ended; the longest text lasts 8 s. */
#define JOBS_LIMIT_MS 90000
#define CONFIG_LIMIT_MS 8000
#define LOOK_MS 100
/** Daemons that are asked for each job: all of them in turn, so that hundreds take no hour. */
#define ASKED_MOST 8

static void check_ready(void) {
    for (int daemon = 0; daemon < bench_daemons(); daemon++)
        soak_check_ready(daemon, bench_wait_ready(daemon));
}

static bool has_config(const char *metrics) {
    g_autofree char *wanted =
        g_strdup_printf("heathsail_config_version %d\n", record.config_version);
    return metrics != NULL && strstr(metrics, wanted) != NULL;
}

static void check_config(void) {
    uint64_t limit_ms = hs_clock_monotonic_ms() + CONFIG_LIMIT_MS;
    for (int daemon = 0; daemon < bench_daemons(); daemon++) {
        bench_answer metrics = {0};
        do {
            bench_answer_clear(&metrics);
            metrics = bench_send(&(bench_call){
                .method = "GET", .target = "/metrics", .port = bench_metrics_port(daemon)});
        } while (!has_config(metrics.body) && hs_clock_monotonic_ms() < limit_ms);
        soak_check_config(daemon, metrics.body);
        bench_answer_clear(&metrics);
    }
}

/** The results of a job at a daemon, once they are all there. */
static void check_job_at(int daemon, const char *job, uint32_t wanted, uint64_t limit_ms) {
    uint32_t listed = soak_read_job(daemon, job);
    bool was_ended = g_hash_table_contains(record.ended, job);
    while (listed < wanted && !was_ended && hs_clock_monotonic_ms() < limit_ms) {
        hs_clock_sleep_ms(LOOK_MS);
        listed = soak_read_job(daemon, job);
    }
    soak_check_listed(daemon, job, wanted, listed);
}

/** Every accepted job ends, with the same results at the daemons that are asked. */
static void check_jobs(void) {
    uint64_t limit_ms = hs_clock_monotonic_ms() + JOBS_LIMIT_MS;
    int asked = 0;
    GHashTableIter iterator;
    gpointer job = NULL;
    gpointer items = NULL;
    g_hash_table_iter_init(&iterator, record.jobs);
    while (g_hash_table_iter_next(&iterator, &job, &items))
        for (int count = 0; count < MIN(bench_daemons(), ASKED_MOST); count++)
            check_job_at(asked++ % bench_daemons(), job, (uint32_t)GPOINTER_TO_INT(items),
                         limit_ms);
}

void soak_check_end(void) {
    check_ready();
    check_config();
    check_jobs();
    soak_check_runs();
    soak_check_ends();
    soak_check_crashes();
}
