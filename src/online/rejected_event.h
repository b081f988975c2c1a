/** @file rejected_event.h  Reports an event of an engine's stream that was rejected. */
#ifndef HS_ONLINE_REJECTED_EVENT_H
#define HS_ONLINE_REJECTED_EVENT_H

#include "fleet/engine_attempt.h"
#include "online/event_stream.h"

/**
 * Logs and counts the error of @p events, which hs_event_stream_take has set for the run of the
 * attempt. The connection is not reused. Thread-safe as engine_attempt.h.
 */
void hs_rejected_event_note(const hs_attempt *attempt, const char *request_id,
                            const hs_event_stream *events);

#endif
