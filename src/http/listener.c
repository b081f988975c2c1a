/** @file listener.c  See listener.h. */
#include "http/listener.h"

#include "base/clock.h"
#include "base/memory_budget.h"
#include "http/http_fields.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTION_MEMORY_BYTES (48 * 1024)
#define THREAD_STACK_BYTES (256 * 1024)
#define LISTEN_BACKLOG 1024
#define STREAM_BLOCK_BYTES 16384
#define DEFAULT_IDLE_TIMEOUT_S 60
/** Send buffer of a caller's socket if a memory budget is set. The kernel doubles the value. */
#define SEND_BUFFER_BYTES (32 * 1024)

struct hs_listener {
    struct MHD_Daemon *daemon;
    hs_inbound_handler handler;
    void *user_data;
    size_t max_body_bytes;
    gint idle_timeout_s;
    gint closes_after_answers;
    gint open_requests;
    int quiesced_socket; /**< Listening socket after hs_listener_quiesce; -1 before. */
    hs_caller_connections *connections;
    GMutex lock;
    struct sockaddr_in probe_address; /**< Of a running probe; port 0: none. Under the lock. */
};

static hs_caller_connection *connection_of(struct MHD_Connection *connection) {
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info != NULL ? info->socket_context : NULL;
}

/** Returns the connection's socket, or -1 if it is unknown. */
static int socket_of(struct MHD_Connection *connection) {
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info != NULL ? info->connect_fd : -1;
}

/** Limits the kernel's send buffer, which the memory budget does not count, if a budget is set. */
static void bound_send_buffer(int descriptor) {
    int bytes = SEND_BUFFER_BYTES;
    if (hs_memory_budget_get() > 0 && descriptor >= 0)
        setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
}

static void note_connection(void *data, struct MHD_Connection *connection, void **state,
                            enum MHD_ConnectionNotificationCode code) {
    hs_listener *listener = data;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        int descriptor = socket_of(connection);
        bound_send_buffer(descriptor);
        *state = hs_caller_connections_add(listener->connections, descriptor);
    } else {
        hs_caller_connections_remove(listener->connections, *state);
        *state = NULL;
    }
}

/** Returns how many requests have started on the connection. */
static uint32_t set_busy(hs_listener *listener, struct MHD_Connection *connection, bool busy) {
    return hs_caller_connections_set_busy(listener->connections, connection_of(connection), busy);
}

/** Called with the raw target before the head is read. Returns the state of the request. */
static void *begin_request(void *data, const char *target, struct MHD_Connection *connection) {
    hs_inbound *inbound = g_new0(hs_inbound, 1);
    inbound->listener = data;
    inbound->connection = connection;
    inbound->target = g_strdup(target);
    inbound->fields = hs_http_fields_new();
    inbound->body = g_byte_array_new();
    inbound->socket = -1;
    inbound->descriptor = -1;
    inbound->references = 1;
    g_atomic_int_inc(&inbound->listener->open_requests);
    inbound->is_on_kept_connection = set_busy(inbound->listener, connection, true) > 1;
    return inbound;
}

void hs_inbound_drop_body(hs_inbound *inbound) {
    g_byte_array_unref(inbound->body);
    inbound->body = g_byte_array_new();
    hs_memory_release(HS_MEMORY_BODIES, inbound->charged);
    inbound->charged = 0;
}

static void unref_inbound(hs_inbound *inbound) {
    if (!g_atomic_int_dec_and_test(&inbound->references))
        return;
    g_free(inbound->method);
    g_free(inbound->target);
    hs_http_fields_free(inbound->fields);
    hs_memory_release(HS_MEMORY_BODIES, inbound->charged);
    g_byte_array_unref(inbound->body);
    g_free(inbound);
}

/** Called at the end of a request; if the caller disconnected, before the response is released. */
static void end_request(void *data, struct MHD_Connection *connection, void **state,
                        enum MHD_RequestTerminationCode reason) {
    (void)data;
    (void)reason;
    hs_inbound *inbound = *state;
    *state = NULL;
    if (inbound == NULL)
        return;
    set_busy(inbound->listener, connection, false);
    g_atomic_int_add(&inbound->listener->open_requests, -1);
    unref_inbound(inbound);
}

