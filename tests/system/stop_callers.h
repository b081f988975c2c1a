/**
 * @file stop_callers.h
 * Callers that go on using their connections while daemons stop, and a check that no answer of
 * theirs was cut.
 */
#ifndef TESTS_SYSTEM_STOP_CALLERS_H
#define TESTS_SYSTEM_STOP_CALLERS_H

#include "tests/support/stop_request.h"

#include <stdbool.h>
#include <stdint.h>

/** Starts @p count callers, which send to all daemons until stop_callers_end. */
void stop_callers_begin(int count);

/** Ends the callers. */
void stop_callers_end(void);

/** What the callers saw of the stops. */
typedef struct {
    uint32_t sent;
    uint32_t served;
    uint32_t sent_in_stops;
    uint32_t served_in_stops;
    uint32_t needless_refusals; /**< Refused requests of a short route, with time left. */
    uint32_t broken_promises;   /**< Refused requests that ran, or second runs of one. */
    uint32_t refused;
    uint32_t excused; /**< Cut, but sent early in the stop and at work at its end. */
    uint32_t cut;     /**< Cut otherwise. */
} stop_summary;

/** A stop of a daemon with a grace time of @p grace_ms, for the summary. */
void stop_callers_note_stop(int daemon, uint64_t signal_ms, uint64_t exit_ms, uint64_t grace_ms);

/** Judges all requests, and prints those that were cut. */
stop_summary stop_callers_summarize(void);

#endif
