/** @file fleet_bench.c  See fleet_bench.h. */
#include "tools/surface/fleet_bench.h"

#include "base/clock.h"
#include "http/client_connection.h"
#include "http/http_fields.h"
#include "platform/names.h"
#include "standin/port_lease/port_lease.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

/** Listeners of a daemon; each daemon has PORT_KINDS consecutive ports. */
typedef enum {
    PORT_FRONT,
    PORT_READY,
    PORT_DIRECTORY,
    PORT_CONTROL,
    PORT_METRICS,
    PORT_KINDS,
} port_kind;

#define CALL_TIMEOUT_MS 12000
#define MAX_BODY_BYTES (16U * 1024 * 1024)
#define READY_TIMEOUT_MS 8000
#define DEFAULT_RETENTION_S 60U
#define DEFAULT_CONNECTIONS 100U
#define DEFAULT_GRACE_S 6U
/** Retention of items for the service without engines. */
#define FAR_JOBS_RETENTION_S 10U
#define EVENT_INTERVAL_MS 15
#define MS_PER_S 1000U

fleet_bench bench;

int bench_daemon_count(void) {
    return bench.settings.daemons > 0 ? bench.settings.daemons : BENCH_DEFAULT_DAEMONS;
}

uint32_t bench_item_events(void) {
    return bench.settings.item_pace.events > 0 ? bench.settings.item_pace.events : BENCH_EVENTS;
}

/** Returns the port of a listener, which stays the same over restarts of the daemon. */
static uint16_t get_port(port_kind kind, int index) {
    static uint16_t first_ports[BENCH_MAX_DAEMONS];
    if (first_ports[index] == 0)
        first_ports[index] = port_lease_take(PORT_KINDS);
    return (uint16_t)(first_ports[index] + (int)kind);
}

uint16_t bench_front_port(int index) {
    return get_port(PORT_FRONT, index);
}

uint16_t bench_ready_port(int index) {
    return get_port(PORT_READY, index);
}

uint16_t bench_directory_port(int index) {
    return get_port(PORT_DIRECTORY, index);
}

uint16_t bench_control_port(int index) {
    return get_port(PORT_CONTROL, index);
}

uint16_t bench_metrics_port(int index) {
    return get_port(PORT_METRICS, index);
}

static void add_setting(GPtrArray *arguments, char *setting) {
    g_ptr_array_add(arguments, g_strdup("--set"));
    g_ptr_array_add(arguments, setting);
}

static void add_address(GPtrArray *arguments, const char *name, uint16_t port) {
    add_setting(arguments, g_strdup_printf("fleet.%s=127.0.0.1:%u", name, port));
}

static uint16_t get_store_port(int index) {
    if (bench.store_ports[index] != 0)
        return bench.store_ports[index];
    return bench.store_port != 0 ? bench.store_port : log_store_port(bench.store);
}

static const char *get_zone(int index) {
    return bench.settings.zones != NULL ? bench.settings.zones[index] : "zone-a";
}

static GPtrArray *daemon_arguments(int index, const char *settings_path) {
    GPtrArray *arguments = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(arguments,
                    bench.runs_previous_program[index]
                        ? g_strdup(bench.previous_program)
                        : g_strdup_printf("%s/heathsaild", g_getenv("HS_TEST_PROGRAMS")));
    if (settings_path != NULL) {
        g_ptr_array_add(arguments, g_strdup("--settings"));
        g_ptr_array_add(arguments, g_strdup(settings_path));
    }
    add_setting(arguments, g_strdup("daemon.surface=fleet"));
    add_setting(arguments, g_strdup_printf("daemon.id=front-%d", index));
    add_setting(arguments, g_strdup_printf("daemon.zone=%s", get_zone(index)));
    if (bench.settings.zone_regions != NULL)
        add_setting(arguments,
                    g_strdup_printf("fleet.zone_regions=%s", bench.settings.zone_regions));
    if (bench.settings.evacuate_ms != 0)
        add_setting(arguments, g_strdup_printf("fleet.evacuate_ms=%u", bench.settings.evacuate_ms));
    add_address(arguments, "front", get_port(PORT_FRONT, index));
    add_address(arguments, "ready", get_port(PORT_READY, index));
    add_address(arguments, "directory", get_port(PORT_DIRECTORY, index));
    add_address(arguments, "control", get_port(PORT_CONTROL, index));
    add_address(arguments, "metrics", get_port(PORT_METRICS, index));
    add_address(arguments, "seeds", get_port(PORT_CONTROL, 0));
    add_address(arguments, "store", get_store_port(index));
    add_setting(arguments, g_strdup_printf("fleet.grace_s=%u", bench.settings.grace_s > 0
                                                                   ? bench.settings.grace_s
                                                                   : DEFAULT_GRACE_S));
    add_setting(arguments, g_strdup("fleet.heartbeat_ms=500"));
    add_setting(arguments, g_strdup("fleet.status_s=3600")); /* Keeps all jobs of a long run. */
    g_ptr_array_add(arguments, NULL);
    return arguments;
}

