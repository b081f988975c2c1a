/** @file test_stop_admission.c  Which requests are still sent while the process stops. */
#include "base/clock.h"
#include "base/drain.h"
#include "tests/unit/unit_tests.h"

static gpointer expire(gpointer data) {
    hs_clock_sleep_ms(20);
    hs_drain_expire(data);
    return NULL;
}

static void the_end_of_a_stop_ends_waits(void) {
    hs_drain *drain = hs_drain_new();
    hs_drain_times times;
    CU_ASSERT_FALSE(hs_drain_get(drain, &times));
    hs_drain_begin(drain, &(hs_drain_times){.started_ms = 1, .deadline_ms = 2});
    hs_drain_begin(drain, &(hs_drain_times){.started_ms = 5, .deadline_ms = 6});
    CU_ASSERT_TRUE(hs_drain_get(drain, &times));
    CU_ASSERT_EQUAL(times.deadline_ms, 2);
    CU_ASSERT_FALSE(hs_drain_has_expired(drain));
    GThread *thread = g_thread_new("expire", expire, drain);
    CU_ASSERT_TRUE(hs_interrupt_wait(hs_drain_interrupt(drain), 10000));
    CU_ASSERT_TRUE(hs_drain_has_expired(drain));
    g_thread_join(thread);
    hs_drain_free(drain);
}

const test_case stop_admission_tests[] = {
    {"the_end_of_a_stop_ends_waits", the_end_of_a_stop_ends_waits}, {NULL, NULL}};
