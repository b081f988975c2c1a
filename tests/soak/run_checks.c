/** @file run_checks.c  Checks of what engines ran; see checks.h. */
#include "base/clock.h"
#include "tests/soak/checks.h"
#include "tests/soak/soak.h"

/** After an end was acknowledged or a caller left, until its run has ended. */
#define END_LIMIT_MS 500
/** An engine notices the end of a connection at its second event after it, or its third. */
#define EVENTS_TO_NOTICE 3
/** Until daemons have found each other, their partitions and the store again after a fault. */
#define RECOVERY_MS 5000

/** When nothing more of a request or item was to run: id -> its wall time in ms, by lock. */
static GHashTable *ends;

void soak_check_runs(void) {
    GHashTableIter iterator;
    gpointer id = NULL;
    g_hash_table_iter_init(&iterator, record.once);
    while (g_hash_table_iter_next(&iterator, &id, NULL))
        if (bench_runs(id) > 1)
            soak_violation("%s ran %u times", (char *)id, bench_runs(id));
    g_hash_table_iter_init(&iterator, record.refused);
    while (g_hash_table_iter_next(&iterator, &id, NULL))
        if (bench_runs(id) > 0)
            soak_violation("%s was refused and ran", (char *)id);
}

void soak_note_end(const char *id) {
    uint64_t *at_ms = g_new(uint64_t, 1);
    *at_ms = hs_clock_wall_ms();
    g_mutex_lock(&record.lock);
    if (ends == NULL)
        ends = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_hash_table_insert(ends, g_strdup(id), at_ms);
    record.ends++;
    g_mutex_unlock(&record.lock);
}

/** The latest time in ms at which a run may be at work that was to end at @p end_ms. */
static uint64_t latest_ms(uint64_t end_ms) {
    return end_ms + END_LIMIT_MS + (uint64_t)EVENTS_TO_NOTICE * bench.settings.item_pace.event_ms;
}

static bool is_judged(uint64_t end_ms) {
    return soak_was_calm(end_ms - RECOVERY_MS, latest_ms(end_ms));
}

static void check_run(const token_engine *engine, const token_engine_run *run) {
    const uint64_t *end_ms = g_hash_table_lookup(ends, run->request_id);
    if (end_ms == NULL)
        return;
    uint64_t until_ms = run->ended_ms != 0 ? run->ended_ms : hs_clock_wall_ms();
    /* An engine that is late by itself notices the end of a connection as late: its threads share
     * the machine with all others (in a soak beside compilers a daemon had closed after 5 ms, and
     * its engine noticed after 1,139). */
    if (MAX(until_ms, run->begun_ms) <= latest_ms(*end_ms) + run->late_ms)
        return;
    if (is_judged(*end_ms))
        soak_violation("%s ran at %s until %d ms after its end (begun %d ms after it)",
                       run->request_id, token_engine_id(engine), (int)(until_ms - *end_ms),
                       (int)((int64_t)run->begun_ms - (int64_t)*end_ms));
    else
        record.late_runs++;
}

static void count_judged(void) {
    GHashTableIter iterator;
    gpointer end_ms = NULL;
    g_hash_table_iter_init(&iterator, ends);
    while (g_hash_table_iter_next(&iterator, NULL, &end_ms))
        record.ends_judged += is_judged(*(const uint64_t *)end_ms);
}

void soak_check_ends(void) {
    if (ends == NULL)
        return;
    for (int index = 0; index < BENCH_ENGINES; index++) {
        token_engine *engine = bench.engines[index];
        token_engine_run run;
        for (uint32_t number = 0; token_engine_find_run(engine, number, &run); number++)
            check_run(engine, &run);
    }
    count_judged();
    g_hash_table_destroy(ends);
    ends = NULL;
}
