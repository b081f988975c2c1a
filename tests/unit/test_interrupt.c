/** @file test_interrupt.c  Interrupts: who wins, what waits see, and when. */
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

static void the_higher_cause_stands(void) {
    hs_interrupt interrupt;
    hs_interrupt_init(&interrupt);
    CU_ASSERT_TRUE(hs_interrupt_raise(&interrupt, HS_INTERRUPT_YIELD));
    CU_ASSERT_FALSE(hs_interrupt_raise(&interrupt, HS_INTERRUPT_YIELD));
    CU_ASSERT_TRUE(hs_interrupt_raise(&interrupt, HS_INTERRUPT_STOP));
    CU_ASSERT_FALSE(hs_interrupt_raise(&interrupt, HS_INTERRUPT_YIELD));
    CU_ASSERT_FALSE(hs_interrupt_withdraw(&interrupt, HS_INTERRUPT_YIELD));
    CU_ASSERT_EQUAL(hs_interrupt_get(&interrupt), HS_INTERRUPT_STOP);
    hs_interrupt_clear(&interrupt);
}

/** Raised before anybody waits, or after a wait gave the descriptor back, it is seen at once. */
static void a_cause_raised_before_the_wait_is_seen(void) {
    hs_interrupt interrupt;
    hs_interrupt_init(&interrupt);
    CU_ASSERT_FALSE(hs_interrupt_pause(&interrupt, 1));
    hs_interrupt_release(&interrupt);
    hs_interrupt_raise(&interrupt, HS_INTERRUPT_YIELD);
    uint64_t began_ms = hs_clock_monotonic_ms();
    CU_ASSERT_TRUE(hs_interrupt_pause(&interrupt, LONG_MS));
    CU_ASSERT(hs_clock_monotonic_ms() - began_ms < SOON_MS);
    CU_ASSERT_TRUE(hs_interrupt_withdraw(&interrupt, HS_INTERRUPT_YIELD));
    CU_ASSERT_FALSE(hs_interrupt_pause(&interrupt, 1));
    hs_interrupt_clear(&interrupt);
}

static gpointer raise_later(gpointer data) {
    hs_clock_sleep_ms(DELAY_MS);
    hs_interrupt_raise(data, HS_INTERRUPT_STOP);
    return NULL;
}

/** A read from a silent engine ends when the interrupt is raised, not at its deadline. */
static void a_wait_on_a_socket_ends_at_once(void) {
    hs_interrupt interrupt;
    hs_interrupt_init(&interrupt);
    scripted_peer *peer = scripted_peer_start();
    scripted_peer_set(peer, &(peer_script){.bytes = "", .ending = PEER_GOES_SILENT});
    uint64_t began_ms = hs_clock_monotonic_ms();
    hs_wait wait = {
        .deadline = began_ms + LONG_MS, .watched = HS_WATCH_NOTHING, .interrupt = &interrupt};
    hs_step step = HS_STEP_CUT;
    hs_client_connection *connection =
        hs_client_connection_open(INADDR_LOOPBACK, scripted_peer_port(peer), &wait, &step);
    CU_ASSERT_PTR_NOT_NULL_FATAL(connection);
    GString *head = g_string_new("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    hs_client_connection_send(connection, head, NULL, 0, false, &wait);
    GThread *raiser = g_thread_new("raiser", raise_later, &interrupt);
    CU_ASSERT_EQUAL(hs_client_connection_read_head(connection, &wait), HS_STEP_CALLER_GONE);
    CU_ASSERT(hs_clock_monotonic_ms() - began_ms < SOON_MS);
    g_thread_join(raiser);
    hs_client_connection_close(connection);
    g_string_free(head, TRUE);
    scripted_peer_stop(peer);
    hs_interrupt_clear(&interrupt);
}

static gpointer ask_later(gpointer data) {
    hs_clock_sleep_ms(DELAY_MS);
    hs_stop_wait_ask(data);
    return NULL;
}

static void a_pause_ends_when_asked(void) {
    hs_stop_wait wait;
    hs_stop_wait_init(&wait);
    CU_ASSERT_TRUE(hs_stop_wait_pause(&wait, 1));
    uint64_t began_ms = hs_clock_monotonic_ms();
    GThread *asker = g_thread_new("asker", ask_later, &wait);
    CU_ASSERT_FALSE(hs_stop_wait_pause(&wait, LONG_MS));
    CU_ASSERT(hs_clock_monotonic_ms() - began_ms < SOON_MS);
    CU_ASSERT_FALSE(hs_stop_wait_pause(&wait, LONG_MS));
    g_thread_join(asker);
    hs_stop_wait_clear(&wait);
}

const test_case interrupt_tests[] = {
    {"the_higher_cause_stands", the_higher_cause_stands},
    {"a_cause_raised_before_the_wait_is_seen", a_cause_raised_before_the_wait_is_seen},
    {"a_wait_on_a_socket_ends_at_once", a_wait_on_a_socket_ends_at_once},
    {"a_pause_ends_when_asked", a_pause_ends_when_asked},
    {NULL, NULL}};
