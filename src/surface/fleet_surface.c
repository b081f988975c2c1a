/** @file fleet_surface.c  See fleet_surface.h. */
#include "surface/fleet_surface.h"

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/log.h"
#include "base/memory_budget.h"
#include "http/connection_plan.h"
#include "http/front_watch.h"
#include "http/http_fields.h"
#include "jobs/job_end.h"
#include "jobs/job_peer.h"
#include "online/retry_after.h"
#include "surface/fleet_metrics.h"
#include "tenants/tenant_index.h"

#include <string.h>

#define BODY_LIMIT_BYTES (64U * 1024 * 1024)
#define SMALL_BODY_BYTES 65536
#define CONFIG_WAIT_MS 250
#define CONFIG_POLL_MS 10
#define IDLE_TIMEOUT_MARGIN_S 5

/** One for the caller's connection, one for the engine's. */
#define DESCRIPTORS_PER_REQUEST 2

struct hs_fleet_surface {
    hs_fleet_surface_settings settings;
    gint draining;
    hs_listener *front;
    hs_listener *ready;
    hs_listener *directory;
    hs_listener *metrics;
    hs_listener *peers; /**< Calls from other daemons. */
    hs_front_watch *watch;
};

static void reply_status(hs_inbound *inbound, uint32_t status) {
    hs_inbound_reply(inbound, status, NULL, "", 0);
}

/** Applies the configured idle timeout to the callers' connections. */
static void apply_limits(hs_fleet_surface *surface, const hs_fleet_config *config) {
    uint32_t idle_s = (uint32_t)(config->limits.idle_timeout_ms / 1000) + IDLE_TIMEOUT_MARGIN_S;
    hs_listener_set_idle_timeout(surface->front, idle_s);
}

/** Returns the configuration; waits briefly for it after a start. NULL: not available yet. */
static hs_fleet_config *wait_for_config(hs_fleet_surface *surface) {
    uint64_t deadline_ms =
        hs_drain_limit(surface->settings.online->drain, hs_clock_monotonic_ms() + CONFIG_WAIT_MS);
    hs_fleet_config *config = hs_config_source_get(surface->settings.online->config);
    while (config == NULL && hs_clock_monotonic_ms() < deadline_ms) {
        hs_clock_sleep_ms(CONFIG_POLL_MS);
        config = hs_config_source_get(surface->settings.online->config);
    }
    return config;
}

/** Refuses a request that no service has accepted yet. */
static void refuse(hs_fleet_surface *surface, hs_inbound *inbound, const hs_caller_terms *terms,
                   hs_end_reason reason) {
    hs_log_info("request_refused", "request=%s reason=%s method=%s target_bytes=%zu",
                terms->request_id != NULL ? terms->request_id : "-", hs_end_reason_name(reason),
                inbound->method, strlen(inbound->target));
    /* The cause is expected to last as long again as the request has waited. */
    uint64_t waited_ms = hs_clock_monotonic_ms() - inbound->received_ms;
    uint64_t after_ms =
        hs_retry_after_spread_ms(hs_retry_after_absence_ms(waited_ms, 0), g_random_int());
    hs_online_refuse(surface->settings.online, inbound, reason, after_ms);
}

static const hs_end_reason access_reasons[] = {[HS_ACCESS_KEY_MISSING] = HS_END_KEY_MISSING,
                                               [HS_ACCESS_KEY_UNKNOWN] = HS_END_KEY_UNKNOWN,
                                               [HS_ACCESS_KEY_MALFORMED] = HS_END_KEY_MALFORMED};

