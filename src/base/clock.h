/**
 * @file clock.h
 * Clocks and timed waits. All other modules read clocks and wait on conditions with a time-out
 * through these functions, which are thread-safe.
 *
 * Ages, deadlines, leases and retention times continue while the machine is suspended; pauses
 * between two steps of one thread do not. Between machines, durations and versions are exchanged,
 * never clock readings, and correctness does not depend on clocks of two machines agreeing.
 */
#ifndef HS_BASE_CLOCK_H
#define HS_BASE_CLOCK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Returns monotonic time in ms, which includes the time for which the machine was suspended. */
uint64_t hs_clock_monotonic_ms(void);

/** Returns the time in ms until hs_clock_monotonic_ms reaches @p deadline_ms; 0: it has. */
uint64_t hs_clock_left_ms(uint64_t deadline_ms);

/** Returns hs_clock_monotonic_ms in microseconds. */
uint64_t hs_clock_monotonic_us(void);

/** Returns the total time in ms for which the machine was suspended; only differences matter. */
uint64_t hs_clock_suspended_ms(void);

/** Returns the wall-clock time in ms since 1970; for display and callers' deadlines only. */
uint64_t hs_clock_wall_ms(void);

/** Sleeps for about @p milliseconds; a signal can end the sleep early. */
void hs_clock_sleep_ms(uint64_t milliseconds);

/** A pause in progress. Time for which the machine is suspended does not count. */
typedef struct {
    gint64 until_us; /**< Time of g_get_monotonic_time. */
} hs_pause;

/** Starts a pause that ends in @p milliseconds. */
hs_pause hs_clock_pause_begin(uint64_t milliseconds);

/** Waits on @p condition for the rest of the pause. Returns false once the pause is over. */
bool hs_clock_pause_wait(const hs_pause *pause, GCond *condition, GMutex *lock);

/**
 * Waits on @p condition until hs_clock_monotonic_ms reaches @p deadline_ms. Returns false once the
 * deadline has passed, and true on a wake-up, which may be spurious. After the machine was
 * suspended the wait ends up to HS_CLOCK_MAX_WAIT_MS late.
 */
bool hs_clock_wait_until(uint64_t deadline_ms, GCond *condition, GMutex *lock);

/**
 * Maximum length of one wait in the kernel, in ms. Time-outs in the kernel do not advance while the
 * machine is suspended, so longer waits are split to notice a deadline that passed meanwhile.
 */
#define HS_CLOCK_MAX_WAIT_MS 400

#endif
