/** @file test_interrupt.c  Interrupts and stop waits: priority of causes, and end of waits. */
#include "base/clock.h"
#include "base/interrupt.h"
#include "base/stop_wait.h"
#include "http/client_connection.h"
#include "tests/support/scripted_peer.h"
#include "tests/unit/unit_tests.h"

#include <arpa/inet.h>

#define LONG_MS 4000
#define SOON_MS 1500
#define DELAY_MS 40

static void cause_of_higher_priority_prevails(void) {
    hs_interrupt interrupt;
    hs_interrupt_init(&interrupt);
    CU_ASSERT_TRUE(hs_interrupt_raise(&interrupt, HS_INTERRUPT_PREEMPT));
    CU_ASSERT_FALSE(hs_interrupt_raise(&interrupt, HS_INTERRUPT_PREEMPT));
    CU_ASSERT_TRUE(hs_interrupt_raise(&interrupt, HS_INTERRUPT_STOP));
    CU_ASSERT_FALSE(hs_interrupt_raise(&interrupt, HS_INTERRUPT_PREEMPT));
    CU_ASSERT_FALSE(hs_interrupt_withdraw(&interrupt, HS_INTERRUPT_PREEMPT));
    CU_ASSERT_EQUAL(hs_interrupt_get(&interrupt), HS_INTERRUPT_STOP);
    hs_interrupt_clear(&interrupt);
}

/** A cause raised while no thread waits ends the next wait at once. */
static void cause_raised_before_a_wait_ends_it(void) {
    hs_interrupt interrupt;
    hs_interrupt_init(&interrupt);
    CU_ASSERT_FALSE(hs_interrupt_wait(&interrupt, 1));
    hs_interrupt_close_descriptor(&interrupt);
    hs_interrupt_raise(&interrupt, HS_INTERRUPT_PREEMPT);
    uint64_t started_ms = hs_clock_monotonic_ms();
    CU_ASSERT_TRUE(hs_interrupt_wait(&interrupt, LONG_MS));
    CU_ASSERT(hs_clock_monotonic_ms() - started_ms < SOON_MS);
    CU_ASSERT_TRUE(hs_interrupt_withdraw(&interrupt, HS_INTERRUPT_PREEMPT));
    CU_ASSERT_FALSE(hs_interrupt_wait(&interrupt, 1));
    hs_interrupt_clear(&interrupt);
}

static gpointer raise_later(gpointer data) {
    hs_clock_sleep_ms(DELAY_MS);
    hs_interrupt_raise(data, HS_INTERRUPT_STOP);
    return NULL;
}

/** A read from a silent engine ends at the interrupt, not at its deadline. */
static void interrupt_ends_a_socket_wait(void) {
    hs_interrupt interrupt;
    hs_interrupt_init(&interrupt);
    scripted_peer *peer = scripted_peer_start();
    scripted_peer_set(peer, &(peer_script){.bytes = "", .ending = PEER_GOES_SILENT});
    uint64_t started_ms = hs_clock_monotonic_ms();
    hs_wait wait = {
        .deadline = started_ms + LONG_MS, .watched = HS_WATCH_NOTHING, .interrupt = &interrupt};
    hs_step step = HS_STEP_CUT;
    hs_client_connection *connection =
        hs_client_connection_open(INADDR_LOOPBACK, scripted_peer_port(peer), &wait, &step);
    CU_ASSERT_PTR_NOT_NULL_FATAL(connection);
    GString *head = g_string_new("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    hs_client_connection_send(connection, head, NULL, 0, false, &wait);
    GThread *raiser = g_thread_new("raiser", raise_later, &interrupt);
    CU_ASSERT_EQUAL(hs_client_connection_read_head(connection, &wait), HS_STEP_CALLER_GONE);
    CU_ASSERT(hs_clock_monotonic_ms() - started_ms < SOON_MS);
    g_thread_join(raiser);
    hs_client_connection_close(connection);
    g_string_free(head, TRUE);
    scripted_peer_stop(peer);
    hs_interrupt_clear(&interrupt);
}

static gpointer request_stop_later(gpointer data) {
    hs_clock_sleep_ms(DELAY_MS);
    hs_stop_wait_request_stop(data);
    return NULL;
}

static void stop_request_ends_a_pause(void) {
    hs_stop_wait wait;
    hs_stop_wait_init(&wait);
    CU_ASSERT_TRUE(hs_stop_wait_pause(&wait, 1));
    uint64_t started_ms = hs_clock_monotonic_ms();
    GThread *stopper = g_thread_new("asker", request_stop_later, &wait);
    CU_ASSERT_FALSE(hs_stop_wait_pause(&wait, LONG_MS));
    CU_ASSERT(hs_clock_monotonic_ms() - started_ms < SOON_MS);
    CU_ASSERT_FALSE(hs_stop_wait_pause(&wait, LONG_MS));
    g_thread_join(stopper);
    hs_stop_wait_clear(&wait);
}

const test_case interrupt_tests[] = {
    {"cause_of_higher_priority_prevails", cause_of_higher_priority_prevails},
    {"cause_raised_before_a_wait_ends_it", cause_raised_before_a_wait_ends_it},
    {"interrupt_ends_a_socket_wait", interrupt_ends_a_socket_wait},
    {"stop_request_ends_a_pause", stop_request_ends_a_pause},
    {NULL, NULL}};
