/** @file faults.c  Injects the faults, removes them, and tells which fault applies to a step. */
#include "base/clock.h"
#include "tests/matrix/matrix.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#define POLL_INTERVAL_MS 5
#define INJECT_TIMEOUT_MS 6000
#define RESTORE_TIMEOUT_MS 15000
#define LIMIT_UPDATE_COUNT 6
#define NO_FAULTS                                                                                  \
    "{\"down\":false,\"refuse\":false,\"slow_ms\":0,\"list_lag_ms\":50,"                           \
    "\"lose_answer\":{\"count\":0},\"duplicate\":{\"count\":0}}"
#define NO_ENGINE_FAULTS "{\"cut_count\":0,\"leaving\":false,\"refuse\":false}"

const char *const fault_names[FAULT_KINDS] = {"kill",          "freeze",           "connection-cut",
                                              "platform-down", "platform-slow",    "answer-lost",
                                              "repeated",      "engine-killed",    "engine-leaving",
                                              "stale-list",    "racing-operators", "planned-stop"};

bool wait_for_condition(bool (*condition)(void *user_data), void *user_data, unsigned timeout_ms) {
    uint64_t deadline_ms = hs_clock_monotonic_ms() + timeout_ms;
    while (!condition(user_data)) {
        if (hs_clock_monotonic_ms() >= deadline_ms)
            return false;
        hs_clock_sleep_ms(POLL_INTERVAL_MS);
    }
    return true;
}

static bool involves_engine(const matrix_step *step) {
    static const char *const names[] = {"intent-before",    "intent-after",    "dispatch",
                                        "mid-stream",       "complete-before", "online-dispatch",
                                        "online-mid-stream"};
    for (size_t index = 0; index < G_N_ELEMENTS(names); index++)
        if (strcmp(step->name, names[index]) == 0)
            return true;
    return false;
}

const char *get_inapplicable_reason(const matrix_step *step, fault_kind fault) {
    switch (fault) {
    case FAULT_CUT:
    case FAULT_ENGINE_KILLED:
    case FAULT_ENGINE_LEAVING:
    case FAULT_STALE_LIST:
        return involves_engine(step) ? NULL : "no engine takes part in this step";
    case FAULT_RACING_OPERATORS:
        return step->operation == OPERATION_PUBLISH ? NULL : "operators change configuration only";
    case FAULT_PLANNED_STOP:
        return step->operation == OPERATION_RELEASE ? "this step is a planned stop" : NULL;
    case FAULT_ANSWER_LOST:
    case FAULT_REPEATED:
        return step->operation == OPERATION_READ ? "nothing is appended in this step" : NULL;
    default:
        return NULL;
    }
}

json_int_t get_platform_counter(const fleet *fleet, const char *name) {
    json_t *faults = NULL;
    client_call("GET", fleet->platform_url, "/control/faults", NULL, NULL, NULL, &faults);
    json_int_t number = json_integer_value(json_object_get(faults, name));
    json_decref(faults);
    return number;
}

bool arm_victim(fleet *fleet, const char *point) {
    g_autofree char *fault = g_strdup_printf("%s:freeze", point);
    return client_call("PUT", fleet->admin_urls[VICTIM], "/internal/v1/fault", NULL, fault, NULL,
                       NULL) == 200;
}

bool is_victim_stopped(void *user_data) {
    const fleet *fleet = user_data;
    g_autofree char *path = g_strdup_printf("/proc/%d/stat", (int)fleet->daemon_pids[VICTIM]);
    g_autofree char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL))
        return false;
    const char *state = strrchr(text, ')');
    return state != NULL && state[2] == 'T';
}

/** Returns whether the witness reports the victim as dead. */
static bool is_victim_reported_dead(void *user_data) {
    const fleet *fleet = user_data;
    json_t *status = NULL;
    client_call("GET", fleet->admin_urls[WITNESS], "/admin/v1/status", NULL, NULL, NULL, &status);
    g_autofree char *victim = g_strdup_printf("daemon-%d", VICTIM);
    bool dead = false;
    size_t index;
    json_t *member;
    json_array_foreach(json_object_get(status, "members"), index, member) {
        dead =
            dead || (g_strcmp0(json_string_value(json_object_get(member, "id")), victim) == 0 &&
                     g_strcmp0(json_string_value(json_object_get(member, "state")), "dead") == 0);
    }
    json_decref(status);
    return dead;
}

