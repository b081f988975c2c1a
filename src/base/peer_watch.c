/** @file peer_watch.c  See peer_watch.h. */
#include "base/peer_watch.h"

#include "base/clock.h"

#include <poll.h>

static bool poll_for_disconnect(int descriptor, int timeout_ms) {
    struct pollfd polled = {.fd = descriptor, .events = POLLRDHUP};
    return poll(&polled, 1, timeout_ms) > 0;
}

bool hs_peer_has_disconnected(int descriptor) {
    return poll_for_disconnect(descriptor, 0);
}

bool hs_peer_wait_for_disconnect(int descriptor, uint32_t timeout_ms) {
    uint64_t deadline_ms = hs_clock_monotonic_ms() + timeout_ms;
    uint64_t now_ms = hs_clock_monotonic_ms();
    while (now_ms < deadline_ms) { /* A signal can end poll early. */
        if (poll_for_disconnect(descriptor, (int)MIN(deadline_ms - now_ms, HS_CLOCK_MAX_WAIT_MS)))
            return true;
        now_ms = hs_clock_monotonic_ms();
    }
    return hs_peer_has_disconnected(descriptor);
}