/** Options of a daemon start. */
typedef struct {
    bool has_unread_output;
    const char *settings_path; /**< NULL: none. */
    unsigned descriptors;      /**< Descriptor limit; 0: as this process. */
} daemon_start_options;

static bool limit_descriptors(unsigned descriptors) {
    struct rlimit limit = {.rlim_cur = descriptors, .rlim_max = descriptors};
    return descriptors == 0 || setrlimit(RLIMIT_NOFILE, &limit) == 0;
}

/** Returns the file for a daemon's output; NULL: inherited. Free with g_free. */
static char *make_output_path(int index) {
    if (bench.settings.log_directory != NULL)
        return g_strdup_printf("%s/daemon-%d.log", bench.settings.log_directory, index);
    return g_getenv("HS_BENCH_QUIET") != NULL ? g_strdup("/dev/null") : NULL;
}

static bool start_daemon(int index, const daemon_start_options *options) {
    GPtrArray *arguments = daemon_arguments(index, options->settings_path);
    g_autofree char *path = make_output_path(index);
    bool has_unread_output = options->has_unread_output;
    int output[2] = {-1, -1};
    if (has_unread_output && pipe(output) != 0)
        return false;
    /* The child inherits blocked signals, so that one before the daemon installs its handling
     * stays pending instead of ending the process. */
    sigset_t daemon_signals;
    sigset_t previous_signals;
    sigemptyset(&daemon_signals);
    sigaddset(&daemon_signals, SIGTERM);
    sigaddset(&daemon_signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &daemon_signals, &previous_signals);
    pid_t pid = fork();
    if (pid != 0)
        pthread_sigmask(SIG_SETMASK, &previous_signals, NULL);
    if (pid == 0) {
        if (path != NULL && freopen(path, "a", stdout) == NULL)
            _exit(EXIT_FAILURE);
        if (has_unread_output)
            dup2(output[1], STDOUT_FILENO);
        if (!limit_descriptors(options->descriptors))
            _exit(EXIT_FAILURE);
        execv(arguments->pdata[0], (char **)arguments->pdata);
        _exit(EXIT_FAILURE);
    }
    if (has_unread_output)
        close(output[1]); /* The read end stays open, unread, until this process ends. */
    g_ptr_array_free(arguments, TRUE);
    bench.pids[index] = pid;
    return pid > 0;
}

bool bench_start_daemon(int index, bool has_unread_output) {
    return start_daemon(index, &(daemon_start_options){.has_unread_output = has_unread_output});
}

bool bench_start_daemon_with_settings(int index, const char *settings_path) {
    return start_daemon(index, &(daemon_start_options){.settings_path = settings_path});
}

bool bench_start_daemon_with_descriptor_limit(int index, unsigned descriptors) {
    return start_daemon(index, &(daemon_start_options){.descriptors = descriptors});
}

int bench_signal_daemon(int index, int signal_number) {
    pid_t pid = bench.pids[index];
    if (pid == 0 || kill(pid, signal_number) != 0)
        return -1;
    return signal_number == SIGKILL || signal_number == SIGTERM ? bench_wait_end(index) : 0;
}

void bench_begin_stop(int index) {
    if (bench.pids[index] != 0)
        kill(bench.pids[index], SIGTERM);
}

int bench_wait_end(int index) {
    pid_t pid = bench.pids[index];
    if (pid == 0)
        return -1;
    int status = 0;
    bench.pids[index] = 0;
    if (waitpid(pid, &status, 0) != pid || !WIFEXITED(status))
        return -1;
    return WEXITSTATUS(status);
}

void bench_set_engine_modes(token_engine_mode mode) {
    for (int index = 0; index < BENCH_ENGINES; index++)
        token_engine_set_mode(bench.engines[index], mode);
}

uint32_t bench_run_count(const char *request_id) {
    uint32_t runs = 0;
    for (int index = 0; index < BENCH_ENGINES; index++)
        runs += token_engine_run_count(bench.engines[index], request_id);
    return runs;
}

