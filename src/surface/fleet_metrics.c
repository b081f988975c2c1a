/** @file fleet_metrics.c  See fleet_metrics.h. */
#include "surface/fleet_metrics.h"

#include "base/build_info.h"
#include "base/clock.h"
#include "base/memory_budget.h"
#include "fleet/engine_evacuation.h"
#include "http/connection_guard.h"

static void write_online(GString *text, hs_online *online) {
    hs_online_counters *counters = &online->counters;
    g_mutex_lock(&counters->lock);
    for (int reason = 0; reason < HS_END_REASON_COUNT; reason++)
        g_string_append_printf(text,
                               "heathsail_requests_ended{reason=\"%s\"} %" G_GUINT64_FORMAT "\n",
                               hs_end_reason_name(reason), (guint64)counters->ended[reason]);
    uint64_t total = 0;
    for (guint bucket = 0; bucket < G_N_ELEMENTS(counters->first_byte_buckets); bucket++) {
        total += counters->first_byte_buckets[bucket];
        g_string_append_printf(text,
                               "heathsail_first_byte_ms_bucket{le=\"%u\"} %" G_GUINT64_FORMAT "\n",
                               1U << bucket, (guint64)total);
    }
    g_string_append_printf(text, "heathsail_streams_resumed %" G_GUINT64_FORMAT "\n",
                           (guint64)counters->resumed);
    g_mutex_unlock(&counters->lock);
}

static void write_held_requests(GString *text, hs_online *online) {
    hs_held_counters held = hs_held_requests_get_counters(online->held);
    g_string_append_printf(text,
                           "heathsail_requests_held %u\n"
                           "heathsail_holds_woken_total %" G_GUINT64_FORMAT "\n"
                           "heathsail_hold_pauses_ended_total %" G_GUINT64_FORMAT "\n",
                           held.held, (guint64)held.woken, (guint64)held.timeouts);
    g_mutex_lock(&online->counters.lock);
    for (int verdict = HS_REFUSAL_HOLD + 1; verdict < HS_REFUSAL_VERDICT_COUNT; verdict++)
        g_string_append_printf(
            text, "heathsail_requests_not_held_total{verdict=\"%s\"} %" G_GUINT64_FORMAT "\n",
            hs_refusal_verdict_name((hs_refusal_verdict)verdict),
            (guint64)online->counters.refused[verdict]);
    g_mutex_unlock(&online->counters.lock);
    g_autofree char *pressures = hs_fleet_engines_describe_pressures(online->engines);
    g_string_append(text, pressures);
}

static void write_config(GString *text, hs_config_source *source) {
    hs_fleet_config *config = hs_config_source_get(source);
    uint64_t last_received_ms = hs_config_source_last_received_ms(source);
    uint64_t age_ms = last_received_ms > 0 ? hs_clock_monotonic_ms() - last_received_ms : 0;
    g_string_append_printf(text,
                           "heathsail_config_version %" G_GUINT64_FORMAT
                           "\nheathsail_config_heard_age_ms %" G_GUINT64_FORMAT "\n",
                           config != NULL ? (guint64)config->version : 0, (guint64)age_ms);
    hs_fleet_config_unref(config);
}

static void write_admission(GString *text, hs_job_service *jobs) {
    hs_quota_counters counters = hs_job_service_quota_counters(jobs);
    g_string_append_printf(text,
                           "heathsail_job_admissions{verdict=\"fits\"} %" G_GUINT64_FORMAT "\n"
                           "heathsail_job_admissions{verdict=\"full\"} %" G_GUINT64_FORMAT "\n"
                           "heathsail_job_admissions{verdict=\"unknown\"} %" G_GUINT64_FORMAT "\n"
                           "heathsail_job_releases %" G_GUINT64_FORMAT "\n"
                           "heathsail_job_levels_told %" G_GUINT64_FORMAT "\n",
                           (guint64)counters.fitted, (guint64)counters.refused,
                           (guint64)counters.unknown, (guint64)counters.released,
                           (guint64)counters.levels);
}

