/** @file clock.h  Clocks. They only decide when to try; no decision that must be single uses one.
 */
#ifndef HS_BASE_CLOCK_H
#define HS_BASE_CLOCK_H

#include <stdint.h>

/** Milliseconds of the monotonic clock. */
uint64_t hs_clock_monotonic_ms(void);

/** Microseconds of the monotonic clock. */
uint64_t hs_clock_monotonic_us(void);

/** Milliseconds since 1970 of the wall clock; for display and callers' deadlines only. */
uint64_t hs_clock_wall_ms(void);

/** Sleep for about @p milliseconds. */
void hs_clock_sleep_ms(uint64_t milliseconds);

#endif
