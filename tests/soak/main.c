/**
 * @file main.c
 * heathsail-soak: runs real daemons under random injected faults, ends the faults and checks every
 * guarantee from what callers and engines observed. The seed determines the sequence of faults, not
 * the scheduling of processes, so that a seed that failed may pass when it is repeated.
 */
#include "tests/soak/soak.h"

#include "base/clock.h"
#include "tools/surface/fleet_bench.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

const char *argp_program_version = "heathsail-soak 0.2.0";

#define ONLINE_CALLERS 4
#define DISCONNECTING_CALLERS 2
#define JOB_CALLERS 2
#define CRASH_CALLERS 2
#define VERSION_CALLERS 3
#define JOB_ENDING_CALLERS 5
#define STOP_CALLERS 20
#define CALLER_THREADS                                                                             \
    (ONLINE_CALLERS + DISCONNECTING_CALLERS + JOB_CALLERS + CRASH_CALLERS + JOB_ENDING_CALLERS +   \
     VERSION_CALLERS + STOP_CALLERS)
/** Threads that inject faults at the same time. */
#define MAX_FAULT_INJECTORS 3
/** Enough for all items that run at once, also while two daemons own a partition. */
#define ENGINE_SLOTS 80
/** In a large fleet few daemons own partitions; the share of each must suffice for its items. */
#define ENGINE_CONNECTIONS_PER_DAEMON 34
/** Longer than the soak takes to complete any item. */
#define RETENTION_S 600
#define MS_PER_S 1000
/** Estimated memory of a daemon, with its threads' stacks and open connections. */
#define DAEMON_MEMORY_BYTES (64ULL * 1024 * 1024)
#define MAX_DAEMONS_BY_MEMORY 300
#define PROGRESS_INTERVAL_MS 1000
/** Shell convention: the exit status of a program that a signal ended is this plus the signal. */
#define SIGNAL_EXIT_BASE 128

/**
 * Texts that take 5 to 8 s, during which daemons store progress every 1.5 s. With slow events two
 * owners of an item often store the same number of events.
 */
static const token_engine_pace item_paces[] = {{.events = 32, .event_ms = 250},
                                               {.events = 90, .event_ms = 60},
                                               {.events = 320, .event_ms = 20}};

/** Streams of 3.6 s, somewhat less than their route's time-out. */
static const token_engine_pace stop_pace = {.events = 72, .event_ms = 50};

typedef struct {
    const char *programs;
    unsigned seconds;
    unsigned seed;
    int daemons;
    const char *logs;
    const char *past; /**< Daemon program of an earlier build, or NULL. */
    bool runs_self_test;
} command_line;

static const struct argp_option option_list[] = {
    {"programs", 'p', "DIR", 0, "directory of the binaries (default: build)", 0},
    {"seconds", 't', "COUNT", 0,
     "duration of fault injection, fault-free periods included (default: 180)", 0},
    {"seed", 's', "NUMBER", 0, "seed of the fault sequence (default: from the clock)", 0},
    {"daemons", 'd', "COUNT", 0,
     "number of daemons (default: 3); 0: as many as fit into half of the free memory", 0},
    {"logs", 'l', "DIR", 0, "directory for one log file per daemon (default: no log files)", 0},
    {"past", 'b', "PROGRAM", 0,
     "daemon of an earlier build: all daemons start as it, and each restart picks a random build",
     0},
    {"self-test", 'T', NULL, 0, "plant a fault for each check; the check must report it", 0},
    {0}};

/** Parses the number of an option; ends the program with a usage message on an error. */
static unsigned parse_number(const char *argument, unsigned max, struct argp_state *state) {
    guint64 number = 0;
    if (!g_ascii_string_to_unsigned(argument, 10, 0, max, &number, NULL))
        argp_error(state, "expected a number from 0 to %u, got: %s", max, argument);
    return (unsigned)number;
}

