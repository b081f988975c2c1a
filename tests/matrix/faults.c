/** @file faults.c  Striking, healing, and which fault makes no sense where. */
#include "base/clock.h"
#include "tests/matrix/matrix.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#define POLL_MS 5
#define STRIKE_TIMEOUT_MS 6000
#define HEAL_TIMEOUT_MS 15000
#define RACERS 6
#define NO_FAULTS                                                                                  \
    "{\"down\":false,\"refuse\":false,\"slow_ms\":0,\"list_lag_ms\":50,"                           \
    "\"lose_answer\":{\"count\":0},\"duplicate\":{\"count\":0}}"
#define NO_ENGINE_FAULTS "{\"cut_count\":0,\"leaving\":false,\"refuse\":false}"

const char *const fault_names[FAULT_KINDS] = {"kill",          "freeze",           "connection-cut",
                                              "platform-down", "platform-slow",    "answer-lost",
                                              "repeated",      "engine-killed",    "engine-leaving",
                                              "stale-list",    "racing-operators", "planned-stop"};

bool await(bool (*condition)(void *user_data), void *user_data, unsigned timeout_ms) {
    uint64_t deadline_ms = hs_clock_monotonic_ms() + timeout_ms;
    while (!condition(user_data)) {
        if (hs_clock_monotonic_ms() >= deadline_ms)
            return false;
        hs_clock_sleep_ms(POLL_MS);
    }
    return true;
}

static bool touches_engine(const matrix_step *step) {
    static const char *const names[] = {"intent-before",    "intent-after",    "dispatch",
                                        "mid-stream",       "complete-before", "online-dispatch",
                                        "online-mid-stream"};
    for (size_t index = 0; index < G_N_ELEMENTS(names); index++)
        if (strcmp(step->name, names[index]) == 0)
            return true;
    return false;
}