/** Returns whether the caller has access; if not, the request is refused. */
static bool has_access(hs_fleet_surface *surface, hs_inbound *inbound, const hs_caller_terms *terms,
                       const hs_fleet_config *config, bool is_public,
                       const hs_fleet_tenant **tenant) {
    hs_access access = hs_tenant_access_decide(
        config,
        &(hs_access_request){
            .key = terms->api_key, .has_many_keys = terms->has_many_keys, .is_public = is_public},
        tenant);
    bool are_keys_recent = *tenant == NULL || hs_online_has_recent_keys(surface->settings.online);
    if (access != HS_ACCESS_GRANTED)
        refuse(surface, inbound, terms, access_reasons[access]);
    else if (!are_keys_recent)
        refuse(surface, inbound, terms, HS_END_KEYS_STALE);
    return access == HS_ACCESS_GRANTED && are_keys_recent;
}

/**
 * Returns whether the tenant is within its rate limit; if not, the request is refused with the time
 * at which this caller may retry. @p used_slots is set to the engine slots that the tenant
 * requested recently; 0: unknown.
 */
static bool is_within_limit(hs_fleet_surface *surface, hs_inbound *inbound,
                            const hs_caller_terms *terms, const hs_fleet_config *config,
                            const hs_fleet_tenant *tenant, double *used_slots) {
    *used_slots = 0;
    if (tenant == NULL)
        return true;
    hs_tenant_limiter *limiter = hs_daemon_directory_limiter(surface->settings.members);
    uint64_t used_ms =
        hs_fleet_engines_tenant_requested_ms(surface->settings.online->engines, tenant->name);
    if (tenant->rate_per_s <= 0) {
        *used_slots = hs_tenant_limiter_note_own_use(limiter, tenant->name, used_ms);
        return true;
    }
    hs_limited_tenant limited = {.name = tenant->name,
                                 .rate_per_s = tenant->rate_per_s,
                                 .burst = tenant->burst,
                                 .version = config->version,
                                 .used_ms = used_ms};
    hs_limit_decider decider = HS_LIMIT_BY_SELF;
    hs_limit_verdict verdict = hs_tenant_limiter_check(limiter, &limited, &decider);
    *used_slots = verdict.used_slots;
    if (verdict.passes)
        return true;
    hs_log_info(
        "request_over_limit",
        "request=%s tenant=%s rate_per_s=%.1f burst=%.1f version=%" G_GUINT64_FORMAT
        " decided_by=%s part=%.3f return_ms=%" G_GUINT64_FORMAT " waited_ms=%" G_GUINT64_FORMAT,
        terms->request_id != NULL ? terms->request_id : "-", tenant->name, tenant->rate_per_s,
        tenant->burst, (guint64)config->version, hs_limit_decider_name(decider), verdict.allowance,
        (guint64)verdict.retry_after_ms, (guint64)(hs_clock_monotonic_ms() - inbound->received_ms));
    hs_online_refuse(surface->settings.online, inbound, HS_END_OVER_LIMIT, verdict.retry_after_ms);
    return false;
}

static const char *get_tenant_name(const hs_fleet_tenant *tenant) {
    return tenant != NULL ? tenant->name : "";
}

/** Returns whether memory is short, for this request or for those in progress. */
static bool is_short_of_memory(const hs_inbound *inbound) {
    return inbound->lacks_memory || hs_memory_get_level() != HS_MEMORY_NORMAL;
}

/** Refuses a job that no region may run, with the time for which this has been so. */
static void refuse_without_region(hs_fleet_surface *surface, hs_inbound *inbound,
                                  const hs_caller_terms *terms, const hs_fleet_route *route,
                                  const hs_region_policy *regions) {
    hs_online *online = surface->settings.online;
    const char *service = g_array_index(route->shares, hs_route_share, 0).service;
    hs_service_outlook outlook = hs_fleet_engines_outlook_in(online->engines, service, regions);
    uint64_t after_ms = hs_retry_after_spread_ms(
        hs_retry_after_absence_ms(outlook.absent_ms, outlook.last_absence_ms), g_random_int());
    hs_log_info("request_refused", "request=%s reason=%s method=%s target_bytes=%zu",
                terms->request_id != NULL ? terms->request_id : "-",
                hs_end_reason_name(HS_END_NO_ALLOWED_REGION), inbound->method,
                strlen(inbound->target));
    hs_online_refuse(online, inbound, HS_END_NO_ALLOWED_REGION, after_ms);
}

