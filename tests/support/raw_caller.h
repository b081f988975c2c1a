/**
 * @file raw_caller.h
 * A caller that sends raw bytes over TCP and reads the raw response, for input that a conforming
 * HTTP client does not send or details that such a client hides. One thread uses a caller at a
 * time.
 */
#ifndef TESTS_SUPPORT_RAW_CALLER_H
#define TESTS_SUPPORT_RAW_CALLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct raw_caller raw_caller;

/** State of the connection. */
typedef enum { RAW_OPEN, RAW_CLOSED, RAW_RESET } raw_state;

/** Connects to a port on loopback; returns NULL if the connection fails. */
raw_caller *raw_caller_open(uint16_t port);

/** Closes the connection and frees @p caller, which may be NULL. */
void raw_caller_close(raw_caller *caller);

/** Returns false if the text was not sent completely. */
bool raw_caller_send(raw_caller *caller, const char *text);

/** Shuts down the sending direction only. */
void raw_caller_shutdown_send(raw_caller *caller);

/** Reads until the received text contains @p wanted; false if the connection or the time ends. */
bool raw_caller_read_until(raw_caller *caller, const char *wanted, unsigned limit_ms);

/** Reads until the connection ends or @p limit_ms have passed. */
raw_state raw_caller_read_to_end(raw_caller *caller, unsigned limit_ms);

/** Reads until @p length bytes are received; false if the connection or the time ends. */
bool raw_caller_read_length(raw_caller *caller, size_t length, unsigned limit_ms);

/**
 * Waits without reading. Returns the monotonic time at which the peer closed the connection; 0: it
 * is open after @p limit_ms.
 */
uint64_t raw_caller_wait_closed(const raw_caller *caller, unsigned limit_ms);

/** Forgets the received text, before the next request. */
void raw_caller_forget_text(raw_caller *caller);

/** Returns whether the peer has ended the connection, as far as reads have shown. */
raw_state raw_caller_state(const raw_caller *caller);

/** Returns all received text; valid until the next call. */
const char *raw_caller_text(const raw_caller *caller);

#endif
