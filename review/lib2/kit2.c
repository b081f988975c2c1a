/** @file kit2.c  See kit2.h. */
#include "kit2.h"

#include "platform/names.h"
#include "standin/port_lease/port_lease.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sched.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

static FILE *record_file;
static GMutex record_lock;
static uint64_t started_ms;
static char folder[64];

int kit_memory_mb = 512;
bool kit_is_large = true;
int kit_zones = 1;
int kit_link_mbps = 1000;

bool kit_has_trouble(void) {
    const char *value = g_getenv("TROUBLE");
    return value == NULL || strcmp(value, "0") != 0;
}

uint64_t kit_now_ms(void) {
    return (uint64_t)g_get_monotonic_time() / 1000;
}

void kit_sleep_ms(uint64_t ms) {
    g_usleep((gulong)ms * 1000);
}

void kit_record_open(const char *path) {
    signal(SIGPIPE, SIG_IGN);
    started_ms = kit_now_ms();
    record_file = path != NULL ? fopen(path, "w") : NULL;
}

void kit_record(const char *format, ...) {
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    g_mutex_lock(&record_lock);
    unsigned at_ms = (unsigned)(kit_now_ms() - started_ms);
    if (record_file != NULL) {
        fprintf(record_file, "%7u ms  %s\n", at_ms, text);
        fflush(record_file);
    }
    g_mutex_unlock(&record_lock);
}

/* ---- servers ---- */

struct kit_server {
    int descriptor;
    uint16_t port;
    kit_handler handler;
    void *data;
};

typedef struct {
    kit_server *server;
    int descriptor;
} kit_connection;

char *kit_header(const char *head, const char *name) {
    g_auto(GStrv) lines = g_strsplit(head, "\r\n", -1);
    size_t length = strlen(name);
    for (int index = 0; lines[index] != NULL; index++)
        if (g_ascii_strncasecmp(lines[index], name, length) == 0 && lines[index][length] == ':')
            return g_strdup(g_strstrip(lines[index] + length + 1));
    return NULL;
}

bool kit_send(int descriptor, const char *bytes, size_t length) {
    while (length > 0) {
        ssize_t sent = send(descriptor, bytes, length, MSG_NOSIGNAL);
        if (sent <= 0 && errno == EINTR)
            continue;
        if (sent <= 0)
            return false;
        bytes += sent;
        length -= (size_t)sent;
    }
    return true;
}

bool kit_sendf(int descriptor, const char *format, ...) {
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    return kit_send(descriptor, text, strlen(text));
}

bool kit_wait_open(int descriptor, uint64_t ms) {
    uint64_t until_ms = kit_now_ms() + ms;
    for (uint64_t now_ms = kit_now_ms(); now_ms < until_ms; now_ms = kit_now_ms()) {
        struct pollfd polled = {.fd = descriptor, .events = POLLRDHUP};
        if (poll(&polled, 1, (int)MIN(until_ms - now_ms, 100)) > 0)
            return false;
    }
    return true;
}

/** Reads until @p buffer holds a whole head; returns its length with the blank line, 0: ended. */
static size_t read_head(int descriptor, GByteArray *buffer, uint64_t until_ms) {
    while (true) {
        const guint8 *end = buffer->len >= 4
                                ? memmem(buffer->data, buffer->len, "\r\n\r\n", 4)
                                : NULL;
        if (end != NULL)
            return (size_t)(end - buffer->data) + 4;
        uint64_t now_ms = kit_now_ms();
        struct pollfd polled = {.fd = descriptor, .events = POLLIN};
        if (now_ms >= until_ms || poll(&polled, 1, (int)MIN(until_ms - now_ms, 60000)) == 0)
            return 0;
        guint8 bytes[16384];
        ssize_t length = recv(descriptor, bytes, sizeof bytes, 0);
        if (length <= 0)
            return 0;
        g_byte_array_append(buffer, bytes, (guint)length);
    }
}

/** Reads until @p buffer has @p wanted bytes. */
static bool read_bytes(int descriptor, GByteArray *buffer, size_t wanted, uint64_t until_ms) {
    while (buffer->len < wanted) {
        uint64_t now_ms = kit_now_ms();
        struct pollfd polled = {.fd = descriptor, .events = POLLIN};
        if (now_ms >= until_ms || poll(&polled, 1, (int)MIN(until_ms - now_ms, 60000)) == 0)
            return false;
        guint8 bytes[16384];
        ssize_t length = recv(descriptor, bytes, sizeof bytes, 0);
        if (length <= 0)
            return false;
        g_byte_array_append(buffer, bytes, (guint)length);
    }
    return true;
}