static void write_entries(GString *text, hs_engine_source *source) {
    for (int fault = HS_ENTRY_VALID + 1; fault < HS_ENTRY_FAULT_COUNT; fault++)
        g_string_append_printf(text, "heathsail_engine_entries_rejected{reason=\"%s\"} %u\n",
                               hs_entry_fault_name((hs_entry_fault)fault),
                               hs_engine_source_rejected_count(source, (hs_entry_fault)fault));
}

static void write_feeds(GString *text, const hs_fleet_metrics_sources *sources) {
    g_autofree char *config =
        hs_state_feed_describe(hs_config_source_feed(sources->online->config));
    g_autofree char *engines =
        hs_state_feed_describe(hs_engine_source_feed(sources->engine_source));
    g_string_append(text, config);
    g_string_append(text, engines);
}

static void write_limits(GString *text, hs_daemon_directory *members) {
    hs_tenant_limiter_counters counters =
        hs_tenant_limiter_get_counters(hs_daemon_directory_limiter(members));
    g_string_append_printf(text,
                           "heathsail_tenant_asks{verdict=\"passed\"} %" G_GUINT64_FORMAT "\n"
                           "heathsail_tenant_asks{verdict=\"refused\"} %" G_GUINT64_FORMAT "\n"
                           "heathsail_tenant_asks_without_home %" G_GUINT64_FORMAT "\n"
                           "heathsail_tenant_buckets %" G_GUINT64_FORMAT "\n",
                           (guint64)counters.admitted, (guint64)counters.refused,
                           (guint64)counters.by_allowance, (guint64)counters.tenants);
}

static void write_job_reads(GString *text, hs_job_service *jobs) {
    hs_job_read_counters counters = hs_job_service_read_counters(jobs);
    g_string_append_printf(text,
                           "heathsail_job_calls{by=\"own_fold\"} %d\n"
                           "heathsail_job_calls{by=\"owner\"} %d\n"
                           "heathsail_job_calls{by=\"log\"} %d\n"
                           "heathsail_job_calls{by=\"nobody\"} %d\n",
                           counters.from_own_fold, counters.by_owner, counters.from_log,
                           counters.refused);
}

static void write_partitions(GString *text, const hs_fleet_metrics_sources *sources) {
    hs_owner_counts counts = hs_daemon_directory_count_owners(
        sources->members, hs_job_service_partition_count(sources->jobs));
    g_string_append_printf(text,
                           "heathsail_job_partitions_owned %u\n"
                           "heathsail_job_partitions_located %u\n"
                           "heathsail_job_items_running %u\n",
                           counts.own, counts.located, hs_job_owner_running_count(sources->owner));
    hs_job_owner_write_metrics(sources->owner, text);
}

static void write_lost_connections(GString *text) {
    for (int kind = 0; kind < HS_CONNECTION_KINDS; kind++)
        g_string_append_printf(text,
                               "heathsail_connections_lost{kind=\"%s\"} %" G_GUINT64_FORMAT "\n",
                               hs_connection_kind_name((hs_connection_kind)kind),
                               (guint64)hs_connection_loss_count((hs_connection_kind)kind));
}

static void write_memory(GString *text, hs_read_ahead *ahead) {
    for (int kind = 0; kind < HS_MEMORY_KIND_COUNT; kind++)
        g_string_append_printf(
            text, "heathsail_memory_charged_bytes{kind=\"%s\"} %" G_GUINT64_FORMAT "\n",
            hs_memory_kind_name((hs_memory_kind)kind),
            (guint64)hs_memory_charged((hs_memory_kind)kind));
    hs_read_ahead_counters counters = hs_read_ahead_get_counters(ahead);
    g_string_append_printf(text,
                           "heathsail_memory_budget_bytes %" G_GUINT64_FORMAT "\n"
                           "heathsail_streams_read_ahead %" G_GUINT64_FORMAT "\n"
                           "heathsail_streams_dropped %" G_GUINT64_FORMAT "\n",
                           (guint64)hs_memory_budget_get(), (guint64)counters.read_ahead,
                           (guint64)counters.dropped);
}