static error_t parse_option(int key, char *argument, struct argp_state *state) {
    command_line *line = state->input;
    switch (key) {
    case 'p':
        line->programs = argument;
        return 0;
    case 't':
        line->seconds = parse_number(argument, G_MAXINT / MS_PER_S, state);
        return 0;
    case 's':
        line->seed = parse_number(argument, G_MAXUINT, state);
        return 0;
    case 'd':
        line->daemons = (int)parse_number(argument, BENCH_MAX_DAEMONS, state);
        return 0;
    case 'l':
        line->logs = argument;
        return 0;
    case 'b':
        line->past = argument;
        return 0;
    case 'T':
        line->runs_self_test = true;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/** Returns how many daemons fit into half of the free memory. */
static int get_daemons_by_memory(void) {
    uint64_t free_bytes = (uint64_t)sysconf(_SC_AVPHYS_PAGES) * (uint64_t)sysconf(_SC_PAGESIZE);
    return (int)CLAMP(free_bytes / 2 / DAEMON_MEMORY_BYTES, BENCH_DEFAULT_DAEMONS,
                      MAX_DAEMONS_BY_MEMORY);
}

/** Arguments of one thread that injects faults. */
typedef struct {
    GRand *rng;
    uint64_t until_ms;
} fault_thread_args;

static gpointer run_fault_thread(gpointer data) {
    fault_thread_args *args = data;
    soak_run_faults(args->rng, args->until_ms);
    g_rand_free(args->rng);
    return NULL;
}

static gpointer run_operator_thread(gpointer data) {
    fault_thread_args *args = data;
    soak_run_operator(args->rng, args->until_ms);
    g_rand_free(args->rng);
    return NULL;
}

static gpointer run_end_fault_thread(gpointer data) {
    fault_thread_args *args = data;
    soak_run_end_faults(args->rng, args->until_ms);
    g_rand_free(args->rng);
    return NULL;
}

static gpointer run_stop_thread(gpointer data) {
    fault_thread_args *args = data;
    soak_run_stops(args->rng, args->until_ms);
    g_rand_free(args->rng);
    return NULL;
}

/** Shows one line of progress if standard error is a terminal. */
static void show_progress(uint64_t until_ms) {
    if (!isatty(STDERR_FILENO))
        return;
    while (hs_clock_monotonic_ms() < until_ms) {
        fprintf(stderr, "\r%4u s left, %u requests, %u jobs, %u texts, %d faults, %u violations ",
                (unsigned)((until_ms - hs_clock_monotonic_ms()) / MS_PER_S), record.requests_sent,
                record.jobs_sent, record.texts, record.fault_count, record.violations->len);
        hs_clock_sleep_ms(PROGRESS_INTERVAL_MS);
    }
    fprintf(stderr, "\n");
}

static void run_faults(const command_line *line) {
    GThread *threads[MAX_FAULT_INJECTORS];
    fault_thread_args thread_args[MAX_FAULT_INJECTORS];
    unsigned injector_count = 1 + line->seed / G_N_ELEMENTS(item_paces) % MAX_FAULT_INJECTORS;
    uint64_t until_ms = hs_clock_monotonic_ms() + (uint64_t)line->seconds * MS_PER_S;
    for (unsigned index = 0; index < injector_count; index++) {
        guint32 numbers[] = {line->seed, index};
        thread_args[index] = (fault_thread_args){g_rand_new_with_seed_array(numbers, 2), until_ms};
        threads[index] = g_thread_new("faults", run_fault_thread, &thread_args[index]);
    }
    guint32 operator_numbers[] = {line->seed, MAX_FAULT_INJECTORS};
    fault_thread_args operator_args = {g_rand_new_with_seed_array(operator_numbers, 2), until_ms};
    /* A build before evacuations does not know them. */
    GThread *operator_thread =
        line->past == NULL ? g_thread_new("operator", run_operator_thread, &operator_args) : NULL;
    guint32 end_numbers[] = {line->seed, MAX_FAULT_INJECTORS + 1};
    fault_thread_args end_args = {g_rand_new_with_seed_array(end_numbers, 2), until_ms};
    GThread *end_thread = g_thread_new("end faults", run_end_fault_thread, &end_args);
    guint32 stop_numbers[] = {line->seed, MAX_FAULT_INJECTORS + 2};
    fault_thread_args stop_args = {g_rand_new_with_seed_array(stop_numbers, 2), until_ms};
    GThread *stop_thread = g_thread_new("stops", run_stop_thread, &stop_args);
    show_progress(until_ms);
    g_thread_join(stop_thread);
    g_thread_join(end_thread);
    if (operator_thread != NULL)
        g_thread_join(operator_thread);
    for (unsigned index = 0; index < injector_count; index++)
        g_thread_join(threads[index]);
    soak_log("fault injection ended");
}

static GThreadFunc get_caller_function(unsigned index) {
    if (index < ONLINE_CALLERS)
        return soak_run_online_caller;
    if (index < ONLINE_CALLERS + DISCONNECTING_CALLERS)
        return soak_run_disconnecting_caller;
    if (index < ONLINE_CALLERS + DISCONNECTING_CALLERS + JOB_CALLERS)
        return soak_run_job_caller;
    if (index < CALLER_THREADS - JOB_ENDING_CALLERS - VERSION_CALLERS - STOP_CALLERS)
        return soak_run_crash_caller;
    if (index < CALLER_THREADS - VERSION_CALLERS - STOP_CALLERS)
        return soak_run_job_ending_caller;
    return index < CALLER_THREADS - STOP_CALLERS ? soak_run_version_caller : soak_run_stop_caller;
}

static void run_callers(const command_line *line) {
    GThread *callers[CALLER_THREADS];
    for (unsigned index = 0; index < CALLER_THREADS; index++)
        callers[index] = g_thread_new("caller", get_caller_function(index),
                                      GUINT_TO_POINTER(line->seed % 1000000 * 10 + index));
    run_faults(line);
    record.callers_ended_ms = hs_clock_monotonic_ms();
    g_atomic_int_set(&record.stopping, 1);
    for (unsigned index = 0; index < CALLER_THREADS; index++)
        g_thread_join(callers[index]);
}

/** Prints one line of name=value pairs, which table.sh reads. */
static void print_verdict(const command_line *line) {
    printf(
        "verdict seed=%u requests=%u served=%u refused=%u cut=%u on_kept_connections=%u jobs=%u "
        "accepted=%u reads=%u texts=%u text_joints=%u stream_joints=%u ends=%u ends_judged=%u "
        "late_near_faults=%u crashes=%u fatal_sent=%u fatal_held=%u beside_sent=%u "
        "beside_served=%u sharing=%u sharing_held=%u taken_up=%u continued=%u evacuations=%u "
        "evacuations_judged=%u "
        "returns_judged=%u cold_starts=%u "
        "cold_requests=%u cold_most=%u losses=%u losses_judged=%u region_cuts=%u home=%u "
        "home_in_cuts=%u jobs_ended=%u late_sends=%u late_of_stopped=%u late_on_links=%u "
        "late_in_transit=%u "
        "last_send_ms=%u stops=%u in_stops=%u in_stops_judged=%u unread_in_stops=%u "
        "cut_excused=%u cut_in_stops=%u cut_near_faults=%u known_red=%u faults=%d "
        "violations=%u\n",
        line->seed, record.requests_sent, record.requests_served, record.requests_refused,
        record.streams_cut, record.connections_reused, record.jobs_sent,
        g_hash_table_size(record.accepted_jobs), record.job_reads, record.texts, record.text_joints,
        record.stream_joints, record.end_count, record.ends_checked, record.late_runs,
        record.engine_crashes, record.crash_requests_sent, record.crash_requests_quarantined,
        record.other_requests_sent, record.other_requests_served, record.sharing_requests,
        record.sharing_requests_held, record.streams_taken_up, record.streams_continued,
        record.evacuations, record.evacuations_checked, record.returns_checked, record.cold_starts,
        record.cold_requests, record.most_cold_requests, record.zone_losses, record.losses_checked,
        record.region_cuts, record.home_requests, record.home_requests_in_cuts, record.jobs_ended,
        record.late_sends, record.late_sends_of_stopped, record.late_sends_on_links,
        record.late_sends_in_transit, record.last_send_ms, record.stops, record.stop_requests,
        record.stop_requests_judged, record.stop_requests_unread, record.stop_cuts_excused,
        record.stop_cuts, record.stop_cuts_near_faults, record.known_red, record.fault_count,
        record.violations->len);
}

static void run_soak(const command_line *line) {
    int daemons = line->daemons > 0 ? line->daemons : get_daemons_by_memory();
    bench.settings = (bench_settings){
        .daemons = daemons,
        .item_pace = item_paces[line->seed % G_N_ELEMENTS(item_paces)],
        .medium_pace = stop_pace,
        .slots = ENGINE_SLOTS,
        .connections = (uint32_t)daemons * ENGINE_CONNECTIONS_PER_DAEMON,
        .retention_s = RETENTION_S,
        .zones = soak_zones,
        .zone_regions = line->past == NULL ? SOAK_ZONE_REGIONS : NULL,
        .home_region = line->past == NULL ? SOAK_HOME_REGION : NULL,
        .warmup_s = line->past == NULL ? SOAK_WARMUP_S : 0,
        .warmup_per_s = line->past == NULL ? SOAK_WARMUP_PER_S : 0,
        .evacuate_ms = line->past == NULL ? SOAK_EVACUATE_MS : 0,
        .log_directory = line->logs,
    };
    bench.previous_program = line->past;
    record.has_earlier_builds = line->past != NULL;
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++)
        bench.runs_previous_program[daemon] = line->past != NULL;
    printf("seed %u, %u s, %d daemons\n", line->seed, line->seconds, bench_daemon_count());
    bench_prepare();
    soak_start_proxies();
    soak_start_crash_fleet(line->seed);
    if (bench_start() != 0)
        soak_report_violation("the daemons did not become ready after their start");
    run_callers(line);
    soak_check_end();
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++)
        bench_signal_daemon(daemon, SIGKILL);
    soak_stop_crash_fleet();
    bench_tear_down();
    soak_stop_proxies();
    print_verdict(line);
}

