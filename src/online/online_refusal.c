/** @file online_refusal.c  Admission, holding and refusal; see online_request_state.h. */
#include "online/online_request_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "fleet/engine_choice.h"

static void log_refusal(const hs_online_request *request, const hs_refusal_view *view,
                        const hs_refusal_choice *choice) {
    const hs_service_outlook *service = &view->service;
    hs_log_info(
        "request_not_held",
        "request=%s service=%s verdict=%s expected_ms=%" G_GUINT64_FORMAT
        " left_ms=%" G_GUINT64_FORMAT " waited_ms=%" G_GUINT64_FORMAT " age_ms=%" G_GUINT64_FORMAT
        " drain_ms=%" G_GUINT64_FORMAT
        " has_run=%d list_known=%d engines=%u sound=%u slots=%u running=%.1f waiting=%.1f"
        " run_ms=%.0f need_ms=%" G_GUINT64_FORMAT " return_ms=%" G_GUINT64_FORMAT
        " absent_ms=%" G_GUINT64_FORMAT " last_absence_ms=%" G_GUINT64_FORMAT
        " listed_age_ms=%" G_GUINT64_FORMAT
        " admission=%s wait_ms=%.0f head_waited_ms=%" G_GUINT64_FORMAT
        " ahead_waited_ms=%" G_GUINT64_FORMAT " used_slots=%.1f"
        " heard=%u free_share=%.3f words_age_ms=%.0f tries=%u",
        request->request_id, request->service, hs_refusal_verdict_name(choice->verdict),
        (guint64)choice->expected_ms, (guint64)view->left_ms, (guint64)view->waited_ms,
        (guint64)request->age_ms, (guint64)view->drain_ms, view->may_have_run, service->is_known,
        service->engines, service->healthy, service->slots, service->running, service->waiting,
        service->run_ms, (guint64)service->min_first_byte_ms, (guint64)service->next_probe_in_ms,
        (guint64)service->absent_ms, (guint64)service->last_absence_ms,
        (guint64)service->listed_age_ms, hs_admission_verdict_name(request->admission.verdict),
        request->admitted_by.pressure.wait_ms, (guint64)request->admitted_by.head_waited_ms,
        (guint64)request->admitted_by.ahead_waited_ms, request->used_slots,
        request->admitted_by.pressure.reported, request->admitted_by.pressure.free_share,
        request->admitted_by.pressure.age_ms, request->tries);
}

hs_queue_priority hs_online_queue_priority(const hs_online_request *request) {
    return (hs_queue_priority){
        .used_slots = request->used_slots,
        .rank = request->is_less_urgent,
        .is_in_time = request->admission.verdict != HS_ADMISSION_BEST_EFFORT &&
                      request->admission.max_hold_ms > 0,
        .arrived_ms = request->inbound->received_ms,
        .deadline_ms = request->deadline,
    };
}

void hs_online_set_held(hs_online_request *request, bool is_held, bool is_placed) {
    if ((request->held != NULL) == is_held)
        return;
    if (is_held) {
        hs_queue_priority priority = hs_online_queue_priority(request);
        request->held_since_ms = hs_clock_monotonic_ms();
        request->held = hs_held_requests_enter(request->online->held, request->group, &priority);
    } else {
        request->held_ms += hs_clock_monotonic_ms() - request->held_since_ms;
        hs_held_requests_leave(request->online->held, request->held, is_placed);
        request->held = NULL;
    }
}

void hs_online_admit(hs_online_request *request) {
    hs_online *online = request->online;
    hs_queue_priority priority = hs_online_queue_priority(request);
    hs_held_view held = hs_held_requests_view(online->held, request->group, &priority);
    request->admitted_by = (hs_admission_view){
        .pressure =
            hs_fleet_engines_pressure_in(online->engines, request->service, &request->regions),
        .head_waited_ms = held.head_waited_ms,
        .ahead_waited_ms = held.ahead_waited_ms,
        .min_first_byte_ms = hs_fleet_engines_min_first_byte_ms(online->engines, request->service),
        .target_ms = request->route->target_latency_ms,
        .waited_ms = hs_clock_monotonic_ms() - request->inbound->received_ms,
        .age_ms = request->age_ms,
        .was_tried = request->tries > 0,
        .may_have_run = request->run != HS_RUN_NOT_EXECUTED,
        .is_less_urgent = request->is_less_urgent,
    };
    request->admission = hs_admission_choose(&request->admitted_by);
    request->tries += request->admission.may_try;
}

