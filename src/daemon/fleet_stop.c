/** @file fleet_stop.c  Stops and frees a daemon of the fleet surface; see fleet_daemon.h. */
#include "daemon/fleet_daemon_state.h"

#include "base/clock.h"
#include "base/exit_limit.h"
#include "base/log.h"
#include "base/thread.h"
#include "daemon/settings.h"

#include <stdlib.h>

#define MS_PER_S 1000.0
/** Share of the grace time in which a stopping daemon still accepts requests; the rest is for open
 * ones. */
#define ACCEPTING_SHARE 0.5
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

/** Logs a step of a stop that took long. Returns the time, at which the next one begins. */
static uint64_t log_step(const char *name, uint64_t begun_ms) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (now_ms - begun_ms >= STEP_LOG_MS)
        hs_log_info("stop_step", "name=%s took_ms=%u", name, (unsigned)(now_ms - begun_ms));
    return now_ms;
}

void hs_fleet_daemon_free(hs_fleet_daemon *daemon) {
    uint64_t begun_ms = hs_clock_monotonic_ms();
    hs_fleet_surface_stop(daemon->surface);
    begun_ms = log_step("free_surface", begun_ms);
    hs_peer_config_free(daemon->peer_config);
    begun_ms = log_step("free_peer_config", begun_ms);
    hs_job_owner_free(daemon->owner);
    begun_ms = log_step("free_job_owner", begun_ms);
    /* The threads of the sources use the directory's members, and its ticker what they read. */
    hs_engine_source_stop(daemon->engine_source);
    begun_ms = log_step("stop_engine_source", begun_ms);
    hs_config_source_stop(daemon->config);
    begun_ms = log_step("stop_config_source", begun_ms);
    hs_daemon_directory_free(daemon->directory);
    log_step("free_directory", begun_ms);
    hs_engine_source_free(daemon->engine_source);
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

static const hs_settings *get_current_settings(const hs_fleet_daemon *daemon) {
    return daemon->reloaded != NULL ? daemon->reloaded : daemon->settings;
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
        hs_exit_limit_start(started_ms + grace_ms - EXIT_RESERVE_MS, EXIT_SUCCESS);
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
    hs_fleet_daemon_free(daemon);
}