/** Kills the daemons before the program ends on a signal. */
static void end_at_signal(int signal_number) {
    for (int daemon = 0; daemon < BENCH_MAX_DAEMONS; daemon++)
        if (bench.pids[daemon] > 0)
            kill(bench.pids[daemon], SIGKILL);
    _exit(SIGNAL_EXIT_BASE + signal_number);
}

int main(int argument_count, char **arguments) {
    command_line line = {.programs = "build",
                         .seconds = 180,
                         .seed = (unsigned)hs_clock_wall_ms(),
                         .daemons = BENCH_DEFAULT_DAEMONS};
    struct argp parser = {option_list,
                          parse_option,
                          NULL,
                          "Runs real daemons under random faults and checks their guarantees."
                          "\vExit status: 0 no violations, 1 violations found, 64 usage error.",
                          NULL,
                          NULL,
                          NULL};
    argp_parse(&parser, argument_count, arguments, 0, NULL, &line);
    g_setenv("HS_TEST_PROGRAMS", line.programs, TRUE);
    g_setenv("HS_BENCH_QUIET", "1", FALSE);
    setvbuf(stdout, NULL, _IOLBF, 0); /* A child must not inherit unwritten output. */
    if (line.runs_self_test)
        return soak_run_self_test() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    signal(SIGINT, end_at_signal);
    signal(SIGTERM, end_at_signal);
    signal(SIGHUP, end_at_signal);
    soak_record_init();
    record.known_red_path = "KNOWN-RED.txt";
    run_soak(&line);
    bool is_passed = record.violations->len == 0;
    soak_record_clear();
    return is_passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
