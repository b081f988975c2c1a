/** @file status_queries.c  Handlers for models, health, readiness, status, metrics and explain. */
#include "base/clock.h"
#include "http/refusal.h"
#include "queries/query_routes.h"
#include "queries/status_routes.h"

#include <string.h>

#define HTTP_UNAVAILABLE 503

static int query_models(const struct _u_request *request, struct _u_response *response,
                        void *user_data) {
    (void)request;
    hs_node *node = user_data;
    hs_config_view *view = hs_config_store_acquire_view(node->config);
    g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
    json_t *list = json_array();
    for (guint index = 0; index < view->rules->len; index++) {
        const hs_routing_rule *rule = view->rules->pdata[index];
        if (g_hash_table_add(seen, rule->model))
            json_array_append_new(list, json_pack("{s:s,s:s,s:s}", "id", rule->model, "object",
                                                  "model", "owned_by", rule->engine_group));
    }
    hs_config_view_release(view);
    return hs_http_reply_json(response, 200,
                              json_pack("{s:s,s:o}", "object", "list", "data", list));
}

static int query_health(const struct _u_request *request, struct _u_response *response,
                        void *user_data) {
    (void)request;
    (void)user_data;
    return hs_http_reply_json(response, 200, json_pack("{s:s}", "status", "alive"));
}

static int query_ready(const struct _u_request *request, struct _u_response *response,
                       void *user_data) {
    (void)request;
    hs_node *node = user_data;
    hs_node_state state = hs_node_get_state(node);
    bool is_accepting = hs_node_is_accepting_connections(node);
    bool is_ready = state == HS_NODE_READY && is_accepting;
    return hs_http_reply_json(response, is_ready ? 200 : HTTP_UNAVAILABLE,
                              json_pack("{s:s,s:b,s:b}", "status", hs_node_state_name(state),
                                        "takes_connections", is_accepting,
                                        "configuration_confirmed",
                                        hs_config_store_is_confirmed(node->config)));
}

static const char *member_state_name(hs_member_state state) {
    static const char *const names[] = {"proposed", "alive", "suspect", "leaving", "dead"};
    return names[state];
}

static json_t *describe_members(hs_node *node) {
    json_t *list = json_array();
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership *membership = hs_membership_service_lock(node->membership);
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        json_t *owned = json_array();
        for (guint position = 0; position < member->owned->len; position++)
            json_array_append_new(
                owned,
                json_integer(g_array_index(member->owned, hs_owned_partition, position).partition));
        json_array_append_new(
            list, json_pack("{s:s,s:s,s:s,s:I,s:I,s:o}", "id", member->id, "zone", member->zone,
                            "state", member_state_name(member->state), "incarnation",
                            (json_int_t)member->incarnation, "config_offset",
                            (json_int_t)member->config_offset, "partitions", owned));
    }
    hs_membership_service_unlock(node->membership);
    return list;
}

static json_t *describe_engines(hs_node *node) {
    json_t *list = json_array();
    GArray *infos = hs_engine_table_infos(node->engines, hs_clock_monotonic_ms());
    for (guint index = 0; index < infos->len; index++) {
        const hs_engine_info *info = &g_array_index(infos, hs_engine_info, index);
        json_array_append_new(list, json_pack("{s:s,s:s,s:s,s:O,s:b,s:b,s:i,s:i}", "id", info->id,
                                              "url", info->url, "zone", info->zone, "labels",
                                              info->labels, "leaving", info->leaving, "ejected",
                                              info->ejected, "in_flight", (int)info->in_flight,
                                              "online", (int)info->estimated_online));
    }
    hs_engine_infos_free(infos);
    return list;
}

static int query_status(const struct _u_request *request, struct _u_response *response,
                        void *user_data) {
    (void)request;
    hs_node *node = user_data;
    hs_scheduler_counters scheduler = hs_scheduler_read_counters(node->scheduler);
    json_t *body = json_pack(
        "{s:s,s:s,s:s,s:I,s:b,s:i,s:i,s:{s:i,s:i,s:i,s:I,s:I,s:I,s:I,s:I},s:o,s:o}", "id",
        node->settings->daemon_id, "zone", node->settings->zone, "state",
        hs_node_state_name(hs_node_get_state(node)), "config_offset",
        (json_int_t)hs_config_store_offset(node->config), "configuration_confirmed",
        hs_config_store_is_confirmed(node->config), "partitions_owned",
        (int)hs_coordinator_owned_count(node->coordinator), "online_requests",
        g_atomic_int_get(&node->online_count), "scheduler", "engines", (int)scheduler.engines,
        "running", (int)scheduler.running, "queued", (int)scheduler.queued, "started",
        (json_int_t)scheduler.items_started, "recorded", (json_int_t)scheduler.items_recorded,
        "again", (json_int_t)scheduler.items_retried, "preemptions",
        (json_int_t)scheduler.preemptions, "notices", (json_int_t)scheduler.notices, "members",
        describe_members(node), "engines", describe_engines(node));
    return hs_http_reply_json(response, 200, body);
}