uint32_t bench_resume_count(const char *request_id) {
    uint32_t resumes = 0;
    for (int index = 0; index < BENCH_ENGINES; index++)
        resumes += token_engine_resume_count(bench.engines[index], request_id);
    return resumes;
}

void bench_answer_clear(bench_answer *answer) {
    g_free(answer->body);
    hs_http_fields_free(answer->fields);
    memset(answer, 0, sizeof *answer);
}

static GString *make_head(const bench_call *call) {
    GString *head = g_string_new(NULL);
    g_string_append_printf(head, "%s %s HTTP/1.1\r\nHost: " BENCH_HOST "\r\n", call->method,
                           call->target);
    if (call->request_id != NULL)
        g_string_append_printf(head, HEADER_REQUEST_ID ": %s\r\n", call->request_id);
    for (int index = 0; call->fields != NULL && call->fields[index] != NULL; index++)
        g_string_append_printf(head, "%s\r\n", call->fields[index]);
    if (call->timeout_ms > 0)
        g_string_append_printf(head, HEADER_TIMEOUT_MS ": %u\r\n", call->timeout_ms);
    if (call->wait_ms > 0)
        g_string_append_printf(head, HEADER_WAIT_MS ": %u\r\n", call->wait_ms);
    if (call->last_event > 0)
        g_string_append_printf(head, HEADER_LAST_EVENT_ID ": %u\r\n", call->last_event);
    if (call->body != NULL)
        g_string_append_printf(head, "Content-Length: %zu\r\n", strlen(call->body));
    g_string_append(head, "\r\n");
    return head;
}

static GArray *copy_fields(const GArray *fields) {
    GArray *copy = hs_http_fields_new();
    for (guint index = 0; index < fields->len; index++) {
        const hs_http_field *field = &g_array_index(fields, hs_http_field, index);
        hs_http_fields_add(copy, field->name, field->value);
    }
    return copy;
}

/** Returns the reused connection of the call or a new one; NULL if the connection fails. */
static hs_client_connection *connect_for_call(const bench_call *call, const hs_wait *wait) {
    hs_step step = HS_STEP_CUT;
    if (call->kept != NULL && *call->kept != NULL)
        return g_steal_pointer(call->kept);
    uint16_t port = call->port != 0 ? call->port : bench_front_port(call->daemon);
    return hs_client_connection_open(INADDR_LOOPBACK, port, wait, &step);
}

static void finish_call(const bench_call *call, hs_client_connection *connection) {
    if (call->kept != NULL && hs_client_connection_is_reusable(connection))
        *call->kept = connection;
    else
        hs_client_connection_close(connection);
}

bench_answer bench_send(const bench_call *call) {
    bench_answer answer = {0};
    uint32_t deadline_ms =
        call->disconnect_after_ms > 0 ? call->disconnect_after_ms : CALL_TIMEOUT_MS;
    hs_wait wait = {.deadline = hs_clock_monotonic_ms() + deadline_ms, .watched = HS_WATCH_NOTHING};
    hs_client_connection *connection = connect_for_call(call, &wait);
    if (connection == NULL)
        return answer;
    hs_step step = HS_STEP_CUT;
    GString *head = make_head(call);
    step = hs_client_connection_send(connection, head, call->body,
                                     call->body != NULL ? strlen(call->body) : 0, false, &wait);
    g_string_free(head, TRUE);
    if (step == HS_STEP_PROGRESS)
        step = hs_client_connection_read_head(connection, &wait);
    if (step == HS_STEP_PROGRESS || step == HS_STEP_COMPLETE) {
        step = hs_client_connection_read_all(connection, MAX_BODY_BYTES, &wait);
        answer.whole = step == HS_STEP_COMPLETE;
        const GByteArray *body = hs_client_connection_body(connection);
        answer.status = hs_client_connection_status(connection);
        answer.body = body->len > 0 ? g_strndup((const char *)body->data, body->len) : g_strdup("");
        answer.fields = copy_fields(hs_client_connection_fields(connection));
    }
    answer.left = step == HS_STEP_DEADLINE;
    finish_call(call, connection);
    return answer;
}

bool bench_wait_ready(int index) {
    uint64_t deadline_ms = hs_clock_monotonic_ms() + READY_TIMEOUT_MS;
    bool ready = false;
    while (!ready && hs_clock_monotonic_ms() < deadline_ms) {
        bench_answer answer = bench_send(
            &(bench_call){.method = "GET", .target = PATH_READY, .port = bench_ready_port(index)});
        ready = answer.status == 200;
        bench_answer_clear(&answer);
        if (!ready)
            hs_clock_sleep_ms(20);
    }
    return ready;
}

