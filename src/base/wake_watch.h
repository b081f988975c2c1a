/**
 * @file wake_watch.h
 * Notices that this process stood still: it was stopped, starved, or the machine was suspended.
 * What it knows is then older than it seems. A duty with short rounds looks at each.
 */
#ifndef HS_BASE_WAKE_WATCH_H
#define HS_BASE_WAKE_WATCH_H

#include <glib.h>
#include <stdint.h>

/** Lengths are counted by powers of two, from HS_STOOD_STILL_LEAST_MS; the last holds the rest. */
#define HS_WAKE_BUCKETS 6
/**
 * Between two looks, in ms, before the process counts as having stood still: twelve rounds of the
 * looking duty, and a third of the time for which other daemons think well of a silent one.
 */
#define HS_STOOD_STILL_LEAST_MS 1000

/** Zero-initialise, then hs_wake_watch_init. Shared by threads. */
typedef struct {
    GMutex lock;
    uint64_t looked_ms;    /**< 0: not yet. */
    uint64_t suspended_ms; /**< Of the machine, at the last look. */
    uint64_t woke_ms;      /**< When it was last noticed; 0: never. */
    uint64_t counts[HS_WAKE_BUCKETS];
} hs_wake_watch;

void hs_wake_watch_init(hs_wake_watch *watch);
void hs_wake_watch_clear(hs_wake_watch *watch);

/** Look once; logs and counts it where the process stood still since the last look. */
void hs_wake_watch_look(hs_wake_watch *watch);

/** When the process was last found to have stood still; monotonic, 0: never. */
uint64_t hs_wake_watch_woke_ms(hs_wake_watch *watch);

/** Metrics as text. Free with g_free. */
char *hs_wake_watch_describe(hs_wake_watch *watch);

#endif