static int query_metrics(const struct _u_request *request, struct _u_response *response,
                         void *user_data) {
    (void)request;
    hs_node *node = user_data;
    g_autoptr(GString) text = g_string_new(NULL);
    hs_metrics_print(&node->metrics, text);
    hs_scheduler_counters scheduler = hs_scheduler_read_counters(node->scheduler);
    hs_peer_counters peer = hs_peer_socket_counters(node->socket);
    hs_metrics_print_gauge(text, "heathsail_config_offset", "Configuration in force.",
                           (double)hs_config_store_offset(node->config));
    hs_metrics_print_gauge(text, "heathsail_configuration_confirmed",
                           "1 when the configuration's offset was confirmed.",
                           hs_config_store_is_confirmed(node->config));
    hs_metrics_print_gauge(text, "heathsail_live_daemons", "Live daemons, this one included.",
                           hs_node_live_daemon_count(node));
    hs_metrics_print_gauge(text, "heathsail_partitions_owned", "Partitions owned.",
                           hs_coordinator_owned_count(node->coordinator));
    hs_metrics_print_gauge(text, "heathsail_append_backlog", "Records waiting to be appended.",
                           hs_appender_backlog(node->appender));
    hs_metrics_print_gauge(text, "heathsail_batch_running", "Batch items on engines.",
                           scheduler.running);
    hs_metrics_print_gauge(text, "heathsail_batch_queued", "Batch items waiting here.",
                           scheduler.queued);
    hs_metrics_print_gauge(text, "heathsail_batch_recorded", "Batch results recorded.",
                           (double)scheduler.items_recorded);
    hs_metrics_print_gauge(text, "heathsail_batch_preemptions", "Batch items that stepped aside.",
                           (double)scheduler.preemptions);
    hs_metrics_print_gauge(text, "heathsail_peer_sent_bytes", "Bytes sent to daemons.",
                           (double)peer.sent_bytes);
    hs_metrics_print_gauge(text, "heathsail_peer_received_bytes", "Bytes received from daemons.",
                           (double)peer.received_bytes);
    u_map_put(response->map_header, "Content-Type", "text/plain; version=0.0.4");
    ulfius_set_string_body_response(response, 200, text->str);
    return U_CALLBACK_COMPLETE;
}

static int query_explain(const struct _u_request *request, struct _u_response *response,
                         void *user_data) {
    hs_node *node = user_data;
    g_autofree char *trace = hs_trace_log_find(node->traces, hs_http_parameter(request, "id"));
    if (trace == NULL)
        return hs_refuse_invalid(response, 404, "unknown_request",
                                 "this daemon has no trace of the request");
    json_t *lines = json_array();
    g_auto(GStrv) parts = g_strsplit(g_strchomp(trace), "\n", -1);
    for (int index = 0; parts[index] != NULL; index++)
        json_array_append_new(lines, json_string(parts[index]));
    return hs_http_reply_json(
        response, 200,
        json_pack("{s:s,s:o}", "request", hs_http_parameter(request, "id"), "attempts", lines));
}

/** Lists the engines, for daemons that cannot read the machine list. */
static int query_engines(const struct _u_request *request, struct _u_response *response,
                         void *user_data) {
    (void)request;
    return hs_http_reply_json(response, 200,
                              json_pack("{s:o}", "engines", describe_engines(user_data)));
}

void hs_status_register_caller_routes(hs_node *node, hs_http_server *server) {
    hs_http_server_route(server, "GET", "/v1/models", query_models, node);
    hs_http_server_route(server, "GET", "/healthz", query_health, node);
    hs_http_server_route(server, "GET", "/readyz", query_ready, node);
}

void hs_status_register_admin_routes(hs_node *node, hs_http_server *server) {
    hs_http_server_route(server, "GET", "/healthz", query_health, node);
    hs_http_server_route(server, "GET", "/readyz", query_ready, node);
    hs_http_server_route(server, "GET", "/metrics", query_metrics, node);
    hs_http_server_route(server, "GET", "/internal/v1/engines", query_engines, node);
    hs_http_server_route(server, "GET", "/admin/v1/status", query_status, node);
    hs_http_server_route(server, "GET", "/admin/v1/explain/:id", query_explain, node);
}
