/**
 * @file raw_caller.h
 * A caller that sends given bytes over TCP and looks at the bytes that come back: for what a
 * well-behaved HTTP client would not send or not show.
 */
#ifndef TESTS_SUPPORT_RAW_CALLER_H
#define TESTS_SUPPORT_RAW_CALLER_H

#include <stdbool.h>
#include <stdint.h>

typedef struct raw_caller raw_caller;

/** How the connection stands. */
typedef enum { RAW_OPEN, RAW_CLOSED, RAW_RESET } raw_state;

/** Connect to a port on loopback; NULL when nobody listens. */
raw_caller *raw_caller_open(uint16_t port);

/** Close; what was not sent or read is dropped. NULL is allowed. */
void raw_caller_close(raw_caller *caller);

bool raw_caller_send(raw_caller *caller, const char *text);

/** End the sending side alone; reading goes on. */
void raw_caller_end_sending(raw_caller *caller);

/** Read until @p wanted stands in what came, or the connection ends, or the time is up. */
bool raw_caller_read_until(raw_caller *caller, const char *wanted, unsigned limit_ms);

/** Read until the connection ends or the time is up. */
raw_state raw_caller_read_to_end(raw_caller *caller, unsigned limit_ms);

/** All that came so far; valid until the next call. */
const char *raw_caller_text(const raw_caller *caller);

#endif
