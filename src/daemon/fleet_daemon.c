/** @file fleet_daemon.c  See fleet_daemon.h. */
#include "daemon/fleet_daemon_state.h"

#include "base/build_info.h"
#include "base/clock.h"
#include "base/descriptor_limit.h"
#include "base/endpoint.h"
#include "base/log.h"
#include "base/memory_budget.h"
#include "base/topology.h"
#include "daemon/settings.h"
#include "directory/evacuation_exchange.h"
#include "directory/feed_members.h"
#include "directory/peer_config.h"
#include "fleet/engine_evacuation.h"
#include "fleet/engine_source.h"
#include "http/connection_guard.h"
#include "jobs/job_owner.h"
#include "surface/fleet_surface.h"

#include <math.h>
#include <string.h>

#define MS_PER_S 1000.0
#define PERMILLE 1000.0
#define KBITS_PER_MBIT 1000.0
#define PROBE_INTERVAL_MS 300
/** Session timeout in the job owners' consumer group, in units of the store's minimum. */
#define GROUP_TTL_FACTOR 3
/** TTL of resolve answers as a share of the grace time. */
#define RESOLVE_TTL_SHARE 0.25
/** Share of fleet.limit_slack that is allowed above a tenant's burst; see settings.c. */
#define LIMIT_TOLERANCE_SHARE 0.5

/** Parses an address that hs_settings_check has accepted. */
static hs_endpoint parse_endpoint(const char *text) {
    hs_endpoint endpoint;
    hs_endpoint_parse(text, &endpoint);
    return endpoint;
}

static bool get_rank(uint32_t *rank, void *user_data) {
    hs_fleet_daemon *daemon = user_data;
    return hs_feed_members_rank(daemon->directory, rank);
}

static uint32_t live_daemon_count(void *user_data) {
    hs_fleet_daemon *daemon = user_data;
    return hs_daemon_directory_live_count(daemon->directory);
}

/**
 * Returns the TTL of resolve answers. A short TTL costs more look-ups, which may time out on dead
 * daemons; a long TTL keeps callers on a hung daemon. Twice the TTL must fit into the time in which
 * a stopping daemon still accepts requests.
 */
static uint32_t resolve_ttl_s(const hs_settings *settings) {
    double max_ttl_s = settings->fleet_grace_s * RESOLVE_TTL_SHARE;
    return (uint32_t)fmax(fmin(max_ttl_s, settings->fleet_resolve_ttl_most_s), 1);
}

/**
 * Returns whether configuration and engines were read since the process last stalled. Older state
 * may lack changes that are already in force at other daemons.
 */
static bool is_current_after_stall(hs_fleet_daemon *daemon) {
    uint64_t last_stall_ms = hs_stall_detector_get_last_stall_ms(&daemon->stall_detector);
    return hs_config_source_as_of_ms(daemon->config) >= last_stall_ms &&
           hs_engine_source_as_of_ms(daemon->engine_source) >= last_stall_ms;
}

/** Returns whether configuration and engines are known and current. */
static bool can_serve(void *user_data) {
    hs_fleet_daemon *daemon = user_data;
    hs_fleet_config *config = hs_config_source_get(daemon->config);
    bool known = config != NULL && hs_engine_source_has_list(daemon->engine_source);
    hs_fleet_config_unref(config);
    return known && is_current_after_stall(daemon);
}

/** Returns the machine's resources according to the settings; 0: unknown. */
static hs_machine_size read_machine_size(const hs_settings *settings) {
    return (hs_machine_size){
        .cores_permille =
            (uint32_t)lround(settings->fleet_cores * settings->fleet_cpu_share * PERMILLE),
        .memory_mb = (uint32_t)settings->fleet_memory_mb,
        .descriptors = (uint32_t)settings->fleet_descriptors,
        .link_kbps = (uint32_t)lround(settings->fleet_link_mbps * KBITS_PER_MBIT)};
}

