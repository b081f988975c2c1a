/**
 * @file crash_probe.h
 * Finds out whether an engine crashed after a response from it was cut.
 *
 * A thread connects to each engine that cut a run. A refused connection shows a crash within
 * milliseconds, about two seconds before the engine's entry in the store expires. The functions are
 * thread-safe.
 */
#ifndef HS_FLEET_CRASH_PROBE_H
#define HS_FLEET_CRASH_PROBE_H

#include "fleet/request_content.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct hs_crash_probe hs_crash_probe;

/** A run whose response was cut by an engine that had not announced that it was leaving. */
typedef struct {
    hs_request_contents contents;
    uint64_t engine; /**< Hash of its id. */
    char engine_id[64];
    uint32_t address; /**< IPv4 address in host byte order. */
    uint16_t port;
    uint64_t cut_ms;
    uint32_t ran_ms; /**< See hs_crash_engine. */
    /** The answer ended with its connection, and was whole as far as could be seen. */
    bool may_be_whole;
} hs_cut_run;

/**
 * Receives the result for one engine, on the probe's thread. @p runs (of hs_cut_run) are the runs
 * that were cut there. If the engine crashed, further calls may report runs that were cut later.
 */
typedef void (*hs_crash_probe_callback)(const GArray *runs, bool is_crashed, void *user_data);

/** Reports whether an engine (hash of its id) may be checked. Called on the probe's thread. */
typedef bool (*hs_crash_probe_filter)(uint64_t engine, void *user_data);

/** Starts the probe's thread. Without a thread (none could be started) no engine is checked. */
hs_crash_probe *hs_crash_probe_start(hs_crash_probe_callback callback, void *user_data);

/**
 * Sets the filter of engines; NULL: all may be checked. A check of an engine that the filter
 * excludes ends without a result. To be called before the first run is queued; @p user_data must
 * outlive the probe.
 */
void hs_crash_probe_set_filter(hs_crash_probe *probe, hs_crash_probe_filter filter,
                               void *user_data);

/** Stops the thread and frees the probe. Runs still in the queue are dropped. */
void hs_crash_probe_stop(hs_crash_probe *probe);

/** Returns the number of engines found crashed so far. */
uint32_t hs_crash_probe_crash_count(hs_crash_probe *probe);

/** Queues a copy of a run to be checked, without blocking. Returns false if the queue is full. */
bool hs_crash_probe_submit(hs_crash_probe *probe, const hs_cut_run *run);

#endif