static void submit_job(hs_fleet_surface *surface, hs_inbound *inbound, const hs_caller_terms *terms,
                       const hs_fleet_config *config, const hs_fleet_route *route,
                       const hs_fleet_tenant *tenant) {
    hs_job_caller caller = {.terms = terms, .tenant = get_tenant_name(tenant), .config = config};
    hs_region_policy regions = hs_region_policy_make(
        hs_fleet_engines_topology(surface->settings.online->engines), route, tenant);
    if (!hs_region_policy_can_be_met(&regions) &&
        !hs_job_service_is_stored(surface->settings.jobs, inbound, &caller))
        refuse_without_region(surface, inbound, terms, route, &regions);
    else
        hs_job_service_submit(surface->settings.jobs, inbound, &caller, config, route);
}

/**
 * Returns whether the store confirmed the configuration within the time in which a version must be
 * in force everywhere. A route that an older configuration lacks may exist.
 */
static bool is_config_current(hs_fleet_surface *surface) {
    uint64_t as_of_ms = hs_config_source_as_of_ms(surface->settings.online->config);
    return as_of_ms != 0 && hs_clock_monotonic_ms() <= as_of_ms + surface->settings.config_apply_ms;
}

static void serve_routed(hs_fleet_surface *surface, hs_inbound *inbound,
                         const hs_caller_terms *terms, hs_fleet_config *config) {
    hs_online *online = surface->settings.online;
    const hs_fleet_route *route = hs_fleet_config_find_route(config, terms->host, inbound->target);
    const hs_fleet_tenant *tenant = NULL;
    double used_slots = 0;
    if (route == NULL) {
        refuse(surface, inbound, terms,
               is_config_current(surface) ? HS_END_NO_ROUTE : HS_END_NO_CONFIG);
        return;
    }
    if (!has_access(surface, inbound, terms, config, route->is_public, &tenant))
        return;
    if (inbound->is_too_large || inbound->body->len > config->limits.max_body_bytes) {
        refuse(surface, inbound, terms, HS_END_TOO_LARGE);
    } else if (is_short_of_memory(inbound)) {
        refuse(surface, inbound, terms, HS_END_NO_MEMORY);
    } else if (route->kind == HS_ROUTE_BATCH) {
        submit_job(surface, inbound, terms, config, route, tenant);
    } else if (is_within_limit(surface, inbound, terms, config, tenant, &used_slots)) {
        hs_online_access access = {.config = hs_fleet_config_ref(config),
                                   .route = route,
                                   .tenant = tenant,
                                   .used_slots = used_slots};
        hs_online_serve(online, inbound, terms, &access);
    }
}

/** Serves a call on a job that was submitted before. */
static void serve_job_call(hs_fleet_surface *surface, hs_inbound *inbound,
                           const hs_caller_terms *terms, const hs_fleet_config *config,
                           hs_call_kind kind, const char *job_id) {
    const hs_fleet_tenant *tenant = NULL;
    bool is_public = terms->api_key == NULL && hs_tenant_has_public_jobs(config);
    if (!has_access(surface, inbound, terms, config, is_public, &tenant))
        return;
    hs_job_caller caller = {.terms = terms, .tenant = get_tenant_name(tenant), .config = config};
    hs_job_service_call(surface->settings.jobs, inbound, &caller, kind, job_id);
}

