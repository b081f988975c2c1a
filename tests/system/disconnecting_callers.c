/** @file disconnecting_callers.c  See disconnecting_callers.h. */
#include "tests/system/disconnecting_callers.h"

#include "base/clock.h"
#include "tests/support/raw_caller.h"

#include <CUnit/CUnit.h>
#include <stdio.h>

#define HALF 0.5
#define P99 0.99

static gpointer run_caller(gpointer data) {
    disconnecting_caller *caller = data;
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (now_ms < caller->connect_at_ms)
        hs_clock_sleep_ms(caller->connect_at_ms - now_ms);
    raw_caller *connection = raw_caller_open(caller->port);
    if (connection == NULL)
        return NULL;
    raw_caller_send(connection, caller->bytes);
    hs_clock_sleep_ms(caller->close_delay_ms);
    raw_caller_close(connection);
    caller->closed_at_ms = hs_clock_monotonic_ms();
    return NULL;
}

void disconnecting_callers_run(disconnecting_caller *callers, guint count) {
    g_autofree GThread **threads = g_new(GThread *, count);
    for (guint index = 0; index < count; index++)
        threads[index] = g_thread_new("caller", run_caller, &callers[index]);
    for (guint index = 0; index < count; index++)
        g_thread_join(threads[index]);
}

disconnect_stats disconnect_stats_new(const disconnecting_caller *callers, guint count) {
    disconnect_stats figures = {.callers = g_hash_table_new(g_str_hash, g_str_equal),
                                .work_after_close_ms = g_array_new(FALSE, FALSE, sizeof(uint64_t))};
    for (guint index = 0; index < count; index++) {
        CU_ASSERT_NOT_EQUAL(callers[index].closed_at_ms, 0);
        g_hash_table_insert(figures.callers, (gpointer)callers[index].id,
                            (gpointer)&callers[index]);
    }
    return figures;
}

void disconnect_stats_add(disconnect_stats *figures, const char *id, uint64_t started_ms,
                          uint64_t ended_ms) {
    const disconnecting_caller *caller = g_hash_table_lookup(figures->callers, id);
    if (caller == NULL)
        return;
    uint64_t until_ms = ended_ms != 0 ? ended_ms : hs_clock_monotonic_ms();
    figures->engine_requests++;
    figures->late_requests += started_ms > caller->closed_at_ms + MAX_WORK_AFTER_DISCONNECT_MS;
    if (until_ms <= caller->closed_at_ms)
        return;
    uint64_t work_ms = until_ms - MAX(started_ms, caller->closed_at_ms);
    g_array_append_val(figures->work_after_close_ms, work_ms);
}

static gint compare_durations(gconstpointer one, gconstpointer other) {
    uint64_t first = *(const uint64_t *)one;
    uint64_t second = *(const uint64_t *)other;
    return (first > second) - (first < second);
}

static uint64_t get_quantile(GArray *times, double fraction) {
    if (times->len == 0)
        return 0;
    guint index = (guint)((double)(times->len - 1) * fraction + HALF);
    return g_array_index(times, uint64_t, index);
}

void disconnect_stats_check(disconnect_stats *figures, const char *title) {
    g_array_sort(figures->work_after_close_ms, compare_durations);
    uint64_t median_ms = get_quantile(figures->work_after_close_ms, HALF);
    uint64_t p99_ms = get_quantile(figures->work_after_close_ms, P99);
    fprintf(stderr,
            "%s: callers=%u requests=%u late=%u running_at_close=%u median_ms=%" G_GUINT64_FORMAT
            " p99_ms=%" G_GUINT64_FORMAT " longest_ms=%" G_GUINT64_FORMAT "\n",
            title, g_hash_table_size(figures->callers), figures->engine_requests,
            figures->late_requests, figures->work_after_close_ms->len, (guint64)median_ms,
            (guint64)p99_ms, (guint64)get_quantile(figures->work_after_close_ms, 1));
    CU_ASSERT_EQUAL(figures->late_requests, 0);
    CU_ASSERT(p99_ms <= MAX_WORK_AFTER_DISCONNECT_MS);
    g_hash_table_destroy(figures->callers);
    g_array_free(figures->work_after_close_ms, TRUE);
}