static bool make_directory(hs_fleet_daemon *daemon, hs_error *error) {
    const hs_settings *settings = daemon->settings;
    hs_endpoint control = parse_endpoint(settings->fleet_control);
    hs_daemon_directory_settings directory = {
        .id = settings->daemon_id,
        .zone = settings->zone,
        .topology = daemon->topology,
        .address = settings->address,
        .front_port = parse_endpoint(settings->fleet_front).port,
        .peer_port = control.port,
        .seeds = settings->fleet_seeds,
        .probe_interval_ms = PROBE_INTERVAL_MS,
        .resolve_ttl_s = resolve_ttl_s(settings),
        .store = daemon->store,
        .engines = daemon->engines,
        .config = daemon->config,
        .stall_detector = &daemon->stall_detector,
        .crash_watch = daemon->crash_watch,
        .origins = daemon->origins,
        .limit_tolerance = settings->fleet_limit_slack * LIMIT_TOLERANCE_SHARE,
        .size = read_machine_size(settings),
        .observes_zones = settings->fleet_tolerated_zones > 0,
        .may_join = can_serve,
        .user_data = daemon};
    daemon->directory = hs_daemon_directory_new(&directory, error);
    return daemon->directory != NULL;
}

static GBytes *collect_evacuations(void *user_data) {
    const hs_fleet_daemon *daemon = user_data;
    return hs_evacuation_exchange_encode(daemon->engines);
}

static void apply_evacuations(GBytes *evacuations, uint64_t asked_ms, void *user_data) {
    const hs_fleet_daemon *daemon = user_data;
    (void)asked_ms; /* The position in the store's topic decides which set is newer. */
    hs_evacuation_exchange_apply_encoded(daemon->engines, evacuations);
}

static void make_peer_config(hs_fleet_daemon *daemon) {
    hs_peer_config_settings settings = {.config = daemon->config,
                                        .engine_source = daemon->engine_source,
                                        .members = daemon->directory,
                                        .evacuations = {.collect = collect_evacuations,
                                                        .apply = apply_evacuations,
                                                        .user_data = daemon}};
    daemon->peer_config = hs_peer_config_new(&settings);
}

static void make_jobs(hs_fleet_daemon *daemon) {
    const hs_settings *settings = daemon->settings;
    hs_job_store_settings store = {.store = daemon->store,
                                   .part_count = (uint32_t)settings->fleet_parts,
                                   .record_bytes = (uint32_t)settings->fleet_record_bytes,
                                   .call_bytes = (uint32_t)settings->fleet_call_bytes,
                                   .status_ms = (uint64_t)(settings->fleet_status_s * MS_PER_S),
                                   .drain = daemon->drain};
    daemon->jobs = hs_job_service_new(&store, daemon->directory);
    hs_job_owner_settings owner = {.member = settings->daemon_id,
                                   .part_count = store.part_count,
                                   .group_ttl_ms = (uint32_t)settings->fleet_group_ttl_least_ms *
                                                   GROUP_TTL_FACTOR,
                                   .cancel_ms = (uint32_t)settings->fleet_cancel_ms,
                                   .store = daemon->store,
                                   .jobs = daemon->jobs,
                                   .config = daemon->config,
                                   .engines = daemon->engines,
                                   .daemons = daemon->directory,
                                   .live_daemon_count = live_daemon_count,
                                   .get_rank = get_rank,
                                   .user_data = daemon};
    daemon->owner = hs_job_owner_new(&owner);
}

/**
 * Returns the time in ms within which a configuration version must be in force. With strict
 * revocation, at most half of the keys' validity, so that a long poll for the configuration ends
 * before the keys expire.
 */
static uint32_t get_config_apply_ms(const hs_settings *settings) {
    int64_t apply_ms = settings->fleet_config_apply_ms;
    if (settings->fleet_strict_revoke != 0)
        apply_ms = MAX(MIN(apply_ms, settings->fleet_revoke_ms / 2), 1);
    return (uint32_t)apply_ms;
}

