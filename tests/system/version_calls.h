/**
 * @file version_calls.h
 * Callers that take broken streams up, at engines of several software versions, and a check that no
 * stream is joined from two of them.
 */
#ifndef TESTS_SYSTEM_VERSION_CALLS_H
#define TESTS_SYSTEM_VERSION_CALLS_H

#include "standin/token_engine/token_engine.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Daemons to which callers send streams. */
#define VERSION_DAEMONS 4
/** Streams of 1.2 s, so that some are open at each fault. */
#define VERSION_EVENTS 40
#define VERSION_EVENT_MS 30
/** Time in ms from a stream's start to a fault. */
#define FAULT_DELAY_MS 350
/** An engine of a release that is withdrawn. */
#define WITHDRAWN_ID "withdrawn"
#define WITHDRAWN_VERSION "v2"

/** The events of one stream over all tries of its caller. */
typedef struct {
    const char *version; /**< Of the first event; NULL: none has arrived. */
    uint32_t events;
    bool is_mixed; /**< Events of two versions have arrived. */
    bool is_out_of_order;
    bool is_whole;
    char first_id[TOKEN_ENGINE_ID_BYTES]; /**< Of the try that received the first event. */
    char body[TOKEN_ENGINE_ID_BYTES];     /**< "": that of all such streams. */
} caller_stream;

/** Streams of all callers. */
typedef struct {
    const char *title;
    uint32_t leave_after_ms; /**< Time after which a caller leaves its first try; 0: it stays. */
    gint stopping;
    gint next_number;
    GMutex lock;
    uint32_t streams;
    uint32_t begun;
    uint32_t taken_up; /**< Tries after the first event. */
    uint32_t went_on;  /**< Of them, those that received events. */
    uint32_t whole;
    uint32_t mixed;
    uint32_t out_of_order;
} stream_results;

/** Causes the fault @p turn while callers send streams. */
typedef void (*fault_function)(int turn);

/** Sends one try of a stream's caller; returns how many events it received. */
uint32_t send_try(caller_stream *stream, int daemon, const char *request_id,
                  uint32_t disconnect_after_ms);

/**
 * Runs callers beside faults, and checks that no stream is joined from two versions.
 * @p leave_after_ms: time after which a caller leaves its first try; 0: it stays.
 */
stream_results call_beside_faults(const char *title, fault_function cause_fault,
                                  uint32_t leave_after_ms);

/** Crashes two engines; the last two stay up, so that there is always one of each version. */
void crash_two_engines(int turn);

#endif
