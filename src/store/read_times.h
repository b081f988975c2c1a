/**
 * @file read_times.h
 * How long reads of the store wait for an answer, by the response times of recent reads. Pure.
 */
#ifndef HS_STORE_READ_TIMES_H
#define HS_STORE_READ_TIMES_H

#include <stdbool.h>
#include <stdint.h>

/** Bounds in ms of the time after which a read is sent again on a new connection. */
#define HS_READ_MIN_REPEAT_MS 750
#define HS_READ_MAX_REPEAT_MS 1500
/** Maximum of a limit that follows the response times. */
#define HS_READ_MAX_LIMIT_MS 4000

/** Response times of reads, without the time for which the store was asked to hold them. */
typedef struct {
    double recent_ms; /**< Rises at once and falls gradually. */
} hs_read_times;

/** Records the response time of a read. */
void hs_read_times_note(hs_read_times *times, uint64_t took_ms);

/**
 * Returns the time in ms without an answer after which a read is sent again on a new connection:
 * the connection may be silent, or the store may have been while the read was sent. The first read
 * may still be answered. Longer than the recent response time, so that a slow store does not get
 * each read twice. A read with @p left_ms left on a used connection is sent again after half of
 * that at the latest, unless the store is known to be slower.
 */
uint64_t hs_read_times_repeat_ms(const hs_read_times *times, bool is_used, uint64_t left_ms);

/**
 * Returns the limit in ms of a read that is given @p usual_ms while the store is fast. The limit
 * leaves time for a repeated read, and doubles with each @p attempt (from 0) up to
 * HS_READ_MAX_LIMIT_MS.
 */
uint64_t hs_read_times_limit_ms(const hs_read_times *times, uint64_t usual_ms, uint32_t attempt);

#endif
