/** @file http_server.c  See http_server.h. */
#include "http/http_server.h"

#include "base/peer_watch.h"
#include "http/error_body.h"

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ROUTE_PRIORITY_CHECK 0
#define ROUTE_PRIORITY_HANDLER 1

struct hs_http_server {
    struct _u_instance instance;
    struct sockaddr_in address;
    size_t max_body_bytes;
    size_t max_header_bytes;
    bool started;
    int quiesced_socket;
    gint closes_after_answers;
    uint32_t max_open_connections;
    hs_caller_connections *connections; /**< NULL before start. */
};

/** The socket of the connection that this thread serves. */
static _Thread_local int thread_descriptor = -1;

static void note_connection(void *data, struct MHD_Connection *connection, void **state,
                            enum MHD_ConnectionNotificationCode code) {
    hs_http_server *server = data;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        const union MHD_ConnectionInfo *info =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        *state =
            hs_caller_connections_add(server->connections, info != NULL ? info->connect_fd : -1);
    } else {
        hs_caller_connections_remove(server->connections, *state);
        *state = NULL;
    }
}

static hs_caller_connection *connection_of(struct MHD_Connection *connection) {
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info != NULL ? info->socket_context : NULL;
}

/** Called at the start of a request, on the thread of its connection. */
static void *begin_request(void *data, const char *target, struct MHD_Connection *connection) {
    hs_http_server *server = data;
    hs_caller_connection *caller = connection_of(connection);
    hs_caller_connections_set_busy(server->connections, caller, true);
    thread_descriptor = hs_caller_connections_get_descriptor(server->connections, caller);
    return ulfius_uri_logger(NULL, target);
}

static void end_request(void *data, struct MHD_Connection *connection, void **state,
                        enum MHD_RequestTerminationCode reason) {
    hs_http_server *server = data;
    hs_caller_connections_set_busy(server->connections, connection_of(connection), false);
    mhd_request_completed(NULL, connection, state, reason);
}

int hs_http_caller_descriptor(void) {
    return thread_descriptor;
}

bool hs_http_caller_has_left(void) {
    return hs_peer_has_disconnected(thread_descriptor);
}

/** Adds the header fields that depend on the state of the server. */
static void add_connection_field(hs_http_server *server, struct _u_response *response) {
    if (g_atomic_int_get(&server->closes_after_answers) != 0)
        u_map_put(response->map_header, "Connection", "close");
}

static int reply_not_found(const struct _u_request *request, struct _u_response *response,
                           void *user_data) {
    (void)request;
    add_connection_field(user_data, response);
    return hs_http_reply_error(response, &(hs_error_body){.status = 404,
                                                          .type = "invalid_request_error",
                                                          .code = "not_found",
                                                          .message = "no such path"});
}

/** Returns the size in bytes of the request target and all header lines. */
static size_t header_bytes(const struct _u_request *request) {
    static const size_t separators = 4; /* ": " and CRLF */
    size_t total = strlen(request->http_url);
    for (int index = 0; index < request->map_header->nb_values; index++)
        total += strlen(request->map_header->keys[index]) + request->map_header->lengths[index] +
                 separators;
    return total;
}

static bool body_is_too_large(const hs_http_server *server, const struct _u_request *request) {
    const char *declared = u_map_get_case(request->map_header, "Content-Length");
    uint64_t declared_bytes = declared != NULL ? g_ascii_strtoull(declared, NULL, 10) : 0;
    return server->max_body_bytes > 0 && (declared_bytes > server->max_body_bytes ||
                                          request->binary_body_length > server->max_body_bytes);
}

/** Runs before every handler. Refuses requests with a head or a body over the limit. */
static int check_size(const struct _u_request *request, struct _u_response *response,
                      void *user_data) {
    hs_http_server *server = user_data;
    add_connection_field(server, response);
    if (server->max_header_bytes > 0 && header_bytes(request) > server->max_header_bytes) {
        hs_http_reply_error(response, &(hs_error_body){.status = 431,
                                                       .type = "invalid_request_error",
                                                       .code = "headers_too_large",
                                                       .message = "the head is over the limit"});
        return U_CALLBACK_COMPLETE;
    }
    if (!body_is_too_large(server, request))
        return U_CALLBACK_CONTINUE;
    hs_http_reply_error(response, &(hs_error_body){.status = 413,
                                                   .type = "invalid_request_error",
                                                   .code = "body_too_large",
                                                   .message = "the body is over the limit"});
    return U_CALLBACK_COMPLETE;
}