static enum MHD_Result add_field(void *data, enum MHD_ValueKind kind, const char *name,
                                 const char *value) {
    (void)kind;
    hs_http_fields_add(data, name, value != NULL ? value : "");
    return MHD_YES;
}

/** Returns the caller's address, or NULL if it is unknown. */
static const struct sockaddr_in *caller_of(const hs_inbound *inbound) {
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(inbound->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info == NULL || info->client_addr->sa_family != AF_INET)
        return NULL;
    return (const struct sockaddr_in *)(const void *)info->client_addr;
}

static void read_request_head(hs_inbound *inbound, const char *method, const char *version) {
    inbound->is_http_1_0 = strcmp(version, MHD_HTTP_VERSION_1_0) == 0;
    inbound->method = g_strdup(method);
    inbound->received_ms = hs_clock_monotonic_ms();
    const struct sockaddr_in *caller = caller_of(inbound);
    inbound->caller_address = caller != NULL ? ntohl(caller->sin_addr.s_addr) : 0;
    MHD_get_connection_values(inbound->connection, MHD_HEADER_KIND, add_field, inbound->fields);
    inbound->socket = socket_of(inbound->connection);
    inbound->descriptor = hs_caller_connections_get_descriptor(inbound->listener->connections,
                                                               connection_of(inbound->connection));
    unsigned int idle_s = (unsigned int)g_atomic_int_get(&inbound->listener->idle_timeout_s);
    MHD_set_connection_option(inbound->connection, MHD_CONNECTION_OPTION_TIMEOUT, idle_s);
}

/** Charges @p length more body bytes to the memory budget. Returns false if it is exhausted. */
static bool charge_body(hs_inbound *inbound, size_t length) {
    uint64_t held = hs_memory_block_bytes(inbound->body->len + length);
    if (held <= inbound->charged)
        return true;
    if (!hs_memory_try_charge(HS_MEMORY_BODIES, held - inbound->charged, HS_MEMORY_FOR_NEW_WORK))
        return false;
    inbound->charged = held;
    return true;
}

static void append_body(hs_inbound *inbound, const char *bytes, size_t length) {
    size_t limit = inbound->listener->max_body_bytes;
    if (inbound->lacks_memory)
        return;
    if (limit > 0 && inbound->body->len + length > limit)
        inbound->is_too_large = true;
    else if (charge_body(inbound, length))
        g_byte_array_append(inbound->body, (const guint8 *)bytes, (guint)length);
    else {
        hs_inbound_drop_body(inbound);
        inbound->lacks_memory = true;
    }
}

/** Whether the request is a connection probe; see hs_listener_set_probe_address. */
static bool is_connection_probe(const hs_inbound *inbound) {
    const struct sockaddr_in *caller = caller_of(inbound);
    if (caller == NULL)
        return false;
    g_mutex_lock(&inbound->listener->lock);
    const struct sockaddr_in *expected = &inbound->listener->probe_address;
    bool same = expected->sin_port != 0 && expected->sin_port == caller->sin_port &&
                expected->sin_addr.s_addr == caller->sin_addr.s_addr;
    g_mutex_unlock(&inbound->listener->lock);
    return same;
}

static enum MHD_Result handle_step(void *data, struct MHD_Connection *connection, const char *url,
                                   const char *method, const char *version, const char *upload_data,
                                   size_t *upload_size, void **state) {
    (void)url;
    (void)connection;
    hs_listener *listener = data;
    hs_inbound *inbound = *state;
    if (inbound->method == NULL) {
        read_request_head(inbound, method, version);
        return MHD_YES;
    }
    if (*upload_size > 0) {
        append_body(inbound, upload_data, *upload_size);
        *upload_size = 0;
        return MHD_YES;
    }
    if (is_connection_probe(inbound))
        hs_inbound_reply(inbound, HS_PROBE_STATUS, NULL, "", 0);
    else
        listener->handler(inbound, listener->user_data);
    return inbound->answered ? MHD_YES : MHD_NO;
}