static void serve_front(hs_inbound *inbound, void *user_data) {
    hs_fleet_surface *surface = user_data;
    hs_caller_terms terms;
    hs_platform_read_terms(inbound->fields, &terms);
    if (hs_drain_has_expired(surface->settings.online->drain)) {
        refuse(surface, inbound, &terms, HS_END_STOPPING);
        return;
    }
    g_autofree char *job_id = NULL;
    hs_call_kind kind = hs_platform_classify_call(inbound->method, inbound->target, &job_id);
    hs_fleet_config *config = wait_for_config(surface);
    if (config == NULL) {
        refuse(surface, inbound, &terms, HS_END_NO_CONFIG);
        return;
    }
    apply_limits(surface, config);
    switch (kind) {
    case HS_CALL_REQUEST:
        serve_routed(surface, inbound, &terms, config);
        break;
    case HS_CALL_JOB_READ:
    case HS_CALL_JOB_END:
    case HS_CALL_ITEM_READ:
        serve_job_call(surface, inbound, &terms, config, kind, job_id);
        break;
    }
    hs_fleet_config_unref(config);
}

/** Serves a submission forwarded by another daemon; refuses any other request. */
static void serve_forwarded(hs_fleet_surface *surface, hs_inbound *inbound,
                            const hs_caller_terms *terms) {
    hs_fleet_config *config = hs_config_source_get(surface->settings.online->config);
    const hs_fleet_route *route =
        config != NULL ? hs_fleet_config_find_route(config, terms->host, inbound->target) : NULL;
    hs_job_caller caller = {.terms = terms, .tenant = terms->asserted_tenant};
    if (route != NULL && route->kind == HS_ROUTE_BATCH)
        hs_job_service_submit_from_peer(surface->settings.jobs, inbound, &caller, config, route);
    else
        reply_status(inbound, 503);
    hs_fleet_config_unref(config);
}

/**
 * Serves a call from another daemon: a check of the store's state, a request for changes of a
 * topic, a query for the state read from the store, a relayed append, a report of a job's end, or a
 * forwarded call on a job.
 */
static void serve_peer(hs_inbound *inbound, void *user_data) {
    hs_fleet_surface *surface = user_data;
    if (inbound->lacks_memory) {
        reply_status(inbound, 503);
        return;
    }
    if (strcmp(inbound->target, HS_PEER_STORE_TARGET) == 0) {
        bool is_stopping = g_atomic_int_get(&surface->draining) != 0;
        bool accepts_calls = !is_stopping && !hs_store_client_is_failing(surface->settings.store);
        reply_status(inbound, accepts_calls ? 200 : 503);
        return;
    }
    if (hs_state_feed_serve(hs_config_source_feed(surface->settings.online->config), inbound) ||
        hs_state_feed_serve(hs_engine_source_feed(surface->settings.engine_source), inbound))
        return;
    if (strcmp(inbound->target, HS_PEER_STATE_TARGET) == 0) {
        hs_peer_config_serve(surface->settings.peer_config, inbound);
        return;
    }
    if (hs_job_relay_is_append_call(inbound->target)) {
        hs_job_relay_serve(surface->settings.store, inbound);
        return;
    }
    if (hs_job_end_is_report(inbound->target)) {
        hs_job_end_apply(surface->settings.jobs, inbound);
        return;
    }
    hs_caller_terms terms;
    hs_platform_read_terms(inbound->fields, &terms);
    g_autofree char *job_id = NULL;
    hs_call_kind kind = hs_platform_classify_call(inbound->method, inbound->target, &job_id);
    hs_job_caller caller = {.terms = &terms, .tenant = terms.asserted_tenant};
    if (kind == HS_CALL_REQUEST)
        serve_forwarded(surface, inbound, &terms);
    else
        hs_job_service_call_from_peer(surface->settings.jobs, inbound, &caller, kind, job_id);
}

/** Returns whether the front listener accepts connections; true if there is no such listener. */
static bool is_accepting_connections(const hs_fleet_surface *surface) {
    return surface->front == NULL ||
           (surface->watch != NULL && hs_front_watch_is_accepting(surface->watch));
}

static bool is_ready(hs_fleet_surface *surface) {
    return g_atomic_int_get(&surface->draining) == 0 && is_accepting_connections(surface) &&
           surface->settings.can_serve(surface->settings.user_data);
}