void bench_configure(int version) {
    bench_configure_tenants(version, NULL);
}

/** Returns the route with an allowed region, followed by a comma; "" without it. */
static char *make_home_route(void) {
    if (bench.settings.home_region == NULL)
        return g_strdup("");
    return g_strdup_printf("{\"name\":\"home\",\"host\":\"" BENCH_HOST
                           "\",\"path-prefix\":\"/home/\",\"kind\":\"idempotent\","
                           "\"timeout-ms\":4000,\"target-latency-ms\":300,\"service\":\"llm\","
                           "\"max-attempts\":2,\"allowed-regions\":[\"%s\"]},",
                           bench.settings.home_region);
}

void bench_configure_tenants(int version, const char *tenants) {
    g_autofree char *tenants_member =
        tenants != NULL ? g_strdup_printf("\"tenants\":%s,", tenants) : g_strdup("");
    const char *members = bench.settings.route_members != NULL ? bench.settings.route_members : "";
    uint32_t connections =
        bench.settings.connections > 0 ? bench.settings.connections : DEFAULT_CONNECTIONS;
    uint32_t retention_s =
        bench.settings.retention_s > 0 ? bench.settings.retention_s : DEFAULT_RETENTION_S;
    g_autofree char *home = make_home_route();
    g_autofree char *text = g_strdup_printf(
        "{\"version\":%d,\"routes\":[%s"
        "{\"name\":\"once\",\"host\":\"" BENCH_HOST "\",\"path-prefix\":\"/once/\","
        "\"kind\":\"streaming\",\"timeout-ms\":4000,\"target-latency-ms\":300,\"service\":\"llm\","
        "\"max-attempts\":1,\"resumable\":false},"
        "{\"name\":\"again\",\"host\":\"" BENCH_HOST "\",\"path-prefix\":\"/again/\","
        "\"kind\":\"streaming\",\"timeout-ms\":4000,\"target-latency-ms\":300,\"service\":\"%s\","
        "\"max-attempts\":4,\"resumable\":true},"
        "{%s\"name\":\"plain\",\"host\":\"" BENCH_HOST "\",\"path-prefix\":\"/plain/\","
        "\"kind\":\"idempotent\",\"timeout-ms\":4000,\"target-latency-ms\":300,"
        "\"service\":\"llm\",\"max-attempts\":2},"
        "{\"name\":\"open\",\"host\":\"" BENCH_HOST "\",\"path-prefix\":\"/plain/open/\","
        "\"kind\":\"idempotent\",\"timeout-ms\":4000,\"target-latency-ms\":300,"
        "\"service\":\"llm\",\"max-attempts\":2,\"public\":true},"
        "{\"name\":\"frail-once\",\"host\":\"" BENCH_HOST
        "\",\"path-prefix\":\"/frail/once/\",\"kind\":\"streaming\",\"timeout-ms\":4000,"
        "\"target-latency-ms\":300,\"service\":\"frail\",\"max-attempts\":1},"
        "{\"name\":\"frail-again\",\"host\":\"" BENCH_HOST
        "\",\"path-prefix\":\"/frail/again/\",\"kind\":\"streaming\",\"timeout-ms\":4000,"
        "\"target-latency-ms\":300,\"service\":\"frail\",\"max-attempts\":4,\"resumable\":true},"
        "{\"name\":\"frail-plain\",\"host\":\"" BENCH_HOST
        "\",\"path-prefix\":\"/frail/plain/\",\"kind\":\"idempotent\",\"timeout-ms\":4000,"
        "\"target-latency-ms\":300,\"service\":\"frail\",\"max-attempts\":2},"
        "{%s\"name\":\"jobs\",\"host\":\"" BENCH_HOST "\",\"path-prefix\":\"/jobs/\","
        "\"kind\":\"batch\",\"timeout-ms\":30000,\"target-latency-ms\":400,"
        "\"completion-target-ms\":20000,\"service\":\"llm\",\"max-attempts\":2,"
        "\"retention-s\":%u},"
        "{\"name\":\"far-jobs\",\"host\":\"" BENCH_HOST "\",\"path-prefix\":\"/far/\","
        "\"kind\":\"batch\",\"timeout-ms\":30000,\"target-latency-ms\":400,"
        "\"completion-target-ms\":20000,\"service\":\"far\",\"max-attempts\":2,"
        "\"retention-s\":%u}],"
        "\"services\":[{\"name\":\"llm\",\"health-check\":\"/h\",\"warmup-s\":%u,"
        "\"warmup-per-s\":%u,\"max-connections\":%u},"
        "{\"name\":\"frail\",\"health-check\":\"/h\",\"max-connections\":%u},"
        "{\"name\":\"far\",\"health-check\":\"/h\",\"max-connections\":%u}],"
        "%s\"limits\":{\"max-header-bytes\":8192,\"max-body-bytes\":100000,"
        "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}",
        version, home, bench.settings.again_service != NULL ? bench.settings.again_service : "llm",
        members, members, retention_s, FAR_JOBS_RETENTION_S, bench.settings.warmup_s,
        bench.settings.warmup_per_s, connections, connections, connections, tenants_member);
    log_store_put(bench.store, TOPIC_CONFIG, KEY_CONFIG, text);
}

