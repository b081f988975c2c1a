/**
 * @file main.c
 * heathsail-surface-demo: sends an online request, a stream and a batch job to a fleet surface over
 * stand-ins and prints the responses. With --streams, prints a daemon's CPU time per stream.
 */
#include "base/clock.h"
#include "tools/surface/fleet_bench.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

const char *argp_program_version = "heathsail-surface-demo 0.1.0";

#define DEMO_ITEMS 8
#define DEMO_JOB_TIMEOUT_MS 20000

#define CALLERS 8
#define MS_PER_S 1000.0

typedef struct {
    const char *programs;
    int streams; /**< Number of streams to measure; 0: run the demo. */
} command_line;

static const struct argp_option option_list[] = {
    {"programs", 'p', "DIR", 0, "directory of the programs (build)", 0},
    {"streams", 's', "COUNT", 0,
     "send COUNT streams to one daemon and print the CPU time per stream", 0},
    {0}};

static error_t parse_option(int key, char *argument, struct argp_state *state) {
    command_line *line = state->input;
    switch (key) {
    case 'p':
        line->programs = argument;
        return 0;
    case 's':
        line->streams = (int)g_ascii_strtoll(argument, NULL, 10);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/** Returns the CPU time of a process in ms; 0 if unknown. */
static double get_cpu_ms(pid_t pid) {
    g_autofree char *path = g_strdup_printf("/proc/%d/stat", (int)pid);
    g_autofree char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL))
        return 0;
    g_auto(GStrv) fields = g_strsplit(text, " ", -1);
    enum { USER_TIME_FIELD = 13, SYSTEM_TIME_FIELD = 14 };
    if (g_strv_length(fields) <= SYSTEM_TIME_FIELD)
        return 0;
    double ticks = g_ascii_strtod(fields[USER_TIME_FIELD], NULL) +
                   g_ascii_strtod(fields[SYSTEM_TIME_FIELD], NULL);
    return ticks * MS_PER_S / (double)sysconf(_SC_CLK_TCK);
}

static gpointer run_streams(gpointer data) {
    int complete_count = 0;
    for (int stream = 0; stream < GPOINTER_TO_INT(data); stream++) {
        bench_answer answer = bench_send(&(bench_call){
            .method = "POST", .target = "/once/cost", .request_id = "cost", .body = "hello"});
        complete_count += answer.whole;
        bench_answer_clear(&answer);
    }
    return GINT_TO_POINTER(complete_count);
}

/** Sends streams from several callers to one daemon and prints the CPU time per stream. */
static bool measure_streams(int count) {
    GThread *callers[CALLERS];
    double cpu_before_ms = get_cpu_ms(bench.pids[0]);
    uint64_t started_ms = hs_clock_monotonic_ms();
    for (int caller = 0; caller < CALLERS; caller++)
        callers[caller] = g_thread_new("caller", run_streams, GINT_TO_POINTER(count / CALLERS));
    int complete_count = 0;
    for (int caller = 0; caller < CALLERS; caller++)
        complete_count += GPOINTER_TO_INT(g_thread_join(callers[caller]));
    double cpu_ms = get_cpu_ms(bench.pids[0]) - cpu_before_ms;
    printf("%d streams complete in %.1f s; CPU time of the daemon: %.3f ms per stream\n",
           complete_count, (double)(hs_clock_monotonic_ms() - started_ms) / MS_PER_S,
           cpu_ms / MAX(complete_count, 1));
    return complete_count == count / CALLERS * CALLERS;
}

/** Sends a request and prints the response. Returns true for a complete response with 200. */
static bool run_request_demo(const char *title, const char *target) {
    bench_answer answer = bench_send(&(bench_call){
        .daemon = 0, .method = "POST", .target = target, .request_id = title, .body = "hello"});
    bool is_successful = answer.status == 200 && answer.whole;
    printf("%s: %u\n%s\n", title, answer.status, answer.body != NULL ? answer.body : "");
    bench_answer_clear(&answer);
    return is_successful;
}

/** Submits a job to one daemon and reads the results from another. */
static bool run_job_demo(void) {
    g_autofree char *body = bench_job_body("demo", DEMO_ITEMS);
    bench_answer answer = bench_send(&(bench_call){
        .daemon = 1, .method = "POST", .target = "/jobs/x", .request_id = "demo", .body = body});
    printf("batch job submitted: %u\n", answer.status);
    bool is_accepted = answer.status == 202;
    bench_answer_clear(&answer);
    g_autofree char *page =
        is_accepted ? bench_wait_job(2, "demo", DEMO_ITEMS, DEMO_JOB_TIMEOUT_MS) : NULL;
    printf("batch job read from another daemon: %.160s...\n", page != NULL ? page : "(not done)");
    return page != NULL;
}

int main(int argument_count, char **arguments) {
    command_line line = {.programs = "build"};
    struct argp parser = {option_list, parse_option, NULL, "Demo of the fleet surface.",
                          NULL,        NULL,         NULL};
    argp_parse(&parser, argument_count, arguments, 0, NULL, &line);
    g_setenv("HS_TEST_PROGRAMS", line.programs, TRUE);
    g_setenv("HS_BENCH_QUIET", "1", TRUE);
    bool is_successful = bench_set_up() == 0;
    if (line.streams > 0) {
        is_successful = is_successful && measure_streams(line.streams);
        bench_tear_down();
        return is_successful ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    is_successful = is_successful && run_request_demo("online", "/plain/stock?item=ledger");
    is_successful = is_successful && run_request_demo("streamed", "/once/quote");
    is_successful = is_successful && run_job_demo();
    bench_tear_down();
    printf("fleet surface: %s\n", is_successful ? "three requests served" : "failed");
    return is_successful ? EXIT_SUCCESS : EXIT_FAILURE;
}
