/** @file fleet.c  See fleet.h. */
#include "tools/fleet/fleet.h"

#include "base/clock.h"
#include "standin/port_lease/port_lease.h"
#include "tools/fleet/client.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define START_TIMEOUT_MS 15000
#define MAX_ARGUMENTS 64
#define POLL_MS 10
#define HTTP_OK 200

extern char **environ;

const fleet_ports fleet_default_ports = {
    .platform = 8070, .caller = 8080, .admin = 8090, .peer = 8100, .engine = 8200};

fleet_ports fleet_leased_ports(void) {
    static fleet_ports ports;
    if (ports.platform == 0) {
        int first = port_lease_take(1 + 4 * FLEET_LEASED_PORTS_PER_KIND);
        ports = (fleet_ports){.platform = first,
                              .caller = first + 1,
                              .admin = first + 1 + FLEET_LEASED_PORTS_PER_KIND,
                              .peer = first + 1 + 2 * FLEET_LEASED_PORTS_PER_KIND,
                              .engine = first + 1 + 3 * FLEET_LEASED_PORTS_PER_KIND};
    }
    return ports;
}

static const char *const zone_names[] = {"brandon", "moosejaw", "yorkton"};

static const char *get_zone(int index) {
    return zone_names[index % (int)G_N_ELEMENTS(zone_names)];
}

/** Returns this process's environment with HS_FAULT set to @p fault (NULL: unset). Free with
 * g_strfreev. */
static char **make_environment(const char *fault) {
    char **variables = g_get_environ();
    if (fault != NULL)
        return g_environ_setenv(variables, "HS_FAULT", fault, TRUE);
    return g_environ_unsetenv(variables, "HS_FAULT");
}

/** Prefixes the arguments with a shell that lowers the descriptor limit and then executes the
 * program. */
static void limit_descriptors(GPtrArray *arguments, unsigned descriptors) {
    g_ptr_array_insert(arguments, 0, g_strdup("sh"));
    g_ptr_array_insert(arguments, 0, g_strdup_printf("ulimit -n %u && exec \"$@\"", descriptors));
    g_ptr_array_insert(arguments, 0, g_strdup("-c"));
    g_ptr_array_insert(arguments, 0, g_strdup("/bin/sh"));
}

/** Starts a program, its standard error appended to @p name.log in the log directory. @return its
 * process id, or 0. */
