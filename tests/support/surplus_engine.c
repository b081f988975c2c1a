/** @file surplus_engine.c  See surplus_engine.h. One thread a connection. */
#include "tests/support/surplus_engine.h"

#include "platform/names.h"
#include "standin/token_engine/token_engine.h"

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST_BYTES 65536
#define POLL_MS 20
#define NO_RUN UINT32_MAX

struct surplus_engine {
    char *id;
    uint32_t events;
    int listener;
    uint16_t port;
    gint requests;
    gint stopping;
    gint open;
    GMutex lock;
    GArray *asked_after; /**< of uint32_t, by number of the run. */
    GThread *thread;
};

/** One accepted connection. */
typedef struct {
    surplus_engine *engine;
    int descriptor;
    bool is_used;      /**< A request was answered on it. */
    uint32_t late_run; /**< Whose answer comes in the place of the next one; NO_RUN: none. */
} connection;

/** One request. */
typedef struct {
    char id[TOKEN_ENGINE_ID_BYTES];
    uint32_t after; /**< 0: it begins anew. */
} item_request;

static bool wait_readable(surplus_engine *engine, int descriptor) {
    while (g_atomic_int_get(&engine->stopping) == 0) {
        struct pollfd polled = {.fd = descriptor, .events = POLLIN};
        if (poll(&polled, 1, POLL_MS) > 0)
            return true;
    }
    return false;
}

/** Value of a field of the head, or NULL; it goes on after its end. */
static const char *find_field(const char *head, const char *name) {
    const char *at = strstr(head, name);
    return at != NULL ? at + strlen(name) : NULL;
}

static bool is_whole(const char *bytes, size_t length) {
    const char *head_end = strstr(bytes, "\r\n\r\n");
    if (head_end == NULL)
        return false;
    const char *body_length = find_field(bytes, "Content-Length: ");
    size_t wanted = body_length != NULL ? strtoul(body_length, NULL, 10) : 0;
    return length >= (size_t)(head_end + 4 - bytes) + wanted;
}

static bool read_request(connection *from, item_request *request) {
    char bytes[REQUEST_BYTES] = "";
    size_t length = 0;
    while (!is_whole(bytes, length)) {
        if (length >= sizeof bytes - 1 || !wait_readable(from->engine, from->descriptor))
            return false;
        ssize_t got = recv(from->descriptor, bytes + length, sizeof bytes - 1 - length, 0);
        if (got <= 0)
            return false;
        length += (size_t)got;
        bytes[length] = '\0';
    }
    const char *id = find_field(bytes, HEADER_REQUEST_ID ": ");
    const char *after = find_field(bytes, HEADER_LAST_EVENT_ID ": ");
    g_strlcpy(request->id, id != NULL ? id : "-", sizeof request->id);
    request->id[strcspn(request->id, "\r")] = '\0';
    request->after = after != NULL ? (uint32_t)strtoul(after, NULL, 10) : 0;
    g_atomic_int_inc(&from->engine->requests);
    return true;
}

static void send_text(const connection *to, GString *text) {
    send(to->descriptor, text->str, text->len, MSG_NOSIGNAL);
    g_string_free(text, TRUE);
}

static void send_refusal(const connection *to, const item_request *request) {
    GString *text = g_string_new(NULL);
    g_string_printf(text,
                    "HTTP/1.1 503 Full\r\n" HEADER_REQUEST_ID ": %s\r\n" HEADER_NOT_EXECUTED
                    ": 1\r\nContent-Length: 0\r\n\r\n",
                    request->id);
    send_text(to, text);
}

/** Begin to run what a request asks for; the run's number. */
static uint32_t begin_run(surplus_engine *engine, const item_request *request) {
    g_mutex_lock(&engine->lock);
    uint32_t number = engine->asked_after->len;
    g_array_append_val(engine->asked_after, request->after);
    g_mutex_unlock(&engine->lock);
    return number;
}

