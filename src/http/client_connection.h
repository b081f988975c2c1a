/**
 * @file client_connection.h
 * One HTTP/1.1 connection that this daemon opened, on a socket of its own.
 *
 * Requests that must not run twice need to know whether a byte of them left, and must never be
 * sent again unasked: libcurl repeats a request by itself on a kept connection that closed. The
 * syntax of answers is read by libhttp-parser. All waits end at a deadline, or when the caller's
 * own socket (the watched descriptor) closes.
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

/** How a step on a connection ended. */
typedef enum {
    HS_STEP_PROGRESS,    /**< Done, or bytes came. */
    HS_STEP_COMPLETE,    /**< The answer is whole. */
    HS_STEP_CUT,         /**< The connection failed or ended too early. */
    HS_STEP_INVALID,     /**< Bytes that are no answer. */
    HS_STEP_DEADLINE,    /**< The deadline passed. */
    HS_STEP_CALLER_GONE, /**< The watched descriptor closed, or the interrupt was raised. */
    HS_STEP_LOST, /**< The connection went silent; it says nothing of who is at its other end. */
} hs_step;

/** Name of a step's end, for logs. */
const char *hs_step_name(hs_step step);

/** What a step may wait for. */
typedef struct {
    hs_deadline deadline;
    int watched;             /**< A descriptor whose end interrupts, or HS_WATCH_NOTHING. */
    hs_interrupt *interrupt; /**< Raised by another thread to end the wait; may be NULL. */
} hs_wait;

/** A connection on a connected stream socket, which becomes the connection's. */
hs_client_connection *hs_client_connection_adopt(int descriptor);

/** Connect to an IPv4 address; NULL when that failed, with the reason in @p step. */
hs_client_connection *hs_client_connection_open(uint32_t address, uint16_t port,
                                                const hs_wait *wait, hs_step *step);

/** Let the kernel end it where it goes silent, and count it as of @p kind then. */
void hs_client_connection_guard(hs_client_connection *connection, hs_connection_kind kind);

/**
 * Give a connection up that went silent, log and count it; nothing of its request that was not
 * received yet will be. @p noticed_by: see hs_connection_note_loss. HS_STEP_LOST.
 */
hs_step hs_client_connection_lose(hs_client_connection *connection, const char *noticed_by);

/** Whether a request was begun on it before the one now under way. */
bool hs_client_connection_is_kept(const hs_client_connection *connection);

/** Close and free. NULL is allowed. */
void hs_client_connection_close(hs_client_connection *connection);

/**
 * Send a request's head and body. Stops early when the answer is already whole.
 * HS_STEP_PROGRESS: all sent, or answered before that.
 */
hs_step hs_client_connection_send(hs_client_connection *connection, const GString *head,
                                  const void *body, size_t body_length, bool is_head_method,
                                  const hs_wait *wait);

/**
 * After a request was sent: wait up to @p limit_ms for first bytes of the answer. HS_STEP_LOST when
 * none came and the other side's kernel did not acknowledge the request either; HS_STEP_PROGRESS
 * when the answer is to be waited for. 0: no wait.
 */
hs_step hs_client_connection_await_sign(hs_client_connection *connection, uint32_t limit_ms,
                                        const hs_wait *wait);

/** Whether any byte of the request now under way was handed to the kernel. */
bool hs_client_connection_sent_any(const hs_client_connection *connection);

/** Read until the head of the answer is known: HS_STEP_PROGRESS or HS_STEP_COMPLETE. */
hs_step hs_client_connection_read_head(hs_client_connection *connection, const hs_wait *wait);

/** Read until more body bytes are there (see body) than at its last return, or the answer ended. */
hs_step hs_client_connection_read_body(hs_client_connection *connection, const hs_wait *wait);

/** Take what the socket holds of the answer's body without waiting; HS_STEP_PROGRESS also for none.
 */
hs_step hs_client_connection_take_ready(hs_client_connection *connection);

/** Read the rest of the answer, at most @p limit bytes of body. */
hs_step hs_client_connection_read_all(hs_client_connection *connection, size_t limit,
                                      const hs_wait *wait);

/**
 * Forget a whole answer that belongs to another request and read on for our own; false when none
 * can follow on this connection.
 */
bool hs_client_connection_skip_answer(hs_client_connection *connection);

/** Status of the answer whose head was read. */
uint32_t hs_client_connection_status(const hs_client_connection *connection);

/** Fields of the answer whose head was read: of hs_http_field. Borrowed. */
const GArray *hs_client_connection_fields(const hs_client_connection *connection);

/** Body bytes not yet taken; the caller empties it with g_byte_array_set_size. Borrowed. */
GByteArray *hs_client_connection_body(hs_client_connection *connection);

/** Forget the body of an answer that was passed on, and give back what it was charged. */
void hs_client_connection_drop_body(hs_client_connection *connection);

/** Another answer is still due on it, whose place is not known: it is not to be used again. */
void hs_client_connection_give_up(hs_client_connection *connection);

/** Whether another request may follow: the answer was whole and nothing came after it. */
bool hs_client_connection_is_reusable(const hs_client_connection *connection);

/** Whether an idle connection is still silent and open, as far as the kernel knows. */
bool hs_client_connection_is_quiet(const hs_client_connection *connection);

/** Time in ms that the peer keeps an idle connection open; 0: it did not say. */
uint64_t hs_client_connection_keep_alive_ms(const hs_client_connection *connection);

#endif