const char *fault_is_void(const matrix_step *step, fault_kind fault) {
    switch (fault) {
    case FAULT_CUT:
    case FAULT_ENGINE_KILLED:
    case FAULT_ENGINE_LEAVING:
    case FAULT_STALE_LIST:
        return touches_engine(step) ? NULL : "no engine takes part in this step";
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

json_int_t platform_number(const fleet *fleet, const char *name) {
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

bool victim_stands_still(void *user_data) {
    const fleet *fleet = user_data;
    g_autofree char *path = g_strdup_printf("/proc/%d/stat", (int)fleet->daemon_pids[VICTIM]);
    g_autofree char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL))
        return false;
    const char *state = strrchr(text, ')');
    return state != NULL && state[2] == 'T';
}

/** Whether the witness holds the victim for dead. */
static bool victim_counts_as_dead(void *user_data) {
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

/** A number of the platform that must pass a bound. */
typedef struct {
    const fleet *fleet;
    const char *name;
    json_int_t at_least;
} platform_bound;

static bool platform_passed(void *user_data) {
    const platform_bound *bound = user_data;
    return platform_number(bound->fleet, bound->name) >= bound->at_least;
}

static bool append_fault_struck(void *user_data) {
    const platform_bound *bound = user_data;
    return platform_number(bound->fleet, bound->name) == 0;
}

static void let_go_on(matrix_cell *cell) {
    fleet_signal(&cell->fleet->daemon_pids[VICTIM], SIGCONT);
}

static void strike_platform_down(matrix_cell *cell) {
    platform_bound bound = {cell->fleet, "failed_calls",
                            platform_number(cell->fleet, "failed_calls") + 5};
    fleet_set_faults(cell->fleet->platform_url, "{\"down\":true}");
    let_go_on(cell);
    await(platform_passed, &bound, STRIKE_TIMEOUT_MS);
    fleet_set_faults(cell->fleet->platform_url, "{\"down\":false}");
}

static void strike_platform_slow(matrix_cell *cell) {
    platform_bound bound = {cell->fleet, "append_count",
                            platform_number(cell->fleet, "append_count") + 1};
    fleet_set_faults(cell->fleet->platform_url, "{\"slow_ms\":250}");
    let_go_on(cell);
    await(platform_passed, &bound, STRIKE_TIMEOUT_MS);
    fleet_set_faults(cell->fleet->platform_url, "{\"slow_ms\":0}");
}

static void strike_append(matrix_cell *cell, const char *fault, const char *left) {
    g_autofree char *text = g_strdup_printf("{\"%s\":{\"count\":2}}", fault);
    platform_bound bound = {cell->fleet, left, 0};
    fleet_set_faults(cell->fleet->platform_url, text);
    let_go_on(cell);
    await(append_fault_struck, &bound, STRIKE_TIMEOUT_MS);
}

static void set_engine_faults(matrix_cell *cell, const char *text) {
    for (int index = 0; index < cell->fleet->engine_count; index++)
        fleet_set_faults(cell->fleet->engine_urls[index], text);
}

/** Kill the engine of the victim's zone; its record of what it ran is kept first. */
static void strike_engine(matrix_cell *cell) {
    json_t *own = NULL;
    client_call("GET", cell->fleet->engine_urls[VICTIM], "/control/record", NULL, NULL, NULL, &own);
    json_array_extend(cell->lost_records, json_object_get(own, "requests"));
    json_decref(own);
    fleet_signal(&cell->fleet->engine_pids[VICTIM], SIGKILL);
    let_go_on(cell);
}

typedef struct {
    matrix_cell *cell;
    int daemon;
    long status;
} racer;

static gpointer race(gpointer data) {
    racer *self = data;
    g_autofree char *path = g_strdup_printf("/admin/v1/limits/raced-%s", self->cell->name);
    const char *const headers[] = {"If-Match", "\"0\"", NULL};
    g_autofree char *body = g_strdup_printf("{\"max_in_flight\":%d}", self->daemon + 1);
    self->status = client_call("PUT", self->cell->fleet->admin_urls[self->daemon], path, NULL, body,
                               headers, NULL);
    return NULL;
}

static void strike_operators(matrix_cell *cell) {
    racer racers[RACERS];
    GThread *threads[RACERS];
    let_go_on(cell);
    for (int index = 0; index < RACERS; index++) {
        racers[index] = (racer){.cell = cell, .daemon = index % 3};
        threads[index] = g_thread_new("race", race, &racers[index]);
    }
    for (int index = 0; index < RACERS; index++) {
        g_thread_join(threads[index]);
        cell->race_winners += racers[index].status == 200;
        cell->race_losers += racers[index].status == 412;
    }
}

void strike(matrix_cell *cell, fault_kind fault) {
    fleet *fleet = cell->fleet;
    switch (fault) {
    case FAULT_KILL:
        fleet_signal(&fleet->daemon_pids[VICTIM], SIGKILL);
        return;
    case FAULT_FREEZE:
        await(victim_counts_as_dead, fleet, STRIKE_TIMEOUT_MS);
        let_go_on(cell);
        return;
    case FAULT_CUT:
        set_engine_faults(cell, "{\"cut_count\":2,\"cut_after_tokens\":3}");
        let_go_on(cell);
        return;
    case FAULT_PLATFORM_DOWN:
        strike_platform_down(cell);
        return;
    case FAULT_PLATFORM_SLOW:
        strike_platform_slow(cell);
        return;
    case FAULT_ANSWER_LOST:
        strike_append(cell, "lose_answer", "lose_answer_left");
        return;
    case FAULT_REPEATED:
        strike_append(cell, "duplicate", "duplicate_left");
        return;
    case FAULT_ENGINE_KILLED:
        strike_engine(cell);
        return;
    case FAULT_STALE_LIST:
        fleet_set_faults(fleet->platform_url, "{\"list_lag_ms\":30000}");
        fleet_list_engine(fleet, VICTIM, "leaving");
        /* fall through: the engine leaves, and the list does not know it yet */
        __attribute__((fallthrough));
    case FAULT_ENGINE_LEAVING:
        fleet_set_faults(fleet->engine_urls[VICTIM], "{\"leaving\":true}");
        let_go_on(cell);
        return;
    case FAULT_RACING_OPERATORS:
        strike_operators(cell);
        return;
    case FAULT_PLANNED_STOP:
        let_go_on(cell);
        cell->planned_stop_failed = fleet_signal(&fleet->daemon_pids[VICTIM], SIGTERM) != 0;
        return;
    default:
        return;
    }
}

/** Reap a daemon that ended by itself or by an earlier signal. */
static void reap(fleet *fleet, int index) {
    int status = 0;
    if (fleet->daemon_pids[index] > 0 &&
        waitpid(fleet->daemon_pids[index], &status, WNOHANG) == fleet->daemon_pids[index])
        fleet->daemon_pids[index] = 0;
}

static bool daemon_is_ready(const fleet *fleet, int index) {
    return client_call("GET", fleet->admin_urls[index], "/readyz", NULL, NULL, NULL, NULL) == 200;
}

/** A stopping daemon is waited for, then started again. */
static bool bring_up(fleet *fleet, int index) {
    uint64_t deadline_ms = hs_clock_monotonic_ms() + HEAL_TIMEOUT_MS;
    while (hs_clock_monotonic_ms() < deadline_ms) {
        reap(fleet, index);
        if (fleet->daemon_pids[index] == 0)
            fleet_start_daemon(fleet, index, NULL);
        if (daemon_is_ready(fleet, index))
            return true;
        hs_clock_sleep_ms(POLL_MS);
    }
    return false;
}

/** Whether each daemon holds all three for alive. */
static bool all_alive(void *user_data) {
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

bool heal(fleet *fleet) {
    fleet_set_faults(fleet->platform_url, NO_FAULTS);
    for (int index = 0; index < fleet->engine_count; index++) {
        if (fleet->engine_pids[index] == 0 && !fleet_start_engine(fleet, index))
            return false;
        fleet_set_faults(fleet->engine_urls[index], NO_ENGINE_FAULTS);
        fleet_list_engine(fleet, index, "live");
    }
    for (int index = 0; index < fleet->options.daemon_count; index++)
        if (!bring_up(fleet, index))
            return false;
    client_call("PUT", fleet->admin_urls[VICTIM], "/internal/v1/fault", NULL, "", NULL, NULL);
    return await(all_alive, fleet, HEAL_TIMEOUT_MS);
}
