/** @file cut_engine.c  See cut_engine.h. Each connection has a thread. */
#include "tests/support/cut_engine.h"

#include "platform/names.h"
#include "tests/support/loopback_listener.h"

#include <glib.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST_BYTES 65536
#define POLL_MS 20

struct cut_engine {
    int listener;
    uint16_t port;
    GMutex lock;
    cut_engine_script script;
    GHashTable *counts; /**< Of request ids; the keys are owned. */
    gint stopping;
    gint open_connections;
    GThread *thread;
};

/** One accepted connection. */
typedef struct {
    cut_engine *engine;
    int descriptor;
} engine_connection;

static bool wait_readable(cut_engine *engine, int descriptor) {
    while (g_atomic_int_get(&engine->stopping) == 0) {
        struct pollfd polled = {.fd = descriptor, .events = POLLIN};
        if (poll(&polled, 1, POLL_MS) > 0)
            return true;
    }
    return false;
}

static bool is_complete_request(const char *bytes, size_t length) {
    const char *head_end = strstr(bytes, "\r\n\r\n");
    if (head_end == NULL)
        return false;
    const char *field = strstr(bytes, "Content-Length: ");
    size_t wanted = field != NULL ? strtoul(field + strlen("Content-Length: "), NULL, 10) : 0;
    return length >= (size_t)(head_end + strlen("\r\n\r\n") - bytes) + wanted;
}

/** Reads a request, its body included. Returns false if the connection ends before. */
static bool read_request(const engine_connection *from, char bytes[REQUEST_BYTES]) {
    size_t length = 0;
    bytes[0] = '\0';
    while (!is_complete_request(bytes, length)) {
        if (length >= REQUEST_BYTES - 1 || !wait_readable(from->engine, from->descriptor))
            return false;
        ssize_t got = recv(from->descriptor, bytes + length, REQUEST_BYTES - 1 - length, 0);
        if (got <= 0)
            return false;
        length += (size_t)got;
        bytes[length] = '\0';
    }
    return true;
}

/** Returns a copy of the request's id; "-" without one. */
static char *copy_request_id(const char *bytes) {
    const char *field = strstr(bytes, HEADER_REQUEST_ID ": ");
    if (field == NULL)
        return g_strdup("-");
    const char *id = field + strlen(HEADER_REQUEST_ID ": ");
    return g_strndup(id, strcspn(id, "\r"));
}

/** Counts a request and returns the script of its answer. */
static cut_engine_script begin_answer(cut_engine *engine, const char *request_id) {
    g_mutex_lock(&engine->lock);
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(engine->counts, request_id));
    g_hash_table_insert(engine->counts, g_strdup(request_id), GUINT_TO_POINTER(count + 1));
    cut_engine_script script = engine->script;
    g_mutex_unlock(&engine->lock);
    return script;
}

static void answer(const engine_connection *to, const char *bytes) {
    g_autofree char *request_id = copy_request_id(bytes);
    cut_engine_script script = begin_answer(to->engine, request_id);
    g_auto(GStrv) parts = g_strsplit(script.answer, "{id}", -1);
    g_autofree char *text = g_strjoinv(request_id, parts);
    send(to->descriptor, text, MIN(script.length, strlen(text)), MSG_NOSIGNAL);
    if (script.resets) {
        struct linger at_once = {.l_onoff = 1, .l_linger = 0};
        setsockopt(to->descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
}

static gpointer serve(gpointer data) {
    engine_connection *from = data;
    g_autofree char *bytes = g_malloc(REQUEST_BYTES);
    if (read_request(from, bytes))
        answer(from, bytes);
    close(from->descriptor);
    g_atomic_int_add(&from->engine->open_connections, -1);
    g_free(from);
    return NULL;
}

static gpointer accept_all(gpointer data) {
    cut_engine *engine = data;
    while (wait_readable(engine, engine->listener)) {
        int descriptor = accept4(engine->listener, NULL, NULL, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        engine_connection *accepted = g_new0(engine_connection, 1);
        *accepted = (engine_connection){.engine = engine, .descriptor = descriptor};
        g_atomic_int_inc(&engine->open_connections);
        g_thread_unref(g_thread_new("cut", serve, accepted));
    }
    return NULL;
}

cut_engine *cut_engine_start(void) {
    cut_engine *engine = g_new0(cut_engine, 1);
    g_mutex_init(&engine->lock);
    engine->script = (cut_engine_script){.answer = "", .length = SIZE_MAX};
    engine->counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    engine->listener = loopback_listener_open(SOMAXCONN, &engine->port);
    engine->thread = g_thread_new("cut-accept", accept_all, engine);
    return engine;
}

void cut_engine_stop(cut_engine *engine) {
    g_atomic_int_set(&engine->stopping, 1);
    g_thread_join(engine->thread);
    while (g_atomic_int_get(&engine->open_connections) > 0)
        g_usleep(1000);
    close(engine->listener);
    g_hash_table_unref(engine->counts);
    g_mutex_clear(&engine->lock);
    g_free(engine);
}

uint16_t cut_engine_port(const cut_engine *engine) {
    return engine->port;
}

void cut_engine_set(cut_engine *engine, const cut_engine_script *script) {
    g_mutex_lock(&engine->lock);
    engine->script = *script;
    g_mutex_unlock(&engine->lock);
}

uint32_t cut_engine_request_count(cut_engine *engine, const char *request_id) {
    g_mutex_lock(&engine->lock);
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(engine->counts, request_id));
    g_mutex_unlock(&engine->lock);
    return count;
}
