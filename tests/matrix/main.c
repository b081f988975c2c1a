/** @file main.c  Runs the fault matrix and prints one line per cell, "fault step verdict". */
#include "base/clock.h"
#include "tests/matrix/matrix.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#define STEP_TIMEOUT_MS 20000
#define MAX_JOB_SUBMISSIONS 8

static const matrix_step steps[] = {
    {"accept-before", "accept_before", OPERATION_SUBMIT, false},
    {"accept-after", "accept_after", OPERATION_SUBMIT, false},
    {"claim-before", "claim_before", OPERATION_CLAIM, false},
    {"claim-after", "claim_after", OPERATION_CLAIM, false},
    {"grant", "grant", OPERATION_JOB, true},
    {"intent-before", "intent_before", OPERATION_JOB, false},
    {"intent-after", "intent_after", OPERATION_JOB, false},
    {"dispatch", "dispatch", OPERATION_JOB, false},
    {"mid-stream", "mid_stream", OPERATION_JOB, false},
    {"complete-before", "complete_before", OPERATION_JOB, false},
    {"complete-after", "complete_after", OPERATION_JOB, false},
    {"result-read", "result_read", OPERATION_READ, false},
    {"cancel-before", "cancel_before", OPERATION_CANCEL, false},
    {"cancel-after", "cancel_after", OPERATION_CANCEL, false},
    {"snapshot", "snapshot", OPERATION_JOB, true},
    {"release", "release", OPERATION_RELEASE, false},
    {"publish-before", "publish_before", OPERATION_PUBLISH, false},
    {"publish-after", "publish_after", OPERATION_PUBLISH, false},
    {"online-dispatch", "online_dispatch", OPERATION_ONLINE, false},
    {"online-mid-stream", "online_mid_stream", OPERATION_ONLINE, false},
};

/** Two faults in one cell. */
typedef struct {
    const char *step;
    fault_kind first; /**< Resumes or ends the victim. */
    fault_kind second;
} fault_pair;

static const fault_pair pairs[] = {
    {"accept-after", FAULT_ANSWER_LOST, FAULT_KILL},
    {"intent-after", FAULT_FREEZE, FAULT_ANSWER_LOST},
    {"intent-after", FAULT_PLATFORM_DOWN, FAULT_KILL},
    {"dispatch", FAULT_FREEZE, FAULT_PLATFORM_DOWN},
    {"mid-stream", FAULT_CUT, FAULT_PLANNED_STOP},
    {"complete-before", FAULT_REPEATED, FAULT_KILL},
    {"complete-after", FAULT_FREEZE, FAULT_REPEATED},
    {"publish-before", FAULT_ANSWER_LOST, FAULT_KILL},
};

static const char *const matrix_settings[] = {"daemon.log_level=debug",
                                              "peer.probe_interval_ms=60",
                                              "peer.probe_timeout_ms=30",
                                              "peer.suspect_ms=300",
                                              "platform.timeout_s=2",
                                              "platform.machine_list_interval_ms=100",
                                              "batch.grant_lease_ms=900",
                                              "batch.claim_settle_ms=100",
                                              "batch.handover_ms=150",
                                              "batch.snapshot_records=40",
                                              "batch.partitions=16",
                                              "scheduling.max_batch_per_engine=4",
                                              "scheduling.run_once_recovery_ms=1500",
                                              NULL};

/**
 * Waits until the victim is suspended. Submits another job if other daemons ran all the items that
 * would have brought the victim to its step.
 */
static bool reach_step(matrix_cell *cell) {
    int attempts = cell->step->operation == OPERATION_JOB ? MAX_JOB_SUBMISSIONS : 1;
    unsigned timeout_ms = STEP_TIMEOUT_MS / (unsigned)attempts;
    while (!wait_for_condition(is_victim_stopped, cell->fleet, timeout_ms)) {
        if (--attempts == 0)
            return false;
        if (!prepare_operation(cell) || !start_operation(cell))
            return false;
    }
    return true;
}

static bool run_cell(matrix_cell *cell, fault_kind first, const fault_kind *second) {
    fleet *fleet = cell->fleet;
    if (!restore_fleet(fleet) || !prepare_operation(cell) ||
        !arm_victim(fleet, cell->step->point) || !start_operation(cell)) {
        g_strlcpy(cell->reason, "the operation could not be started", sizeof cell->reason);
        return false;
    }
    bool reached = reach_step(cell);
    if (reached) {
        inject_fault(cell, first);
        if (second != NULL && fleet->daemon_pids[VICTIM] > 0)
            inject_fault(cell, *second);
    }
    join_operation(cell);
    bool is_restored = restore_fleet(fleet);
    if (!reached || !is_restored) {
        g_strlcpy(cell->reason,
                  reached ? "the fleet did not become ready after the fault"
                          : "the victim did not reach the step",
                  sizeof cell->reason);
        return false;
    }
    if (!repeat_operation(cell)) {
        g_strlcpy(cell->reason, "the repeated call was not answered with 200", sizeof cell->reason);
        return false;
    }
    return check_cell(cell);
}

