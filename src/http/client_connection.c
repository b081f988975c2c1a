/** @file client_connection.c  See client_connection.h. */
#include "http/client_connection.h"

#include "base/clock.h"
#include "base/memory_budget.h"
#include "http/connection_guard.h"
#include "http/http_fields.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#define READ_SIZE 16384
/** Interval at which an interrupt without a descriptor is checked. */
#define INTERRUPT_CHECK_MS 250
/** Minimum time in ms for which a connection's first socket is waited for alone, so that a slow
 * path does not cost a second connection each time. */
#define SECOND_CONNECT_MS 150
/** Interval in ms at which the first of two sockets is checked. */
#define CONNECT_CHECK_MS 10
#define SWITCHING_PROTOCOLS 101
#define FIRST_FINAL_STATUS 200
#define NO_CONTENT 204
#define NOT_MODIFIED 304
/** Largest body buffer that an idle connection retains. */
#define MAX_RETAINED_BODY_BYTES 16384
/** Body of an engine up to which the memory budget is not asked: the request has already run. */
#define MAX_UNBOUNDED_BODY_BYTES (64 * 1024)

struct hs_client_connection {
    int descriptor;
    http_parser parser;
    GArray *fields; /**< of hs_http_field */
    GString *field_name;
    GString *field_value;
    bool in_value;
    bool head_complete;
    bool message_complete;
    bool is_ended_by_close;
    bool is_head_method;
    GByteArray *surplus; /**< Bytes received after the end of the response. */
    bool unfinished_send;
    bool failed;
    size_t sent_bytes;
    GByteArray *body;
    uint64_t body_received; /**< Bytes of the body received so far. */
    uint64_t body_reported; /**< Value of body_received when read_body last returned. */
    uint64_t charged; /**< Bytes charged to the memory budget, if the whole body is buffered. */
    bool has_kind;
    hs_connection_kind kind; /**< Valid if has_kind is set. */
    uint64_t opened_ms;
    uint32_t requests; /**< Requests started so far. */
    bool is_peer_known;
    bool had_unnamed_answer;
};

const char *hs_step_name(hs_step step) {
    static const char *const names[] = {
        [HS_STEP_PROGRESS] = "progress", [HS_STEP_COMPLETE] = "complete",
        [HS_STEP_CUT] = "cut",           [HS_STEP_INVALID] = "invalid",
        [HS_STEP_DEADLINE] = "deadline", [HS_STEP_CALLER_GONE] = "caller_gone",
        [HS_STEP_LOST] = "lost",
    };
    return names[step];
}

static void flush_field(hs_client_connection *connection) {
    if (!connection->in_value)
        return;
    hs_http_fields_add(connection->fields, connection->field_name->str,
                       connection->field_value->str);
    g_string_truncate(connection->field_name, 0);
    g_string_truncate(connection->field_value, 0);
    connection->in_value = false;
}

static int on_header_field(http_parser *parser, const char *at, size_t length) {
    hs_client_connection *connection = parser->data;
    flush_field(connection);
    if (!connection->head_complete) /* Trailers are not forwarded. */
        g_string_append_len(connection->field_name, at, (gssize)length);
    return 0;
}

static int on_header_value(http_parser *parser, const char *at, size_t length) {
    hs_client_connection *connection = parser->data;
    if (connection->head_complete)
        return 0;
    connection->in_value = true;
    g_string_append_len(connection->field_value, at, (gssize)length);
    return 0;
}

/** Whether a response ends with its head, whatever length its fields state. */
static bool has_no_body(const hs_client_connection *connection, uint32_t status) {
    return connection->is_head_method || status < FIRST_FINAL_STATUS || status == NO_CONTENT ||
           status == NOT_MODIFIED;
}

/** Returns 1 if no body follows, and a negative number if the response is rejected. */
static int on_headers_complete(http_parser *parser) {
    hs_client_connection *connection = parser->data;
    flush_field(connection);
    if (parser->status_code == SWITCHING_PROTOCOLS) /* No request asks for it. */
        return -1;
    connection->head_complete = parser->status_code >= FIRST_FINAL_STATUS;
    return has_no_body(connection, parser->status_code) ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t length) {
    hs_client_connection *connection = parser->data;
    g_byte_array_append(connection->body, (const guint8 *)at, (guint)length);
    connection->body_received += length;
    return 0;
}