static token_engine *start_engine(int index) {
    static const char *const ids[BENCH_ENGINES] = {"engine-0", "engine-1"};
    static const token_engine_pace pace = {.events = BENCH_EVENTS, .event_ms = EVENT_INTERVAL_MS};
    static token_engine_path_pace path_paces[] = {
        {.prefix = "/jobs/"},       {.prefix = "/once/long"},    {.prefix = "/again/long"},
        {.prefix = "/once/medium"}, {.prefix = "/again/medium"}, {.prefix = NULL}};
    for (token_engine_path_pace *entry = path_paces; entry->prefix != NULL; entry++) {
        const token_engine_pace *chosen = g_str_has_suffix(entry->prefix, "medium")
                                              ? &bench.settings.medium_pace
                                              : &bench.settings.item_pace;
        entry->pace = chosen->events > 0 ? *chosen : pace;
    }
    return token_engine_start(&(token_engine_settings){
        .id = ids[index],
        .service = "llm",
        .pace = pace,
        .path_paces = path_paces,
        .break_after = 5,
        .announces_start = bench.settings.warmup_s > 0,
        .warmup_ms = bench.settings.warmup_s * MS_PER_S,
        .zone = get_zone(index),
        .weights = bench.settings.weights != NULL ? bench.settings.weights[index] : NULL,
        .states_id = index == 0,
        .slots = bench.settings.slots});
}

void bench_prepare(void) {
    bench.store_port = 0;
    bench.store = log_store_start(0);
    bench_configure(1);
    for (int index = 0; index < BENCH_ENGINES; index++)
        bench.engines[index] = start_engine(index);
}

int bench_set_up(void) {
    bench_prepare();
    return bench_start();
}

int bench_start(void) {
    for (int index = 0; index < BENCH_ENGINES; index++)
        token_engine_announce(bench.engines[index], bench.store, false);
    bool started = true;
    for (int index = 0; index < bench_daemon_count(); index++)
        started = bench_start_daemon(index, false) && started;
    for (int index = 0; index < bench_daemon_count(); index++)
        started = bench_wait_ready(index) && started;
    return started ? 0 : -1;
}

int bench_tear_down(void) {
    for (int index = 0; index < bench_daemon_count(); index++)
        bench_signal_daemon(index, SIGKILL);
    for (int index = 0; index < BENCH_ENGINES; index++)
        token_engine_stop(bench.engines[index]);
    log_store_stop(bench.store);
    return 0;
}

char *bench_job_body(const char *id, int count) {
    return bench_job_body_for(id, count, "/jobs/run");
}

char *bench_job_body_for(const char *id, int count, const char *path) {
    GString *body = g_string_new("{\"requests\":[");
    for (int item = 0; item < count; item++)
        g_string_append_printf(body,
                               "%s{\"id\":\"%s-%d\",\"path\":\"%s\",\"headers\":{},"
                               "\"body\":\"aGVsbG8=\",\"tokens\":10}",
                               item > 0 ? "," : "", id, item, path);
    g_string_append(body, "]}");
    return g_string_free(body, FALSE);
}

char *bench_wait_job(int daemon, const char *id, int count, unsigned timeout_ms) {
    uint64_t deadline_ms = hs_clock_monotonic_ms() + timeout_ms;
    g_autofree char *target = g_strdup_printf(PATH_JOBS "%s?after=0", id);
    char *page = NULL;
    while (page == NULL && hs_clock_monotonic_ms() < deadline_ms) {
        bench_answer answer =
            bench_send(&(bench_call){.daemon = daemon, .method = "GET", .target = target});
        json_t *root = answer.status == 200 ? json_loads(answer.body, 0, NULL) : NULL;
        if ((int)json_array_size(json_object_get(root, "results")) == count)
            page = g_strdup(answer.body);
        json_decref(root);
        bench_answer_clear(&answer);
        if (page == NULL)
            hs_clock_sleep_ms(30);
    }
    return page;
}