static pid_t spawn_program(const fleet *self, const char *program, const char *name,
                           GPtrArray *arguments, const char *fault) {
    g_autofree char *path = g_build_filename(self->options.programs, program, NULL);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    g_autofree char *log_path = NULL;
    if (self->options.log_directory != NULL) {
        log_path = g_strdup_printf("%s/%s.log", self->options.log_directory, name);
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_path,
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    g_ptr_array_insert(arguments, 0, g_strdup(path));
    if (self->max_daemon_descriptors != 0 && strcmp(program, "heathsaild") == 0)
        limit_descriptors(arguments, self->max_daemon_descriptors);
    g_ptr_array_add(arguments, NULL);
    char **variables = make_environment(fault);
    pid_t pid = 0;
    int result = posix_spawn(&pid, arguments->pdata[0], &actions, NULL, (char **)arguments->pdata,
                             variables);
    g_strfreev(variables);
    posix_spawn_file_actions_destroy(&actions);
    if (result == 0)
        return pid;
    fprintf(stderr, "cannot start %s: %s\n", path, g_strerror(result));
    return 0;
}

static void add_argument(GPtrArray *arguments, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void add_argument(GPtrArray *arguments, const char *format, ...) {
    va_list values;
    va_start(values, format);
    g_ptr_array_add(arguments, g_strdup_vprintf(format, values));
    va_end(values);
}

static bool start_platform(fleet *self) {
    g_autoptr(GPtrArray) arguments = g_ptr_array_new_with_free_func(g_free);
    add_argument(arguments, "--port=%d", self->options.ports.platform);
    add_argument(arguments, "--list-lag-ms=%d", self->options.list_lag_ms);
    self->platform_pid = spawn_program(self, "heathsail-platform", "platform", arguments, NULL);
    return self->platform_pid > 0 &&
           client_wait_ok(self->platform_url, "/control/faults", START_TIMEOUT_MS);
}

static bool is_drafting_engine(const fleet *self, int index) {
    return index < self->options.drafting_engines;
}

bool fleet_start_engine(fleet *self, int index) {
    g_autoptr(GPtrArray) arguments = g_ptr_array_new_with_free_func(g_free);
    g_autofree char *name = g_strdup_printf("engine-%d", index);
    add_argument(arguments, "--port=%d", self->options.ports.engine + index);
    add_argument(arguments, "--id=%s", name);
    if (!is_drafting_engine(self, index))
        add_argument(arguments, "--model=order-3b");
    self->engine_pids[index] = spawn_program(self, "heathsail-engine", name, arguments, NULL);
    return self->engine_pids[index] > 0 &&
           client_wait_ok(self->engine_urls[index], "/load", START_TIMEOUT_MS);
}

static bool put_machine(const fleet *self, const char *id, json_t *machine) {
    g_autofree char *path = g_strdup_printf("/control/machines/%s", id);
    char *text = json_dumps(machine, JSON_COMPACT);
    json_decref(machine);
    long status = client_call("PUT", self->platform_url, path, NULL, text, NULL, NULL);
    free(text);
    return status == HTTP_OK;
}

bool fleet_list_engine(const fleet *self, int index, const char *state) {
    g_autofree char *id = g_strdup_printf("engine-%d", index);
    return put_machine(self, id,
                       json_pack("{s:s,s:s,s:s,s:s,s:{s:s}}", "kind", "engine", "url",
                                 self->engine_urls[index], "zone", get_zone(index), "state", state,
                                 "labels", "service",
                                 is_drafting_engine(self, index) ? "quote-desk" : "order-book"));
}

bool fleet_start_daemon(fleet *self, int index, const char *fault) {
    const fleet_ports *ports = &self->options.ports;
    g_autoptr(GPtrArray) arguments = g_ptr_array_new_with_free_func(g_free);
    g_autofree char *name = g_strdup_printf("daemon-%d", index);
    add_argument(arguments, "--set=daemon.id=%s", name);
    add_argument(arguments, "--set=daemon.zone=%s", get_zone(index));
    add_argument(arguments, "--set=daemon.region=plains");
    add_argument(arguments, "--set=caller.port=%d", ports->caller + index);
    add_argument(arguments, "--set=admin.port=%d", ports->admin + index);
    add_argument(arguments, "--set=peer.port=%d", ports->peer + index);
    add_argument(arguments, "--set=platform.url=%s", self->platform_url);
    const char *const *setting = self->options.daemon_settings;
    for (; setting != NULL && *setting != NULL; setting++)
        add_argument(arguments, "--set=%s", *setting);
    self->daemon_pids[index] = spawn_program(self, "heathsaild", name, arguments, fault);
    return self->daemon_pids[index] > 0 &&
           put_machine(self, name,
                       json_pack("{s:s,s:s,s:i,s:i,s:s,s:s}", "kind", "daemon", "address",
                                 "127.0.0.1", "peer_port", ports->peer + index, "admin_port",
                                 ports->admin + index, "zone", get_zone(index), "state", "live"));
}

bool fleet_wait_ready(const fleet *self, int index, unsigned timeout_ms) {
    return client_wait_ok(self->admin_urls[index], "/readyz", timeout_ms);
}

static bool publish_object(const fleet *self, const char *path, const char *json_text) {
    long status = client_call("PUT", self->admin_urls[0], path, NULL, json_text, NULL, NULL);
    if (status != HTTP_OK)
        fprintf(stderr, "cannot publish %s: HTTP status %ld\n", path, status);
    return status == HTTP_OK;
}

static bool publish_default_objects(const fleet *self) {
    return publish_object(
               self, "/admin/v1/engine-groups/quote-desk",
               "{\"selector\":{\"service\":\"quote-desk\"},\"models\":[\"drafting-7b\"]}") &&
           publish_object(self, "/admin/v1/engine-groups/order-book",
                          "{\"selector\":{\"service\":\"order-book\"},\"models\":[\"order-3b\"],"
                          "\"batch\":false}") &&
           publish_object(self, "/admin/v1/services/quote-desk",
                          "{\"models\":[\"drafting-7b\"],\"engine_group\":\"quote-desk\"}") &&
           publish_object(self, "/admin/v1/services/order-book",
                          "{\"models\":[\"order-3b\"],\"engine_group\":\"order-book\"}");
}

/** Waits until every daemon has its configuration and engines. Returns false on time-out. */
static bool wait_until_routing(const fleet *self) {
    uint64_t deadline_ms = hs_clock_monotonic_ms() + START_TIMEOUT_MS;
    for (int index = 0; index < self->options.daemon_count; index++) {
        bool is_routing = false;
        while (!is_routing && hs_clock_monotonic_ms() < deadline_ms) {
            json_t *models = NULL;
            json_t *status = NULL;
            client_call("GET", self->caller_urls[index], "/v1/models", NULL, NULL, NULL, &models);
            client_call("GET", self->admin_urls[index], "/admin/v1/status", NULL, NULL, NULL,
                        &status);
            is_routing =
                json_array_size(json_object_get(models, "data")) >= 2 &&
                (int)json_array_size(json_object_get(status, "engines")) >= self->engine_count;
            json_decref(models);
            json_decref(status);
            if (!is_routing)
                hs_clock_sleep_ms(POLL_MS);
        }
        if (!is_routing)
            return false;
    }
    return true;
}

static void set_urls(fleet *self) {
    const fleet_ports *ports = &self->options.ports;
    g_snprintf(self->platform_url, sizeof self->platform_url, "http://127.0.0.1:%d",
               ports->platform);
    for (int index = 0; index < FLEET_MAX_DAEMONS; index++) {
        g_snprintf(self->caller_urls[index], 64, "http://127.0.0.1:%d", ports->caller + index);
        g_snprintf(self->admin_urls[index], 64, "http://127.0.0.1:%d", ports->admin + index);
    }
    for (int index = 0; index < FLEET_MAX_ENGINES; index++)
        g_snprintf(self->engine_urls[index], 64, "http://127.0.0.1:%d", ports->engine + index);
}

bool fleet_start(fleet *self, const fleet_options *options) {
    *self = (fleet){.options = *options};
    self->engine_count = options->drafting_engines + options->order_engines;
    set_urls(self);
    if (!start_platform(self))
        return false;
    for (int index = 0; index < self->engine_count; index++)
        if (!fleet_start_engine(self, index) || !fleet_list_engine(self, index, "live"))
            return false;
    for (int index = 0; index < options->daemon_count; index++)
        if (!fleet_start_daemon(self, index, NULL))
            return false;
    for (int index = 0; index < options->daemon_count; index++)
        if (!fleet_wait_ready(self, index, START_TIMEOUT_MS))
            return false;
    return publish_default_objects(self) && wait_until_routing(self);
}

int fleet_signal(pid_t *pid, int signal_number) {
    int status = 0;
    if (*pid <= 0 || kill(*pid, signal_number) != 0)
        return -1;
    if (signal_number == SIGSTOP || signal_number == SIGCONT)
        return 0;
    waitpid(*pid, &status, 0);
    *pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool fleet_stop(fleet *self) {
    bool is_clean = true;
    for (int index = 0; index < FLEET_MAX_DAEMONS; index++)
        if (self->daemon_pids[index] > 0)
            kill(self->daemon_pids[index], SIGTERM);
    for (int index = 0; index < FLEET_MAX_DAEMONS; index++)
        if (self->daemon_pids[index] > 0)
            is_clean = fleet_signal(&self->daemon_pids[index], SIGTERM) == 0 && is_clean;
    for (int index = 0; index < FLEET_MAX_ENGINES; index++)
        fleet_signal(&self->engine_pids[index], SIGTERM);
    fleet_signal(&self->platform_pid, SIGTERM);
    return is_clean;
}

bool fleet_set_faults(const char *base_url, const char *json_text) {
    return client_call("PUT", base_url, "/control/faults", NULL, json_text, NULL, NULL) == HTTP_OK;
}

json_t *fleet_engine_records(const fleet *self) {
    json_t *requests = json_array();
    for (int index = 0; index < self->engine_count; index++) {
        json_t *record = NULL;
        client_call("GET", self->engine_urls[index], "/control/record", NULL, NULL, NULL, &record);
        json_array_extend(requests, json_object_get(record, "requests"));
        json_decref(record);
    }
    return requests;
}