static void free_listener(hs_listener *listener) {
    hs_caller_connections_free(listener->connections);
    g_mutex_clear(&listener->lock);
    g_free(listener);
}

hs_listener *hs_listener_start(const char *address, uint16_t port, const hs_listener_limits *limits,
                               hs_inbound_handler handler, void *user_data, hs_error *error) {
    struct sockaddr_in local = {.sin_family = AF_INET, .sin_port = htons(port)};
    if (inet_pton(AF_INET, address, &local.sin_addr) != 1) {
        hs_error_set(error, HS_LAYER_HTTP, HS_INVALID, "not an IPv4 number: %s", address);
        return NULL;
    }
    hs_listener *listener = g_new0(hs_listener, 1);
    listener->handler = handler;
    listener->user_data = user_data;
    listener->max_body_bytes = limits->max_body_bytes;
    listener->idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S;
    listener->quiesced_socket = -1;
    g_mutex_init(&listener->lock);
    listener->connections = hs_caller_connections_new(limits->max_open_connections);
    struct MHD_OptionItem limit[] = {
        {MHD_OPTION_CONNECTION_LIMIT, (intptr_t)limits->max_open_connections, NULL},
        {MHD_OPTION_END, 0, NULL}};
    listener->daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
            MHD_USE_ITC,
        port, NULL, NULL, handle_step, listener, MHD_OPTION_SOCK_ADDR, &local,
        MHD_OPTION_URI_LOG_CALLBACK, begin_request, listener, MHD_OPTION_NOTIFY_COMPLETED,
        end_request, listener, MHD_OPTION_NOTIFY_CONNECTION, note_connection, listener,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK_BYTES, MHD_OPTION_LISTEN_BACKLOG_SIZE,
        (unsigned int)LISTEN_BACKLOG, MHD_OPTION_CONNECTION_TIMEOUT,
        (unsigned int)DEFAULT_IDLE_TIMEOUT_S, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
        MHD_OPTION_ARRAY, limits->max_open_connections > 0 ? limit : limit + 1, MHD_OPTION_END);
    if (listener->daemon == NULL) {
        hs_error_set(error, HS_LAYER_HTTP, HS_UNAVAILABLE, "cannot listen on %s:%u", address, port);
        free_listener(listener);
        return NULL;
    }
    return listener;
}

void hs_listener_set_kind(hs_listener *listener, hs_connection_kind kind) {
    hs_caller_connections_set_kind(listener->connections, kind);
}

void hs_listener_set_idle_timeout(hs_listener *listener, uint32_t seconds) {
    g_atomic_int_set(&listener->idle_timeout_s, (gint)seconds);
}

void hs_listener_close_after_answers(hs_listener *listener) {
    g_atomic_int_set(&listener->closes_after_answers, 1);
}

void hs_listener_quiesce(hs_listener *listener) {
    if (listener->quiesced_socket < 0) {
        listener->quiesced_socket = MHD_quiesce_daemon(listener->daemon);
        if (listener->quiesced_socket >= 0)
            shutdown(listener->quiesced_socket, SHUT_RDWR);
    }
    hs_caller_connections_end_idle(listener->connections);
}

hs_caller_connections *hs_listener_connections(hs_listener *listener) {
    return listener->connections;
}

void hs_listener_set_probe_address(hs_listener *listener, const struct sockaddr_in *caller) {
    static const struct sockaddr_in no_address;
    g_mutex_lock(&listener->lock);
    listener->probe_address = caller != NULL ? *caller : no_address;
    g_mutex_unlock(&listener->lock);
}

uint32_t hs_listener_open_request_count(hs_listener *listener) {
    return (uint32_t)g_atomic_int_get(&listener->open_requests);
}

void hs_listener_stop(hs_listener *listener) {
    if (listener == NULL)
        return;
    MHD_stop_daemon(listener->daemon);
    if (listener->quiesced_socket >= 0)
        close(listener->quiesced_socket);
    free_listener(listener);
}