hs_http_server *hs_http_server_new(const char *address, uint16_t port, size_t max_body_bytes) {
    hs_http_server *server = g_new0(hs_http_server, 1);
    server->address.sin_family = AF_INET;
    server->address.sin_port = htons(port);
    server->quiesced_socket = -1;
    if (inet_pton(AF_INET, address, &server->address.sin_addr) != 1 ||
        ulfius_init_instance(&server->instance, port, &server->address, NULL) != U_OK) {
        g_free(server);
        return NULL;
    }
    server->max_body_bytes = max_body_bytes;
    /* Bodies are read raw: ulfius closes the connection on a malformed form without a response. */
    server->instance.allowed_post_processor = U_POST_PROCESS_NONE;
    /* One byte above the limit, so that a truncated chunked body is detected as oversized. */
    server->instance.max_post_body_size = max_body_bytes == 0 ? 0 : max_body_bytes + 1;
    ulfius_set_default_endpoint(&server->instance, reply_not_found, server);
    return server;
}

void hs_http_server_route(hs_http_server *server, const char *method, const char *path,
                          hs_http_handler handler, void *user_data) {
    ulfius_add_endpoint_by_val(&server->instance, method, NULL, path, ROUTE_PRIORITY_CHECK,
                               check_size, server);
    ulfius_add_endpoint_by_val(&server->instance, method, NULL, path, ROUTE_PRIORITY_HANDLER,
                               handler, user_data);
}

void hs_http_server_limit_headers(hs_http_server *server, size_t max_header_bytes) {
    server->max_header_bytes = max_header_bytes;
}

int hs_http_server_start(hs_http_server *server, hs_error *error) {
    struct MHD_OptionItem options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)end_request, server},
        {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)begin_request, server},
        {MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)note_connection, server},
        {MHD_OPTION_SOCK_ADDR, 0, &server->address},
        {MHD_OPTION_END, 0, NULL},
        {MHD_OPTION_END, 0, NULL}};
    if (server->max_open_connections > 0)
        options[G_N_ELEMENTS(options) - 2] = (struct MHD_OptionItem){
            MHD_OPTION_CONNECTION_LIMIT, (intptr_t)server->max_open_connections, NULL};
    server->connections = hs_caller_connections_new(server->max_open_connections);
    unsigned int flags =
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
    if (ulfius_start_framework_with_mhd_options(&server->instance, flags, options) != U_OK)
        return hs_error_set(error, HS_LAYER_HTTP, HS_UNAVAILABLE, "cannot listen on port %u",
                            ntohs(server->address.sin_port));
    server->started = true;
    return 0;
}

void hs_http_server_limit_connections(hs_http_server *server, uint32_t max_open) {
    server->max_open_connections = max_open;
}

hs_caller_connections *hs_http_server_connections(hs_http_server *server) {
    return server->connections;
}

void hs_http_server_close_after_answers(hs_http_server *server) {
    g_atomic_int_set(&server->closes_after_answers, 1);
}

void hs_http_server_quiesce(hs_http_server *server) {
    if (!server->started)
        return;
    if (server->quiesced_socket < 0) {
        server->quiesced_socket = MHD_quiesce_daemon(server->instance.mhd_daemon);
        if (server->quiesced_socket >= 0) /* Refuses connections that nobody would accept. */
            shutdown(server->quiesced_socket, SHUT_RDWR);
    }
    hs_caller_connections_end_idle(server->connections);
}

void hs_http_server_free(hs_http_server *server) {
    if (server == NULL)
        return;
    if (server->started)
        ulfius_stop_framework(&server->instance);
    if (server->quiesced_socket >= 0)
        close(server->quiesced_socket);
    ulfius_clean_instance(&server->instance);
    if (server->connections != NULL)
        hs_caller_connections_free(server->connections);
    g_free(server);
}

int hs_http_reply_json(struct _u_response *response, unsigned int status, json_t *body) {
    ulfius_set_json_body_response(response, status, body);
    json_decref(body);
    return U_CALLBACK_COMPLETE;
}

const char *hs_http_parameter(const struct _u_request *request, const char *name) {
    return u_map_get(request->map_url, name);
}

uint64_t hs_http_parameter_number(const struct _u_request *request, const char *name,
                                  uint64_t fallback) {
    const char *text = hs_http_parameter(request, name);
    guint64 number = 0;
    if (text == NULL || !g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &number, NULL))
        return fallback;
    return number;
}
