/**
 * @file settings.h
 * Settings of one daemon. A struct is not changed after it was read, so threads share it without
 * locking. The table in src/daemon/settings.c defines the type, unit, range, default and meaning of
 * each key.
 */
#ifndef HEATHSAIL_SETTINGS_H
#define HEATHSAIL_SETTINGS_H

#include <stdint.h>

/** The struct owns all strings; hs_settings_free frees them. */
typedef struct {
    char *daemon_id;
    char *zone;
    char *region;
    char *address;
    char *log_level;
    int64_t shutdown_grace_ms;
    int64_t drain_notice_ms;

    char *surface; /**< The API for callers: "openai" or "fleet". */

    int64_t caller_enabled;
    int64_t caller_port;
    int64_t max_body_bytes;
    int64_t max_file_bytes;
    int64_t max_header_bytes;
    int64_t default_timeout_ms;
    int64_t max_timeout_ms;
    int64_t max_tokens;

    int64_t admin_port;

    int64_t peer_port;
    char *peer_seeds;
    int64_t probe_interval_ms;
    int64_t probe_timeout_ms;
    int64_t suspect_ms;

    char *platform_url;
    int64_t platform_timeout_s;
    int64_t machine_list_interval_ms;

    int64_t partitions;
    int64_t chunk_items;
    int64_t max_line_bytes;
    int64_t max_items;
    int64_t grant_lease_ms;
    int64_t snapshot_records;
    int64_t claim_settle_ms;
    int64_t handover_ms;
    int64_t job_window_s;
    int64_t replica_idle_s;

    int64_t max_batch_per_engine;
    int64_t batch_beside_online;
    int64_t batch_start_beside_online;
    int64_t idle_hold_ms;
    int64_t start_interval_ms;
    int64_t run_once_recovery_ms;
    int64_t item_timeout_s;

    int64_t placement_interval_ms;

    int64_t subset_size;
    int64_t max_attempts;
    int64_t retry_budget_percent;
    int64_t max_in_flight_per_engine;
    int64_t ejection_failures;
    int64_t ejection_ms;

    /* Settings of the fleet surface. Addresses are "IPv4:port". */
    char *fleet_front;
    char *fleet_ready;
    char *fleet_directory;
    char *fleet_control;
    char *fleet_metrics;
    char *fleet_seeds;
    char *fleet_store;
    char *fleet_zone_regions;
    int64_t fleet_parts;
    int64_t fleet_record_bytes;
    int64_t fleet_call_bytes;
    int64_t fleet_group_ttl_least_ms;
    int64_t fleet_drain_ms;
    int64_t fleet_cancel_ms;
    int64_t fleet_config_apply_ms;
    int64_t fleet_contact_ms;
    int64_t fleet_heartbeat_ms;
    int64_t fleet_caller_silence_ms;
    int64_t fleet_daemon_silence_ms;
    int64_t fleet_engine_silence_ms;
    int64_t fleet_store_silence_ms;
    int64_t fleet_repeat_unacknowledged_ms;
    int64_t fleet_once_unacknowledged_ms;
    int64_t fleet_once_idle_ms;
    double fleet_limit_slack;
    double fleet_cores;
    double fleet_cpu_share;
    int64_t fleet_memory_mb;
    int64_t fleet_descriptors;
    double fleet_link_mbps;
    int64_t fleet_strict_revoke;
    int64_t fleet_revoke_ms;
    int64_t fleet_evacuate_ms;
    int64_t fleet_tolerated_zones;
    double fleet_grace_s;
    double fleet_status_s;
    double fleet_resolve_ttl_most_s;
} hs_settings;

#endif