/** A minimum for a counter of the platform. */
typedef struct {
    const fleet *fleet;
    const char *name;
    json_int_t min_value;
} counter_condition;

static bool has_counter_reached_min(void *user_data) {
    const counter_condition *condition = user_data;
    return get_platform_counter(condition->fleet, condition->name) >= condition->min_value;
}

static bool is_append_fault_used_up(void *user_data) {
    const counter_condition *condition = user_data;
    return get_platform_counter(condition->fleet, condition->name) == 0;
}

static void resume_victim(matrix_cell *cell) {
    fleet_signal(&cell->fleet->daemon_pids[VICTIM], SIGCONT);
}

static void inject_platform_outage(matrix_cell *cell) {
    counter_condition condition = {cell->fleet, "failed_calls",
                                   get_platform_counter(cell->fleet, "failed_calls") + 5};
    fleet_set_faults(cell->fleet->platform_url, "{\"down\":true}");
    resume_victim(cell);
    wait_for_condition(has_counter_reached_min, &condition, INJECT_TIMEOUT_MS);
    fleet_set_faults(cell->fleet->platform_url, "{\"down\":false}");
}

static void inject_platform_delay(matrix_cell *cell) {
    counter_condition condition = {cell->fleet, "append_count",
                                   get_platform_counter(cell->fleet, "append_count") + 1};
    fleet_set_faults(cell->fleet->platform_url, "{\"slow_ms\":250}");
    resume_victim(cell);
    wait_for_condition(has_counter_reached_min, &condition, INJECT_TIMEOUT_MS);
    fleet_set_faults(cell->fleet->platform_url, "{\"slow_ms\":0}");
}

static void inject_append_fault(matrix_cell *cell, const char *fault,
                                const char *remaining_counter) {
    g_autofree char *text = g_strdup_printf("{\"%s\":{\"count\":2}}", fault);
    counter_condition condition = {cell->fleet, remaining_counter, 0};
    fleet_set_faults(cell->fleet->platform_url, text);
    resume_victim(cell);
    wait_for_condition(is_append_fault_used_up, &condition, INJECT_TIMEOUT_MS);
}

static void set_engine_faults(matrix_cell *cell, const char *text) {
    for (int index = 0; index < cell->fleet->engine_count; index++)
        fleet_set_faults(cell->fleet->engine_urls[index], text);
}

/** Saves the request records of the engine in the victim's zone, then kills that engine. */
static void kill_victim_engine(matrix_cell *cell) {
    json_t *own = NULL;
    client_call("GET", cell->fleet->engine_urls[VICTIM], "/control/record", NULL, NULL, NULL, &own);
    json_array_extend(cell->killed_engine_records, json_object_get(own, "requests"));
    json_decref(own);
    fleet_signal(&cell->fleet->engine_pids[VICTIM], SIGKILL);
    resume_victim(cell);
}

typedef struct {
    matrix_cell *cell;
    int daemon;
    long status;
} limit_update;

static gpointer put_raced_limit(gpointer data) {
    limit_update *update = data;
    g_autofree char *path = g_strdup_printf("/admin/v1/limits/raced-%s", update->cell->name);
    const char *const headers[] = {"If-Match", "\"0\"", NULL};
    g_autofree char *body = g_strdup_printf("{\"max_in_flight\":%d}", update->daemon + 1);
    update->status = client_call("PUT", update->cell->fleet->admin_urls[update->daemon], path, NULL,
                                 body, headers, NULL);
    return NULL;
}

static void race_operators(matrix_cell *cell) {
    limit_update updates[LIMIT_UPDATE_COUNT];
    GThread *threads[LIMIT_UPDATE_COUNT];
    resume_victim(cell);
    for (int index = 0; index < LIMIT_UPDATE_COUNT; index++) {
        updates[index] = (limit_update){.cell = cell, .daemon = index % 3};
        threads[index] = g_thread_new("race", put_raced_limit, &updates[index]);
    }
    for (int index = 0; index < LIMIT_UPDATE_COUNT; index++) {
        g_thread_join(threads[index]);
        cell->race_winners += updates[index].status == 200;
        cell->race_losers += updates[index].status == 412;
    }
}

