/** @file connection_probe.c  See connection_probe.h. */
#include "http/connection_probe.h"

#include "base/clock.h"

#include <errno.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

/** Limit of the response body. */
#define MAX_RESPONSE_BODY_BYTES 1024

/** Waits for a pending connect. Returns false if it failed or the deadline passed. */
static bool await_connected(int descriptor, hs_deadline deadline) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    struct pollfd polled = {.fd = descriptor, .events = POLLOUT};
    int failure = 0;
    socklen_t length = sizeof failure;
    return now_ms < deadline && poll(&polled, 1, (int)(deadline - now_ms)) == 1 &&
           getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &length) == 0 && failure == 0;
}

/** Returns a connected socket and its local address, or -1 with the reason in @p step. */
static int connect_probe(const struct sockaddr_in *to, hs_deadline deadline,
                         struct sockaddr_in *local, hs_step *step) {
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    *step = HS_STEP_CUT;
    if (descriptor < 0)
        return -1;
    socklen_t length = sizeof *local;
    bool started =
        connect(descriptor, (const struct sockaddr *)to, sizeof *to) == 0 || errno == EINPROGRESS;
    if (started && await_connected(descriptor, deadline) &&
        getsockname(descriptor, (struct sockaddr *)local, &length) == 0)
        return descriptor;
    *step = hs_clock_monotonic_ms() >= deadline ? HS_STEP_DEADLINE : HS_STEP_CUT;
    close(descriptor);
    return -1;
}

static hs_step request_target(const hs_connection_probe *probe, hs_client_connection *connection,
                              hs_deadline deadline) {
    hs_wait wait = {.deadline = deadline, .watched = HS_WATCH_NOTHING};
    GString *head = g_string_new(NULL);
    g_string_printf(head, "GET %s HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n",
                    probe->target);
    hs_step step = hs_client_connection_send(connection, head, NULL, 0, false, &wait);
    g_string_free(head, TRUE);
    if (step == HS_STEP_PROGRESS)
        step = hs_client_connection_read_all(connection, MAX_RESPONSE_BODY_BYTES, &wait);
    return step;
}

hs_step hs_connection_probe_run(const hs_connection_probe *probe, hs_deadline deadline) {
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(probe->port),
                             .sin_addr.s_addr = htonl(probe->address)};
    struct sockaddr_in local = {0};
    hs_step step = HS_STEP_CUT;
    int descriptor = connect_probe(&to, deadline, &local, &step);
    if (descriptor < 0)
        return step;
    if (probe->listener != NULL)
        hs_listener_set_probe_address(probe->listener, &local);
    hs_client_connection *connection = hs_client_connection_adopt(descriptor);
    step = request_target(probe, connection, deadline);
    hs_client_connection_close(connection);
    if (probe->listener != NULL)
        hs_listener_set_probe_address(probe->listener, NULL);
    return step;
}
