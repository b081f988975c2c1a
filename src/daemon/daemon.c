/**
 * @file daemon.c
 * See daemon.h. Lower layers are created first and stopped last.
 */
#include "daemon/daemon.h"

#include "base/build_info.h"
#include "base/clock.h"
#include "base/descriptor_limit.h"
#include "base/endpoint.h"
#include "base/exit_limit.h"
#include "base/log.h"
#include "commands/command_routes.h"
#include "commands/online_request.h"
#include "daemon/listing.h"
#include "http/connection_plan.h"
#include "node/limit_exchange.h"
#include "placement/controller.h"
#include "queries/query_routes.h"
#include "scheduling/report_reader.h"

#include <stdlib.h>

#define APPENDER_CAPACITY 8192
#define TRACE_CAPACITY 4096
#define STOP_POLL_MS 10
/** Time after the grace time in which open requests are answered. */
#define LAST_ANSWERS_MS 300
/** Time after the grace time by which the process exits. */
#define EXIT_LIMIT_MS 1000
#define MULTIPART_OVERHEAD_BYTES 65536
#define DEAD_MEMBER_RETENTION_MS 60000
/**
 * The caller's connection and three sockets of a libcurl transfer to an engine: the connection and
 * a pair of wake-up sockets.
 */
#define DESCRIPTORS_PER_REQUEST 4
/** Time within which a ready daemon must accept a connection. */
#define CONTACT_MS 3000

struct hs_daemon {
    hs_node node;
    hs_listing *listing;
    hs_limit_exchange *limit_exchange;
    hs_placement_controller *placement;
    hs_report_reader *reports;
    hs_http_server *caller_server;
    hs_http_server *admin_server;
};

static void handle_message(const Hs__PeerMessage *message, const struct sockaddr_in *from,
                           void *user_data) {
    hs_daemon *daemon = user_data;
    hs_node *node = &daemon->node;
    if (hs_membership_service_handle(node->membership, message, from))
        return;
    if (hs_coordinator_handle(node->coordinator, message, from))
        return;
    if (hs_scheduler_handle(node->scheduler, message, from))
        return;
    if (hs_limit_exchange_handle(daemon->limit_exchange, message, from))
        return;
    if (hs_placement_controller_handle(daemon->placement, message))
        return;
    if (message->kind_case == HS__PEER_MESSAGE__KIND_ENGINE_LOAD)
        hs_engine_table_put_load_report(node->engines, message->engine_load->engine_id,
                                        message->engine_load->online_in_flight,
                                        message->engine_load->leaving, hs_clock_monotonic_ms());
}

static uint64_t read_config_offset(void *user_data) {
    const hs_node *node = user_data;
    return hs_config_store_offset(node->config);
}

static GPtrArray *read_leaving_engines(void *user_data) {
    const hs_node *node = user_data;
    return hs_engine_table_list_leaving(node->engines, hs_clock_monotonic_ms());
}

static void make_membership(hs_node *node) {
    const hs_settings *settings = node->settings;
    hs_member self = {.id = settings->daemon_id,
                      .zone = settings->zone,
                      .incarnation = hs_clock_wall_ms(),
                      .address = hs_endpoint_parse_address(settings->address),
                      .peer_port = (uint16_t)settings->peer_port,
                      .admin_port = (uint16_t)settings->admin_port};
    hs_membership_service_settings service_settings = {
        .probe_interval_ms = (uint32_t)settings->probe_interval_ms,
        .membership = {.probe_timeout_ms = (uint32_t)settings->probe_timeout_ms,
                       .suspect_ms = (uint32_t)settings->suspect_ms,
                       .forget_ms = DEAD_MEMBER_RETENTION_MS}};
    node->membership = hs_membership_service_new(&self, &service_settings, node->socket);
}

static void make_platform_parts(hs_node *node) {
    const hs_settings *settings = node->settings;
    node->log = (hs_log_client){.base_url = settings->platform_url,
                                .timeout_s = (uint32_t)settings->platform_timeout_s};
    node->appender = hs_appender_new(&node->log, APPENDER_CAPACITY);
    node->config = hs_config_store_new(&node->log);
    node->replicas = hs_replica_set_new(&node->log, (uint32_t)settings->partitions,
                                        (uint64_t)settings->job_window_s * 1000);
    node->chunks = hs_chunk_reader_new(&node->log);
}

static void make_routing_parts(hs_node *node) {
    const hs_settings *settings = node->settings;
    hs_engine_table_settings table = {.subset_size = (uint32_t)settings->subset_size,
                                      .max_in_flight = (uint32_t)settings->max_in_flight_per_engine,
                                      .ejection_failures = (uint32_t)settings->ejection_failures,
                                      .ejection_ms = (uint32_t)settings->ejection_ms};
    node->engines = hs_engine_table_new(settings->daemon_id, settings->zone, &table);
    node->limits = hs_tenant_limits_new();
    node->demand = hs_demand_new();
    g_mutex_init(&node->retry_lock);
    hs_retry_budget_init(&node->retry_budget, (double)settings->retry_budget_percent);
    hs_metrics_init(&node->metrics);
    node->traces = hs_trace_log_new(TRACE_CAPACITY);
    node->online_workers = g_thread_pool_new(hs_online_request_work, NULL, -1, FALSE, NULL);
}

