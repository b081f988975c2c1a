/** @file online_share.c  Tenants' fair shares applied to requests; see online_request_state.h. */
#include "online/online_request_state.h"

#include "base/clock.h"
#include "base/log.h"

static double sample_of(const hs_online_request *request) {
    return hs_fair_share_sample(request->terms.request_id,
                                request->contents.hashes[0] + request->inbound->received_ms);
}

/** Whether the tenant's use is known and the request is neither sent yet nor a resumed stream. */
static bool is_share_applied(const hs_online_request *request) {
    return request->tenant != NULL && request->used_slots > 0 && request->sends == 0 &&
           !request->events.has_last_id;
}

static void log_over_share(const hs_online_request *request, const hs_fair_share_verdict *verdict,
                           const hs_service_pressure *pressure) {
    hs_log_info(
        "request_over_share",
        "request=%s tenant=%s service=%s used_slots=%.2f level_slots=%.2f slots=%.0f "
        "engines=%u heard=%u free_share=%.3f wait_ms=%.0f return_ms=%" G_GUINT64_FORMAT
        " age_ms=%" G_GUINT64_FORMAT " told_ago_ms=%" G_GUINT64_FORMAT " pressure_age_ms=%.0f",
        request->request_id, request->tenant, request->service, request->used_slots,
        verdict->share_slots, pressure->slots, pressure->engines, pressure->reported,
        pressure->free_share, pressure->wait_ms, (guint64)verdict->retry_after_ms,
        (guint64)request->age_ms,
        (guint64)(hs_clock_monotonic_ms() - request->inbound->received_ms), pressure->age_ms);
}

bool hs_online_is_over_share(hs_online_request *request, hs_end_reason *reason) {
    /* The limit owner reports the tenant's use of all services; scale it to this service. */
    if (request->tenant != NULL && request->sends == 0)
        request->used_slots *= hs_fleet_engines_note_tenant_request(
            request->online->engines, request->service, request->tenant);
    if (!is_share_applied(request))
        return false;
    hs_service_pressure pressure =
        hs_fleet_engines_pressure_in(request->online->engines, request->service, &request->regions);
    hs_fair_share_request share_request = {.service = request->group,
                                           .used_slots = request->used_slots,
                                           .sample = sample_of(request),
                                           .was_refused = request->age_ms > 0};
    hs_fair_share_verdict verdict =
        hs_fair_shares_decide(request->online->fair_shares, &share_request, &pressure,
                              (uint32_t)pressure.slots, hs_clock_monotonic_ms());
    if (!verdict.is_over)
        return false;
    log_over_share(request, &verdict, &pressure);
    request->retry_after_ms = verdict.retry_after_ms;
    *reason = HS_END_OVER_SHARE;
    return true;
}
