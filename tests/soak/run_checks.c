/** @file run_checks.c  Checks of the runs that the engines recorded. */
#include "base/clock.h"
#include "tests/soak/checks.h"
#include "tests/soak/soak.h"

/** Time within which a run must end after its acknowledged end or its caller's disconnect. */
#define MAX_RUN_AFTER_END_MS 500
/** Events until an engine detects that its connection has ended. */
#define MAX_EVENTS_AFTER_DISCONNECT 3
/** Time for daemons to recover their peers, partitions and store connections after a fault. */
#define RECOVERY_MS 5000

/** Request or item id -> uint64_t*: wall time in ms of its end. Guarded by record.lock. */
static GHashTable *end_times;

void soak_check_runs(void) {
    GHashTableIter iterator;
    gpointer id = NULL;
    g_hash_table_iter_init(&iterator, record.run_once_ids);
    while (g_hash_table_iter_next(&iterator, &id, NULL))
        if (bench_run_count(id) > 1)
            soak_report_violation("%s ran %u times", (char *)id, bench_run_count(id));
    g_hash_table_iter_init(&iterator, record.refused_ids);
    while (g_hash_table_iter_next(&iterator, &id, NULL))
        if (bench_run_count(id) > 0)
            soak_report_violation("%s was refused and ran", (char *)id);
}

void soak_record_end(const char *id) {
    uint64_t *at_ms = g_new(uint64_t, 1);
    *at_ms = hs_clock_wall_ms();
    g_mutex_lock(&record.lock);
    if (end_times == NULL)
        end_times = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    /* A repeated end does not extend the time. */
    if (g_hash_table_contains(end_times, id)) {
        g_free(at_ms);
    } else {
        g_hash_table_insert(end_times, g_strdup(id), at_ms);
        record.end_count++;
    }
    g_mutex_unlock(&record.lock);
}

/** Returns the latest time at which a run may continue that must end at @p end_ms. */
static uint64_t get_max_run_end_ms(uint64_t end_ms) {
    return end_ms + MAX_RUN_AFTER_END_MS +
           (uint64_t)MAX_EVENTS_AFTER_DISCONNECT * bench.settings.item_pace.event_ms;
}

static bool is_end_checked(uint64_t end_ms) {
    return soak_was_fault_free(end_ms - RECOVERY_MS, get_max_run_end_ms(end_ms));
}

static void check_run(const token_engine *engine, const token_engine_run *run) {
    const uint64_t *end_ms = g_hash_table_lookup(end_times, run->request_id);
    if (end_ms == NULL)
        return;
    uint64_t until_ms = run->ended_ms != 0 ? run->ended_ms : hs_clock_wall_ms();
    /* An engine whose threads are delayed detects the end of a connection as late. */
    if (MAX(until_ms, run->begun_ms) <= get_max_run_end_ms(*end_ms) + run->late_ms)
        return;
    if (is_end_checked(*end_ms))
        soak_report_violation("%s ran at %s until %d ms after its end (started %d ms after it)",
                              run->request_id, token_engine_id(engine), (int)(until_ms - *end_ms),
                              (int)((int64_t)run->begun_ms - (int64_t)*end_ms));
    else
        record.late_runs++;
}

static void count_checked_ends(void) {
    GHashTableIter iterator;
    gpointer end_ms = NULL;
    g_hash_table_iter_init(&iterator, end_times);
    while (g_hash_table_iter_next(&iterator, NULL, &end_ms))
        record.ends_checked += is_end_checked(*(const uint64_t *)end_ms);
}

void soak_check_ends(void) {
    if (end_times == NULL)
        return;
    for (int index = 0; index < BENCH_ENGINES; index++) {
        token_engine *engine = bench.engines[index];
        token_engine_run run;
        for (uint32_t number = 0; token_engine_find_run(engine, number, &run); number++)
            check_run(engine, &run);
    }
    count_checked_ends();
    g_hash_table_destroy(end_times);
    end_times = NULL;
}