static void make_batch_parts(hs_node *node) {
    node->runner =
        (hs_item_runner){.appender = node->appender,
                         .replicas = node->replicas,
                         .chunks = node->chunks,
                         .run_once_recovery_ms = (uint32_t)node->settings->run_once_recovery_ms,
                         .item_timeout_s = (uint32_t)node->settings->item_timeout_s};
    hs_coordinator_context coordinator = {.settings = node->settings,
                                          .membership = node->membership,
                                          .replicas = node->replicas,
                                          .appender = node->appender,
                                          .runner = &node->runner,
                                          .config_offset = read_config_offset,
                                          .leaving_engines = read_leaving_engines,
                                          .gossip_user_data = node};
    node->coordinator = hs_coordinator_new(&coordinator);
    hs_scheduler_context scheduler = {.settings = node->settings,
                                      .membership = node->membership,
                                      .engines = node->engines,
                                      .config = node->config,
                                      .runner = &node->runner};
    node->scheduler = hs_scheduler_new(&scheduler);
}

static void start_front_watch(hs_daemon *daemon) {
    const hs_settings *settings = daemon->node.settings;
    hs_front_watch_settings watch = {
        .probe = {.address = hs_endpoint_parse_address(settings->address),
                  .port = (uint16_t)settings->caller_port,
                  .target = "/healthz"},
        .connections = {hs_http_server_connections(daemon->caller_server),
                        hs_http_server_connections(daemon->admin_server)},
        .contact_ms = CONTACT_MS};
    daemon->node.front_watch = hs_front_watch_start(&watch);
}

static int start_listeners(hs_daemon *daemon, hs_error *error) {
    hs_node *node = &daemon->node;
    const hs_settings *settings = node->settings;
    hs_connection_plan plan =
        hs_connection_plan_make(hs_descriptor_limit_raise(), DESCRIPTORS_PER_REQUEST);
    hs_log_info("connections_planned", "callers=%u admin=%u", plan.front, plan.peers);
    daemon->admin_server = hs_http_server_new(settings->address, (uint16_t)settings->admin_port,
                                              (size_t)settings->max_body_bytes);
    hs_http_server_limit_connections(daemon->admin_server, plan.peers);
    hs_command_register_admin_routes(node, daemon->admin_server);
    hs_query_register_admin_routes(node, daemon->admin_server);
    int result = hs_http_server_start(daemon->admin_server, error);
    if (result != 0 || !settings->caller_enabled)
        return result;
    daemon->caller_server =
        hs_http_server_new(settings->address, (uint16_t)settings->caller_port,
                           (size_t)settings->max_file_bytes + MULTIPART_OVERHEAD_BYTES);
    hs_http_server_limit_headers(daemon->caller_server, (size_t)settings->max_header_bytes);
    hs_http_server_limit_connections(daemon->caller_server, plan.front);
    hs_command_register_caller_routes(node, daemon->caller_server);
    hs_query_register_caller_routes(node, daemon->caller_server);
    result = hs_http_server_start(daemon->caller_server, error);
    if (result == 0)
        start_front_watch(daemon);
    return result;
}

static void start_placement(hs_daemon *daemon) {
    hs_node *node = &daemon->node;
    hs_placement_context context = {.settings = node->settings,
                                    .config = node->config,
                                    .engines = node->engines,
                                    .membership = node->membership,
                                    .coordinator = node->coordinator,
                                    .counted = node->demand};
    daemon->placement = hs_placement_controller_start(&context);
}

hs_daemon *hs_daemon_start(const hs_settings *settings, hs_error *error) {
    hs_daemon *daemon = g_new0(hs_daemon, 1);
    hs_node *node = &daemon->node;
    node->settings = settings;
    node->drain = hs_drain_new();
    node->socket = hs_peer_socket_new(settings->address, (uint16_t)settings->peer_port, error);
    if (node->socket == NULL) {
        g_free(daemon);
        return NULL;
    }
    make_membership(node);
    make_platform_parts(node);
    make_routing_parts(node);
    make_batch_parts(node);
    /* Without listeners the process exits, which frees what was created. */
    if (start_listeners(daemon, error) != 0)
        return NULL;
    hs_appender_start(node->appender);
    hs_config_store_start(node->config);
    daemon->limit_exchange = hs_limit_exchange_start(node);
    start_placement(daemon);
    hs_peer_socket_start(node->socket, handle_message, daemon);
    hs_membership_service_start(node->membership);
    hs_coordinator_start(node->coordinator);
    hs_scheduler_start(node->scheduler);
    daemon->reports = hs_report_reader_start(node->scheduler, node->engines);
    daemon->listing = hs_listing_start(node);
    hs_log_info("started", "build=%s zone=%s region=%s caller_port=%d admin_port=%d peer_port=%d",
                hs_build_commit(), settings->zone, settings->region, (int)settings->caller_port,
                (int)settings->admin_port, (int)settings->peer_port);
    return daemon;
}

