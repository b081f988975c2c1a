/** @file stop_wait.c  See stop_wait.h. */
#include "base/stop_wait.h"

#include "base/clock.h"

void hs_stop_wait_init(hs_stop_wait *wait) {
    g_mutex_init(&wait->lock);
    g_cond_init(&wait->stop_requested);
    wait->stopping = false;
}

void hs_stop_wait_clear(hs_stop_wait *wait) {
    g_cond_clear(&wait->stop_requested);
    g_mutex_clear(&wait->lock);
}

void hs_stop_wait_request_stop(hs_stop_wait *wait) {
    g_mutex_lock(&wait->lock);
    wait->stopping = true;
    g_cond_broadcast(&wait->stop_requested);
    g_mutex_unlock(&wait->lock);
}

bool hs_stop_wait_pause(hs_stop_wait *wait, uint64_t time_ms) {
    hs_pause pause = hs_clock_pause_begin(time_ms);
    g_mutex_lock(&wait->lock);
    while (!wait->stopping && hs_clock_pause_wait(&pause, &wait->stop_requested, &wait->lock))
        continue;
    bool is_running = !wait->stopping;
    g_mutex_unlock(&wait->lock);
    return is_running;
}
