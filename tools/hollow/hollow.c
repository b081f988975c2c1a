/** @file hollow.c  See hollow.h. */
#include "tools/hollow/hollow.h"

#include "base/clock.h"
#include "daemon/settings.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#define ADDRESS "127.0.0.1"
#define APPENDER_CAPACITY 1024
#define PROBE_INTERVAL_MS 500
#define PROBE_TIMEOUT_MS 240
#define SUSPECT_MS 2000
#define FORGET_MS 600000
#define RETAIN_MS 1000000

static void handle_message(const Hs__PeerMessage *message, const struct sockaddr_in *from,
                           void *user_data) {
    hollow_daemon *daemon = user_data;
    if (hs_membership_service_handle(daemon->membership, message, from))
        return;
    if (hs_coordinator_handle(daemon->coordinator, message, from))
        return;
    hs_scheduler_handle(daemon->scheduler, message, from);
}

static uint64_t read_offset(void *user_data) {
    const hollow_daemon *daemon = user_data;
    return hs_config_store_offset(daemon->config);
}

static GPtrArray *read_leaving(void *user_data) {
    const hollow_daemon *daemon = user_data;
    return hs_engine_table_leaving(daemon->engines, hs_clock_monotonic_ms());
}

static void make_membership(hollow_daemon *daemon, int index, const hollow_options *options) {
    struct in_addr address;
    inet_pton(AF_INET, ADDRESS, &address);
    hs_member self = {.id = daemon->id,
                      .zone = daemon->zone,
                      .incarnation = hs_clock_wall_ms(),
                      .address = ntohl(address.s_addr),
                      .peer_port = (uint16_t)(options->first_port + index)};
    hs_membership_service_settings settings = {.probe_interval_ms = PROBE_INTERVAL_MS,
                                               .membership = {.probe_timeout_ms = PROBE_TIMEOUT_MS,
                                                              .suspect_ms = SUSPECT_MS,
                                                              .forget_ms = FORGET_MS}};
    daemon->membership = hs_membership_service_new(&self, &settings, daemon->socket);
}

static void list_engines(hollow_daemon *daemon, const hollow_options *options) {
    hs_engine_table_listing_begin(daemon->engines);
    for (int index = 0; index < options->engines; index++) {
        char id[32];
        char url[64];
        char zone[16];
        g_snprintf(id, sizeof id, "engine-%d", index);
        g_snprintf(url, sizeof url, "http://127.0.0.1:%d", 1);
        g_snprintf(zone, sizeof zone, "zone-%d", index % options->zones);
        json_t *labels = json_pack("{s:s}", "service", "hollow");
        hs_engine_table_list(daemon->engines, id, url, zone, labels, false);
        json_decref(labels);
    }
    hs_engine_table_listing_end(daemon->engines);
}

/** Every daemon is proposed its neighbours, as the machine list would. */
static void propose_members(hollow_daemon *daemon, const hollow_options *options) {
    hs_membership *membership = hs_membership_service_lock(daemon->membership);
    for (int index = 0; index < options->daemons; index++) {
        char id[32];
        g_snprintf(id, sizeof id, "hollow-%d", index);
        hs_membership_propose(membership, id, INADDR_LOOPBACK,
                              (uint16_t)(options->first_port + index), hs_clock_monotonic_ms());
    }
    hs_membership_service_unlock(daemon->membership);
}

