/** @file connection_guard.c  See connection_guard.h. */
#include "http/connection_guard.h"

#include "base/clock.h"
#include "base/log.h"

#include <errno.h>
#include <glib.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#define MS_PER_S 1000
/** TCP_CLOSE of <netinet/tcp.h>, which cannot be included together with <linux/tcp.h>. */
#define TCP_STATE_CLOSED 7
/**
 * Number of timeouts by which the end of a stalled connection is extended. The pauses between the
 * window probes, whose replies show that the peer is alive, grow up to the rest of the timeout.
 */
#define EXTENSION_TIMEOUTS 2
/** Keep-alive probes within the timeout of an idle connection. */
#define PROBES_PER_TIMEOUT 3

static GMutex timeouts_lock;
static hs_connection_timeouts current_timeouts;
static gint loss_counts[HS_CONNECTION_KINDS];
/** Monotonic times of the last losses in ms; 0: none. Protected by timeouts_lock. */
static uint64_t last_loss_ms[HS_CONNECTION_KINDS];

const char *hs_connection_kind_name(hs_connection_kind kind) {
    static const char *const names[] = {[HS_CONNECTION_CALLER] = "caller",
                                        [HS_CONNECTION_DAEMON] = "daemon",
                                        [HS_CONNECTION_ENGINE] = "engine",
                                        [HS_CONNECTION_STORE] = "store"};
    return names[kind];
}

void hs_connection_timeouts_set(const hs_connection_timeouts *timeouts) {
    g_mutex_lock(&timeouts_lock);
    current_timeouts = *timeouts;
    g_mutex_unlock(&timeouts_lock);
}

hs_connection_timeouts hs_connection_timeouts_get(void) {
    g_mutex_lock(&timeouts_lock);
    hs_connection_timeouts timeouts = current_timeouts;
    g_mutex_unlock(&timeouts_lock);
    return timeouts;
}

static bool set_option(int descriptor, int level, int name, int value) {
    return setsockopt(descriptor, level, name, &value, sizeof value) == 0;
}

void hs_connection_set_timeouts(int descriptor, hs_connection_kind kind) {
    hs_connection_timeouts timeouts = hs_connection_timeouts_get();
    int timeout_ms = (int)timeouts.kernel_timeout_ms[kind];
    if (timeout_ms == 0)
        return;
    int probe_s =
        MAX(timeout_ms / PROBES_PER_TIMEOUT / MS_PER_S, 1); /* The option is in seconds. */
    bool is_set = set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1) &&
                  set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probe_s) &&
                  set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probe_s) &&
                  set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, PROBES_PER_TIMEOUT) &&
                  set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms);
    static gint is_logged;
    if (!is_set && g_atomic_int_compare_and_exchange(&is_logged, 0, 1))
        hs_log_warning("connection_timeouts_not_set", "kind=%s cause=\"%s\"",
                       hs_connection_kind_name(kind), g_strerror(errno));
}

/** Reads the kernel's state of a TCP connection. Returns false on failure. */
static bool read_tcp_info(int descriptor, struct tcp_info *info) {
    socklen_t length = sizeof *info;
    memset(info, 0, sizeof *info);
    return getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, info, &length) == 0;
}

bool hs_connection_is_unacknowledged(int descriptor, uint32_t limit_ms) {
    struct tcp_info info;
    return read_tcp_info(descriptor, &info) && info.tcpi_unacked > 0 &&
           info.tcpi_last_ack_recv >= limit_ms;
}

void hs_connection_extend_timeout(int descriptor, hs_connection_kind kind, uint64_t open_ms) {
    struct tcp_info info;
    uint32_t timeout_ms = hs_connection_timeouts_get().kernel_timeout_ms[kind];
    if (timeout_ms == 0 || !read_tcp_info(descriptor, &info) || info.tcpi_unacked > 0 ||
        info.tcpi_last_ack_recv >= timeout_ms)
        return;
    uint64_t end_ms = MIN(open_ms + (uint64_t)EXTENSION_TIMEOUTS * timeout_ms, G_MAXINT);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, (int)end_ms);
}

bool hs_connection_has_timed_out(int descriptor) {
    struct tcp_info info;
    return read_tcp_info(descriptor, &info) && info.tcpi_state == TCP_STATE_CLOSED &&
           (info.tcpi_retransmits > 0 || info.tcpi_probes > 0);
}

void hs_connection_note_loss(hs_connection_kind kind, uint64_t age_ms, const char *noticed_by) {
    g_atomic_int_inc(&loss_counts[kind]);
    g_mutex_lock(&timeouts_lock);
    last_loss_ms[kind] = hs_clock_monotonic_ms();
    g_mutex_unlock(&timeouts_lock);
    hs_log_warning("connection_lost", "kind=%s age_ms=%" G_GUINT64_FORMAT " noticed_by=%s",
                   hs_connection_kind_name(kind), (guint64)age_ms, noticed_by);
}

uint64_t hs_connection_loss_count(hs_connection_kind kind) {
    return (uint64_t)(guint)g_atomic_int_get(&loss_counts[kind]);
}

uint32_t hs_connection_max_idle_ms(uint32_t once_idle_ms, uint64_t lost_ms, uint64_t now_ms) {
    uint64_t limit_ms = once_idle_ms > 0 ? once_idle_ms : UINT32_MAX;
    if (lost_ms > 0)
        limit_ms = MIN(limit_ms, now_ms - MIN(lost_ms, now_ms));
    return (uint32_t)limit_ms;
}

uint32_t hs_connection_current_max_idle_ms(hs_connection_kind kind) {
    g_mutex_lock(&timeouts_lock);
    uint32_t once_idle_ms = current_timeouts.once_idle_ms;
    uint64_t lost_ms = last_loss_ms[kind];
    g_mutex_unlock(&timeouts_lock);
    return hs_connection_max_idle_ms(once_idle_ms, lost_ms, hs_clock_monotonic_ms());
}