typedef struct {
    int number;
    int passed;
    int failed;
    int not_applicable;
} matrix_counts;

static void run_and_report(fleet *fleet, const matrix_step *step, fault_kind first,
                           const fault_kind *second, json_t *killed_engine_records,
                           matrix_counts *counts) {
    matrix_cell cell = {
        .fleet = fleet, .step = step, .killed_engine_records = killed_engine_records};
    g_snprintf(cell.name, sizeof cell.name, "c%03d", ++counts->number);
    uint64_t started_ms = hs_clock_monotonic_ms();
    bool passed = run_cell(&cell, first, second);
    counts->passed += passed;
    counts->failed += !passed;
    printf("%s%s%s %s %s%s%s\n", fault_names[first], second != NULL ? "+" : "",
           second != NULL ? fault_names[*second] : "", step->name, passed ? "ok" : "FAILED",
           passed ? "" : ": ", passed ? "" : cell.reason);
    fflush(stdout);
    if (g_getenv("HS_MATRIX_TIMES") != NULL)
        fprintf(stderr, "%s %s %s %llu ms\n", cell.name, fault_names[first], step->name,
                (unsigned long long)(hs_clock_monotonic_ms() - started_ms));
    g_free(cell.lines);
    g_free(cell.job_id);
    if (cell.stream.text != NULL)
        client_stream_clear(&cell.stream);
}

static const matrix_step *find_step(const char *name) {
    for (size_t index = 0; index < G_N_ELEMENTS(steps); index++)
        if (strcmp(steps[index].name, name) == 0)
            return &steps[index];
    return NULL;
}

/** The first argument of the program selects a step, the second a fault; "all" selects every. */
static bool matches_filter(const char *filter, const char *name) {
    return filter == NULL || strcmp(filter, "all") == 0 || strcmp(filter, name) == 0;
}

static void run_matrix(fleet *fleet, const char *step_name, const char *fault_name,
                       matrix_counts *counts) {
    json_t *killed_engine_records = json_array();
    for (size_t index = 0; index < G_N_ELEMENTS(steps); index++) {
        for (int fault = 0; fault < FAULT_KINDS; fault++) {
            if (!matches_filter(step_name, steps[index].name) ||
                !matches_filter(fault_name, fault_names[fault]))
                continue;
            const char *reason = get_inapplicable_reason(&steps[index], (fault_kind)fault);
            if (reason == NULL) {
                run_and_report(fleet, &steps[index], (fault_kind)fault, NULL, killed_engine_records,
                               counts);
                continue;
            }
            counts->not_applicable++;
            printf("%s %s not-applicable: %s\n", fault_names[fault], steps[index].name, reason);
        }
    }
    for (size_t index = 0; index < G_N_ELEMENTS(pairs); index++)
        if (matches_filter(step_name, pairs[index].step) && matches_filter(fault_name, "pairs"))
            run_and_report(fleet, find_step(pairs[index].step), pairs[index].first,
                           &pairs[index].second, killed_engine_records, counts);
    json_decref(killed_engine_records);
}

int main(int argument_count, char **arguments) {
    ulfius_global_init();
    g_autofree char *log_directory = g_dir_make_tmp("heathsail-matrix-XXXXXX", NULL);
    fleet_options options = {.programs = g_getenv("HS_TEST_PROGRAMS"),
                             .ports = fleet_leased_ports(),
                             .daemon_count = 3,
                             .drafting_engines = 3,
                             .order_engines = 0,
                             .list_lag_ms = 50,
                             .log_directory = log_directory,
                             .daemon_settings = matrix_settings};
    fleet running;
    matrix_counts counts = {0};
    uint64_t started_ms = hs_clock_monotonic_ms();
    bool started = fleet_start(&running, &options);
    if (started)
        run_matrix(&running, argument_count > 1 ? arguments[1] : NULL,
                   argument_count > 2 ? arguments[2] : NULL, &counts);
    fleet_stop(&running);
    printf("cells=%d ok=%d failed=%d not_applicable=%d seconds=%llu\n",
           counts.passed + counts.failed, counts.passed, counts.failed, counts.not_applicable,
           (unsigned long long)(hs_clock_monotonic_ms() - started_ms) / 1000);
    if (counts.failed > 0)
        fprintf(stderr, "daemon logs: %s\n", log_directory);
    return started && counts.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