static int on_message_complete(http_parser *parser) {
    hs_client_connection *connection = parser->data;
    if (!connection->head_complete) { /* An interim response; the final one follows. */
        g_array_set_size(connection->fields, 0);
        return 0;
    }
    connection->message_complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_callbacks = {
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static void release_body(hs_client_connection *connection) {
    hs_memory_release(HS_MEMORY_ANSWERS, connection->charged);
    connection->charged = 0;
}

/**
 * Charges the growth of a buffered body. Returns false if the budget has no room for it, which only
 * large bodies of engines need: they may be without an end, and others were sized by this software.
 */
static bool charge_body(hs_client_connection *connection) {
    uint64_t held = hs_memory_block_bytes(connection->body->len);
    if (held <= connection->charged)
        return true;
    uint64_t growth = held - connection->charged;
    bool is_bounded = connection->has_kind && connection->kind == HS_CONNECTION_ENGINE &&
                      held > MAX_UNBOUNDED_BODY_BYTES;
    if (!is_bounded)
        hs_memory_charge(HS_MEMORY_ANSWERS, growth);
    else if (!hs_memory_try_charge(HS_MEMORY_ANSWERS, growth, HS_MEMORY_FOR_STARTED_WORK))
        return false;
    connection->charged = held;
    return true;
}

void hs_client_connection_drop_body(hs_client_connection *connection) {
    bool is_large = connection->body->len > MAX_RETAINED_BODY_BYTES;
    release_body(connection);
    g_byte_array_set_size(connection->body, 0);
    if (!is_large)
        return;
    g_byte_array_free(connection->body, TRUE);
    connection->body = g_byte_array_new();
}

GByteArray *hs_client_connection_take_body(hs_client_connection *connection) {
    GByteArray *body = connection->body;
    connection->body = g_byte_array_new();
    release_body(connection);
    return body;
}

static void begin_response(hs_client_connection *connection, bool is_head_method) {
    http_parser_init(&connection->parser, HTTP_RESPONSE);
    connection->parser.data = connection;
    g_array_set_size(connection->fields, 0);
    g_string_truncate(connection->field_name, 0);
    g_string_truncate(connection->field_value, 0);
    hs_client_connection_drop_body(connection);
    connection->body_received = 0;
    connection->body_reported = 0;
    connection->in_value = false;
    connection->head_complete = false;
    connection->message_complete = false;
    connection->is_head_method = is_head_method;
}

/** Feeds bytes to the parser. Returns false if they are no valid response. */
static bool feed(hs_client_connection *connection, const char *bytes, size_t length) {
    size_t consumed = 0;
    if (!connection->message_complete)
        consumed = http_parser_execute(&connection->parser, &parser_callbacks, bytes, length);
    if (connection->message_complete) {
        g_byte_array_append(connection->surplus, (const guint8 *)bytes + consumed,
                            (guint)(length - consumed));
        return true;
    }
    return HTTP_PARSER_ERRNO(&connection->parser) == HPE_OK;
}

static hs_step fail(hs_client_connection *connection, hs_step step) {
    connection->failed = true;
    return step;
}

/** Handles a system call on the connection that failed with errno @p cause. */
static hs_step fail_with_errno(hs_client_connection *connection, int cause) {
    if (cause == ETIMEDOUT)
        return hs_client_connection_mark_lost(connection, "kernel");
    return fail(connection, HS_STEP_CUT);
}

/** Returns the timeout of one poll call in ms. */
static int poll_timeout_ms(const hs_wait *wait, uint64_t now_ms, int interrupt_descriptor) {
    uint64_t left = MIN(wait->deadline - now_ms, HS_CLOCK_MAX_WAIT_MS);
    if (wait->interrupt != NULL && interrupt_descriptor < 0)
        left = MIN(left, INTERRUPT_CHECK_MS);
    return (int)left;
}

/**
 * Waits for events on @p count sockets, at least one and HS_CLIENT_CONNECTION_MAX_AWAITED at most.
 * HS_STEP_PROGRESS: the events occurred on at least one.
 */
static hs_step wait_for_any(struct pollfd *sockets, size_t count, const hs_wait *wait) {
    enum { WATCHED, INTERRUPT, SOCKETS };
    int interrupt_descriptor =
        wait->interrupt != NULL ? hs_interrupt_descriptor(wait->interrupt) : -1;
    while (true) {
        uint64_t now_ms = hs_clock_monotonic_ms();
        if (wait->interrupt != NULL && hs_interrupt_get(wait->interrupt) != HS_INTERRUPT_NONE)
            return HS_STEP_CALLER_GONE;
        if (now_ms >= wait->deadline)
            return HS_STEP_DEADLINE;
        struct pollfd polled[SOCKETS + HS_CLIENT_CONNECTION_MAX_AWAITED] = {
            [WATCHED] = {.fd = wait->watched, .events = POLLRDHUP},
            [INTERRUPT] = {.fd = interrupt_descriptor, .events = POLLIN},
        };
        memcpy(&polled[SOCKETS], sockets, count * sizeof *sockets);
        int ready =
            poll(polled, SOCKETS + count, poll_timeout_ms(wait, now_ms, interrupt_descriptor));
        if (ready < 0 && errno != EINTR)
            return HS_STEP_CUT;
        if (polled[WATCHED].revents != 0)
            return HS_STEP_CALLER_GONE;
        memcpy(sockets, &polled[SOCKETS], count * sizeof *sockets);
        bool is_ready = false;
        for (size_t index = 0; index < count && ready > 0; index++)
            is_ready = is_ready || sockets[index].revents != 0;
        if (is_ready)
            return HS_STEP_PROGRESS;
    }
}

/** Waits for @p events on the socket. HS_STEP_PROGRESS: @p ready holds those that occurred. */
static hs_step wait_for(int descriptor, short events, const hs_wait *wait, short *ready) {
    struct pollfd polled = {.fd = descriptor, .events = events};
    hs_step step = wait_for_any(&polled, 1, wait);
    *ready = polled.revents;
    return step;
}

/** Starts to connect a socket. Returns -1 on failure. */
static int begin_connect(uint32_t address, uint16_t port) {
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0)
        return -1;
    int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    struct sockaddr_in to = {
        .sin_family = AF_INET, .sin_port = htons(port), .sin_addr.s_addr = htonl(address)};
    if (connect(descriptor, (struct sockaddr *)&to, sizeof to) == 0 || errno == EINPROGRESS)
        return descriptor;
    close(descriptor);
    return -1;
}

/** Waits until a socket is connected, with HS_STEP_PROGRESS then. */
static hs_step await_connected(int descriptor, const hs_wait *wait) {
    short ready = 0;
    hs_step step = wait_for(descriptor, POLLOUT, wait, &ready);
    int failure = 0;
    socklen_t length = sizeof failure;
    if (step == HS_STEP_PROGRESS &&
        (getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &length) != 0 || failure != 0))
        step = HS_STEP_CUT;
    return step;
}