static void make_work_parts(hollow_daemon *daemon, const hollow_options *options) {
    static const hs_engine_table_settings table = {
        .subset_size = 16, .max_in_flight = 256, .ejection_failures = 3, .ejection_ms = 5000};
    daemon->log = (hs_log_client){.base_url = (char *)options->platform_url, .timeout_s = 5};
    daemon->appender = hs_appender_new(&daemon->log, APPENDER_CAPACITY);
    daemon->config = hs_config_store_new(&daemon->log);
    daemon->replicas = hs_replica_set_new(&daemon->log, (uint32_t)options->partitions, RETAIN_MS);
    daemon->chunks = hs_chunk_reader_new(&daemon->log);
    daemon->engines = hs_engine_table_new(daemon->id, daemon->zone, &table);
    daemon->runner = (hs_item_runner){.appender = daemon->appender,
                                      .replicas = daemon->replicas,
                                      .chunks = daemon->chunks,
                                      .run_once_recovery_ms = 30000};
    hs_coordinator_context coordinator = {.settings = &daemon->settings,
                                          .membership = daemon->membership,
                                          .socket = daemon->socket,
                                          .replicas = daemon->replicas,
                                          .appender = daemon->appender,
                                          .runner = &daemon->runner,
                                          .config_offset = read_offset,
                                          .leaving_engines = read_leaving,
                                          .gossip_user_data = daemon};
    daemon->coordinator = hs_coordinator_new(&coordinator);
    hs_scheduler_context scheduler = {.settings = &daemon->settings,
                                      .membership = daemon->membership,
                                      .socket = daemon->socket,
                                      .engines = daemon->engines,
                                      .config = daemon->config,
                                      .runner = &daemon->runner};
    daemon->scheduler = hs_scheduler_new(&scheduler);
}

static bool start_daemon(hollow_daemon *daemon, int index, const hollow_options *options) {
    hs_error error = {0};
    g_snprintf(daemon->id, sizeof daemon->id, "hollow-%d", index);
    g_snprintf(daemon->zone, sizeof daemon->zone, "zone-%d", index % options->zones);
    hs_settings *defaults = hs_settings_new();
    daemon->settings = *defaults;
    g_free(defaults); /* The strings are the copy's now, for the life of the process. */
    daemon->settings.daemon_id = daemon->id;
    daemon->settings.handover_ms = 1000;
    daemon->socket = hs_peer_socket_new(ADDRESS, (uint16_t)(options->first_port + index), &error);
    if (daemon->socket == NULL) {
        fprintf(stderr, "%s\n", error.message);
        return false;
    }
    make_membership(daemon, index, options);
    make_work_parts(daemon, options);
    list_engines(daemon, options);
    propose_members(daemon, options);
    hs_appender_start(daemon->appender);
    hs_config_store_start(daemon->config);
    hs_peer_socket_start(daemon->socket, handle_message, daemon);
    hs_membership_service_start(daemon->membership);
    hs_coordinator_start(daemon->coordinator);
    hs_scheduler_start(daemon->scheduler);
    return true;
}

bool hollow_fleet_start(hollow_fleet *fleet, const hollow_options *options) {
    *fleet = (hollow_fleet){.options = *options};
    fleet->daemons = g_new0(hollow_daemon, options->daemons);
    for (int index = 0; index < options->daemons; index++)
        if (!start_daemon(&fleet->daemons[index], index, options))
            return false;
    return true;
}

bool hollow_fleet_is_level(const hollow_fleet *fleet, uint32_t expected) {
    for (int index = 0; index < fleet->options.daemons; index++) {
        hollow_daemon *daemon = &fleet->daemons[index];
        if (daemon->failed)
            continue;
        hs_membership *membership = hs_membership_service_lock(daemon->membership);
        uint32_t live = hs_membership_live_count(membership);
        hs_membership_service_unlock(daemon->membership);
        if (live != expected)
            return false;
    }
    return true;
}

int hollow_fleet_owned(const hollow_fleet *fleet) {
    int owned = 0;
    for (int index = 0; index < fleet->options.daemons; index++)
        if (!fleet->daemons[index].failed)
            owned += (int)hs_coordinator_owned_count(fleet->daemons[index].coordinator);
    return owned;
}

/** Joining waits for reads of streams, which a crash would not. */
static gpointer end_threads(gpointer data) {
    hollow_daemon *daemon = data;
    hs_membership_service_stop(daemon->membership);
    hs_coordinator_stop(daemon->coordinator);
    hs_scheduler_stop(daemon->scheduler);
    hs_config_store_stop(daemon->config);
    return NULL;
}

void hollow_daemon_fail(hollow_daemon *daemon) {
    daemon->failed = true;
    /* The receiver first: from here on nobody is answered. */
    hs_peer_socket_stop(daemon->socket);
    g_thread_unref(g_thread_new("hollow-end", end_threads, daemon));
}
