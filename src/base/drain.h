/**
 * @file drain.h
 * The planned stop of the process: when it began, and until when requests are accepted and
 * answered. Thread-safe.
 */
#ifndef HS_BASE_DRAIN_H
#define HS_BASE_DRAIN_H

#include "base/interrupt.h"

#include <stdbool.h>
#include <stdint.h>

/** Monotonic times in ms. */
typedef struct {
    uint64_t started_ms;
    uint64_t accept_until_ms; /**< New connections are accepted until then. */
    uint64_t deadline_ms;     /**< Requests still open then are ended. */
} hs_drain_times;

typedef struct hs_drain hs_drain;

hs_drain *hs_drain_new(void);
/** NULL is allowed. */
void hs_drain_free(hs_drain *drain);

/** Starts the stop. Only the first call has an effect. */
void hs_drain_begin(hs_drain *drain, const hs_drain_times *times);

/** Returns whether the process is stopping, with @p times if so. False if @p drain is NULL. */
bool hs_drain_get(hs_drain *drain, hs_drain_times *times);

/** Returns @p time_ms, or the stop's deadline if that is earlier. @p drain may be NULL. */
uint64_t hs_drain_limit(hs_drain *drain, uint64_t time_ms);

/** Ends the waits of requests that are still open, at the deadline or once none is left. */
void hs_drain_expire(hs_drain *drain);

/** Returns whether hs_drain_expire was called. False if @p drain is NULL. */
bool hs_drain_has_expired(hs_drain *drain);

/** Returns the interrupt that hs_drain_expire raises. NULL if @p drain is. Borrowed. */
hs_interrupt *hs_drain_interrupt(hs_drain *drain);

#endif
