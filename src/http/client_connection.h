/**
 * @file client_connection.h
 * An HTTP/1.1 client connection. A connection is used by one thread at a time.
 *
 * The code that sends a request which must not run twice needs to know whether any byte of the
 * request was sent, and must control every retry; libcurl retries on its own if a reused connection
 * was closed. libhttp-parser parses the responses. Every wait ends at a deadline, when the caller's
 * socket (the watched descriptor) closes, or at an interrupt.
 */
#ifndef HS_HTTP_CLIENT_CONNECTION_H
#define HS_HTTP_CLIENT_CONNECTION_H

#include "heathsail/fleet.h"

#include "base/interrupt.h"
#include "http/connection_guard.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct hs_client_connection hs_client_connection;

#define HS_WATCH_NOTHING (-1)

/** Result of an operation on a connection. */
typedef enum {
    HS_STEP_PROGRESS,    /**< Done, or bytes were received. */
    HS_STEP_COMPLETE,    /**< The response is complete. */
    HS_STEP_CUT,         /**< The connection failed or was closed before the end of the response. */
    HS_STEP_INVALID,     /**< The response is malformed, or its body is over the limit. */
    HS_STEP_DEADLINE,    /**< The deadline passed. */
    HS_STEP_CALLER_GONE, /**< The watched descriptor was closed, or the interrupt was raised. */
    HS_STEP_LOST,        /**< The connection stopped responding; the peer itself may be healthy. */
} hs_step;

/** Returns the name of a result, for logs. */
const char *hs_step_name(hs_step step);

/** Conditions that end a wait. */
typedef struct {
    hs_deadline deadline;
    int watched;             /**< A socket whose close ends the wait, or HS_WATCH_NOTHING. */
    hs_interrupt *interrupt; /**< Another thread raises it to end the wait; may be NULL. */
} hs_wait;

/** Creates a connection on a connected stream socket and takes ownership of the socket. */
hs_client_connection *hs_client_connection_adopt(int descriptor);

/**
 * Connects to an IPv4 address in host order. Returns NULL with the reason in @p step if the
 * connection fails.
 */
hs_client_connection *hs_client_connection_open(uint32_t address, uint16_t port,
                                                const hs_wait *wait, hs_step *step);

/**
 * Sets the kernel's timeouts for connections of @p kind, and counts the connection as one of that
 * kind if it is lost.
 */
void hs_client_connection_set_timeouts(hs_client_connection *connection, hs_connection_kind kind);

/**
 * Marks a connection that stopped responding as lost, logs and counts the loss. Request bytes that
 * the peer has not received yet are discarded when the connection is closed. @p noticed_by: see
 * hs_connection_note_loss. Returns HS_STEP_LOST.
 */
hs_step hs_client_connection_mark_lost(hs_client_connection *connection, const char *noticed_by);

/** Whether the current request is not the first one on the connection. */
bool hs_client_connection_is_reused(const hs_client_connection *connection);

/** Returns the monotonic time in ms at which the connection was opened. */
uint64_t hs_client_connection_opened_ms(const hs_client_connection *connection);

/** Notes, and returns, whether the process of the peer is known for certain; see start_check.h. */
void hs_client_connection_note_peer_known(hs_client_connection *connection);
bool hs_client_connection_is_peer_known(const hs_client_connection *connection);

/**
 * Notes, and returns, whether an answer on this connection named no request. A late copy of it
 * would be taken for the answer to a later request.
 */
void hs_client_connection_note_unnamed_answer(hs_client_connection *connection);
bool hs_client_connection_had_unnamed_answer(const hs_client_connection *connection);

/** Closes and frees the connection. NULL is allowed. */
void hs_client_connection_close(hs_client_connection *connection);

/**
 * Sends the head and the body of a request. Stops early if the response is already complete.
 * Returns HS_STEP_PROGRESS if all was sent or the response is complete.
 */
hs_step hs_client_connection_send(hs_client_connection *connection, const GString *head,
                                  const void *body, size_t body_length, bool is_head_method,
                                  const hs_wait *wait);

