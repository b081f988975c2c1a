/** @file main.c  heathsail-load: sends online load to daemons and prints latency percentiles. */
#include "tools/load/online_run.h"

#include <argp.h>
#include <stdlib.h>

const char *argp_program_version = "heathsail-load 0.1.0";

enum { OPTION_RATE = 256, OPTION_TOKENS, OPTION_MODEL, OPTION_BUSY, OPTION_IDLE };

static const struct argp_option option_list[] = {
    {"callers", 'u', "URL,...", 0, "comma-separated URLs of daemons, used in turn", 0},
    {"seconds", 's', "N", 0, "duration in seconds (60)", 0},
    {"seed", 'r', "N", 0, "random seed (1)", 0},
    {"rate", OPTION_RATE, "N", 0, "requests per second (20)", 0},
    {"tokens", OPTION_TOKENS, "N", 0, "tokens per response (40)", 0},
    {"model", OPTION_MODEL, "NAME", 0, "requested model (drafting-7b)", 0},
    {"busy", OPTION_BUSY, "S", 0, "seconds of load in each cycle (0: continuous load)", 0},
    {"idle", OPTION_IDLE, "S", 0, "seconds of pause in each cycle", 0},
    {0}};

static error_t parse_option(int key, char *argument, struct argp_state *state) {
    online_run_options *run = state->input;
    switch (key) {
    case 'u':
        run->callers = argument;
        return 0;
    case 's':
        run->seconds = atof(argument);
        return 0;
    case 'r':
        run->seed = (uint32_t)atoi(argument);
        return 0;
    case OPTION_RATE:
        run->rate_per_s = atof(argument);
        return 0;
    case OPTION_TOKENS:
        run->tokens = atoi(argument);
        return 0;
    case OPTION_MODEL:
        run->model = argument;
        return 0;
    case OPTION_BUSY:
        run->busy_s = atof(argument);
        return 0;
    case OPTION_IDLE:
        run->idle_s = atof(argument);
        return 0;
    case ARGP_KEY_END:
        if (run->callers == NULL)
            argp_error(state, "--callers is required");
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int main(int argument_count, char **arguments) {
    online_run_options run = {
        .model = "drafting-7b", .rate_per_s = 20, .tokens = 40, .seconds = 60, .seed = 1};
    struct argp parser = {
        option_list, parse_option,
        NULL,        "Send online load to daemons and measure latency percentiles.",
        NULL,        NULL,
        NULL};
    argp_parse(&parser, argument_count, arguments, 0, NULL, &run);
    return online_run(&run) == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
