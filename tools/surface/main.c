/** @file main.c  heathsail-surface-demo: an online request, a stream and a batch job on the fleet
 * surface, over stand-ins; prints the answers and a summary. */
#include "tools/surface/fleet_bench.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

const char *argp_program_version = "heathsail-surface-demo 0.1.0";

#define DEMO_ITEMS 8
#define DEMO_JOB_LIMIT_MS 20000

static const struct argp_option option_list[] = {
    {"programs", 'p', "DIR", 0, "directory of the binaries (build)", 0}, {0}};

static error_t parse_option(int key, char *argument, struct argp_state *state) {
    if (key != 'p')
        return ARGP_ERR_UNKNOWN;
    *(const char **)state->input = argument;
    return 0;
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
    const char *programs = "build";
    struct argp parser = {option_list, parse_option, NULL, "Demo of the fleet surface.",
                          NULL,        NULL,         NULL};
    argp_parse(&parser, argument_count, arguments, 0, NULL, &programs);
    g_setenv("HS_TEST_PROGRAMS", programs, TRUE);
    g_setenv("HS_BENCH_QUIET", "1", TRUE);
    bool served = begin_bench() == 0;
    served = served && show_request("online", "/plain/stock?item=ledger");
    served = served && show_request("streamed", "/once/quote");
    served = served && show_job();
    end_bench();
    printf("fleet surface: %s\n", served ? "three requests served" : "failed");
    return served ? EXIT_SUCCESS : EXIT_FAILURE;
}