static gpointer serve_connection(gpointer data) {
    kit_connection *connection = data;
    int descriptor = connection->descriptor;
    GByteArray *buffer = g_byte_array_new();
    bool is_kept = true;
    for (uint32_t number = 0; is_kept; number++) {
        size_t head_length = read_head(descriptor, buffer, G_MAXUINT64 / 2);
        if (head_length == 0)
            break;
        kit_request request = {.descriptor = descriptor, .number_on_connection = number};
        request.head = g_strndup((char *)buffer->data, head_length);
        g_byte_array_remove_range(buffer, 0, (guint)head_length);
        g_auto(GStrv) words = g_strsplit(request.head, " ", 3);
        request.method = g_strdup(words[0]);
        request.target = g_strdup(words[1] != NULL ? words[1] : "");
        request.id = kit_header(request.head, HEADER_REQUEST_ID);
        if (request.id == NULL)
            request.id = g_strdup("");
        request.last_event = kit_header(request.head, HEADER_LAST_EVENT_ID);
        request.instance = kit_header(request.head, HEADER_TARGET_INSTANCE);
        g_autofree char *length_text = kit_header(request.head, "Content-Length");
        size_t length = length_text != NULL ? g_ascii_strtoull(length_text, NULL, 10) : 0;
        request.body = g_byte_array_new();
        bool has_body = read_bytes(descriptor, buffer, length, G_MAXUINT64 / 2);
        if (has_body) {
            g_byte_array_append(request.body, buffer->data, (guint)length);
            g_byte_array_remove_range(buffer, 0, (guint)length);
        }
        is_kept = has_body && connection->server->handler(&request, connection->server->data);
        g_free(request.method);
        g_free(request.target);
        g_free(request.head);
        g_free(request.id);
        g_free(request.last_event);
        g_free(request.instance);
        g_byte_array_free(request.body, TRUE);
    }
    close(descriptor);
    g_byte_array_free(buffer, TRUE);
    g_free(connection);
    return NULL;
}

