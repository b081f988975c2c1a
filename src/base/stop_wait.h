/**
 * @file stop_wait.h
 * A duty's pause between its rounds, which its owner can cut short to end the duty.
 */
#ifndef HS_BASE_STOP_WAIT_H
#define HS_BASE_STOP_WAIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Shared by the duty's thread and its owner. */
typedef struct {
    GMutex lock;
    GCond asked;
    bool stopping;
} hs_stop_wait;

void hs_stop_wait_init(hs_stop_wait *wait);
void hs_stop_wait_clear(hs_stop_wait *wait);

/** Ask the duty to end; its pause ends at once. */
void hs_stop_wait_ask(hs_stop_wait *wait);

/** Pause for @p time_ms; false when the duty is to end. */
bool hs_stop_wait_pause(hs_stop_wait *wait, uint64_t time_ms);

#endif
