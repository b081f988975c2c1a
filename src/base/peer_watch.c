/** @file peer_watch.c  See peer_watch.h. */
#include "base/peer_watch.h"

#include "base/clock.h"

#include <poll.h>

static bool leaves_within(int descriptor, int milliseconds) {
    struct pollfd polled = {.fd = descriptor, .events = POLLRDHUP};
    return poll(&polled, 1, milliseconds) > 0;
}

bool hs_peer_has_left(int descriptor) {
    return leaves_within(descriptor, 0);
}

bool hs_peer_leaves_within(int descriptor, uint32_t milliseconds) {
    uint64_t until_ms = hs_clock_monotonic_ms() + milliseconds;
    uint64_t now_ms = hs_clock_monotonic_ms();
    while (now_ms < until_ms) { /* A signal may end a wait early. */
        if (leaves_within(descriptor, (int)MIN(until_ms - now_ms, HS_CLOCK_WAKE_MS)))
            return true;
        now_ms = hs_clock_monotonic_ms();
    }
    return hs_peer_has_left(descriptor);
}
