/**
 * @file stop_wait.h
 * An interruptible pause of a periodic thread, which ends early if the thread is to stop.
 * Thread-safe between hs_stop_wait_init and hs_stop_wait_clear.
 */
#ifndef HS_BASE_STOP_WAIT_H
#define HS_BASE_STOP_WAIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Shared by the periodic thread and the thread that stops it. */
typedef struct {
    GMutex lock;
    GCond stop_requested;
    bool stopping;
} hs_stop_wait;

void hs_stop_wait_init(hs_stop_wait *wait);
void hs_stop_wait_clear(hs_stop_wait *wait);

/** Requests the thread to stop. The current pause ends at once; later ones do not wait. */
void hs_stop_wait_request_stop(hs_stop_wait *wait);

/** Pauses for @p time_ms. Returns false if a stop is requested. */
bool hs_stop_wait_pause(hs_stop_wait *wait, uint64_t time_ms);

#endif
