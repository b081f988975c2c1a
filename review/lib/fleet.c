/** @file fleet.c  See fleet.h. */
#include "review/lib/fleet.h"

#include "base/clock.h"
#include "base/peer_watch.h"
#include "http/client_connection.h"
#include "http/http_fields.h"
#include "jobs/job_partition.h"
#include "platform/names.h"
#include "standin/port_lease/port_lease.h"

#include <glib/gstdio.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define MAX_BODY (16U * 1024 * 1024)
#define SILENT_CALL_MS 20000
/** A script that hangs ends as one that could not run. */
#define MAX_SCRIPT_S 115

typedef struct {
    int index;
    uint16_t front, ready, directory, control, metrics, gate_port;
    hs_listener *gate;
    pid_t pid;
    char *settings;
    char *log;
} member;

static struct {
    log_store *store;
    member members[FLEET_MAX_DAEMONS];
    int count;
    gate_rule rule;
    void *user_data;
    FILE *record;
    char *folder;
    uint64_t begun_ms;
    gint is_ending;
    GMutex lock;
    int owners[FLEET_PARTITIONS]; /**< Daemon + 1 by the store's answers to joins; 0: none. */
    uint64_t joined_ms[FLEET_MAX_DAEMONS];
} fleet;

uint64_t fleet_now_ms(void) {
    return hs_clock_monotonic_ms() - fleet.begun_ms;
}

void fleet_sleep_until(uint64_t at_ms) {
    while (fleet_now_ms() < at_ms)
        hs_clock_sleep_ms(5);
}

void fleet_record(const char *format, ...) {
    va_list values;
    va_start(values, format);
    g_mutex_lock(&fleet.lock);
    fprintf(fleet.record, "%8.3f s  ", (double)fleet_now_ms() / 1000.0);
    vfprintf(fleet.record, format, values);
    fputc('\n', fleet.record);
    fflush(fleet.record);
    g_mutex_unlock(&fleet.lock);
    va_end(values);
}

bool fleet_has_trouble(void) {
    return g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
}

log_store *fleet_store(void) {
    return fleet.store;
}

/** Makes the call at the store; returns false if there is no answer. */
static bool pass_on(const hs_inbound *call, uint32_t *status, GByteArray *body) {
    hs_wait wait = {.deadline = hs_clock_monotonic_ms() + 40000, .watched = HS_WATCH_NOTHING};
    hs_step step = HS_STEP_CUT;
    hs_client_connection *connection =
        hs_client_connection_open(INADDR_LOOPBACK, log_store_port(fleet.store), &wait, &step);
    if (connection == NULL)
        return false;
    g_autoptr(GString) head = g_string_new(NULL);
    g_string_printf(head, "%s %s HTTP/1.1\r\nHost: store\r\nContent-Length: %u\r\n\r\n",
                    call->method, call->target, call->body->len);
    step = hs_client_connection_send(connection, head, call->body->data, call->body->len, false,
                                     &wait);
    if (step == HS_STEP_PROGRESS)
        step = hs_client_connection_read_head(connection, &wait);
    if (step == HS_STEP_PROGRESS || step == HS_STEP_COMPLETE)
        step = hs_client_connection_read_all(connection, MAX_BODY, &wait);
    if (step == HS_STEP_COMPLETE) {
        const GByteArray *received = hs_client_connection_body(connection);
        *status = hs_client_connection_status(connection);
        g_byte_array_append(body, received->data, received->len);
    }
    hs_client_connection_close(connection);
    return step == HS_STEP_COMPLETE;
}

/** Says nothing on the connection until the daemon closes it. */
static void stay_silent(hs_inbound *call) {
    uint64_t until_ms = hs_clock_monotonic_ms() + SILENT_CALL_MS;
    while (hs_clock_monotonic_ms() < until_ms && g_atomic_int_get(&fleet.is_ending) == 0 &&
           !hs_peer_wait_for_disconnect(call->descriptor, 50))
        continue;
    hs_inbound_drop(call);
}