void inject_fault(matrix_cell *cell, fault_kind fault) {
    fleet *fleet = cell->fleet;
    switch (fault) {
    case FAULT_KILL:
        fleet_signal(&fleet->daemon_pids[VICTIM], SIGKILL);
        return;
    case FAULT_FREEZE:
        wait_for_condition(is_victim_reported_dead, fleet, INJECT_TIMEOUT_MS);
        resume_victim(cell);
        return;
    case FAULT_CUT:
        set_engine_faults(cell, "{\"cut_count\":2,\"cut_after_tokens\":3}");
        resume_victim(cell);
        return;
    case FAULT_PLATFORM_DOWN:
        inject_platform_outage(cell);
        return;
    case FAULT_PLATFORM_SLOW:
        inject_platform_delay(cell);
        return;
    case FAULT_ANSWER_LOST:
        inject_append_fault(cell, "lose_answer", "lose_answer_left");
        return;
    case FAULT_REPEATED:
        inject_append_fault(cell, "duplicate", "duplicate_left");
        return;
    case FAULT_ENGINE_KILLED:
        kill_victim_engine(cell);
        return;
    case FAULT_STALE_LIST:
        fleet_set_faults(fleet->platform_url, "{\"list_lag_ms\":30000}");
        fleet_list_engine(fleet, VICTIM, "leaving");
        /* fall through: the engine leaves while daemons still read the stale list */
        __attribute__((fallthrough));
    case FAULT_ENGINE_LEAVING:
        fleet_set_faults(fleet->engine_urls[VICTIM], "{\"leaving\":true}");
        resume_victim(cell);
        return;
    case FAULT_RACING_OPERATORS:
        race_operators(cell);
        return;
    case FAULT_PLANNED_STOP:
        resume_victim(cell);
        cell->planned_stop_failed = fleet_signal(&fleet->daemon_pids[VICTIM], SIGTERM) != 0;
        return;
    default:
        return;
    }
}

/** Reaps a daemon that has exited. */
static void reap_daemon(fleet *fleet, int index) {
    int status = 0;
    if (fleet->daemon_pids[index] > 0 &&
        waitpid(fleet->daemon_pids[index], &status, WNOHANG) == fleet->daemon_pids[index])
        fleet->daemon_pids[index] = 0;
}

static bool is_daemon_ready(const fleet *fleet, int index) {
    return client_call("GET", fleet->admin_urls[index], "/readyz", NULL, NULL, NULL, NULL) == 200;
}

/** Waits until a daemon is ready, and starts it once it has exited. */
static bool start_until_ready(fleet *fleet, int index) {
    uint64_t deadline_ms = hs_clock_monotonic_ms() + RESTORE_TIMEOUT_MS;
    while (hs_clock_monotonic_ms() < deadline_ms) {
        reap_daemon(fleet, index);
        if (fleet->daemon_pids[index] == 0)
            fleet_start_daemon(fleet, index, NULL);
        if (is_daemon_ready(fleet, index))
            return true;
        hs_clock_sleep_ms(POLL_INTERVAL_MS);
    }
    return false;
}

/** Returns whether each daemon reports all daemons as alive. */
static bool are_all_daemons_alive(void *user_data) {
    const fleet *fleet = user_data;
    for (int daemon = 0; daemon < fleet->options.daemon_count; daemon++) {
        json_t *status = NULL;
        client_call("GET", fleet->admin_urls[daemon], "/admin/v1/status", NULL, NULL, NULL,
                    &status);
        int alive = 0;
        size_t index;
        json_t *member;
        json_array_foreach(json_object_get(status, "members"), index, member) alive +=
            g_strcmp0(json_string_value(json_object_get(member, "state")), "alive") == 0;
        json_decref(status);
        if (alive != fleet->options.daemon_count)
            return false;
    }
    return true;
}

bool restore_fleet(fleet *fleet) {
    fleet_set_faults(fleet->platform_url, NO_FAULTS);
    for (int index = 0; index < fleet->engine_count; index++) {
        if (fleet->engine_pids[index] == 0 && !fleet_start_engine(fleet, index))
            return false;
        fleet_set_faults(fleet->engine_urls[index], NO_ENGINE_FAULTS);
        fleet_list_engine(fleet, index, "live");
    }
    for (int index = 0; index < fleet->options.daemon_count; index++)
        if (!start_until_ready(fleet, index))
            return false;
    client_call("PUT", fleet->admin_urls[VICTIM], "/internal/v1/fault", NULL, "", NULL, NULL);
    return wait_for_condition(are_all_daemons_alive, fleet, RESTORE_TIMEOUT_MS);
}