static gpointer accept_connections(gpointer data) {
    kit_server *server = data;
    while (true) {
        int descriptor = accept4(server->descriptor, NULL, NULL, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        int enabled = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        kit_connection *connection = g_new0(kit_connection, 1);
        connection->server = server;
        connection->descriptor = descriptor;
        g_thread_unref(g_thread_new("served", serve_connection, connection));
    }
    return NULL;
}

kit_server *kit_server_start(kit_handler handler, void *data) {
    kit_server *server = g_new0(kit_server, 1);
    server->handler = handler;
    server->data = data;
    server->port = port_lease_take(1);
    server->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int enabled = 1;
    setsockopt(server->descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    struct sockaddr_in local = {.sin_family = AF_INET,
                                .sin_port = htons(server->port),
                                .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    if (bind(server->descriptor, (struct sockaddr *)&local, sizeof local) != 0 ||
        listen(server->descriptor, 128) != 0) {
        kit_record("cannot listen: %s", strerror(errno));
        exit(KIT_CANNOT_RUN);
    }
    g_thread_unref(g_thread_new("accept", accept_connections, server));
    return server;
}

uint16_t kit_server_port(const kit_server *server) {
    return server->port;
}

/* ---- daemons ---- */

const char *kit_folder(void) {
    if (*folder == '\0') {
        g_strlcpy(folder, "/tmp/review2-XXXXXX", sizeof folder);
        if (mkdtemp(folder) == NULL)
            exit(KIT_CANNOT_RUN);
    }
    return folder;
}

static void write_settings(const kit_daemon *daemons, int index, uint16_t store_port,
                           const char *more) {
    const kit_daemon *daemon = &daemons[index];
    g_autofree char *text = g_strdup_printf(
        "[daemon]\nsurface = fleet\nid = front-%d\nzone = zone-%c\nregion = plains\n"
        "address = 127.0.0.1\n\n[fleet]\nfront = 127.0.0.1:%u\nready = 127.0.0.1:%u\n"
        "directory = 127.0.0.1:%u\ncontrol = 127.0.0.1:%u\nmetrics = 127.0.0.1:%u\n"
        "seeds = 127.0.0.1:%u\nstore = 127.0.0.1:%u\nparts = 12\nrecord_bytes = 262144\n"
        "call_bytes = 2097152\ngroup_ttl_least_ms = 1000\ndrain_ms = %d\n"
        "config_apply_ms = %d\ncancel_ms = 3000\ncontact_ms = %d\nheartbeat_ms = 1200\n"
        "grace_s = 8\ncpu_share = 0.5\ncores = 1\nmemory_mb = %d\ndescriptors = 8200\n"
        "link_mbps = %d.0\nstatus_s = 120\nresolve_ttl_most_s = 5\n"
        "zone_regions = zone-a:plains,zone-b:plains,zone-c:plains\n%s",
        index, 'a' + index % kit_zones, daemon->front, daemon->ready, daemon->directory, daemon->control, daemon->metrics,
        daemons[0].control, store_port, kit_is_large ? 3000 : 2000,
        kit_is_large ? 3000 : 2000, kit_is_large ? 4000 : 3000, kit_memory_mb, kit_link_mbps, more);
    g_file_set_contents(daemon->settings_path, text, -1, NULL);
}

bool kit_daemon_start(kit_daemon *daemons, int index, uint16_t store_port, const char *more) {
    kit_daemon *daemon = &daemons[index];
    for (int each = 0; each <= index; each++) {
        if (daemons[each].front != 0)
            continue;
        uint16_t first = port_lease_take(5);
        daemons[each].front = first;
        daemons[each].ready = (uint16_t)(first + 1);
        daemons[each].directory = (uint16_t)(first + 2);
        daemons[each].control = (uint16_t)(first + 3);
        daemons[each].metrics = (uint16_t)(first + 4);
        daemons[each].settings_path = g_strdup_printf("%s/daemon-%d.conf", kit_folder(), each);
        const char *logs = g_getenv("REVIEW_LOGS");
        daemons[each].log_path = g_strdup_printf(
            "%s/daemon-%d.log", logs != NULL ? logs : kit_folder(), each);
    }
    write_settings(daemons, index, store_port, more);
    /* As deploy/system.toml: run = "target/heathsaild", from the repository's root. */
    const char *program = g_getenv("REVIEW_DAEMON");
    if (program == NULL)
        program = "target/heathsaild";
    g_autofree char *variable = g_strdup_printf("HEATHSAIL_CONFIG=%s", daemon->settings_path);
    char *arguments[] = {(char *)program, NULL};
    char *environment[] = {variable, "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", NULL};
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        cpu_set_t one_core; /* The machine has one core; the C library's allocator asks for it. */
        CPU_ZERO(&one_core);
        CPU_SET((unsigned)index % (unsigned)g_get_num_processors(), &one_core);
        sched_setaffinity(0, sizeof one_core, &one_core);
        int output = open(daemon->log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execve(program, arguments, environment);
        _exit(127);
    }
    daemon->pid = pid;
    return pid > 0;
}

bool kit_daemon_wait_ready(const kit_daemon *daemon, uint64_t limit_ms) {
    uint64_t until_ms = kit_now_ms() + limit_ms;
    while (kit_now_ms() < until_ms) {
        kit_answer answer = kit_call(daemon->ready, "GET", PATH_READY, NULL, "", NULL, 0, 1000);
        uint32_t status = answer.status;
        kit_answer_clear(&answer);
        if (status == 200)
            return true;
        kit_sleep_ms(50);
    }
    return false;
}

void kit_daemon_kill(kit_daemon *daemon) {
    if (daemon->pid <= 0)
        return;
    kill(daemon->pid, SIGKILL);
    waitpid(daemon->pid, NULL, 0);
    daemon->pid = 0;
}

void kit_clean_up(kit_daemon *daemons, int count) {
    for (int index = 0; index < count; index++)
        kit_daemon_kill(&daemons[index]);
    for (int index = 0; index < count; index++) {
        if (daemons[index].settings_path == NULL)
            continue;
        unlink(daemons[index].settings_path);
        if (g_str_has_prefix(daemons[index].log_path, kit_folder()))
            unlink(daemons[index].log_path);
    }
    rmdir(kit_folder());
}

void kit_announce(log_store *store, const char *id, const char *service, uint16_t port,
                  uint32_t slots, const char *version, const char *state, uint32_t sequence) {
    g_autofree char *entry = g_strdup_printf(
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\",\"version\":\"%s\","
        "\"slots\":%u,\"state\":\"%s\",\"warmup-left-ms\":0,\"sequence\":%u}",
        service, port, version, slots, state, sequence);
    log_store_put(store, TOPIC_ENGINES, id, entry);
}

/* ---- callers ---- */

int kit_connect(uint16_t port) {
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(port),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    if (connect(descriptor, (struct sockaddr *)&to, sizeof to) != 0) {
        close(descriptor);
        return -1;
    }
    int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    return descriptor;
}

/** Reads chunks to the last one; returns whether that came. */
static bool read_chunks(int descriptor, GByteArray *buffer, GByteArray *body, uint64_t until_ms) {
    while (true) {
        const guint8 *end = NULL;
        while ((end = buffer->len >= 2 ? memmem(buffer->data, buffer->len, "\r\n", 2) : NULL) ==
               NULL)
            if (!read_bytes(descriptor, buffer, buffer->len + 1, until_ms))
                return false;
        size_t line = (size_t)(end - buffer->data) + 2;
        size_t size = strtoul((char *)buffer->data, NULL, 16);
        if (!read_bytes(descriptor, buffer, line + size + 2, until_ms)) {
            if (buffer->len > line)
                g_byte_array_append(body, buffer->data + line,
                                    (guint)MIN(size, buffer->len - line));
            return false;
        }
        g_byte_array_append(body, buffer->data + line, (guint)size);
        g_byte_array_remove_range(buffer, 0, (guint)(line + size + 2));
        if (size == 0)
            return true;
    }
}

static bool is_closed(int descriptor) {
    struct pollfd polled = {.fd = descriptor, .events = POLLIN | POLLRDHUP};
    return poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

kit_answer kit_exchange(int descriptor, const char *method, const char *target, const char *id,
                        const char *more_fields, const char *body, size_t body_length,
                        uint64_t limit_ms) {
    kit_answer answer = {.connected = descriptor >= 0, .body = g_byte_array_new()};
    uint64_t begun_ms = kit_now_ms();
    uint64_t until_ms = begun_ms + limit_ms;
    if (descriptor < 0)
        return answer;
    GString *request = g_string_new(NULL);
    g_string_append_printf(request, "%s %s HTTP/1.1\r\nHost: " KIT_HOST "\r\n", method, target);
    if (id != NULL)
        g_string_append_printf(request, HEADER_REQUEST_ID ": %s\r\n", id);
    g_string_append(request, more_fields);
    if (body != NULL)
        g_string_append_printf(request, "Content-Length: %zu\r\n", body_length);
    g_string_append(request, "\r\n");
    if (body != NULL)
        g_string_append_len(request, body, (gssize)body_length);
    kit_send(descriptor, request->str, request->len);
    g_string_free(request, TRUE);
    GByteArray *buffer = g_byte_array_new();
    size_t head_length = read_head(descriptor, buffer, until_ms);
    answer.has_head = head_length > 0;
    if (answer.has_head) {
        answer.head = g_strndup((char *)buffer->data, head_length);
        g_byte_array_remove_range(buffer, 0, (guint)head_length);
        answer.status = (uint32_t)strtoul(answer.head + strlen("HTTP/1.1 "), NULL, 10);
        g_autofree char *length_text = kit_header(answer.head, "Content-Length");
        g_autofree char *coding = kit_header(answer.head, "Transfer-Encoding");
        if (coding != NULL) {
            answer.is_whole = read_chunks(descriptor, buffer, answer.body, until_ms);
        } else if (length_text != NULL) {
            size_t length = g_ascii_strtoull(length_text, NULL, 10);
            answer.is_whole = read_bytes(descriptor, buffer, length, until_ms);
            g_byte_array_append(answer.body, buffer->data, (guint)MIN(length, buffer->len));
        } else {
            while (read_bytes(descriptor, buffer, buffer->len + 1, until_ms))
                continue;
            g_byte_array_append(answer.body, buffer->data, buffer->len);
            answer.is_whole = is_closed(descriptor);
        }
    }
    g_byte_array_free(buffer, TRUE);
    answer.is_closed = is_closed(descriptor);
    answer.took_ms = kit_now_ms() - begun_ms;
    return answer;
}

kit_answer kit_call(uint16_t port, const char *method, const char *target, const char *id,
                    const char *more_fields, const char *body, size_t body_length,
                    uint64_t limit_ms) {
    int descriptor = kit_connect(port);
    kit_answer answer = kit_exchange(descriptor, method, target, id, more_fields, body,
                                     body_length, limit_ms);
    if (descriptor >= 0)
        close(descriptor);
    return answer;
}

void kit_answer_clear(kit_answer *answer) {
    g_free(answer->head);
    g_byte_array_free(answer->body, TRUE);
}
