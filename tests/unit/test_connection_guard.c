/**
 * @file test_connection_guard.c
 * Detection of connections that stop responding: the socket options, and connections whose packets
 * are dropped.
 */
#include "base/clock.h"
#include "http/client_connection.h"
#include "http/listener.h"
#include "jobs/job_peer.h"
#include "tests/support/fault_proxy.h"
#include "tests/support/raw_caller.h"
#include "tests/support/scripted_peer.h"
#include "tests/unit/unit_tests.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
/** A timeout that sets the interval of the kernel's probes to two seconds. */
#define LONG_TIMEOUT_MS 6000
/** A timeout below the shortest probe interval, one second. */
#define KERNEL_TIMEOUT_MS 900
/** Time within which the kernel ends a connection after KERNEL_TIMEOUT_MS, with a margin. */
#define DETECTION_LIMIT_MS 3500
#define LIMIT_MS 10000
#define SHORT_LIMIT_MS 120
/** Limit for a connection to an engine; below the second after which the kernel sends again. */
#define CONNECT_LIMIT_MS 300

static void set_timeouts(uint32_t kernel_timeout_ms) {
    hs_connection_timeouts timeouts = {0};
    for (int kind = 0; kind < HS_CONNECTION_KINDS; kind++)
        timeouts.kernel_timeout_ms[kind] = kernel_timeout_ms;
    hs_connection_timeouts_set(&timeouts);
}

static int option_of(int descriptor, int level, int name) {
    int value = -1;
    socklen_t length = sizeof value;
    CU_ASSERT_EQUAL(getsockopt(descriptor, level, name, &value, &length), 0);
    return value;
}

static void check_options(int descriptor) {
    CU_ASSERT_EQUAL(option_of(descriptor, SOL_SOCKET, SO_KEEPALIVE), 1);
    CU_ASSERT_EQUAL(option_of(descriptor, IPPROTO_TCP, TCP_KEEPIDLE), 2);
    CU_ASSERT_EQUAL(option_of(descriptor, IPPROTO_TCP, TCP_KEEPINTVL), 2);
    CU_ASSERT_EQUAL(option_of(descriptor, IPPROTO_TCP, TCP_KEEPCNT), 3);
    CU_ASSERT_EQUAL(option_of(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT), LONG_TIMEOUT_MS);
}

static void timeouts_set_the_socket_options(void) {
    for (int kind = 0; kind < HS_CONNECTION_KINDS; kind++) {
        int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        set_timeouts(0);
        hs_connection_set_timeouts(descriptor, (hs_connection_kind)kind);
        CU_ASSERT_EQUAL(option_of(descriptor, SOL_SOCKET, SO_KEEPALIVE), 0);
        CU_ASSERT_EQUAL(option_of(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT), 0);
        set_timeouts(LONG_TIMEOUT_MS);
        hs_connection_set_timeouts(descriptor, (hs_connection_kind)kind);
        check_options(descriptor);
        close(descriptor);
    }
    set_timeouts(0);
}

static void answer_and_check(hs_inbound *inbound, void *user_data) {
    (void)user_data;
    check_options(inbound->descriptor);
    hs_inbound_reply(inbound, 200, NULL, "ok", 2);
}

