/** @file job_end_calls.c  See job_end_calls.h. */
#include "tests/system/job_end_calls.h"

#include "base/clock.h"
#include "platform/names.h"
#include "tests/system/fleet_calls.h"

#include <CUnit/CUnit.h>
#include <string.h>

/** Time in ms for which the owners stay the same, and the limit for that. */
#define SETTLED_MS 2500
#define SETTLE_LIMIT_MS 20000
#define POLL_MS 50

/**
 * Whether all partitions have owners with recent folds; @p owned: their count by daemon. An
 * earlier build has no metric of held partitions.
 */
static bool has_owners(int *owned) {
    int sum = 0;
    int held = 0;
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++) {
        owned[daemon] = get_daemon_metric(daemon, "heathsail_job_partitions_owned ");
        sum += owned[daemon];
        held += MAX(get_daemon_metric(daemon, "heathsail_job_partitions_held "), 0);
    }
    return sum == BENCH_PARTITIONS && held == 0;
}

bool wait_for_settled_owners(void) {
    int known[BENCH_MAX_DAEMONS] = {0};
    int owned[BENCH_MAX_DAEMONS] = {0};
    uint64_t since_ms = hs_clock_monotonic_ms();
    uint64_t until_ms = since_ms + SETTLE_LIMIT_MS;
    uint64_t now_ms = since_ms;
    while (now_ms < since_ms + SETTLED_MS && now_ms < until_ms) {
        bool is_same = has_owners(owned) && memcmp(owned, known, sizeof owned) == 0;
        now_ms = hs_clock_monotonic_ms();
        if (!is_same)
            since_ms = now_ms;
        memcpy(known, owned, sizeof known);
        hs_clock_sleep_ms(POLL_MS);
    }
    return now_ms < until_ms;
}

void submit_jobs(const job_group *group) {
    for (int job = 0; job < group->jobs; job++) {
        g_autofree char *id = g_strdup_printf("%s-%d", group->prefix, job);
        CU_ASSERT_EQUAL(submit_job(job % bench_daemon_count(), id, group->items), 202);
    }
}

void submit_refused_jobs(const job_group *group) {
    bench_set_engine_modes(TOKEN_ENGINE_FULL);
    submit_jobs(group);
    hs_clock_sleep_ms(REFUSALS_MS);
}

uint32_t end_job(int daemon, const char *id) {
    g_autofree char *target = g_strdup_printf(PATH_JOBS "%s", id);
    bench_answer answer =
        bench_send(&(bench_call){.daemon = daemon, .method = "DELETE", .target = target});
    uint32_t status = answer.status;
    bench_answer_clear(&answer);
    return status;
}

bool end_job_of(const job_group *group, int number, int daemon) {
    g_autofree char *id = g_strdup_printf("%s-%d", group->prefix, number);
    return end_job(daemon, id) == 200;
}

void end_jobs(const job_group *group, int first, int count) {
    for (int job = 0; job < group->jobs; job++) {
        bool is_acknowledged = false;
        for (int attempt = 0; attempt < 2 * count && !is_acknowledged; attempt++)
            is_acknowledged = end_job_of(group, job, first + (job + attempt) % count);
        CU_ASSERT_TRUE(is_acknowledged);
    }
}

uint32_t count_runs(const job_group *group) {
    uint32_t count = 0;
    for (int job = 0; job < group->jobs; job++)
        for (int item = 0; item < group->items; item++) {
            g_autofree char *id = g_strdup_printf("%s-%d-%d", group->prefix, job, item);
            count += bench_run_count(id);
        }
    return count;
}

uint32_t count_late_runs(const job_group *group) {
    hs_clock_sleep_ms(CANCEL_MS);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    hs_clock_sleep_ms(FAULT_MS - CANCEL_MS);
    return count_runs(group);
}

void silence_reads(void) {
    log_store_set_mode(bench.store, LOG_STORE_UNRESPONSIVE, CALL_READ, G_MAXUINT32);
    hs_clock_sleep_ms(HELD_READS_MS);
}

void silence_store(void) {
    log_store_set_mode(bench.store, LOG_STORE_UNRESPONSIVE, NULL, G_MAXUINT32);
}

void heal_store(void) {
    log_store_set_mode(bench.store, LOG_STORE_HEALTHY, NULL, 0);
}

bool wait_for_open_runs(uint32_t count, uint64_t limit_ms) {
    uint64_t until_ms = hs_clock_monotonic_ms() + limit_ms;
    while (count_open_engine_runs() != count && hs_clock_monotonic_ms() < until_ms)
        hs_clock_sleep_ms(5);
    return count_open_engine_runs() == count;
}

bool move_open_runs(uint32_t count) {
    log_store_rebalance(bench.store);
    return wait_for_settled_owners() && wait_for_open_runs(count, RUNNING_MS);
}