/** Writes open requests, machine use, and calls to the store and to engines. */
static void write_calls(GString *text, const hs_fleet_metrics_sources *sources) {
    hs_store_counters calls = hs_store_client_get_counters(sources->store);
    g_string_append_printf(
        text,
        "heathsail_open_requests %u\nheathsail_members_live %u\n"
        "heathsail_machine_taken_percent %u\n"
        "heathsail_store_calls %" G_GUINT64_FORMAT "\nheathsail_store_refused %" G_GUINT64_FORMAT
        "\nheathsail_store_unknown %" G_GUINT64_FORMAT
        "\nheathsail_store_sent_bytes %" G_GUINT64_FORMAT
        "\nheathsail_store_received_bytes %" G_GUINT64_FORMAT
        "\nheathsail_engine_connects %" G_GUINT64_FORMAT
        "\nheathsail_engine_connects_failed %" G_GUINT64_FORMAT
        "\nheathsail_runs_misplaced %" G_GUINT64_FORMAT
        "\nheathsail_answers_invalid %" G_GUINT64_FORMAT "\n",
        sources->open_requests, hs_daemon_directory_live_count(sources->members),
        hs_daemon_directory_utilisation_percent(sources->members), (guint64)calls.calls,
        (guint64)calls.refused, (guint64)calls.unknown, (guint64)calls.bytes_sent,
        (guint64)calls.bytes_received,
        (guint64)hs_fleet_engines_opened_connection_count(sources->online->engines),
        (guint64)hs_fleet_engines_failed_connect_count(sources->online->engines),
        (guint64)hs_fleet_engines_resume_mismatch_count(sources->online->engines),
        (guint64)hs_fleet_engines_invalid_answer_count(sources->online->engines));
}

char *hs_fleet_metrics_write(const hs_fleet_metrics_sources *sources) {
    GString *text = g_string_new(NULL);
    hs_online *online = sources->online;
    g_string_append_printf(text, "heathsail_build_info{commit=\"%s\"} 1\n", hs_build_commit());
    write_online(text, online);
    write_held_requests(text, online);
    write_config(text, online->config);
    write_admission(text, sources->jobs);
    write_limits(text, sources->members);
    g_autofree char *slot_use =
        hs_tenant_limiter_describe_slot_use(hs_daemon_directory_limiter(sources->members));
    g_string_append(text, slot_use);
    g_autofree char *fair_shares = hs_fair_shares_describe(online->fair_shares);
    g_string_append(text, fair_shares);
    write_entries(text, sources->engine_source);
    write_feeds(text, sources);
    write_job_reads(text, sources->jobs);
    write_partitions(text, sources);
    write_lost_connections(text);
    write_memory(text, online->read_ahead);
    g_string_append_printf(text,
                           "heathsail_settings_reloads_total %d\n"
                           "heathsail_settings_refused_total %d\n",
                           g_atomic_int_get(&sources->reloads->applied),
                           g_atomic_int_get(&sources->reloads->refused));
    write_calls(text, sources);
    g_autofree char *traffic = hs_daemon_directory_describe_traffic(sources->members);
    g_string_append(text, traffic);
    g_autofree char *engines = hs_fleet_engines_describe(online->engines);
    g_string_append(text, engines);
    g_autofree char *evacuations = hs_fleet_engines_describe_evacuations(online->engines);
    g_string_append(text, evacuations);
    hs_fleet_engines_describe_zones(online->engines, text);
    g_autofree char *warmup = hs_fleet_engines_describe_warmup(online->engines);
    g_string_append(text, warmup);
    g_autofree char *crashes =
        hs_crash_watch_describe(hs_fleet_engines_crash_watch(online->engines));
    g_string_append(text, crashes);
    g_autofree char *stalls = hs_stall_detector_describe(sources->stall_detector);
    g_string_append(text, stalls);
    return g_string_free(text, FALSE);
}