/** Connects one of two sockets, of which the first has had no answer yet, and closes the other. */
static int connect_either(int first, int second, const hs_wait *wait, hs_step *step) {
    int connected = -1;
    *step = HS_STEP_DEADLINE;
    while (*step == HS_STEP_DEADLINE && hs_clock_monotonic_ms() < wait->deadline) {
        hs_wait slice = *wait;
        slice.deadline = MIN(wait->deadline, hs_clock_monotonic_ms() + CONNECT_CHECK_MS);
        *step = await_connected(second, &slice);
        connected = second;
        struct pollfd polled = {.fd = first, .events = POLLOUT};
        if (*step == HS_STEP_DEADLINE && poll(&polled, 1, 0) > 0) {
            *step = await_connected(first, wait);
            connected = first;
        }
    }
    if (*step != HS_STEP_PROGRESS)
        connected = -1;
    if (connected != first)
        close(first);
    if (connected != second)
        close(second);
    return connected;
}

/**
 * Connects to an address. If there is no answer for a while, tries a second socket as well: the
 * kernel repeats a lost packet only after a second, and its port may be that of an earlier
 * connection which the peer has not closed yet.
 */
static int connect_socket(uint32_t address, uint16_t port, const hs_wait *wait, hs_step *step) {
    *step = HS_STEP_CUT;
    int first = begin_connect(address, port);
    if (first < 0)
        return -1;
    uint64_t now_ms = hs_clock_monotonic_ms();
    uint64_t left_ms = wait->deadline > now_ms ? wait->deadline - now_ms : 0;
    hs_wait alone = *wait;
    alone.deadline = now_ms + MIN(left_ms, MAX(left_ms / 2, SECOND_CONNECT_MS));
    *step = await_connected(first, &alone);
    if (*step == HS_STEP_PROGRESS)
        return first;
    int second = *step == HS_STEP_DEADLINE && alone.deadline < wait->deadline
                     ? begin_connect(address, port)
                     : -1;
    if (second >= 0)
        return connect_either(first, second, wait, step);
    close(first);
    return -1;
}