/** Notes which partitions a daemon was given, by the store's answer to its join. */
static void note_join(int daemon, const GByteArray *body) {
    json_t *root = json_loadb((const char *)body->data, body->len, 0, NULL);
    size_t index = 0;
    json_t *row = NULL;
    g_mutex_lock(&fleet.lock);
    for (uint32_t partition = 0; partition < FLEET_PARTITIONS; partition++)
        if (fleet.owners[partition] == daemon + 1)
            fleet.owners[partition] = 0;
    json_array_foreach(json_object_get(root, "parts"), index, row)
        fleet.owners[json_integer_value(json_array_get(row, 1)) % FLEET_PARTITIONS] = daemon + 1;
    fleet.joined_ms[daemon] = fleet_now_ms();
    g_mutex_unlock(&fleet.lock);
    json_decref(root);
}

int fleet_owner(uint32_t partition) {
    g_mutex_lock(&fleet.lock);
    int owner = fleet.owners[partition] - 1;
    g_mutex_unlock(&fleet.lock);
    return owner;
}

uint64_t fleet_joined_ms(int index) {
    g_mutex_lock(&fleet.lock);
    uint64_t joined_ms = fleet.joined_ms[index];
    g_mutex_unlock(&fleet.lock);
    return joined_ms;
}

static void serve_gate(hs_inbound *call, void *user_data) {
    const member *caller = user_data;
    gate_verdict verdict = {.action = GATE_PASS};
    if (fleet.rule != NULL)
        verdict = fleet.rule(caller->index, call, fleet.user_data);
    uint32_t status = 0;
    g_autoptr(GByteArray) body = g_byte_array_new();
    if (verdict.action == GATE_DO_LATE || verdict.action == GATE_DELAY)
        hs_clock_sleep_ms(verdict.late_ms);
    if (verdict.action == GATE_REFUSE) {
        hs_inbound_reply(call, 503, NULL, "{}", 2);
        return;
    }
    bool is_done = verdict.action != GATE_LOSE && pass_on(call, &status, body);
    if (is_done && strcmp(call->method, "GET") == 0 && fleet.rule != NULL &&
        fleet.rule(caller->index, call, fleet.user_data).action == GATE_REFUSE) {
        hs_inbound_reply(call, 503, NULL, "{}", 2); /* Turned away while the call was held. */
        return;
    }
    if (is_done && status == 200 && g_str_has_prefix(call->target, CALL_JOIN))
        note_join(caller->index, body);
    bool is_answered = verdict.action == GATE_PASS || verdict.action == GATE_DELAY;
    if (!is_answered || !is_done) {
        stay_silent(call);
        return;
    }
    hs_inbound_reply(call, status, NULL, body->data, body->len);
}

/** Ends the daemons and removes the temporary files. Async-signal-safe. */
static void clean_up(void) {
    for (int index = 0; index < fleet.count; index++) {
        const member *of = &fleet.members[index];
        if (of->pid > 0) {
            kill(of->pid, SIGKILL);
            waitpid(of->pid, NULL, 0);
        }
        if (of->log != NULL)
            unlink(of->log);
        if (of->settings != NULL)
            unlink(of->settings);
    }
    if (fleet.folder != NULL)
        rmdir(fleet.folder);
}

static void end_by_signal(int number) {
    (void)number;
    clean_up();
    _exit(FLEET_CANNOT_RUN);
}

void fleet_begin(const char *name, int daemons, gate_rule rule, void *user_data) {
    signal(SIGPIPE, SIG_IGN);
    signal(SIGINT, end_by_signal);
    signal(SIGTERM, end_by_signal);
    signal(SIGHUP, end_by_signal);
    signal(SIGALRM, end_by_signal);
    alarm(MAX_SCRIPT_S);
    g_autofree char *path = g_strdup_printf("review/%s/record.txt", name);
    fleet.begun_ms = hs_clock_monotonic_ms();
    fleet.record = fopen(path, "w");
    fleet.folder = g_dir_make_tmp("review-XXXXXX", NULL);
    if (fleet.record == NULL || fleet.folder == NULL)
        exit(FLEET_CANNOT_RUN);
    fleet.count = daemons;
    fleet.rule = rule;
    fleet.user_data = user_data;
    fleet.store = log_store_start(0);
    for (int index = 0; index < daemons; index++) {
        member *added = &fleet.members[index];
        uint16_t first = port_lease_take(6);
        *added = (member){.index = index,
                          .front = first,
                          .ready = (uint16_t)(first + 1),
                          .directory = (uint16_t)(first + 2),
                          .control = (uint16_t)(first + 3),
                          .metrics = (uint16_t)(first + 4),
                          .gate_port = (uint16_t)(first + 5)};
        added->settings = g_strdup_printf("%s/settings-%d", fleet.folder, index);
        added->log = g_strdup_printf("%s/daemon-%d.log", fleet.folder, index);
        added->gate = hs_listener_start("127.0.0.1", added->gate_port,
                                        &(hs_listener_limits){.max_body_bytes = MAX_BODY},
                                        serve_gate, added, NULL);
        if (added->gate == NULL) {
            clean_up();
            exit(FLEET_CANNOT_RUN);
        }
    }
    fleet_record("begins with %d daemons, trouble %s", daemons, fleet_has_trouble() ? "on" : "off");
}