/** Waits until @p count is 0; false if the deadline passes first. */
static bool wait_for_zero(gint *count, uint64_t deadline_ms) {
    while (g_atomic_int_get(count) > 0) {
        if (hs_clock_monotonic_ms() >= deadline_ms)
            return false;
        hs_clock_sleep_ms(STOP_POLL_MS);
    }
    return true;
}

static bool wait_for_items(hs_scheduler *scheduler, uint64_t deadline_ms) {
    while (hs_scheduler_busy_count(scheduler) > 0) {
        if (hs_clock_monotonic_ms() >= deadline_ms)
            return false;
        hs_clock_sleep_ms(STOP_POLL_MS);
    }
    return true;
}

static void stop_threads(hs_daemon *daemon) {
    hs_node *node = &daemon->node;
    g_atomic_int_set(&node->runner.stopping, 1);
    hs_listing_stop(daemon->listing);
    hs_placement_controller_stop(daemon->placement);
    hs_limit_exchange_stop(daemon->limit_exchange);
    hs_report_reader_stop(daemon->reports);
    hs_scheduler_stop(node->scheduler);
    hs_coordinator_stop(node->coordinator);
    hs_membership_service_stop(node->membership);
    hs_peer_socket_stop(node->socket);
    hs_config_store_stop(node->config);
    hs_appender_stop(node->appender);
}

/** Ends the callers' connections, each after the answer to its request. */
static void end_connections(hs_http_server *server, uint64_t deadline_ms) {
    do {
        hs_http_server_quiesce(server);
        hs_clock_sleep_ms(STOP_POLL_MS);
    } while (hs_caller_connections_count(hs_http_server_connections(server)) > 0 &&
             hs_clock_monotonic_ms() < deadline_ms);
}

/** Ends the requests that are still open, and waits until they are answered. */
static void end_open_requests(hs_daemon *daemon) {
    hs_drain_expire(daemon->node.drain);
    if (daemon->caller_server != NULL)
        end_connections(daemon->caller_server, hs_clock_monotonic_ms() + LAST_ANSWERS_MS);
}

int hs_daemon_stop(hs_daemon *daemon) {
    hs_node *node = &daemon->node;
    uint64_t started_ms = hs_clock_monotonic_ms();
    uint64_t deadline_ms = started_ms + (uint64_t)node->settings->shutdown_grace_ms;
    hs_drain_begin(
        node->drain,
        &(hs_drain_times){.started_ms = started_ms,
                          .accept_until_ms = started_ms + (uint64_t)node->settings->drain_notice_ms,
                          .deadline_ms = deadline_ms});
    hs_exit_limit_start(deadline_ms + EXIT_LIMIT_MS, EXIT_FAILURE);
    hs_log_info("stopping", "online=%d calls=%d", g_atomic_int_get(&node->online_count),
                g_atomic_int_get(&node->call_count));
    g_atomic_int_set(&node->state, HS_NODE_DRAINING);
    if (daemon->caller_server != NULL)
        hs_http_server_close_after_answers(daemon->caller_server);
    hs_scheduler_drain(node->scheduler);
    hs_membership_service_leave(node->membership);
    hs_coordinator_wait_for_release(node->coordinator, deadline_ms);
    /* Callers see that this daemon is not ready before requests are refused. */
    hs_clock_sleep_ms(
        MIN((uint64_t)node->settings->drain_notice_ms, hs_clock_left_ms(deadline_ms)));
    g_atomic_int_set(&node->state, HS_NODE_STOPPING);
    bool calls_done = wait_for_zero(&node->call_count, deadline_ms);
    bool items_done = wait_for_items(node->scheduler, deadline_ms);
    if (node->front_watch != NULL)
        hs_front_watch_stop_probing(node->front_watch);
    if (daemon->caller_server != NULL)
        end_connections(daemon->caller_server, deadline_ms);
    calls_done = wait_for_zero(&node->call_count, deadline_ms) && calls_done;
    if (!calls_done)
        end_open_requests(daemon);
    hs_front_watch_stop(node->front_watch);
    hs_http_server_free(daemon->caller_server);
    hs_http_server_free(daemon->admin_server);
    hs_front_watch_free(node->front_watch);
    node->front_watch = NULL;
    stop_threads(daemon);
    hs_log_info("stopped", "calls_done=%d items_done=%d", calls_done, items_done);
    return calls_done && items_done ? 0 : 1;
}