/** Returns how long a held request waits for a wake-up before another attempt at engines. */
static uint64_t pause_ms(const hs_online_request *request, const hs_refusal_choice *choice) {
    const hs_admission_choice *admission = &request->admission;
    switch (admission->verdict) {
    case HS_ADMISSION_IN_TIME:
        return MIN(MAX(HS_MAX_HELD_RETRY_PAUSE_MS, admission->expected_ms), admission->max_hold_ms);
    case HS_ADMISSION_BEST_EFFORT:
        return HS_MAX_HELD_RETRY_PAUSE_MS;
    case HS_ADMISSION_OPEN:
    case HS_ADMISSION_REFUSE:
        break;
    }
    return choice->pause_ms;
}

hs_refusal_choice hs_online_choose_refusal(hs_online_request *request) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    bool is_pressure_known = request->admitted_by.pressure.slots > 0;
    hs_held_view held = hs_held_requests_view(request->online->held, request->group, NULL);
    hs_refusal_view view = {
        .service = hs_fleet_engines_outlook_of(request->online->engines, request->service,
                                               &request->regions, request->software),
        .left_ms = request->deadline > now_ms ? request->deadline - now_ms : 0,
        /* Engine load reports, if known, predict better than the few requests that drained here:
         * best-effort requests get no slots in a shortage, however soon the shortage ends. */
        .drain_ms = is_pressure_known ? 0 : held.expected_ms,
        .waited_ms = now_ms - request->inbound->received_ms,
        .may_have_run = request->run != HS_RUN_NOT_EXECUTED,
    };
    hs_refusal_choice choice = hs_refusal_choose(&view);
    if (choice.verdict == HS_REFUSAL_HOLD && request->admission.verdict == HS_ADMISSION_REFUSE) {
        choice.verdict = HS_REFUSAL_SHORT;
        choice.expected_ms = request->admission.expected_ms;
    }
    if (choice.verdict == HS_REFUSAL_HOLD) {
        choice.pause_ms = pause_ms(request, &choice);
        hs_online_set_held(request, true, false);
    } else {
        hs_online_count_refusal(request->online, choice.verdict);
        log_refusal(request, &view, &choice);
    }
    return choice;
}

void hs_online_refuse_unsent(hs_online_request *request, hs_end_reason *reason) {
    const hs_attempt *attempt = &request->attempt;
    const hs_lease_estimate *estimate = &attempt->lease_estimate;
    uint64_t now_ms = hs_clock_monotonic_ms();
    request->retry_after_ms = (uint64_t)estimate->wait_ms;
    *reason = HS_END_FULL;
    hs_log_info(
        "request_not_sent",
        "request=%s service=%s engine=%s wait_ms=%.0f need_ms=%.0f left_ms=%" G_GINT64_FORMAT
        " online=%.1f slots=%u queued_tokens=%.0f pace=%.2f sends=%u "
        "listed_age_ms=%" G_GUINT64_FORMAT,
        request->request_id, request->service, attempt->engine_id, estimate->wait_ms,
        estimate->min_first_byte_ms, (gint64)request->deadline - (gint64)now_ms, estimate->online,
        estimate->slots, estimate->queued_tokens, estimate->pace, request->sends,
        (guint64)attempt->reasons.listed_age_ms);
}

hs_end_reason hs_online_refusal_reason(const hs_online_request *request,
                                       hs_refusal_verdict verdict) {
    switch (verdict) {
    case HS_REFUSAL_NO_ENGINE:
        return hs_region_policy_is_restricted(&request->regions) ? HS_END_NO_ENGINE_IN_REGION
                                                                 : HS_END_NO_ENGINE;
    case HS_REFUSAL_SUSPECTED:
        return HS_END_UNREACHABLE;
    case HS_REFUSAL_EVACUATED:
        return HS_END_EVACUATED;
    case HS_REFUSAL_OVER:
        return HS_END_LATE_NOT_RUN;
    case HS_REFUSAL_HOLD:
    case HS_REFUSAL_QUEUE:
    case HS_REFUSAL_SHORT:
    case HS_REFUSAL_VERDICT_COUNT:
        break;
    }
    return HS_END_FULL;
}
