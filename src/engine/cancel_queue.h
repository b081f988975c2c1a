/**
 * @file cancel_queue.h
 * Sends cancellations to engines from a thread pool, since each needs its own connection and may
 * block. Thread-safe.
 */
#ifndef HS_ENGINE_CANCEL_QUEUE_H
#define HS_ENGINE_CANCEL_QUEUE_H

#include <glib.h>

/** Queues the cancellation of a request. Both strings are copied. */
void hs_engine_cancel_soon(const char *engine_url, const char *request_id);

/**
 * Queues the cancellation of several requests in one exchange. @p request_ids: of char*, with a
 * free function; ownership passes to the queue.
 */
void hs_engine_cancel_many_soon(const char *engine_url, GPtrArray *request_ids);

#endif
