/**
 * @file stop_callers.h
 * Callers that go on using their connections while daemons stop, and a check that no answer of
 * theirs was cut.
 */
#ifndef TESTS_SYSTEM_STOP_CALLERS_H
#define TESTS_SYSTEM_STOP_CALLERS_H

#include "tests/support/raw_caller.h"

#include <stdbool.h>
#include <stdint.h>

/** How a caller sends its requests and reads the answers. */
typedef enum {
    STOP_CALLER_PLAIN,
    STOP_CALLER_LATE_BODY, /**< Sends the body in chunks, the last one late. */
    STOP_CALLER_UNFRAMED,  /**< HTTP/1.0: the answer ends with its connection. */
    STOP_CALLER_SLOW,      /**< Reads only after some time. */
    STOP_CALLER_KINDS,
} stop_caller_kind;

/** A request and its answer. Monotonic times. */
typedef struct {
    char id[48];
    int daemon;
    uint32_t status;  /**< 0: no answer. */
    bool is_whole;    /**< The answer is complete. */
    bool is_closing;  /**< The answer says that the connection is closed after it. */
    bool is_kept;     /**< Sent on a connection that was used before. */
    uint64_t sent_ms; /**< When the last byte of the request was sent. */
    uint64_t ended_ms;
} stop_request;

/** Sends "POST target" with a body of 5 bytes, and reads the answer for up to @p limit_ms. */
stop_request stop_caller_post(raw_caller *caller, const char *target, const char *id,
                              unsigned limit_ms);

/** Only reads the answer. */
void stop_caller_read_answer(raw_caller *caller, stop_request *request, unsigned limit_ms);

/** Starts @p count callers, which send to all daemons until stop_callers_end. */
void stop_callers_begin(int count);

/** Ends the callers. */
void stop_callers_end(void);

/** What the callers saw of the stops. */
typedef struct {
    uint32_t sent;
    uint32_t served;
    uint32_t served_in_stops;
    uint32_t refused;
    uint32_t excused; /**< Cut, but sent early in the stop and at work at its end. */
    uint32_t cut;     /**< Cut otherwise. */
} stop_summary;

/** A stop of a daemon with a grace time of @p grace_ms, for the summary. */
void stop_callers_note_stop(int daemon, uint64_t signal_ms, uint64_t exit_ms, uint64_t grace_ms);

/** Judges all requests, and prints those that were cut. */
stop_summary stop_callers_summarize(void);

#endif
