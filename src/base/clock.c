/** @file clock.c  Clocks; see clock.h. */
#include "base/clock.h"

#include <time.h>

#define MS_PER_S 1000U
#define US_PER_S 1000000U
#define NS_PER_US 1000U
#define NS_PER_MS 1000000U

uint64_t hs_clock_monotonic_us(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (uint64_t)now.tv_sec * US_PER_S + (uint64_t)now.tv_nsec / NS_PER_US;
}

uint64_t hs_clock_monotonic_ms(void) {
    return hs_clock_monotonic_us() / MS_PER_S;
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
