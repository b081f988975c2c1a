/**
 * @file cancel_queue.h
 * Cancels sent to engines without making the caller wait: they need a connection of their own and
 * may take long. A few threads send them in turn.
 */
#ifndef HS_ENGINE_CANCEL_QUEUE_H
#define HS_ENGINE_CANCEL_QUEUE_H

#include <glib.h>

/** Cancel @p request_id at the engine soon. Any thread; both are copied. */
void hs_engine_cancel_soon(const char *engine_url, const char *request_id);

/** Cancel several in one exchange. @p request_ids: of char*, with its free function; taken over. */
void hs_engine_cancel_many_soon(const char *engine_url, GPtrArray *request_ids);

#endif