/**
 * Waits up to @p limit_ms for the first bytes of the response after a request was sent; 0: no wait.
 * Returns HS_STEP_LOST if no bytes came and the peer's kernel did not acknowledge the request, and
 * HS_STEP_PROGRESS if the response can be waited for.
 */
hs_step hs_client_connection_check_liveness(hs_client_connection *connection, uint32_t limit_ms,
                                            const hs_wait *wait);

/** Maximum number of connections of hs_client_connection_await_any. */
#define HS_CLIENT_CONNECTION_MAX_AWAITED 4

/**
 * Waits until the response on one of @p count connections, at least one, begins to arrive or fails.
 * HS_STEP_PROGRESS: it is that of the connection @p index. The connections stay usable otherwise.
 */
hs_step hs_client_connection_await_any(hs_client_connection *const *connections, size_t count,
                                       const hs_wait *wait, size_t *index);

/** Whether any byte of the current request was passed to the kernel. */
bool hs_client_connection_has_sent_bytes(const hs_client_connection *connection);

/** Reads until the response head is complete, with HS_STEP_PROGRESS or HS_STEP_COMPLETE then. */
hs_step hs_client_connection_read_head(hs_client_connection *connection, const hs_wait *wait);

/** Reads until body bytes arrive that the previous call did not report, or the response ends. */
hs_step hs_client_connection_read_body(hs_client_connection *connection, const hs_wait *wait);

/**
 * Reads the body bytes that the socket holds, without waiting. Returns HS_STEP_PROGRESS also if
 * there are none.
 */
hs_step hs_client_connection_read_available(hs_client_connection *connection);

/**
 * Reports whether the response had neither a length nor chunks and ended with its connection. Such
 * a response looks complete wherever it ends.
 */
bool hs_client_connection_is_ended_by_close(const hs_client_connection *connection);

/**
 * Reads the rest of the response. HS_STEP_INVALID: the body is longer than @p limit bytes or, from
 * an engine, than the memory budget leaves room for.
 */
hs_step hs_client_connection_read_all(hs_client_connection *connection, size_t limit,
                                      const hs_wait *wait);

/**
 * Reads and discards the rest of the response, so that the connection can be reused.
 * HS_STEP_INVALID: the body is longer than @p limit bytes.
 */
hs_step hs_client_connection_discard_rest(hs_client_connection *connection, size_t limit,
                                          const hs_wait *wait);

/**
 * Discards a complete response that belongs to another request, so that the next one can be read.
 * Returns false if no other response can follow on this connection.
 */
bool hs_client_connection_skip_response(hs_client_connection *connection);

/** Returns the status of the response whose head was read. */
uint32_t hs_client_connection_status(const hs_client_connection *connection);

/** Returns the fields (hs_http_field) of the response whose head was read. Borrowed. */
const GArray *hs_client_connection_fields(const hs_client_connection *connection);

/**
 * Returns the body bytes that were not consumed yet. Borrowed; the calling code empties the array
 * with g_byte_array_set_size.
 */
GByteArray *hs_client_connection_body(hs_client_connection *connection);

/**
 * Returns the complete body without a copy, and releases its memory charge. Free with
 * g_byte_array_unref.
 */
GByteArray *hs_client_connection_take_body(hs_client_connection *connection);

/** Discards the body of a response that was forwarded, and releases its memory charge. */
void hs_client_connection_drop_body(hs_client_connection *connection);

/** Excludes the connection from reuse, as a response to another request may still arrive on it. */
void hs_client_connection_mark_unusable(hs_client_connection *connection);

/** Whether another request may follow: the response was complete and no bytes came after it. */
bool hs_client_connection_is_reusable(const hs_client_connection *connection);

/** Whether an idle connection is open and has no unexpected bytes, as far as the kernel knows. */
bool hs_client_connection_is_idle_and_open(const hs_client_connection *connection);

/** Whether the peer has closed the connection, as far as the kernel knows. */
bool hs_client_connection_is_closed_by_peer(const hs_client_connection *connection);

/** Returns the time in ms for which the peer keeps an idle connection open; 0: not stated. */
uint64_t hs_client_connection_keep_alive_ms(const hs_client_connection *connection);

#endif
