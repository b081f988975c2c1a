/** @file online_stop.c  Requests while this process stops; see online_request_state.h. */
#include "online/online_request_state.h"

#include "base/clock.h"
#include "online/stop_admission.h"

bool hs_online_is_stopping(const hs_online_request *request) {
    hs_drain_times stop;
    return hs_drain_get(request->online->drain, &stop);
}

hs_wait hs_online_wait(const hs_online_request *request) {
    return (hs_wait){.deadline = request->deadline,
                     .watched = request->inbound->descriptor,
                     .interrupt = hs_drain_interrupt(request->online->drain)};
}

static hs_run_length_view compare_runs(const hs_online_request *request, uint64_t left_ms,
                                       bool is_accepting) {
    hs_run_lengths *lengths = request->online->run_lengths;
    const char *route = request->route->name;
    if (lengths == NULL)
        return (hs_run_length_view){0};
    hs_run_length_view runs = hs_run_lengths_compare(lengths, route, left_ms);
    uint64_t limit_ms = hs_stop_admission_late_limit_ms(left_ms, runs.count);
    return is_accepting || limit_ms == left_ms ? runs
                                               : hs_run_lengths_compare(lengths, route, limit_ms);
}

static bool ends_before_stop(const hs_online_request *request, const hs_drain_times *stop) {
    hs_stop_admission_view view = {.left_ms = hs_clock_left_ms(stop->deadline_ms),
                                   .request_left_ms = hs_clock_left_ms(request->deadline),
                                   .is_accepting = hs_clock_left_ms(stop->accept_until_ms) > 0};
    view.runs = compare_runs(request, view.left_ms, view.is_accepting);
    return hs_stop_admission_may_send(&view);
}

bool hs_online_may_send(const hs_online_request *request) {
    hs_drain_times stop;
    if (!hs_drain_get(request->online->drain, &stop))
        return true;
    if (hs_drain_has_expired(request->online->drain))
        return false;
    return request->run != HS_RUN_NOT_EXECUTED || ends_before_stop(request, &stop);
}

bool hs_online_is_ended_by_stop(hs_online_request *request, hs_end_reason *reason) {
    if (hs_online_may_send(request))
        return false;
    request->retry_after_ms = 0; /* Other daemons can serve it at once. */
    *reason = request->run != HS_RUN_NOT_EXECUTED ? HS_END_STOPPED : HS_END_STOPPING;
    return true;
}