static bool make_surface(hs_fleet_daemon *daemon, hs_error *error) {
    daemon->online.config = daemon->config;
    daemon->online.engines = daemon->engines;
    daemon->online.origins = daemon->origins;
    daemon->online.drain = daemon->drain;
    daemon->online.max_key_age_ms = daemon->settings->fleet_strict_revoke != 0
                                        ? (uint64_t)daemon->settings->fleet_revoke_ms
                                        : 0;
    daemon->online.ages = hs_caller_ages_new();
    daemon->online.run_lengths = hs_run_lengths_new();
    hs_memory_budget_set(hs_memory_budget_for_machine((uint32_t)daemon->settings->fleet_memory_mb));
    if (hs_memory_budget_get() > 0)
        daemon->online.read_ahead = hs_read_ahead_new();
    daemon->online.fair_shares = hs_fair_shares_new();
    g_mutex_init(&daemon->online.counters.lock);
    hs_fleet_surface_settings surface = {.front = daemon->settings->fleet_front,
                                         .ready = daemon->settings->fleet_ready,
                                         .directory = daemon->settings->fleet_directory,
                                         .metrics = daemon->settings->fleet_metrics,
                                         .control = daemon->settings->fleet_control,
                                         .descriptors = hs_descriptor_limit_raise(),
                                         .contact_ms = (uint32_t)daemon->settings->fleet_contact_ms,
                                         .config_apply_ms = get_config_apply_ms(daemon->settings),
                                         .online = &daemon->online,
                                         .jobs = daemon->jobs,
                                         .owner = daemon->owner,
                                         .members = daemon->directory,
                                         .engine_source = daemon->engine_source,
                                         .peer_config = daemon->peer_config,
                                         .store = daemon->store,
                                         .reloads = &daemon->reloads,
                                         .stall_detector = &daemon->stall_detector,
                                         .can_serve = can_serve,
                                         .user_data = daemon};
    daemon->surface = hs_fleet_surface_start(&surface, error);
    return daemon->surface != NULL;
}

static void set_connection_timeouts(const hs_settings *settings) {
    hs_connection_timeouts timeouts = {
        .kernel_timeout_ms = {[HS_CONNECTION_CALLER] = (uint32_t)settings->fleet_caller_silence_ms,
                              [HS_CONNECTION_DAEMON] = (uint32_t)settings->fleet_daemon_silence_ms,
                              [HS_CONNECTION_ENGINE] = (uint32_t)settings->fleet_engine_silence_ms,
                              [HS_CONNECTION_STORE] = (uint32_t)settings->fleet_store_silence_ms},
        .repeat_unacknowledged_ms = (uint32_t)settings->fleet_repeat_unacknowledged_ms,
        .once_unacknowledged_ms = (uint32_t)settings->fleet_once_unacknowledged_ms,
        .once_idle_ms = (uint32_t)settings->fleet_once_idle_ms};
    hs_connection_timeouts_set(&timeouts);
}

/** Creates the topology and logs what is wrong with it. */
static hs_topology *make_topology(const hs_settings *settings) {
    hs_topology *topology = hs_topology_new(settings->fleet_zone_regions);
    uint32_t rejected = hs_topology_rejected_count(topology);
    if (rejected > 0)
        hs_log_warning("zone_regions_rejected", "entries=%u value=\"%s\"", rejected,
                       settings->fleet_zone_regions);
    if (hs_topology_has_regions(topology) && hs_topology_region(topology, settings->zone) == NULL)
        hs_log_warning("own_region_unknown", "zone=%s", settings->zone);
    return topology;
}

/** Wakes held requests when a slot of the service may be free; see hs_engine_slot_observer. */
static void wake_held_requests(const char *service, void *user_data) {
    hs_held_requests_wake(user_data, service);
}

