/** @file leaving_callers.c  See leaving_callers.h. */
#include "tests/system/leaving_callers.h"

#include "base/clock.h"
#include "tests/support/raw_caller.h"

#include <CUnit/CUnit.h>
#include <stdio.h>

#define MIDDLE 0.5
#define MOST 0.99

static gpointer run_caller(gpointer data) {
    leaving_caller *caller = data;
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (now_ms < caller->arrives_ms)
        hs_clock_sleep_ms(caller->arrives_ms - now_ms);
    raw_caller *connection = raw_caller_open(caller->port);
    if (connection == NULL)
        return NULL;
    raw_caller_send(connection, caller->bytes);
    hs_clock_sleep_ms(caller->stays_ms);
    raw_caller_close(connection);
    caller->left_ms = hs_clock_monotonic_ms();
    return NULL;
}

void leaving_callers_run(leaving_caller *callers, guint count) {
    g_autofree GThread **threads = g_new(GThread *, count);
    for (guint index = 0; index < count; index++)
        threads[index] = g_thread_new("caller", run_caller, &callers[index]);
    for (guint index = 0; index < count; index++)
        g_thread_join(threads[index]);
}

leaving_figures leaving_figures_new(const leaving_caller *callers, guint count) {
    leaving_figures figures = {.left = g_hash_table_new(g_str_hash, g_str_equal),
                               .worked_ms = g_array_new(FALSE, FALSE, sizeof(uint64_t))};
    for (guint index = 0; index < count; index++) {
        CU_ASSERT_NOT_EQUAL(callers[index].left_ms, 0);
        g_hash_table_insert(figures.left, (gpointer)callers[index].id, (gpointer)&callers[index]);
    }
    return figures;
}

void leaving_figures_add(leaving_figures *figures, const char *id, uint64_t begun_ms,
                         uint64_t ended_ms) {
    const leaving_caller *caller = g_hash_table_lookup(figures->left, id);
    if (caller == NULL)
        return;
    uint64_t until_ms = ended_ms != 0 ? ended_ms : hs_clock_monotonic_ms();
    figures->calls++;
    figures->later += begun_ms > caller->left_ms + LEAVING_LIMIT_MS;
    if (until_ms <= caller->left_ms)
        return;
    uint64_t worked_ms = until_ms - MAX(begun_ms, caller->left_ms);
    g_array_append_val(figures->worked_ms, worked_ms);
}

static gint compare_times(gconstpointer one, gconstpointer other) {
    uint64_t first = *(const uint64_t *)one;
    uint64_t second = *(const uint64_t *)other;
    return (first > second) - (first < second);
}

static uint64_t quantile(GArray *times, double share) {
    if (times->len == 0)
        return 0;
    guint index = (guint)((double)(times->len - 1) * share + MIDDLE);
    return g_array_index(times, uint64_t, index);
}

void leaving_figures_check(leaving_figures *figures, const char *title) {
    g_array_sort(figures->worked_ms, compare_times);
    uint64_t middle_ms = quantile(figures->worked_ms, MIDDLE);
    uint64_t most_ms = quantile(figures->worked_ms, MOST);
    fprintf(stderr,
            "%s: callers=%u calls=%u later=%u under_way=%u median_ms=%" G_GUINT64_FORMAT
            " p99_ms=%" G_GUINT64_FORMAT " longest_ms=%" G_GUINT64_FORMAT "\n",
            title, g_hash_table_size(figures->left), figures->calls, figures->later,
            figures->worked_ms->len, (guint64)middle_ms, (guint64)most_ms,
            (guint64)quantile(figures->worked_ms, 1));
    CU_ASSERT_EQUAL(figures->later, 0);
    CU_ASSERT(most_ms <= LEAVING_LIMIT_MS);
    g_hash_table_destroy(figures->left);
    g_array_free(figures->worked_ms, TRUE);
}
