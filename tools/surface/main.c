/**
 * @file main.c
 * heathsail-surface-demo: an online request, a stream and a batch job on the fleet surface, over
 * stand-ins; prints the answers and a summary. With --streams it measures what a stream costs.
 */
#include "base/clock.h"
#include "tools/surface/fleet_bench.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

const char *argp_program_version = "heathsail-surface-demo 0.1.0";

#define DEMO_ITEMS 8
#define DEMO_JOB_LIMIT_MS 20000

#define CALLERS 8
#define MS_PER_S 1000.0

typedef struct {
    const char *programs;
    int streams; /**< To measure; 0: show the demo. */
} command_line;

static const struct argp_option option_list[] = {
    {"programs", 'p', "DIR", 0, "directory of the binaries (build)", 0},
    {"streams", 's', "COUNT", 0,
     "send COUNT streams to one daemon and print its processor time for each", 0},
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

/** Processor time of a process so far, in ms. */
static double processor_ms(pid_t pid) {
    g_autofree char *path = g_strdup_printf("/proc/%d/stat", (int)pid);
    g_autofree char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL))
        return 0;
    g_auto(GStrv) words = g_strsplit(text, " ", -1);
    enum { USER_WORD = 13, SYSTEM_WORD = 14 };
    if (g_strv_length(words) <= SYSTEM_WORD)
        return 0;
    double ticks =
        g_ascii_strtod(words[USER_WORD], NULL) + g_ascii_strtod(words[SYSTEM_WORD], NULL);
    return ticks * MS_PER_S / (double)sysconf(_SC_CLK_TCK);
}

static gpointer run_streams(gpointer data) {
    int served = 0;
    for (int stream = 0; stream < GPOINTER_TO_INT(data); stream++) {
        bench_answer answer = bench_send(&(bench_call){
            .method = "POST", .target = "/once/cost", .request_id = "cost", .body = "hello"});
        served += answer.whole;
        bench_answer_clear(&answer);
    }
    return GINT_TO_POINTER(served);
}

/** Streams from several callers at one daemon; its processor time for each. */
static bool measure_streams(int count) {
    GThread *callers[CALLERS];
    double before_ms = processor_ms(bench.pids[0]);
    uint64_t began_ms = hs_clock_monotonic_ms();
    for (int caller = 0; caller < CALLERS; caller++)
        callers[caller] = g_thread_new("caller", run_streams, GINT_TO_POINTER(count / CALLERS));
    int served = 0;
    for (int caller = 0; caller < CALLERS; caller++)
        served += GPOINTER_TO_INT(g_thread_join(callers[caller]));
    double used_ms = processor_ms(bench.pids[0]) - before_ms;
    printf("%d streams whole in %.1f s; processor time of the daemon: %.3f ms a stream\n", served,
           (double)(hs_clock_monotonic_ms() - began_ms) / MS_PER_S, used_ms / MAX(served, 1));
    return served == count / CALLERS * CALLERS;
}

/** Send one request and print its answer; whether it was whole and 200. */
static bool show_request(const char *title, const char *target) {
    bench_answer answer = bench_send(&(bench_call){
        .daemon = 0, .method = "POST", .target = target, .request_id = title, .body = "hello"});
    bool served = answer.status == 200 && answer.whole;
    printf("%s: %u\n%s\n", title, answer.status, answer.body != NULL ? answer.body : "");
    bench_answer_clear(&answer);
    return served;
}

/** Submit a job at one daemon and read it at another. */
static bool show_job(void) {
    g_autofree char *body = bench_job("demo", DEMO_ITEMS);
    bench_answer answer = bench_send(&(bench_call){
        .daemon = 1, .method = "POST", .target = "/jobs/x", .request_id = "demo", .body = body});
    printf("batch job submitted: %u\n", answer.status);
    bool taken = answer.status == 202;
    bench_answer_clear(&answer);
    g_autofree char *page = taken ? bench_wait_job(2, "demo", DEMO_ITEMS, DEMO_JOB_LIMIT_MS) : NULL;
    printf("batch job read elsewhere: %.160s...\n", page != NULL ? page : "(not done)");
    return page != NULL;
}

int main(int argument_count, char **arguments) {
    command_line line = {.programs = "build"};
    struct argp parser = {option_list, parse_option, NULL, "Demo of the fleet surface.",
                          NULL,        NULL,         NULL};
    argp_parse(&parser, argument_count, arguments, 0, NULL, &line);
    g_setenv("HS_TEST_PROGRAMS", line.programs, TRUE);
    g_setenv("HS_BENCH_QUIET", "1", TRUE);
    bool served = begin_bench() == 0;
    if (line.streams > 0) {
        served = served && measure_streams(line.streams);
        end_bench();
        return served ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    served = served && show_request("online", "/plain/stock?item=ledger");
    served = served && show_request("streamed", "/once/quote");
    served = served && show_job();
    end_bench();
    printf("fleet surface: %s\n", served ? "three requests served" : "failed");
    return served ? EXIT_SUCCESS : EXIT_FAILURE;
}