/** The whole answer of a run: all events after the one that it was asked to go on after. */
static void send_run(const connection *to, const item_request *request, uint32_t run) {
    uint32_t after = 0;
    surplus_engine_asked_after(to->engine, run, &after);
    GString *body = g_string_new(NULL);
    for (uint32_t event = after + 1; event <= to->engine->events; event++) {
        g_autofree char *data = token_engine_write_event(event, to->engine->id, run);
        g_string_append_printf(body, "id: %u\ndata: %s\n\n", event, data);
    }
    GString *text = g_string_new(NULL);
    g_string_printf(text,
                    "HTTP/1.1 200 OK\r\n" HEADER_REQUEST_ID ": %s\r\n" HEADER_SIGNATURE
                    ": sig\r\nContent-Type: text/event-stream\r\nContent-Length: %zu\r\n\r\n%s",
                    request->id, body->len, body->str);
    g_string_free(body, TRUE);
    send_text(to, text);
}

static void answer(connection *to, const item_request *request) {
    if (request->after > 0) {
        uint32_t own_run = begin_run(to->engine, request);
        if (to->late_run != NO_RUN)
            send_run(to, request, to->late_run);
        send_run(to, request, own_run);
        to->late_run = NO_RUN;
        return;
    }
    if (to->is_used && to->late_run == NO_RUN)
        to->late_run = begin_run(to->engine, request);
    send_refusal(to, request);
}

static gpointer serve(gpointer data) {
    connection *from = data;
    item_request request;
    while (read_request(from, &request)) {
        answer(from, &request);
        from->is_used = true;
    }
    close(from->descriptor);
    g_atomic_int_add(&from->engine->open, -1);
    g_free(from);
    return NULL;
}

static gpointer accept_all(gpointer data) {
    surplus_engine *engine = data;
    while (wait_readable(engine, engine->listener)) {
        int descriptor = accept4(engine->listener, NULL, NULL, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        connection *accepted = g_new0(connection, 1);
        *accepted = (connection){.engine = engine, .descriptor = descriptor, .late_run = NO_RUN};
        g_atomic_int_inc(&engine->open);
        g_thread_unref(g_thread_new("surplus", serve, accepted));
    }
    return NULL;
}

surplus_engine *surplus_engine_start(const char *id, uint32_t events) {
    surplus_engine *engine = g_new0(surplus_engine, 1);
    struct sockaddr_in local = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof local;
    engine->id = g_strdup(id);
    engine->events = events;
    engine->asked_after = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_mutex_init(&engine->lock);
    engine->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(engine->listener, (struct sockaddr *)&local, sizeof local) != 0 ||
        listen(engine->listener, SOMAXCONN) != 0 ||
        getsockname(engine->listener, (struct sockaddr *)&local, &length) != 0)
        g_error("no port for an engine");
    engine->port = ntohs(local.sin_port);
    engine->thread = g_thread_new("surplus-accept", accept_all, engine);
    return engine;
}

void surplus_engine_stop(surplus_engine *engine) {
    g_atomic_int_set(&engine->stopping, 1);
    g_thread_join(engine->thread);
    while (g_atomic_int_get(&engine->open) > 0)
        g_usleep(1000);
    close(engine->listener);
    g_array_free(engine->asked_after, TRUE);
    g_mutex_clear(&engine->lock);
    g_free(engine->id);
    g_free(engine);
}

uint16_t surplus_engine_port(const surplus_engine *engine) {
    return engine->port;
}

uint32_t surplus_engine_requests(surplus_engine *engine) {
    return (uint32_t)g_atomic_int_get(&engine->requests);
}

bool surplus_engine_asked_after(surplus_engine *engine, uint32_t run, uint32_t *event) {
    g_mutex_lock(&engine->lock);
    bool is_known = run < engine->asked_after->len;
    if (is_known)
        *event = g_array_index(engine->asked_after, uint32_t, run);
    g_mutex_unlock(&engine->lock);
    return is_known;
}
