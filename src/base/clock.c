/** @file clock.c  See clock.h. */
#include "base/clock.h"

#include <time.h>

#define MS_PER_S 1000U
#define US_PER_S 1000000U
#define US_PER_MS 1000U
#define NS_PER_US 1000U
#define NS_PER_MS 1000000U

static uint64_t read_us(clockid_t clock) {
    struct timespec now;
    clock_gettime(clock, &now);
    return (uint64_t)now.tv_sec * US_PER_S + (uint64_t)now.tv_nsec / NS_PER_US;
}

/* CLOCK_MONOTONIC excludes the time of suspension, so leases would seem to last longer. */
uint64_t hs_clock_monotonic_us(void) {
    return read_us(CLOCK_BOOTTIME);
}

uint64_t hs_clock_suspended_ms(void) {
    uint64_t monotonic_us = read_us(CLOCK_MONOTONIC);
    return (read_us(CLOCK_BOOTTIME) - monotonic_us) / US_PER_MS;
}

uint64_t hs_clock_monotonic_ms(void) {
    return hs_clock_monotonic_us() / MS_PER_S;
}

uint64_t hs_clock_left_ms(uint64_t deadline_ms) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    return deadline_ms > now_ms ? deadline_ms - now_ms : 0;
}

uint64_t hs_clock_wall_ms(void) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return (uint64_t)now.tv_sec * MS_PER_S + (uint64_t)now.tv_nsec / NS_PER_MS;
}

void hs_clock_sleep_ms(uint64_t milliseconds) {
    struct timespec duration = {.tv_sec = (time_t)(milliseconds / MS_PER_S),
                                .tv_nsec = (long)(milliseconds % MS_PER_S) * (long)NS_PER_MS};
    nanosleep(&duration, NULL);
}

hs_pause hs_clock_pause_begin(uint64_t milliseconds) {
    return (hs_pause){.until_us = g_get_monotonic_time() + (gint64)(milliseconds * US_PER_MS)};
}

bool hs_clock_pause_wait(const hs_pause *pause, GCond *condition, GMutex *lock) {
    return g_cond_wait_until(condition, lock, pause->until_us);
}

bool hs_clock_wait_until(uint64_t deadline_ms, GCond *condition, GMutex *lock) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (now_ms >= deadline_ms)
        return false;
    hs_pause pause = hs_clock_pause_begin(MIN(deadline_ms - now_ms, HS_CLOCK_MAX_WAIT_MS));
    return hs_clock_pause_wait(&pause, condition, lock) || hs_clock_monotonic_ms() < deadline_ms;
}
