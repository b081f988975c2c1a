/** @file fleet_daemon.c  See fleet_daemon.h. */
#include "daemon/fleet_daemon.h"

#include "base/build_info.h"
#include "base/clock.h"
#include "base/descriptor_limit.h"
#include "base/endpoint.h"
#include "base/exit_limit.h"
#include "base/log.h"
#include "base/memory_budget.h"
#include "base/thread.h"
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
/** Share of the grace time in which a stopping daemon still accepts requests; the rest is for open
 * ones. */
#define ACCEPTING_SHARE 0.5
/** TTL of resolve answers as a share of the grace time. */
#define RESOLVE_TTL_SHARE 0.25
/** Part of the grace time reserved for the shutdown after the last answer. */
#define SHUTDOWN_RESERVE_MS 500
/** Part of it for the end of the process itself, which ends all threads. */
#define EXIT_RESERVE_MS 400
/** Steps of a stop that take this long are logged. */
#define STEP_LOG_MS 20
/** Time in which requests that the stop ends are answered. */
#define LAST_ANSWERS_MS 200
/** Share of the grace time within which batch items must be handed over. */
#define HANDOVER_SHARE 0.75
#define DRAIN_POLL_MS 50
#define ANSWER_POLL_MS 5
/** Share of fleet.limit_slack that is allowed above a tenant's burst; see settings.c. */
#define LIMIT_TOLERANCE_SHARE 0.5

struct hs_fleet_daemon {
    const hs_settings *settings; /**< Settings at the start. Borrowed. */
    hs_settings *reloaded;       /**< Settings of the last reload; NULL: none. Owned. */
    hs_topology *topology;
    hs_store_client *store;
    hs_config_source *config;
    hs_fleet_engines *engines;
    hs_crash_watch *crash_watch;
    hs_stream_origins *origins;
    hs_engine_source *engine_source;
    hs_daemon_directory *directory;
    hs_peer_config *peer_config;
    hs_job_service *jobs;
    hs_job_owner *owner;
    hs_online online;
    hs_fleet_surface *surface;
    hs_drain *drain;
    hs_reload_counts reloads;
    hs_stall_detector stall_detector;
};

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

/** Logs a step of a stop that took long. Returns the time, at which the next one begins. */
static uint64_t log_step(const char *name, uint64_t begun_ms) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (now_ms - begun_ms >= STEP_LOG_MS)
        hs_log_info("stop_step", "name=%s took_ms=%u", name, (unsigned)(now_ms - begun_ms));
    return now_ms;
}

