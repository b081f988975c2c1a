/**
 * @file stop_request.h
 * Requests of callers that go on using their connections while daemons stop, and which ends of
 * their connections a stop may cause.
 */
#ifndef TESTS_SUPPORT_STOP_REQUEST_H
#define TESTS_SUPPORT_STOP_REQUEST_H

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
    const char *target; /**< Borrowed. */
    int daemon;
    uint32_t status;   /**< 0: no answer. */
    bool is_whole;     /**< The answer is complete. */
    bool is_closing;   /**< The answer says that the connection is closed after it. */
    bool is_kept;      /**< Sent on a connection that was used before. */
    uint64_t begun_ms; /**< When the first byte of the request was sent. */
    uint64_t sent_ms;  /**< When the last byte of the request was sent. */
    uint64_t ended_ms;
} stop_request;

/** Sends "POST target" with a body of 5 bytes in the manner of @p kind, and reads the answer. */
stop_request stop_request_send(raw_caller *caller, stop_caller_kind kind, const char *target,
                               const char *id, unsigned limit_ms);

/** Sends "POST target" with a body of 5 bytes, and reads the answer for up to @p limit_ms. */
stop_request stop_request_post(raw_caller *caller, const char *target, const char *id,
                               unsigned limit_ms);

/** Only reads the answer. */
void stop_request_read_answer(raw_caller *caller, stop_request *request, unsigned limit_ms);

/** Returns whether an answer has the last one of the @p events of its stream. */
bool stop_request_has_last_event(const char *answer, uint32_t events);

/** Returns whether the request was in progress during a stop of @p daemon. */
bool stop_request_is_in_stop(const stop_request *request, int daemon, uint64_t signal_ms,
                             uint64_t exit_ms);

/** Returns whether the connection may have ended before a daemon read the request. */
bool stop_request_is_unread(const stop_request *request, uint32_t runs);

/** Returns when the last part of the grace time begins, in which early requests may be cut. */
uint64_t stop_request_last_part_ms(uint64_t signal_ms, uint64_t grace_ms);

/** Returns whether the request was sent early in a stop and ended in its last part. */
bool stop_request_is_excused(const stop_request *request, uint64_t signal_ms, uint64_t grace_ms);

#endif
