/**
 * @file online_origin.c
 * Keeps a stream at engines of the software version that began it; see online_request_state.h.
 */
#include "online/online_request_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "fleet/run_search.h"
#include "fleet/software_history.h"
#include "online/retry_after.h"

/**
 * Longest search for an origin. Longer than the interval at which the list of engines is read, and
 * than a daemon that started needs to learn of the others.
 */
#define MAX_SEARCH_MS 1000
#define POLL_MS 20
/** Rounds after which other daemons that are known and alive have answered. */
#define MIN_ROUNDS 2

static const char *share_service(const hs_online_request *request, guint index) {
    return g_array_index(request->route->shares, hs_route_share, index).service;
}

/** Whether the route's only service has been so for as long as streams can be taken up. */
static bool has_sole_service(const hs_fleet_route *route) {
    return route->shares->len == 1 &&
           (route->sole_since_ms == 0 ||
            route->sole_since_ms + HS_MAX_STREAM_AGE_MS <= hs_clock_monotonic_ms());
}

/** Returns the only software that can have begun a stream on the route; 0: there may be several. */
static uint64_t find_sole_software(const hs_online_request *request, uint64_t as_of_ms) {
    return has_sole_service(request->route)
               ? hs_fleet_engines_sole_software(request->online->engines, share_service(request, 0),
                                                as_of_ms)
               : 0;
}

/** Other daemons are asked only if the caller names the attempt that began the stream. */
static hs_origin_answer look_up(const hs_online_request *request) {
    hs_stream_origins *origins = request->online->origins;
    if (request->terms.resumed_id != NULL)
        return hs_stream_origins_look_up(origins, request->stream_name);
    return (hs_origin_answer){.software = hs_stream_origins_find(origins, request->stream_name),
                              .is_final = true};
}

/** Asks the engines of the route's services; 0: none reports a run that the caller names. */
static uint64_t search_engines(const hs_online_request *request, hs_deadline deadline) {
    uint64_t software = 0;
    for (guint index = 0;
         request->terms.resumed_id != NULL && software == 0 && index < request->route->shares->len;
         index++)
        software = hs_run_search_find(request->online->engines, share_service(request, index),
                                      request->terms.resumed_id, deadline);
    return software;
}

/** What one round of a search found. */
typedef struct {
    uint64_t software;  /**< 0: not found. */
    const char *source; /**< Who knew it; for logs. */
    bool is_final;      /**< Another round won't find it, as all that may know it were asked. */
} origin_search;

/**
 * Asks all that may know the origin. A sole software counts only by a list of engines that is newer
 * than the request: an older one may lack the software. Engines are asked in the first round only,
 * as they forget a run soon after its end.
 */
static origin_search search_once(const hs_online_request *request, bool is_first_round,
                                 hs_deadline deadline) {
    hs_origin_answer answer = look_up(request);
    if (answer.software != 0)
        return (origin_search){.software = answer.software, .source = "origin"};
    uint64_t sole = find_sole_software(request, request->inbound->received_ms);
    if (sole != 0)
        return (origin_search){.software = sole, .source = "sole"};
    bool may_be_sole = find_sole_software(request, 0) != 0;
    uint64_t reported = is_first_round && !may_be_sole ? search_engines(request, deadline) : 0;
    if (reported != 0)
        return (origin_search){.software = reported, .source = "engine"};
    return (origin_search){.source = "none", .is_final = answer.is_final && !may_be_sole};
}

static origin_search search_origin(const hs_online_request *request) {
    hs_deadline until_ms = MIN(request->deadline, request->inbound->received_ms + MAX_SEARCH_MS);
    origin_search found = search_once(request, true, until_ms);
    uint32_t rounds = 1;
    while (found.software == 0 && !(found.is_final && rounds >= MIN_ROUNDS) &&
           hs_clock_monotonic_ms() < until_ms) {
        hs_clock_sleep_ms(POLL_MS);
        found = search_once(request, false, until_ms);
        rounds++;
    }
    return found;
}

/** Switches to the service of the software if the route has it. Returns false if none does. */
static bool use_service_of(hs_online_request *request, uint64_t software) {
    for (guint index = 0; index < request->route->shares->len; index++) {
        const char *service = share_service(request, index);
        if (!hs_fleet_engines_has_software(request->online->engines, service, software))
            continue;
        if (service != request->service)
            hs_online_use_service(request, service);
        return true;
    }
    return false;
}

static void log_origin(const hs_online_request *request, const char *source) {
    hs_log_info(
        "stream_taken_up",
        "request=%s resumes=%s stream=%016" G_GINT64_MODIFIER "x after_event=%" G_GUINT64_FORMAT
        " software=%016" G_GINT64_MODIFIER "x source=%s waited_ms=%" G_GUINT64_FORMAT,
        request->request_id, request->terms.resumed_id != NULL ? request->terms.resumed_id : "-",
        (guint64)request->stream_name, (guint64)request->events.last_id, (guint64)request->software,
        source, (guint64)(hs_clock_monotonic_ms() - request->inbound->received_ms));
}

bool hs_online_find_origin(hs_online_request *request, hs_end_reason *reason) {
    bool is_taken_up = request->events.has_last_id && request->route->kind == HS_ROUTE_STREAMING &&
                       request->route->resumable;
    if (!is_taken_up || request->online->origins == NULL)
        return true;
    origin_search found = search_origin(request);
    request->software = found.software;
    log_origin(request, found.source);
    if (request->software == 0) {
        *reason = HS_END_VERSION_UNKNOWN;
        return false;
    }
    if (use_service_of(request, request->software))
        return true;
    *reason = hs_online_refuse_software(request);
    return false;
}

hs_end_reason hs_online_refuse_software(hs_online_request *request) {
    request->retry_after_ms = hs_retry_after_absence_ms(
        hs_fleet_engines_software_absent_ms(request->online->engines, request->service,
                                            request->software),
        0);
    return HS_END_VERSION_GONE;
}

void hs_online_note_origin(hs_online_request *request) {
    if (request->events.run_events == 0 || request->is_origin_announced)
        return;
    request->is_origin_announced = true;
    request->is_origin_unknown = request->attempt.is_software_unknown;
    if (request->software == 0 && !request->is_origin_unknown)
        request->software = request->attempt.reasons.software;
    if (request->software != 0 && request->online->origins != NULL && hs_online_may_repeat(request))
        hs_stream_origins_announce(request->online->origins, request->stream_name,
                                   request->software);
}

bool hs_online_is_software_gone(const hs_online_request *request) {
    return request->software != 0 &&
           !hs_fleet_engines_has_software(request->online->engines, request->service,
                                          request->software);
}
