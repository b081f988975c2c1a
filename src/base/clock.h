/**
 * @file clock.h
 * Clocks, and waits by them. They only decide when to try; no decision that must be single uses
 * one. No other file reads a clock or waits for a time on a condition.
 *
 * Two meanings of time: what others rely on (ages, deadlines, leases, how long something is
 * remembered) goes on while the machine is suspended; a pause between two steps of our own does
 * not. What crosses machines is a duration or a version, never a reading of a clock.
 */
#ifndef HS_BASE_CLOCK_H
#define HS_BASE_CLOCK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Milliseconds that never go back, time for which the machine was suspended included. */
uint64_t hs_clock_monotonic_ms(void);

/** The same in microseconds. */
uint64_t hs_clock_monotonic_us(void);

/** Milliseconds for which the machine was suspended so far: of no meaning but in differences. */
uint64_t hs_clock_suspended_ms(void);

/** Milliseconds since 1970 of the wall clock; for display and callers' deadlines only. */
uint64_t hs_clock_wall_ms(void);

/** Sleep for about @p milliseconds. */
void hs_clock_sleep_ms(uint64_t milliseconds);

/** A pause under way: ends after a time for which the machine ran. */
typedef struct {
    gint64 until_us; /**< Of the steady clock that GLib waits by. */
} hs_pause;

hs_pause hs_clock_pause_begin(uint64_t milliseconds);

/** Wait on the condition for what is left of the pause; false once it is over. */
bool hs_clock_pause_wait(const hs_pause *pause, GCond *condition, GMutex *lock);

/**
 * Wait on the condition until hs_clock_monotonic_ms is @p deadline_ms; false once it is. After the
 * machine was suspended it ends up to HS_CLOCK_WAKE_MS late.
 */
bool hs_clock_wait_until(uint64_t deadline_ms, GCond *condition, GMutex *lock);

/**
 * The kernel's waits stand still with the machine. Each lasts no longer than this, in ms, so that a
 * deadline that passed meanwhile ends soon after the wake: within half a second.
 */
#define HS_CLOCK_WAKE_MS 400

#endif