void fleet_configure(int version, unsigned retention_s) {
    g_autofree char *text = g_strdup_printf(
        "{\"version\":%d,\"routes\":["
        "{\"name\":\"once\",\"host\":\"" FLEET_HOST "\",\"path-prefix\":\"/once/\","
        "\"kind\":\"streaming\",\"timeout-ms\":8000,\"target-latency-ms\":300,\"priority\":0,"
        "\"service\":\"llm\",\"max-attempts\":1,\"session-affinity\":true,\"resumable\":false,"
        "\"gap-target-ms\":500},"
        "{\"name\":\"again\",\"host\":\"" FLEET_HOST "\",\"path-prefix\":\"/again/\","
        "\"kind\":\"streaming\",\"timeout-ms\":6000,\"target-latency-ms\":500,\"priority\":0,"
        "\"service\":\"llm\",\"max-attempts\":2,\"session-affinity\":true,\"resumable\":true,"
        "\"gap-target-ms\":500},"
        "{\"name\":\"plain\",\"host\":\"" FLEET_HOST "\",\"path-prefix\":\"/plain/\","
        "\"kind\":\"idempotent\",\"timeout-ms\":4000,\"target-latency-ms\":300,\"priority\":2,"
        "\"service\":\"llm\",\"max-attempts\":2},"
        "{\"name\":\"jobs\",\"host\":\"" FLEET_HOST "\",\"path-prefix\":\"/jobs/\","
        "\"kind\":\"batch\",\"timeout-ms\":30000,\"target-latency-ms\":400,\"priority\":2,"
        "\"completion-target-ms\":20000,\"service\":\"llm\",\"max-attempts\":3,"
        "\"retention-s\":%u}],"
        "\"services\":[{\"name\":\"llm\",\"health-check\":\"/healthz\",\"max-connections\":300,"
        "\"protocol\":\"h1\",\"tls\":false}],"
        "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
        "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}",
        version, retention_s);
    log_store_put(fleet.store, TOPIC_CONFIG, KEY_CONFIG, text);
    fleet_record("the operator writes configuration %d", version);
}

/** Writes the settings file as deploy/settings.template gives it for a machine. */
static void write_settings(const member *of) {
    GString *seeds = g_string_new(NULL);
    for (int index = 0; index < MIN(fleet.count, 3); index++)
        g_string_append_printf(seeds, "%s127.0.0.1:%u", index > 0 ? "," : "",
                               fleet.members[index].control);
    g_autofree char *text = g_strdup_printf(
        "[daemon]\nsurface = fleet\nid = front-brandon-%d\nzone = brandon\nregion = plains\n"
        "address = 127.0.0.1\n\n[fleet]\nfront = 127.0.0.1:%u\nready = 127.0.0.1:%u\n"
        "directory = 127.0.0.1:%u\ncontrol = 127.0.0.1:%u\nmetrics = 127.0.0.1:%u\nseeds = %s\n"
        "store = 127.0.0.1:%u\nparts = %d\nrecord_bytes = 262144\ncall_bytes = 2097152\n"
        "group_ttl_least_ms = 1000\ndrain_ms = 2000\nconfig_apply_ms = 2000\ncancel_ms = 3000\n"
        "contact_ms = 3000\nheartbeat_ms = 1200\ngrace_s = 8\ntolerated_zones = 0\n"
        "cpu_share = 0.5\ncores = 1\nmemory_mb = 290\ndescriptors = 8200\nlink_mbps = 1000.0\n"
        "status_s = 120\nresolve_ttl_most_s = 5\nzone_regions = brandon:plains\n",
        of->index + 1, of->front, of->ready, of->directory, of->control, of->metrics, seeds->str,
        of->gate_port, FLEET_PARTITIONS);
    g_file_set_contents(of->settings, text, -1, NULL);
    g_string_free(seeds, TRUE);
}