hs_client_connection *hs_client_connection_open(uint32_t address, uint16_t port,
                                                const hs_wait *wait, hs_step *step) {
    int descriptor = connect_socket(address, port, wait, step);
    return descriptor >= 0 ? hs_client_connection_adopt(descriptor) : NULL;
}

hs_client_connection *hs_client_connection_adopt(int descriptor) {
    hs_client_connection *connection = g_new0(hs_client_connection, 1);
    connection->descriptor = descriptor;
    connection->opened_ms = hs_clock_monotonic_ms();
    connection->fields = hs_http_fields_new();
    connection->field_name = g_string_new(NULL);
    connection->field_value = g_string_new(NULL);
    connection->body = g_byte_array_new();
    connection->surplus = g_byte_array_new();
    return connection;
}

void hs_client_connection_set_timeouts(hs_client_connection *connection, hs_connection_kind kind) {
    connection->has_kind = true;
    connection->kind = kind;
    hs_connection_set_timeouts(connection->descriptor, kind);
}

/** Makes close() discard request bytes that the kernel has not delivered yet. */
static void reset_at_close(int descriptor) {
    struct linger at_once = {.l_onoff = 1, .l_linger = 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

hs_step hs_client_connection_mark_lost(hs_client_connection *connection, const char *noticed_by) {
    connection->failed = true;
    reset_at_close(connection->descriptor);
    if (connection->has_kind)
        hs_connection_note_loss(connection->kind, hs_clock_monotonic_ms() - connection->opened_ms,
                                noticed_by);
    return HS_STEP_LOST;
}

bool hs_client_connection_is_reused(const hs_client_connection *connection) {
    return connection->requests > 1;
}

uint64_t hs_client_connection_opened_ms(const hs_client_connection *connection) {
    return connection->opened_ms;
}

void hs_client_connection_note_peer_known(hs_client_connection *connection) {
    connection->is_peer_known = true;
}

bool hs_client_connection_is_peer_known(const hs_client_connection *connection) {
    return connection->is_peer_known;
}

void hs_client_connection_note_unnamed_answer(hs_client_connection *connection) {
    connection->had_unnamed_answer = true;
}

bool hs_client_connection_had_unnamed_answer(const hs_client_connection *connection) {
    return connection->had_unnamed_answer;
}

void hs_client_connection_close(hs_client_connection *connection) {
    if (connection == NULL)
        return;
    close(connection->descriptor);
    release_body(connection);
    hs_http_fields_free(connection->fields);
    g_string_free(connection->field_name, TRUE);
    g_string_free(connection->field_value, TRUE);
    g_byte_array_free(connection->body, TRUE);
    g_byte_array_free(connection->surplus, TRUE);
    g_free(connection);
}

/** Feeds the bytes that the socket holds to the parser, without waiting. */
bool hs_client_connection_is_ended_by_close(const hs_client_connection *connection) {
    return connection->is_ended_by_close;
}

static hs_step receive_some(hs_client_connection *connection) {
    char buffer[READ_SIZE];
    ssize_t length = recv(connection->descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
    if (length < 0 && (errno == EAGAIN || errno == EINTR))
        return HS_STEP_PROGRESS;
    if (length < 0)
        return fail_with_errno(connection, errno);
    if (length == 0) {
        /* A response without a length ends with the connection. */
        http_parser_execute(&connection->parser, &parser_callbacks, NULL, 0);
        connection->failed = true;
        connection->is_ended_by_close = connection->message_complete;
        return connection->message_complete ? HS_STEP_COMPLETE : HS_STEP_CUT;
    }
    if (!feed(connection, buffer, (size_t)length))
        return fail(connection, HS_STEP_INVALID);
    return connection->message_complete ? HS_STEP_COMPLETE : HS_STEP_PROGRESS;
}

/** Waits for bytes and feeds them to the parser. */
static hs_step wait_and_receive(hs_client_connection *connection, const hs_wait *wait) {
    short ready = 0;
    hs_step step = wait_for(connection->descriptor, POLLIN, wait, &ready);
    if (step != HS_STEP_PROGRESS)
        return fail(connection, step);
    return receive_some(connection);
}

/** Writes the rest of the request. Returns the number of bytes written, or -1. */
static ssize_t write_some(hs_client_connection *connection, const GString *head, const void *body,
                          size_t body_length) {
    size_t sent = connection->sent_bytes;
    size_t head_sent = MIN(sent, head->len);
    size_t body_sent = sent - head_sent;
    struct iovec parts[2] = {{.iov_base = head->str + head_sent, .iov_len = head->len - head_sent}};
    if (body_length > 0)
        parts[1] = (struct iovec){.iov_base = (char *)body + body_sent,
                                  .iov_len = body_length - body_sent};
    struct msghdr message = {.msg_iov = parts, .msg_iovlen = body_length > 0 ? 2 : 1};
    return sendmsg(connection->descriptor, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
}

hs_step hs_client_connection_send(hs_client_connection *connection, const GString *head,
                                  const void *body, size_t body_length, bool is_head_method,
                                  const hs_wait *wait) {
    begin_response(connection, is_head_method);
    connection->requests++;
    connection->sent_bytes = 0;
    size_t total = head->len + body_length;
    while (connection->sent_bytes < total) {
        ssize_t written = write_some(connection, head, body, body_length);
        if (written > 0) {
            connection->sent_bytes += (size_t)written;
            continue;
        }
        if (written < 0 && errno != EAGAIN && errno != EINTR)
            return fail_with_errno(connection, errno);
        short ready = 0;
        hs_step step = wait_for(connection->descriptor, POLLIN | POLLOUT, wait, &ready);
        if (step == HS_STEP_PROGRESS && (ready & POLLIN) != 0)
            step = receive_some(connection);
        if (step == HS_STEP_COMPLETE) { /* The response came before the end of the body. */
            connection->unfinished_send = true;
            return HS_STEP_PROGRESS;
        }
        if (step != HS_STEP_PROGRESS)
            return fail(connection, step);
    }
    return HS_STEP_PROGRESS;
}

hs_step hs_client_connection_check_liveness(hs_client_connection *connection, uint32_t limit_ms,
                                            const hs_wait *wait) {
    hs_wait limited_wait = *wait;
    limited_wait.deadline = MIN(wait->deadline, hs_clock_monotonic_ms() + limit_ms);
    if (connection->message_complete || limit_ms == 0)
        return HS_STEP_PROGRESS;
    short ready = 0;
    hs_step step = wait_for(connection->descriptor, POLLIN, &limited_wait, &ready);
    if (step == HS_STEP_PROGRESS)
        return step;
    if (step != HS_STEP_DEADLINE)
        return fail(connection, step);
    /* Half the limit: the last byte may have been sent after the start of the wait. */
    if (hs_connection_is_unacknowledged(connection->descriptor, limit_ms / 2))
        return hs_client_connection_mark_lost(connection, "unacknowledged");
    return HS_STEP_PROGRESS;
}

hs_step hs_client_connection_await_any(hs_client_connection *const *connections, size_t count,
                                       const hs_wait *wait, size_t *index) {
    struct pollfd sockets[HS_CLIENT_CONNECTION_MAX_AWAITED];
    for (size_t each = 0; each < count; each++) {
        *index = each;
        if (connections[each]->message_complete)
            return HS_STEP_PROGRESS;
        sockets[each] = (struct pollfd){.fd = connections[each]->descriptor, .events = POLLIN};
    }
    hs_step step = wait_for_any(sockets, count, wait);
    *index = 0;
    while (step == HS_STEP_PROGRESS && sockets[*index].revents == 0)
        (*index)++;
    return step;
}

bool hs_client_connection_has_sent_bytes(const hs_client_connection *connection) {
    return connection->sent_bytes > 0;
}

hs_step hs_client_connection_read_head(hs_client_connection *connection, const hs_wait *wait) {
    hs_step step = HS_STEP_PROGRESS;
    while (!connection->head_complete && step == HS_STEP_PROGRESS)
        step = wait_and_receive(connection, wait);
    if (connection->head_complete && step == HS_STEP_CUT) /* read_body reports the failure. */
        step = HS_STEP_PROGRESS;
    return connection->message_complete ? HS_STEP_COMPLETE : step;
}

/** Whether body bytes came since read_body last returned. */
static bool has_new_body_bytes(const hs_client_connection *connection) {
    return connection->body_received > connection->body_reported;
}

hs_step hs_client_connection_read_body(hs_client_connection *connection, const hs_wait *wait) {
    hs_step step = HS_STEP_PROGRESS;
    while (!has_new_body_bytes(connection) && !connection->message_complete &&
           step == HS_STEP_PROGRESS)
        step = connection->failed ? HS_STEP_CUT : wait_and_receive(connection, wait);
    if (!charge_body(connection))
        return fail(connection, HS_STEP_INVALID);
    if (connection->message_complete)
        step = HS_STEP_COMPLETE;
    else if (has_new_body_bytes(connection))
        step = HS_STEP_PROGRESS;
    connection->body_reported = connection->body_received;
    return step;
}

hs_step hs_client_connection_read_available(hs_client_connection *connection) {
    hs_step step = HS_STEP_PROGRESS;
    if (connection->failed)
        step = HS_STEP_CUT;
    else if (!connection->message_complete)
        step = receive_some(connection);
    if (!charge_body(connection))
        return fail(connection, HS_STEP_INVALID);
    connection->body_reported = connection->body_received;
    return connection->message_complete ? HS_STEP_COMPLETE : step;
}

hs_step hs_client_connection_read_all(hs_client_connection *connection, size_t limit,
                                      const hs_wait *wait) {
    while (!connection->message_complete) {
        if (connection->failed)
            return HS_STEP_CUT;
        if (connection->body->len > limit)
            return HS_STEP_INVALID;
        hs_step step = wait_and_receive(connection, wait);
        if (!charge_body(connection))
            return fail(connection, HS_STEP_INVALID);
        if (step != HS_STEP_PROGRESS && step != HS_STEP_COMPLETE)
            return step;
    }
    return HS_STEP_COMPLETE;
}

hs_step hs_client_connection_discard_rest(hs_client_connection *connection, size_t limit,
                                          const hs_wait *wait) {
    while (!connection->message_complete) {
        if (connection->failed)
            return HS_STEP_CUT;
        if (connection->body_received > limit)
            return fail(connection, HS_STEP_INVALID);
        hs_step step = wait_and_receive(connection, wait);
        g_byte_array_set_size(connection->body, 0);
        if (step != HS_STEP_PROGRESS && step != HS_STEP_COMPLETE)
            return step;
    }
    return HS_STEP_COMPLETE;
}

bool hs_client_connection_skip_response(hs_client_connection *connection) {
    if (!connection->message_complete || connection->failed ||
        http_should_keep_alive(&connection->parser) == 0)
        return false;
    GByteArray *rest = connection->surplus;
    connection->surplus = g_byte_array_new();
    begin_response(connection, connection->is_head_method);
    bool well_formed = rest->len == 0 || feed(connection, (const char *)rest->data, rest->len);
    g_byte_array_free(rest, TRUE);
    return well_formed;
}

uint32_t hs_client_connection_status(const hs_client_connection *connection) {
    return connection->parser.status_code;
}

const GArray *hs_client_connection_fields(const hs_client_connection *connection) {
    return connection->fields;
}

GByteArray *hs_client_connection_body(hs_client_connection *connection) {
    return connection->body;
}

void hs_client_connection_mark_unusable(hs_client_connection *connection) {
    connection->failed = true;
}

bool hs_client_connection_is_reusable(const hs_client_connection *connection) {
    return connection->message_complete && !connection->failed && connection->surplus->len == 0 &&
           !connection->unfinished_send && http_should_keep_alive(&connection->parser) != 0;
}

bool hs_client_connection_is_idle_and_open(const hs_client_connection *connection) {
    struct pollfd polled = {.fd = connection->descriptor, .events = POLLIN | POLLRDHUP};
    return poll(&polled, 1, 0) == 0;
}

bool hs_client_connection_is_closed_by_peer(const hs_client_connection *connection) {
    struct pollfd polled = {.fd = connection->descriptor, .events = POLLRDHUP};
    return poll(&polled, 1, 0) > 0;
}

uint64_t hs_client_connection_keep_alive_ms(const hs_client_connection *connection) {
    const char *value = hs_http_fields_find(connection->fields, "Keep-Alive");
    if (value == NULL)
        return 0;
    const char *timeout = strstr(value, "timeout=");
    const char *digits = timeout != NULL ? timeout + strlen("timeout=") : value;
    return g_ascii_strtoull(digits, NULL, 10) * 1000;
}
