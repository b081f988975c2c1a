/** @file connection_guard.c  See connection_guard.h. */
#include "http/connection_guard.h"

#include "base/log.h"

#include <errno.h>
#include <glib.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#define MS_PER_S 1000
/** The kernel's number for it; <netinet/tcp.h>, which names it, clashes with <linux/tcp.h>. */
#define TCP_STATE_CLOSED 7
/** Bounds by which the end of a stalled connection is moved on: probes, whose answers are the
 * signs, come at pauses that grow up to what is left of the bound. */
#define EXTENDED_BOUNDS 2
/** Probes of an idle connection within its bound: one may be lost. */
#define PROBES_PER_BOUND 3

static GMutex bounds_lock;
static hs_connection_bounds bounds_in_force;
static gint losses[HS_CONNECTION_KINDS];

const char *hs_connection_kind_name(hs_connection_kind kind) {
    static const char *const names[] = {[HS_CONNECTION_CALLER] = "caller",
                                        [HS_CONNECTION_DAEMON] = "daemon",
                                        [HS_CONNECTION_ENGINE] = "engine",
                                        [HS_CONNECTION_STORE] = "store"};
    return names[kind];
}

void hs_connection_bounds_set(const hs_connection_bounds *bounds) {
    g_mutex_lock(&bounds_lock);
    bounds_in_force = *bounds;
    g_mutex_unlock(&bounds_lock);
}

hs_connection_bounds hs_connection_bounds_get(void) {
    g_mutex_lock(&bounds_lock);
    hs_connection_bounds bounds = bounds_in_force;
    g_mutex_unlock(&bounds_lock);
    return bounds;
}

static bool set_option(int descriptor, int level, int name, int value) {
    return setsockopt(descriptor, level, name, &value, sizeof value) == 0;
}

void hs_connection_guard(int descriptor, hs_connection_kind kind) {
    hs_connection_bounds bounds = hs_connection_bounds_get();
    int bound_ms = (int)bounds.kernel_ms[kind];
    if (bound_ms == 0)
        return;
    int probe_s = MAX(bound_ms / PROBES_PER_BOUND / MS_PER_S, 1); /* The kernel counts seconds. */
    bool is_guarded = set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1) &&
                      set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probe_s) &&
                      set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probe_s) &&
                      set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, PROBES_PER_BOUND) &&
                      set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, bound_ms);
    static gint is_told;
    if (!is_guarded && g_atomic_int_compare_and_exchange(&is_told, 0, 1))
        hs_log_warning("connections_unguarded", "kind=%s cause=\"%s\"",
                       hs_connection_kind_name(kind), g_strerror(errno));
}

/** What the kernel tells of a TCP connection; false where it does not. */
static bool read_info(int descriptor, struct tcp_info *info) {
    socklen_t length = sizeof *info;
    memset(info, 0, sizeof *info);
    return getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, info, &length) == 0;
}

bool hs_connection_is_unacknowledged(int descriptor, uint32_t limit_ms) {
    struct tcp_info info;
    return read_info(descriptor, &info) && info.tcpi_unacked > 0 &&
           info.tcpi_last_ack_recv >= limit_ms;
}

void hs_connection_keep_stalled(int descriptor, hs_connection_kind kind, uint64_t open_ms) {
    struct tcp_info info;
    uint32_t bound_ms = hs_connection_bounds_get().kernel_ms[kind];
    if (bound_ms == 0 || !read_info(descriptor, &info) || info.tcpi_unacked > 0 ||
        info.tcpi_last_ack_recv >= bound_ms)
        return;
    uint64_t end_ms = MIN(open_ms + (uint64_t)EXTENDED_BOUNDS * bound_ms, G_MAXINT);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, (int)end_ms);
}

bool hs_connection_has_timed_out(int descriptor) {
    struct tcp_info info;
    return read_info(descriptor, &info) && info.tcpi_state == TCP_STATE_CLOSED &&
           (info.tcpi_retransmits > 0 || info.tcpi_probes > 0);
}

void hs_connection_note_loss(hs_connection_kind kind, uint64_t age_ms, const char *noticed_by) {
    g_atomic_int_inc(&losses[kind]);
    hs_log_warning("connection_lost", "kind=%s age_ms=%" G_GUINT64_FORMAT " noticed_by=%s",
                   hs_connection_kind_name(kind), (guint64)age_ms, noticed_by);
}

uint64_t hs_connection_losses(hs_connection_kind kind) {
    return (uint64_t)(guint)g_atomic_int_get(&losses[kind]);
}