hs_fleet_daemon *hs_fleet_daemon_start(const hs_settings *settings, hs_error *error) {
    hs_fleet_daemon *daemon = g_new0(hs_fleet_daemon, 1);
    daemon->settings = settings;
    hs_stall_detector_init(&daemon->stall_detector);
    daemon->drain = hs_drain_new();
    set_connection_timeouts(settings);
    hs_endpoint store = parse_endpoint(settings->fleet_store);
    daemon->store = hs_store_client_new(store.address, store.port);
    daemon->config = hs_config_source_new(daemon->store, get_config_apply_ms(settings));
    daemon->topology = make_topology(settings);
    daemon->engines = hs_fleet_engines_new(settings->zone);
    hs_fleet_engines_set_topology(daemon->engines, daemon->topology);
    hs_fleet_engines_set_evacuate_ms(daemon->engines, (uint32_t)settings->fleet_evacuate_ms);
    hs_config_source_set_engines(daemon->config, daemon->engines);
    if (settings->fleet_tolerated_zones > 0)
        hs_fleet_engines_observe_zones(daemon->engines);
    daemon->online.held = hs_held_requests_new();
    hs_fleet_engines_set_slot_observer(daemon->engines, wake_held_requests, daemon->online.held);
    daemon->crash_watch = hs_crash_watch_new();
    hs_fleet_engines_set_crash_watch(daemon->engines, daemon->crash_watch);
    hs_crash_watch_set_engine_filter(daemon->crash_watch, hs_fleet_engines_may_check,
                                     daemon->engines);
    daemon->origins = hs_stream_origins_new();
    daemon->engine_source =
        hs_engine_source_new(daemon->store, daemon->engines, (uint32_t)settings->fleet_drain_ms,
                             (uint32_t)settings->fleet_heartbeat_ms);
    if (!make_directory(daemon, error)) {
        hs_fleet_daemon_free(daemon);
        return NULL;
    }
    hs_feed_members members = hs_feed_members_of(daemon->directory);
    /* Keys that are to expire with the store's answers may not be as old as a tree makes them. */
    if (settings->fleet_strict_revoke == 0)
        hs_state_feed_set_members(hs_config_source_feed(daemon->config), &members);
    hs_state_feed_set_members(hs_engine_source_feed(daemon->engine_source), &members);
    make_peer_config(daemon);
    make_jobs(daemon);
    if (!make_surface(daemon, error)) {
        hs_fleet_daemon_free(daemon);
        return NULL;
    }
    hs_daemon_directory_start(daemon->directory);
    hs_config_source_start(daemon->config);
    hs_engine_source_start(daemon->engine_source);
    hs_peer_config_start(daemon->peer_config);
    hs_job_owner_start(daemon->owner);
    hs_log_info("daemon_started", "build=%s surface=fleet zone=%s front=%s store=%s parts=%d",
                hs_build_commit(), settings->zone, settings->fleet_front, settings->fleet_store,
                (int)settings->fleet_parts);
    return daemon;
}

/** Returns whether a changed setting takes effect only after a restart. */
static bool needs_restart(const hs_settings *before, const hs_settings *now) {
    return strcmp(before->fleet_front, now->fleet_front) != 0 ||
           strcmp(before->fleet_control, now->fleet_control) != 0 ||
           strcmp(before->fleet_store, now->fleet_store) != 0 ||
           strcmp(before->daemon_id, now->daemon_id) != 0 ||
           strcmp(before->fleet_zone_regions, now->fleet_zone_regions) != 0 ||
           before->fleet_parts != now->fleet_parts;
}

void hs_fleet_daemon_reload(hs_fleet_daemon *daemon, hs_settings *settings, const char *cause) {
    hs_log_info("settings_reloaded", "cause=%s seeds=%s grace_s=%.1f needs_restart=%d", cause,
                settings->fleet_seeds, settings->fleet_grace_s,
                needs_restart(daemon->settings, settings));
    hs_daemon_directory_update(daemon->directory, settings->fleet_seeds, resolve_ttl_s(settings));
    hs_settings_free(daemon->reloaded);
    daemon->reloaded = settings;
    g_atomic_int_inc(&daemon->reloads.applied);
}

void hs_fleet_daemon_report_failed_reload(hs_fleet_daemon *daemon, const char *cause,
                                          const char *reason) {
    hs_log_warning("reload_refused", "cause=%s reason=\"%s\"", cause, reason);
    g_atomic_int_inc(&daemon->reloads.refused);
}
