/** @file rejected_event.c  See rejected_event.h. */
#include "online/rejected_event.h"

void hs_rejected_event_note(const hs_attempt *attempt, const char *request_id,
                            const hs_event_stream *events) {
    if (events->error == HS_EVENT_ERROR_ORDER)
        hs_attempt_note_resume_mismatch(attempt, request_id, events->last_id, events->rejected_id);
    else
        hs_attempt_note_invalid_answer(attempt, request_id, events->last_id,
                                       hs_event_error_name(events->error));
}
