/** @file online_stop.c  Requests while this process stops; see online_request_state.h. */
#include "online/online_request_state.h"

bool hs_online_is_stopping(const hs_online_request *request) {
    hs_drain_times stop;
    return hs_drain_get(request->online->drain, &stop);
}

hs_wait hs_online_wait(const hs_online_request *request) {
    return (hs_wait){.deadline = request->deadline,
                     .watched = request->inbound->descriptor,
                     .interrupt = hs_drain_interrupt(request->online->drain)};
}

bool hs_online_is_ended_by_stop(hs_online_request *request, hs_end_reason *reason) {
    if (!hs_drain_has_expired(request->online->drain))
        return false;
    bool has_run = request->run != HS_RUN_NOT_EXECUTED;
    request->retry_after_ms = 0; /* Other daemons can serve it at once. */
    *reason = has_run ? HS_END_STOPPED : HS_END_STOPPING;
    return true;
}