static void serve_ready(hs_inbound *inbound, void *user_data) {
    if (hs_platform_is_ready(inbound->target))
        reply_status(inbound, is_ready(user_data) ? 200 : 503);
    else
        reply_status(inbound, 404);
}

/** Resolves addresses for a caller. The regions allowed are those of the configuration in force. */
static char **resolve_addresses(hs_fleet_surface *surface, const hs_inbound *inbound) {
    hs_resolve_terms terms;
    hs_platform_read_resolve(inbound->target, &terms);
    hs_fleet_config *config = hs_config_source_get(surface->settings.online->config);
    GPtrArray *regions = config != NULL && terms.host != NULL
                             ? hs_region_policy_regions_of_host(config, terms.host)
                             : NULL;
    hs_resolve_query query = {.zone = terms.zone,
                              .region = terms.region,
                              .allowed_regions = regions,
                              .caller = inbound->caller_address};
    char **addresses = hs_daemon_directory_resolve(surface->settings.members, &query);
    if (regions != NULL)
        g_ptr_array_free(regions, TRUE);
    hs_fleet_config_unref(config);
    g_free(terms.host);
    g_free(terms.zone);
    g_free(terms.region);
    return addresses;
}

static void serve_directory(hs_inbound *inbound, void *user_data) {
    hs_fleet_surface *surface = user_data;
    g_autofree char *zone = NULL;
    if (!hs_platform_is_resolve(inbound->target, &zone)) {
        reply_status(inbound, 404);
        return;
    }
    hs_daemon_directory *members = surface->settings.members;
    g_auto(GStrv) addresses = resolve_addresses(surface, inbound);
    if (addresses == NULL) {
        reply_status(inbound, 503);
        return;
    }
    g_autofree char *body = hs_platform_write_resolve((const char *const *)addresses,
                                                      hs_daemon_directory_ttl_s(members));
    GArray *fields = hs_http_fields_new();
    hs_http_fields_add(fields, "Content-Type", "application/json");
    hs_inbound_reply(inbound, 200, fields, body, strlen(body));
    hs_http_fields_free(fields);
}

static void serve_metrics(hs_inbound *inbound, void *user_data) {
    hs_fleet_surface *surface = user_data;
    hs_fleet_metrics_sources sources = {.online = surface->settings.online,
                                        .jobs = surface->settings.jobs,
                                        .owner = surface->settings.owner,
                                        .store = surface->settings.store,
                                        .members = surface->settings.members,
                                        .engine_source = surface->settings.engine_source,
                                        .reloads = surface->settings.reloads,
                                        .stall_detector = surface->settings.stall_detector,
                                        .open_requests =
                                            hs_fleet_surface_open_request_count(surface)};
    g_autofree char *text = hs_fleet_metrics_write(&sources);
    GArray *fields = hs_http_fields_new();
    hs_http_fields_add(fields, "Content-Type", "text/plain; version=0.0.4");
    hs_inbound_reply(inbound, 200, fields, text, strlen(text));
    hs_http_fields_free(fields);
}

/** Opens a listener at "IPv4:port", none if empty. Returns false with @p error on failure. */
static bool open_listener(hs_listener **listener, const char *address,
                          const hs_listener_limits *limits, hs_inbound_handler handler,
                          hs_fleet_surface *surface, hs_error *error) {
    if (*address == '\0')
        return true;
    hs_endpoint endpoint;
    hs_endpoint_parse(address, &endpoint);
    *listener = hs_listener_start(endpoint.host, endpoint.port, limits, handler, surface, error);
    return *listener != NULL;
}

/**
 * Opens the listeners for metrics and other daemons. The daemon can serve without them, so a
 * failure is only logged.
 */