bool fleet_start_daemon(int index) {
    member *started = &fleet.members[index];
    write_settings(started);
    fflush(fleet.record);
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); /* Also if the driver is killed. */
        setenv("HEATHSAIL_CONFIG", started->settings, 1);
        if (freopen(started->log, "a", stdout) == NULL ||
            freopen(started->log, "a", stderr) == NULL)
            _exit(127);
        execl("target/heathsaild", "target/heathsaild", (char *)NULL);
        _exit(127);
    }
    started->pid = pid;
    fleet_record("daemon %d starts", index);
    return pid > 0;
}

void fleet_signal(int index, int number) {
    member *of = &fleet.members[index];
    if (of->pid <= 0)
        return;
    kill(of->pid, number);
    fleet_record("daemon %d gets signal %d (%s)", index, number, strsignal(number));
    if (number != SIGKILL && number != SIGTERM)
        return;
    waitpid(of->pid, NULL, 0);
    of->pid = 0;
}

bool fleet_is_running(int index) {
    member *of = &fleet.members[index];
    int status = 0;
    if (of->pid <= 0)
        return false;
    if (waitpid(of->pid, &status, WNOHANG) != of->pid)
        return true;
    fleet_record("daemon %d ended by itself: %s %d", index,
                 WIFSIGNALED(status) ? "signal" : "status",
                 WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
    of->pid = 0;
    return false;
}

uint16_t fleet_front_port(int index) {
    return fleet.members[index].front;
}

void fleet_answer_clear(fleet_answer *answer) {
    g_free(answer->body);
    memset(answer, 0, sizeof *answer);
}

static fleet_answer call_port(uint16_t port, const char *method, const char *target, const char *id,
                              const char *body, unsigned timeout_ms, unsigned wait_ms,
                              unsigned give_up_ms, const char *lines) {
    fleet_answer answer = {0};
    hs_wait wait = {.deadline = hs_clock_monotonic_ms() + give_up_ms, .watched = HS_WATCH_NOTHING};
    hs_step step = HS_STEP_CUT;
    hs_client_connection *connection =
        hs_client_connection_open(INADDR_LOOPBACK, port, &wait, &step);
    if (connection == NULL)
        return answer;
    g_autoptr(GString) head = g_string_new(NULL);
    g_string_printf(head, "%s %s HTTP/1.1\r\nHost: " FLEET_HOST "\r\n", method, target);
    if (id != NULL)
        g_string_append_printf(head, HEADER_REQUEST_ID ": %s\r\n", id);
    if (timeout_ms > 0)
        g_string_append_printf(head, HEADER_TIMEOUT_MS ": %u\r\n", timeout_ms);
    if (wait_ms > 0)
        g_string_append_printf(head, HEADER_WAIT_MS ": %u\r\n", wait_ms);
    g_string_append(head, lines);
    if (body != NULL)
        g_string_append_printf(head, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
                               strlen(body));
    g_string_append(head, "\r\n");
    step = hs_client_connection_send(connection, head, body, body != NULL ? strlen(body) : 0, false,
                                     &wait);
    if (step == HS_STEP_PROGRESS)
        step = hs_client_connection_read_head(connection, &wait);
    if (step == HS_STEP_PROGRESS || step == HS_STEP_COMPLETE) {
        step = hs_client_connection_read_all(connection, MAX_BODY, &wait);
        const GByteArray *received = hs_client_connection_body(connection);
        answer.status = hs_client_connection_status(connection);
        answer.whole = step == HS_STEP_COMPLETE;
        answer.length = received->len;
        answer.body = g_strndup((const char *)received->data, received->len);
        const char *after =
            hs_http_fields_find(hs_client_connection_fields(connection), "Retry-After");
        answer.retry_after_ms = after != NULL ? (uint32_t)(g_ascii_strtod(after, NULL) * 1000) : 0;
    }
    answer.is_closed = step == HS_STEP_CUT;
    hs_client_connection_close(connection);
    return answer;
}

fleet_answer fleet_call(int index, const char *method, const char *target, const char *id,
                        const char *body, unsigned timeout_ms, unsigned wait_ms,
                        unsigned give_up_ms) {
    return call_port(fleet.members[index].front, method, target, id, body, timeout_ms, wait_ms,
                     give_up_ms, "");
}

fleet_answer fleet_call_with(int index, const char *method, const char *target, const char *id,
                             const char *body, unsigned timeout_ms, unsigned wait_ms,
                             unsigned give_up_ms, const char *lines) {
    return call_port(fleet.members[index].front, method, target, id, body, timeout_ms, wait_ms,
                     give_up_ms, lines);
}

bool fleet_wait_ready(int index, unsigned limit_ms) {
    uint64_t until_ms = fleet_now_ms() + limit_ms;
    bool is_ready = false;
    while (!is_ready && fleet_now_ms() < until_ms) {
        fleet_answer answer =
            call_port(fleet.members[index].ready, "GET", PATH_READY, NULL, NULL, 0, 0, 1000, "");
        is_ready = answer.status == 200;
        fleet_answer_clear(&answer);
        if (!is_ready)
            hs_clock_sleep_ms(20);
    }
    fleet_record("daemon %d is %s", index, is_ready ? "ready" : "not ready");
    return is_ready;
}

int fleet_metric(int index, const char *name) {
    fleet_answer answer =
        call_port(fleet.members[index].metrics, "GET", "/metrics", NULL, NULL, 0, 0, 1000, "");
    const char *line = answer.body != NULL ? strstr(answer.body, name) : NULL;
    int value = line != NULL ? atoi(line + strlen(name)) : -1;
    fleet_answer_clear(&answer);
    return value;
}

bool fleet_wait_owners(unsigned limit_ms) {
    uint64_t until_ms = fleet_now_ms() + limit_ms;
    uint64_t since_ms = 0;
    while (fleet_now_ms() < until_ms) {
        bool is_dealt = true;
        for (int index = 0; index < fleet.count; index++)
            is_dealt = is_dealt &&
                       fleet_metric(index, "heathsail_job_partitions_owned ") ==
                           FLEET_PARTITIONS / fleet.count &&
                       fleet_metric(index, "heathsail_job_partitions_located ") == FLEET_PARTITIONS;
        if (!is_dealt)
            since_ms = 0;
        else if (since_ms == 0)
            since_ms = fleet_now_ms();
        if (since_ms != 0 && fleet_now_ms() > since_ms + 1000) {
            fleet_record("all partitions of jobs have owners");
            return true;
        }
        hs_clock_sleep_ms(50);
    }
    return false;
}

char *fleet_id_in_partition(const char *prefix, uint32_t partition) {
    for (uint32_t number = 0;; number++) {
        char *id = g_strdup_printf("%s%04x", prefix, number);
        if (hs_job_partition_number_for_job(id, FLEET_PARTITIONS) == partition)
            return id;
        g_free(id);
    }
}

uint32_t fleet_submit(int index, const char *job, int items, unsigned timeout_ms) {
    g_autoptr(GString) body = g_string_new("{\"requests\":[");
    for (int item = 0; item < items; item++) {
        g_autofree char *content = g_strdup_printf("body of %s-%d", job, item);
        g_autofree char *encoded = g_base64_encode((const guchar *)content, strlen(content));
        g_string_append_printf(body,
                               "%s{\"id\":\"%s-%d\",\"path\":\"/jobs/run\",\"headers\":{},"
                               "\"body\":\"%s\",\"tokens\":10}",
                               item > 0 ? "," : "", job, item, encoded);
    }
    g_string_append(body, "]}");
    g_autofree char *target = g_strdup_printf("/jobs/%s", job);
    fleet_record("job %s (%d items) is sent to daemon %d", job, items, index);
    fleet_answer answer =
        fleet_call(index, "POST", target, job, body->str, timeout_ms, 0, timeout_ms + 1500);
    fleet_record("job %s: daemon %d answers %u", job, index, answer.status);
    uint32_t status = answer.status;
    fleet_answer_clear(&answer);
    return status;
}

int fleet_end(int code) {
    g_atomic_int_set(&fleet.is_ending, 1);
    fleet_record("exit %d: %s", code,
                 code == FLEET_HELD     ? "the rule held"
                 : code == FLEET_BROKEN ? "the rule was broken"
                                        : "the case could not run");
    clean_up();
    fclose(fleet.record);
    _exit(code); /* Threads of the stand-ins may still wait for calls. */
}