static void free_daemon(hs_fleet_daemon *daemon) {
    uint64_t begun_ms = hs_clock_monotonic_ms();
    hs_fleet_surface_stop(daemon->surface);
    begun_ms = log_step("free_surface", begun_ms);
    hs_peer_config_free(daemon->peer_config);
    begun_ms = log_step("free_peer_config", begun_ms);
    hs_job_owner_free(daemon->owner);
    begun_ms = log_step("free_job_owner", begun_ms);
    hs_engine_source_free(daemon->engine_source);
    begun_ms = log_step("free_engine_source", begun_ms);
    hs_config_source_stop(daemon->config); /* Its thread uses the directory's members. */
    begun_ms = log_step("stop_config_source", begun_ms);
    hs_daemon_directory_free(daemon->directory); /* Its ticker reads the configuration. */
    log_step("free_directory", begun_ms);
    hs_config_source_free(daemon->config);
    hs_job_service_free(daemon->jobs);
    hs_caller_ages_free(daemon->online.ages);
    hs_run_lengths_free(daemon->online.run_lengths);
    hs_held_requests_free(daemon->online.held);
    hs_read_ahead_free(daemon->online.read_ahead);
    hs_fair_shares_free(daemon->online.fair_shares);
    hs_crash_watch_free(daemon->crash_watch);
    hs_stream_origins_free(daemon->origins);
    hs_fleet_engines_free(daemon->engines);
    hs_topology_free(daemon->topology);
    hs_store_client_free(daemon->store);
    hs_settings_free(daemon->reloaded);
    hs_stall_detector_clear(&daemon->stall_detector);
    hs_drain_free(daemon->drain);
    g_free(daemon);
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
        free_daemon(daemon);
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
        free_daemon(daemon);
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

static const hs_settings *get_current_settings(const hs_fleet_daemon *daemon) {
    return daemon->reloaded != NULL ? daemon->reloaded : daemon->settings;
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

/** Returns how long after the stop callers may still use a resolve answer with this daemon. */
static uint64_t get_resolve_ttl_ms(const hs_fleet_daemon *daemon) {
    return (uint64_t)hs_daemon_directory_ttl_s(daemon->directory) * (uint64_t)MS_PER_S;
}

static uint64_t get_grace_ms(const hs_fleet_daemon *daemon) {
    return (uint64_t)(get_current_settings(daemon)->fleet_grace_s * MS_PER_S);
}

/**
 * Hands the batch items over to other daemons. While the store is disconnected no daemon can take
 * them over: they continue until it reconnects, for at most half of the grace time. Then withdraws
 * this daemon from the store. All of it ends by the stop's deadline.
 */
static gpointer hand_over_jobs(gpointer data) {
    hs_fleet_daemon *daemon = data;
    hs_drain_times stop = {0};
    hs_drain_get(daemon->drain, &stop);
    uint64_t grace_ms = get_grace_ms(daemon);
    hs_deadline deadline =
        MIN(stop.started_ms + (uint64_t)((double)grace_ms * HANDOVER_SHARE), stop.deadline_ms);
    /* Others that stop may leave before this one, and their partitions come here. */
    hs_job_owner_stop_starts(daemon->owner);
    while (hs_engine_source_is_disconnected(daemon->engine_source) &&
           hs_clock_monotonic_ms() < MIN(stop.started_ms + grace_ms / 2, deadline))
        hs_clock_sleep_ms(DRAIN_POLL_MS);
    hs_job_owner_drain(daemon->owner, deadline);
    while (hs_job_owner_running_count(daemon->owner) > 0 && hs_clock_monotonic_ms() < deadline)
        hs_clock_sleep_ms(DRAIN_POLL_MS);
    hs_log_info("items_handed_over", "left=%u took_ms=%u",
                hs_job_owner_running_count(daemon->owner),
                (unsigned)(hs_clock_monotonic_ms() - stop.started_ms));
    uint64_t begun_ms = hs_clock_monotonic_ms();
    hs_job_owner_leave(daemon->owner, stop.deadline_ms);
    begun_ms = log_step("leave_group", begun_ms);
    hs_daemon_directory_delete_record(daemon->directory, stop.deadline_ms);
    log_step("delete_record", begun_ms);
    return NULL;
}

static hs_drain_times plan_stop(const hs_fleet_daemon *daemon, uint64_t started_ms) {
    uint64_t total_ms = get_grace_ms(daemon);
    uint64_t accepting_ms =
        MIN(get_resolve_ttl_ms(daemon), (uint64_t)((double)total_ms * ACCEPTING_SHARE));
    uint64_t reserved_ms = LAST_ANSWERS_MS + SHUTDOWN_RESERVE_MS;
    uint64_t serving_ms = total_ms > reserved_ms ? total_ms - reserved_ms : 0;
    return (hs_drain_times){.started_ms = started_ms,
                            .accept_until_ms = started_ms + accepting_ms,
                            .deadline_ms = started_ms + serving_ms};
}

/**
 * Ends the requests that are still open, and waits until they are answered. At the stop's deadline
 * nothing waits for the store any longer.
 */
static void end_open_requests(hs_fleet_daemon *daemon, const hs_drain_times *stop) {
    uint64_t answered_ms = MIN(hs_clock_monotonic_ms(), stop->deadline_ms) + LAST_ANSWERS_MS;
    hs_drain_expire(daemon->drain);
    if (hs_clock_monotonic_ms() >= stop->deadline_ms)
        hs_store_client_interrupt_calls(daemon->store);
    while (hs_fleet_surface_open_request_count(daemon->surface) > 0 &&
           hs_clock_monotonic_ms() < answered_ms) {
        hs_held_requests_wake_all(daemon->online.held);
        hs_clock_sleep_ms(ANSWER_POLL_MS);
    }
}

/**
 * Accepts requests while callers may use old resolve answers, then waits until all connections are
 * closed: on one that is still open, the next request may have arrived.
 */
static void finish_requests(hs_fleet_daemon *daemon, const hs_drain_times *stop) {
    while (hs_clock_monotonic_ms() < stop->accept_until_ms)
        hs_clock_sleep_ms(DRAIN_POLL_MS);
    do {
        hs_fleet_surface_quiesce(daemon->surface);
        hs_clock_sleep_ms(MIN(DRAIN_POLL_MS, hs_clock_left_ms(stop->deadline_ms)));
    } while (hs_fleet_surface_front_connection_count(daemon->surface) > 0 &&
             hs_clock_monotonic_ms() < stop->deadline_ms);
    end_open_requests(daemon, stop);
}

/** Has the process exit within the grace time, however long the shutdown takes. */
static void limit_exit(const hs_fleet_daemon *daemon, uint64_t started_ms) {
    uint64_t grace_ms = get_grace_ms(daemon);
    if (grace_ms > EXIT_RESERVE_MS)
        hs_exit_limit_start(started_ms + grace_ms - EXIT_RESERVE_MS);
}

void hs_fleet_daemon_stop(hs_fleet_daemon *daemon) {
    uint64_t started_ms = hs_clock_monotonic_ms();
    hs_drain_times stop = plan_stop(daemon, started_ms);
    hs_drain_begin(daemon->drain, &stop);
    limit_exit(daemon, started_ms);
    hs_log_info("daemon_stopping", "open_requests=%u running_items=%u serves_ms=%u",
                hs_fleet_surface_open_request_count(daemon->surface),
                hs_job_owner_running_count(daemon->owner),
                (unsigned)(stop.deadline_ms - started_ms));
    hs_fleet_surface_start_draining(daemon->surface);
    hs_held_requests_wake_all(daemon->online.held); /* Some can no longer end in time. */
    hs_state_feed_close(hs_config_source_feed(daemon->config));
    hs_state_feed_close(hs_engine_source_feed(daemon->engine_source));
    hs_daemon_directory_leave(daemon->directory);
    GThread *handover = hs_thread_try_start("handover", hand_over_jobs, daemon);
    finish_requests(daemon, &stop);
    uint64_t finished_ms = hs_clock_monotonic_ms();
    if (handover != NULL)
        g_thread_join(handover);
    else
        hand_over_jobs(daemon);
    log_step("join_handover", finished_ms);
    hs_log_info("daemon_stopped", "open_requests=%u took_ms=%u",
                hs_fleet_surface_open_request_count(daemon->surface),
                (unsigned)(hs_clock_monotonic_ms() - started_ms));
    /* Joining threads may take longer than what is left; the exit frees the memory. */
    if (hs_clock_monotonic_ms() >= stop.deadline_ms)
        hs_exit_at_once();
    hs_store_client_interrupt_calls(daemon->store);
    free_daemon(daemon);
}