static void open_optional(hs_fleet_surface *surface, const hs_connection_plan *plan) {
    hs_error error = {0};
    hs_listener_limits peers = {BODY_LIMIT_BYTES, plan->peers};
    hs_listener_limits metrics = {SMALL_BODY_BYTES, plan->other};
    if (!open_listener(&surface->peers, surface->settings.control, &peers, serve_peer, surface,
                       &error))
        hs_log_warning("peers_cannot_ask", "reason=\"%s\"", error.message);
    else if (surface->peers != NULL)
        hs_listener_set_kind(surface->peers, HS_CONNECTION_DAEMON);
    if (!open_listener(&surface->metrics, surface->settings.metrics, &metrics, serve_metrics,
                       surface, &error))
        hs_log_warning("metrics_unavailable", "reason=\"%s\"", error.message);
}

static void watch_front(hs_fleet_surface *surface) {
    hs_listener *const listeners[HS_MAX_WATCHED_LISTENERS] = {
        surface->front, surface->ready, surface->directory, surface->metrics, surface->peers};
    hs_endpoint front;
    hs_endpoint_parse(surface->settings.front, &front);
    hs_front_watch_settings watch = {.probe = {.address = front.address,
                                               .port = front.port,
                                               .target = "/",
                                               .listener = surface->front},
                                     .contact_ms = surface->settings.contact_ms};
    for (int index = 0; index < HS_MAX_WATCHED_LISTENERS; index++)
        if (listeners[index] != NULL)
            watch.connections[index] = hs_listener_connections(listeners[index]);
    surface->watch = hs_front_watch_start(&watch);
}

hs_fleet_surface *hs_fleet_surface_start(const hs_fleet_surface_settings *settings,
                                         hs_error *error) {
    hs_connection_plan plan =
        hs_connection_plan_make(settings->descriptors, DESCRIPTORS_PER_REQUEST);
    hs_listener_limits front = {BODY_LIMIT_BYTES, plan.front};
    hs_listener_limits other = {SMALL_BODY_BYTES, plan.other};
    hs_fleet_surface *surface = g_new0(hs_fleet_surface, 1);
    surface->settings = *settings;
    bool opened =
        open_listener(&surface->front, settings->front, &front, serve_front, surface, error) &&
        open_listener(&surface->ready, settings->ready, &other, serve_ready, surface, error) &&
        open_listener(&surface->directory, settings->directory, &other, serve_directory, surface,
                      error);
    if (!opened) {
        hs_fleet_surface_stop(surface);
        return NULL;
    }
    open_optional(surface, &plan);
    if (surface->front != NULL)
        watch_front(surface);
    hs_log_info("connections_planned", "descriptors=%u front=%u peers=%u other=%u",
                settings->descriptors, plan.front, plan.peers, plan.other);
    return surface;
}

void hs_fleet_surface_start_draining(hs_fleet_surface *surface) {
    g_atomic_int_set(&surface->draining, 1);
    if (surface->watch != NULL)
        hs_front_watch_stop_probing(surface->watch);
    if (surface->front != NULL)
        hs_listener_close_after_answers(surface->front);
}

void hs_fleet_surface_quiesce(hs_fleet_surface *surface) {
    if (surface->front != NULL)
        hs_listener_quiesce(surface->front);
}

uint32_t hs_fleet_surface_front_connection_count(hs_fleet_surface *surface) {
    return surface->front != NULL
               ? hs_caller_connections_count(hs_listener_connections(surface->front))
               : 0;
}

uint32_t hs_fleet_surface_open_request_count(hs_fleet_surface *surface) {
    return surface->front != NULL ? hs_listener_open_request_count(surface->front) : 0;
}

void hs_fleet_surface_stop(hs_fleet_surface *surface) {
    if (surface == NULL)
        return;
    hs_front_watch_stop(surface->watch);
    hs_listener_stop(surface->front);
    hs_listener_stop(surface->ready);
    hs_listener_stop(surface->directory);
    hs_listener_stop(surface->metrics);
    hs_listener_stop(surface->peers);
    hs_front_watch_free(surface->watch);
    g_free(surface);
}