static void queue_response(hs_inbound *inbound, uint32_t status, const GArray *fields,
                           struct MHD_Response *response) {
    for (guint index = 0; fields != NULL && index < fields->len; index++) {
        const hs_http_field *field = &g_array_index(fields, hs_http_field, index);
        MHD_add_response_header(response, field->name, field->value);
    }
    if (g_atomic_int_get(&inbound->listener->closes_after_answers) != 0)
        MHD_add_response_header(response, "Connection", "close");
    MHD_queue_response(inbound->connection, status, response);
    MHD_destroy_response(response);
    inbound->answered = true;
}

/** The body of a response, until it is sent. */
typedef struct {
    size_t length;
    char bytes[];
} reply_body;

static void free_reply(void *data) {
    reply_body *reply = data;
    hs_memory_release(HS_MEMORY_REPLIES, reply->length);
    g_free(reply);
}

void hs_inbound_reply(hs_inbound *inbound, uint32_t status, const GArray *fields, const void *body,
                      size_t body_length) {
    reply_body *reply = g_malloc(sizeof(reply_body) + body_length);
    reply->length = body_length;
    if (body_length > 0)
        memcpy(reply->bytes, body, body_length);
    hs_memory_charge(HS_MEMORY_REPLIES, body_length);
    struct MHD_Response *response = MHD_create_response_from_buffer_with_free_callback_cls(
        body_length, reply->bytes, free_reply, reply);
    queue_response(inbound, status, fields, response);
}

/** A streamed response. */
typedef struct {
    hs_body_reader reader;
    void *reader_data;
    GDestroyNotify release;
    hs_inbound *inbound;  /**< A reference, as reader_data depends on the request. */
    int reset_descriptor; /**< Socket to reset if the stream is aborted; -1: a close is enough. */
} stream_state;

/**
 * Resets a connection, so that the caller detects a truncated response. libmicrohttpd would shut
 * down the sending side in order; connect() with AF_UNSPEC resets a TCP connection at once.
 */
static void reset_connection(int descriptor) {
    const struct sockaddr unspecified = {.sa_family = AF_UNSPEC};
    if (connect(descriptor, &unspecified, sizeof unspecified) != 0)
        shutdown(descriptor, SHUT_RDWR);
}

/** Has the kernel reset the connection when it is closed, also by the end of this process. */
static void set_reset_on_close(int descriptor, bool resets) {
    struct linger at_once = {.l_onoff = resets, .l_linger = 0};
    if (descriptor >= 0)
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

bool hs_inbound_reset(const hs_inbound *inbound) {
    if (inbound->socket < 0)
        return false;
    reset_connection(inbound->socket);
    return true;
}

static ssize_t read_stream(void *data, uint64_t position, char *buffer, size_t size) {
    (void)position;
    stream_state *stream = data;
    ssize_t result = stream->reader(stream->reader_data, buffer, size);
    if (result == HS_READER_END) {
        set_reset_on_close(stream->reset_descriptor, false);
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    if (result == HS_READER_ABORT && stream->reset_descriptor >= 0)
        reset_connection(stream->reset_descriptor);
    if (result == HS_READER_ABORT)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    return result;
}

static void free_stream(void *data) {
    stream_state *stream = data;
    stream->release(stream->reader_data);
    unref_inbound(stream->inbound);
    g_free(stream);
}

void hs_inbound_reply_stream(hs_inbound *inbound, uint32_t status, const GArray *fields,
                             hs_body_reader reader, void *reader_data, GDestroyNotify release) {
    g_atomic_int_inc(&inbound->references);
    stream_state *stream = g_new(stream_state, 1);
    *stream = (stream_state){.reader = reader,
                             .reader_data = reader_data,
                             .release = release,
                             .inbound = inbound,
                             .reset_descriptor = inbound->is_http_1_0 ? inbound->socket : -1};
    set_reset_on_close(stream->reset_descriptor, true);
    struct MHD_Response *response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, stream, free_stream);
    queue_response(inbound, status, fields, response);
}

void hs_inbound_drop(hs_inbound *inbound) {
    inbound->answered = false;
}