static void accepted_sockets_have_timeouts(void) {
    set_timeouts(LONG_TIMEOUT_MS);
    scripted_peer *free_port = scripted_peer_start();
    uint16_t port = scripted_peer_port(free_port);
    scripted_peer_stop(free_port);
    hs_listener_limits limits = {.max_body_bytes = LIMIT_MS};
    hs_listener *listener =
        hs_listener_start("127.0.0.1", port, &limits, answer_and_check, NULL, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(listener);
    raw_caller *caller = raw_caller_open(port);
    raw_caller_send(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CU_ASSERT_TRUE(raw_caller_read_until(caller, "ok", LIMIT_MS));
    raw_caller_close(caller);
    hs_listener_stop(listener);
    set_timeouts(0);
}

/** A connection through a proxy to a peer that answers each request. */
typedef struct {
    scripted_peer *peer;
    fault_proxy *proxy;
    hs_client_connection *connection;
    hs_wait wait;
    GString *head;
} test_connection;

static void open_test_connection(test_connection *opened) {
    opened->peer = scripted_peer_start();
    scripted_peer_set(
        opened->peer,
        &(peer_script){.bytes = ANSWER, .length = strlen(ANSWER), .ending = PEER_KEEPS_OPEN});
    opened->proxy = fault_proxy_start(scripted_peer_port(opened->peer));
    opened->wait =
        (hs_wait){.deadline = hs_clock_monotonic_ms() + LIMIT_MS, .watched = HS_WATCH_NOTHING};
    opened->head = g_string_new("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    hs_step step = HS_STEP_CUT;
    opened->connection = hs_client_connection_open(INADDR_LOOPBACK, fault_proxy_port(opened->proxy),
                                                   &opened->wait, &step);
    CU_ASSERT_PTR_NOT_NULL_FATAL(opened->connection);
    hs_client_connection_set_timeouts(opened->connection, HS_CONNECTION_ENGINE);
}

static hs_step send_once(test_connection *opened) {
    return hs_client_connection_send(opened->connection, opened->head, NULL, 0, false,
                                     &opened->wait);
}

/** Completes one exchange, then stops the packets of the connection. */
static void exchange_and_silence(test_connection *opened, proxy_silence silence) {
    CU_ASSERT_EQUAL(send_once(opened), HS_STEP_PROGRESS);
    CU_ASSERT_FALSE(hs_client_connection_is_reused(opened->connection));
    CU_ASSERT_EQUAL(hs_client_connection_read_all(opened->connection, LIMIT_MS, &opened->wait),
                    HS_STEP_COMPLETE);
    fault_proxy_silence_open_connections(opened->proxy, silence);
}

static void close_test_connection(test_connection *opened) {
    hs_client_connection_close(opened->connection);
    fault_proxy_stop(opened->proxy);
    scripted_peer_stop(opened->peer);
    g_string_free(opened->head, TRUE);
    set_timeouts(0);
}

/** The kernel ends a connection with an unacknowledged request; the loss is counted once. */
static void unacknowledged_request_times_out(void) {
    test_connection opened;
    set_timeouts(KERNEL_TIMEOUT_MS);
    open_test_connection(&opened);
    exchange_and_silence(&opened, PROXY_DROPS_ALL_PACKETS);
    uint64_t before = hs_connection_loss_count(HS_CONNECTION_ENGINE);
    uint64_t started_ms = hs_clock_monotonic_ms();
    CU_ASSERT_EQUAL(send_once(&opened), HS_STEP_PROGRESS);
    CU_ASSERT_TRUE(hs_client_connection_is_reused(opened.connection));
    CU_ASSERT_EQUAL(hs_client_connection_read_head(opened.connection, &opened.wait), HS_STEP_LOST);
    CU_ASSERT(hs_clock_monotonic_ms() - started_ms < DETECTION_LIMIT_MS);
    CU_ASSERT_EQUAL(hs_connection_loss_count(HS_CONNECTION_ENGINE), before + 1);
    CU_ASSERT_FALSE(hs_client_connection_is_reusable(opened.connection));
    close_test_connection(&opened);
}

/** Keep-alive ends an idle connection whose peer is gone, so that it is not reused. */
static void idle_connection_without_a_peer_times_out(void) {
    test_connection opened;
    set_timeouts(KERNEL_TIMEOUT_MS);
    open_test_connection(&opened);
    exchange_and_silence(&opened, PROXY_DROPS_ALL_PACKETS);
    uint64_t until_ms = hs_clock_monotonic_ms() + DETECTION_LIMIT_MS;
    CU_ASSERT_TRUE(hs_client_connection_is_idle_and_open(opened.connection));
    while (hs_client_connection_is_idle_and_open(opened.connection) &&
           hs_clock_monotonic_ms() < until_ms)
        hs_clock_sleep_ms(SHORT_LIMIT_MS);
    CU_ASSERT_FALSE(hs_client_connection_is_idle_and_open(opened.connection));
    close_test_connection(&opened);
}

/** A missing acknowledgement is a loss; an acknowledged request without a response is none. */
static void liveness_check_detects_an_unacknowledged_request(void) {
    static const proxy_silence silences[] = {PROXY_ACKNOWLEDGES_DATA, PROXY_DROPS_ALL_PACKETS};
    static const hs_step steps[] = {HS_STEP_PROGRESS, HS_STEP_LOST};
    for (size_t index = 0; index < G_N_ELEMENTS(silences); index++) {
        test_connection opened;
        open_test_connection(&opened);
        exchange_and_silence(&opened, silences[index]);
        uint64_t started_ms = hs_clock_monotonic_ms();
        CU_ASSERT_EQUAL(send_once(&opened), HS_STEP_PROGRESS);
        CU_ASSERT_EQUAL(
            hs_client_connection_check_liveness(opened.connection, SHORT_LIMIT_MS, &opened.wait),
            steps[index]);
        CU_ASSERT(hs_clock_monotonic_ms() - started_ms < SHORT_LIMIT_MS + SHORT_LIMIT_MS);
        close_test_connection(&opened);
    }
}

static gpointer accept_new_connections(gpointer proxy) {
    hs_clock_sleep_ms(SHORT_LIMIT_MS);
    fault_proxy_drop_new_connections(proxy, false);
    return NULL;
}

/** Guards against a connection that fails because one packet was lost. */
static void a_lost_first_packet_is_replaced_in_time(void) {
    scripted_peer *peer = scripted_peer_start();
    fault_proxy *proxy = fault_proxy_start(scripted_peer_port(peer));
    fault_proxy_drop_new_connections(proxy, true);
    GThread *thread = g_thread_new("accept", accept_new_connections, proxy);
    hs_wait wait = {.deadline = hs_clock_monotonic_ms() + CONNECT_LIMIT_MS,
                    .watched = HS_WATCH_NOTHING};
    hs_step step = HS_STEP_CUT;
    hs_client_connection *connection =
        hs_client_connection_open(INADDR_LOOPBACK, fault_proxy_port(proxy), &wait, &step);
    CU_ASSERT_EQUAL(step, HS_STEP_PROGRESS);
    CU_ASSERT_PTR_NOT_NULL(connection);
    hs_client_connection_close(connection);
    g_thread_join(thread);
    fault_proxy_drop_new_connections(proxy, true); /* All packets are lost. */
    wait.deadline = hs_clock_monotonic_ms() + CONNECT_LIMIT_MS;
    connection = hs_client_connection_open(INADDR_LOOPBACK, fault_proxy_port(proxy), &wait, &step);
    CU_ASSERT_EQUAL(step, HS_STEP_DEADLINE);
    CU_ASSERT_PTR_NULL(connection);
    fault_proxy_stop(proxy);
    scripted_peer_stop(peer);
}

/** Guards against reuse, for a run-once request, of connections idle since before a loss. */
static void a_loss_limits_the_idle_time_of_reuse(void) {
    CU_ASSERT_EQUAL(hs_connection_max_idle_ms(0, 0, 9000), UINT32_MAX);
    CU_ASSERT_EQUAL(hs_connection_max_idle_ms(2000, 0, 9000), 2000);
    CU_ASSERT_EQUAL(hs_connection_max_idle_ms(2000, 8700, 9000), 300);
    CU_ASSERT_EQUAL(hs_connection_max_idle_ms(0, 8700, 9000), 300);
    CU_ASSERT_EQUAL(hs_connection_max_idle_ms(2000, 9000, 9000), 0);
    CU_ASSERT_EQUAL(hs_connection_max_idle_ms(2000, 9001, 9000), 0);
    CU_ASSERT_EQUAL(hs_connection_max_idle_ms(2000, 1000, 9000), 2000);
}

/** A call to a silent daemon ends at its deadline; the next call uses a new connection. */
static void call_to_a_silent_daemon_times_out(void) {
    scripted_peer *peer = scripted_peer_start();
    scripted_peer_set(peer, &(peer_script){.bytes = "", .ending = PEER_GOES_SILENT});
    hs_daemon_address address = {.address = INADDR_LOOPBACK, .port = scripted_peer_port(peer)};
    GByteArray *body = g_byte_array_new();
    hs_peer_answer answer;
    uint64_t before = hs_connection_loss_count(HS_CONNECTION_DAEMON);
    uint64_t started_ms = hs_clock_monotonic_ms();
    CU_ASSERT_EQUAL(hs_job_peer_post(&address, "/x", body, started_ms + SHORT_LIMIT_MS, &answer),
                    HS_PEER_NO_ANSWER);
    CU_ASSERT(hs_clock_monotonic_ms() - started_ms < SHORT_LIMIT_MS + SHORT_LIMIT_MS);
    CU_ASSERT_EQUAL(hs_connection_loss_count(HS_CONNECTION_DAEMON), before + 1);
    scripted_peer_set(
        peer, &(peer_script){.bytes = ANSWER, .length = strlen(ANSWER), .ending = PEER_CLOSES});
    CU_ASSERT_EQUAL(
        hs_job_peer_post(&address, "/x", body, hs_clock_monotonic_ms() + LIMIT_MS, &answer),
        HS_PEER_ANSWERED);
    hs_peer_answer_clear(&answer);
    g_byte_array_free(body, TRUE);
    scripted_peer_stop(peer);
}

const test_case connection_guard_tests[] = {
    {"timeouts_set_the_socket_options", timeouts_set_the_socket_options},
    {"accepted_sockets_have_timeouts", accepted_sockets_have_timeouts},
    {"unacknowledged_request_times_out", unacknowledged_request_times_out},
    {"idle_connection_without_a_peer_times_out", idle_connection_without_a_peer_times_out},
    {"liveness_check_detects_an_unacknowledged_request",
     liveness_check_detects_an_unacknowledged_request},
    {"a_lost_first_packet_is_replaced_in_time", a_lost_first_packet_is_replaced_in_time},
    {"a_loss_limits_the_idle_time_of_reuse", a_loss_limits_the_idle_time_of_reuse},
    {"call_to_a_silent_daemon_times_out", call_to_a_silent_daemon_times_out},
    {NULL, NULL}};
