/** @file fault_proxy.c  See fault_proxy.h. One thread a connection, which looks at the mode often.
 */
#include "tests/support/fault_proxy.h"

#include "base/clock.h"

#include <arpa/inet.h>
#include <glib.h>
#include <linux/filter.h>
#include <poll.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

#define PIECE_BYTES 16384
#define LOOK_MS 10
/** Looks after which each connection has noticed that it is silenced. */
#define SILENCE_LOOKS 3
#define DELAY_MS 60
#define BACKLOG 256

struct fault_proxy {
    int listener;
    uint16_t port;
    uint16_t target_port;
    gint mode;
    gint stopping;
    gint connections;
    gint accepted;       /**< Connections so far. */
    gint silenced_until; /**< Those of a lower number pass nothing, */
    gint dropped_until;  /**< and of those the kernel drops all packets. */
    GThread *acceptor;
};

/** Both ends of one connection. */
typedef struct {
    fault_proxy *proxy;
    gint number;
    int caller;
    int target;
} link_ends;

static proxy_mode mode_of(fault_proxy *proxy) {
    return (proxy_mode)g_atomic_int_get(&proxy->mode);
}

static void reset_at_close(int descriptor) {
    struct linger at_once = {.l_onoff = 1, .l_linger = 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

static int connect_to(uint16_t port) {
    struct sockaddr_in to = {
        .sin_family = AF_INET, .sin_port = htons(port), .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(descriptor, (struct sockaddr *)&to, sizeof to) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

static bool send_all(int descriptor, const char *bytes, ssize_t length) {
    while (length > 0) {
        ssize_t sent = send(descriptor, bytes, (size_t)length, MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes += sent;
        length -= sent;
    }
    return true;
}

/** Pass one piece on; false when that way has ended. */
static bool pass_piece(fault_proxy *proxy, int from, int to) {
    char piece[PIECE_BYTES];
    ssize_t length = recv(from, piece, sizeof piece, MSG_DONTWAIT);
    if (length <= 0)
        return false;
    if (mode_of(proxy) == PROXY_DELAYS)
        hs_clock_sleep_ms(DELAY_MS);
    return send_all(to, piece, length);
}

static bool is_silenced(const link_ends *ends) {
    return ends->number < g_atomic_int_get(&ends->proxy->silenced_until);
}

/** The kernel drops all that comes for the socket, unacknowledged, so that it seems far away. */
static void drop_packets(int descriptor) {
    struct sock_filter nothing = BPF_STMT(BPF_RET | BPF_K, 0);
    struct sock_fprog program = {.len = 1, .filter = &nothing};
    if (setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) != 0)
        g_error("no filter for a socket");
}

/** Move bytes until one side ends; false when the connection is to be reset. */
static bool run_link(const link_ends *ends) {
    bool drops = false;
    while (g_atomic_int_get(&ends->proxy->stopping) == 0) {
        proxy_mode mode = mode_of(ends->proxy);
        bool to_target = mode != PROXY_IS_SILENT && !is_silenced(ends);
        bool to_caller = to_target && mode != PROXY_HOLDS_ANSWERS;
        if (mode == PROXY_RESETS)
            return false;
        if (!drops && ends->number < g_atomic_int_get(&ends->proxy->dropped_until)) {
            drop_packets(ends->caller);
            drop_packets(ends->target);
            drops = true;
        }
        struct pollfd polled[2] = {{.fd = to_target ? ends->caller : -1, .events = POLLIN},
                                   {.fd = to_caller ? ends->target : -1, .events = POLLIN}};
        poll(polled, 2, LOOK_MS);
        if (is_silenced(ends))
            continue;
        if (polled[0].revents != 0 && !pass_piece(ends->proxy, ends->caller, ends->target))
            return true;
        if (polled[1].revents != 0 && !pass_piece(ends->proxy, ends->target, ends->caller))
            return true;
    }
    return true;
}

static gpointer serve_link(gpointer data) {
    link_ends *ends = data;
    fault_proxy *proxy = ends->proxy;
    ends->target = connect_to(proxy->target_port);
    if (ends->target < 0 || !run_link(ends)) {
        reset_at_close(ends->caller);
        if (ends->target >= 0)
            reset_at_close(ends->target);
    }
    close(ends->caller);
    if (ends->target >= 0)
        close(ends->target);
    g_free(ends);
    g_atomic_int_add(&proxy->connections, -1);
    return NULL;
}

static gpointer accept_links(gpointer data) {
    fault_proxy *proxy = data;
    while (g_atomic_int_get(&proxy->stopping) == 0) {
        struct pollfd polled = {.fd = proxy->listener, .events = POLLIN};
        if (poll(&polled, 1, LOOK_MS) <= 0)
            continue;
        int caller = accept4(proxy->listener, NULL, NULL, SOCK_CLOEXEC);
        if (caller < 0)
            continue;
        link_ends *ends = g_new0(link_ends, 1);
        *ends = (link_ends){.proxy = proxy,
                            .number = g_atomic_int_add(&proxy->accepted, 1),
                            .caller = caller,
                            .target = -1};
        g_atomic_int_inc(&proxy->connections);
        g_thread_unref(g_thread_new("link", serve_link, ends));
    }
    return NULL;
}

fault_proxy *fault_proxy_start(uint16_t target_port) {
    struct sockaddr_in local = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof local;
    fault_proxy *proxy = g_new0(fault_proxy, 1);
    proxy->target_port = target_port;
    proxy->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(proxy->listener, (struct sockaddr *)&local, sizeof local) != 0 ||
        listen(proxy->listener, BACKLOG) != 0 ||
        getsockname(proxy->listener, (struct sockaddr *)&local, &length) != 0)
        g_error("no port for a proxy");
    proxy->port = ntohs(local.sin_port);
    proxy->acceptor = g_thread_new("acceptor", accept_links, proxy);
    return proxy;
}

void fault_proxy_stop(fault_proxy *proxy) {
    g_atomic_int_set(&proxy->stopping, 1);
    g_thread_join(proxy->acceptor);
    while (g_atomic_int_get(&proxy->connections) > 0)
        hs_clock_sleep_ms(LOOK_MS);
    close(proxy->listener);
    g_free(proxy);
}

uint16_t fault_proxy_port(const fault_proxy *proxy) {
    return proxy->port;
}

void fault_proxy_set(fault_proxy *proxy, proxy_mode mode) {
    g_atomic_int_set(&proxy->mode, (gint)mode);
}

void fault_proxy_silence_open(fault_proxy *proxy, proxy_silence silence) {
    gint accepted = g_atomic_int_get(&proxy->accepted);
    g_atomic_int_set(&proxy->silenced_until, accepted);
    if (silence == PROXY_DROPS_ALL_PACKETS)
        g_atomic_int_set(&proxy->dropped_until, accepted);
    hs_clock_sleep_ms(SILENCE_LOOKS * LOOK_MS);
}
