/** @file main.c  heathsail-load: the load and experiment tool. */
#include "tools/load/online_run.h"
#include "tools/load/sim_desk.h"

#include <argp.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *argp_program_version = "heathsail-load 0.1.0";

typedef struct {
    const char *desk;
    sim_options simulation;
    int only_way;           /**< -1: all. */
    bool json;              /**< One JSON object a way in place of the table. */
    online_run_options run; /**< With callers: load on real daemons in place of a simulation. */
} command_line;

enum {
    OPTION_LOSE = 256,
    OPTION_WAY,
    OPTION_CAP,
    OPTION_START,
    OPTION_INTERVAL,
    OPTION_RATE,
    OPTION_TOKENS,
    OPTION_MODEL,
    OPTION_BUSY,
    OPTION_IDLE,
    OPTION_JSON
};

static const struct argp_option option_list[] = {
    {"desk", 'd', "NAME", 0, "kowalchuk or tisza (both)", 0},
    {"way", OPTION_WAY, "NAME", 0, "only this way", 0},
    {"seconds", 's', "N", 0, "virtual seconds of a run (60)", 0},
    {"seed", 'r', "N", 0, "seed (1)", 0},
    {"max-batch", 'm', "N", 0, "items on an idle engine", 0},
    {"beside", 'b', "N", 0, "items that stay beside online requests", 0},
    {"start-beside", OPTION_START, "N", 0, "items up to which new ones start beside them", 0},
    {"hold", 'h', "MS", 0, "hold after the last online request", 0},
    {"start-interval", OPTION_INTERVAL, "MS", 0, "at most one item starts in it (0: no limit)", 0},
    {"cap", OPTION_CAP, "N", 0, "items of the fixed cap (4)", 0},
    {"callers", 'u', "URL,...", 0, "send real load to these daemons instead", 0},
    {"rate", OPTION_RATE, "N", 0, "requests a second of real load (20)", 0},
    {"tokens", OPTION_TOKENS, "N", 0, "tokens of each answer (40)", 0},
    {"model", OPTION_MODEL, "NAME", 0, "model asked for (drafting-7b)", 0},
    {"busy", OPTION_BUSY, "S", 0, "real load comes for such a time (0: always)", 0},
    {"idle", OPTION_IDLE, "S", 0, "and then pauses for such a time", 0},
    {"json", OPTION_JSON, NULL, 0, "one JSON object a way instead of a table", 0},
    {"lose-tokens", OPTION_LOSE, NULL, 0, "preempted items begin anew", 0},
    {0}};

static error_t parse_option(int key, char *argument, struct argp_state *state) {
    command_line *line = state->input;
    sim_options *simulation = &line->simulation;
    switch (key) {
    case 'd':
        line->desk = argument;
        return 0;
    case 's':
        simulation->seconds = atof(argument);
        return 0;
    case 'r':
        simulation->seed = (uint32_t)atoi(argument);
        return 0;
    case 'm':
        simulation->pacing.max_batch = (uint32_t)atoi(argument);
        return 0;
    case 'b':
        simulation->pacing.beside_online = (uint32_t)atoi(argument);
        return 0;
    case 'h':
        simulation->pacing.idle_hold_ms = (uint32_t)atoi(argument);
        return 0;
    case OPTION_START:
        simulation->pacing.start_beside = (uint32_t)atoi(argument);
        return 0;
    case OPTION_INTERVAL:
        simulation->pacing.start_interval_ms = (uint32_t)atoi(argument);
        return 0;
    case OPTION_CAP:
        simulation->fixed_cap = atoi(argument);
        return 0;
    case OPTION_JSON:
        line->json = true;
        return 0;
    case OPTION_LOSE:
        simulation->keep_tokens = false;
        return 0;
    case 'u':
        line->run.callers = argument;
        return 0;
    case OPTION_RATE:
        line->run.rate_per_s = atof(argument);
        return 0;
    case OPTION_TOKENS:
        line->run.tokens = atoi(argument);
        return 0;
    case OPTION_MODEL:
        line->run.model = argument;
        return 0;
    case OPTION_BUSY:
        line->run.busy_s = atof(argument);
        return 0;
    case OPTION_IDLE:
        line->run.idle_s = atof(argument);
        return 0;
    case OPTION_WAY:
        for (int way = 0; way < SIM_WAYS; way++)
            if (strcmp(sim_way_names[way], argument) == 0)
                line->only_way = way;
        if (line->only_way < 0)
            argp_error(state, "no such way: %s", argument);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static double percent_over(double value, double floor) {
    return floor > 0 ? (value / floor - 1.0) * 100.0 : 0;
}

static void print_result(const char *name, const sim_result *result, const sim_result *floor,
                         const sim_result *oracle) {
    double share = oracle->batch_tokens_per_s > 0
                       ? result->batch_tokens_per_s / oracle->batch_tokens_per_s
                       : 0;
    printf("%-13s %8.2f %8.2f %+7.1f%% %7.2f %7.2f %+7.1f%% %9.1f %9.0f %7.1f%% %9llu %10.0f\n",
           name, result->first_token_p50_ms, result->first_token_p99_ms,
           percent_over(result->first_token_p99_ms, floor->first_token_p99_ms), result->gap_p50_ms,
           result->gap_p99_ms, percent_over(result->gap_p99_ms, floor->gap_p99_ms),
           result->batch_items_per_s, result->batch_tokens_per_s, share * 100.0,
           (unsigned long long)result->preemptions, result->control_bytes_per_s);
    fflush(stdout);
}

static void print_json(const sim_options *options, const char *way, const sim_result *result,
                       const sim_result *floor) {
    json_t *document = json_pack(
        "{s:s,s:s,s:i,s:i,s:i,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:I}", "desk", options->desk->name,
        "way", way, "seed", (int)options->seed, "max_batch", (int)options->pacing.max_batch,
        "start_interval_ms", (int)options->pacing.start_interval_ms, "first_token_p50_ms",
        result->first_token_p50_ms, "first_token_p99_ms", result->first_token_p99_ms,
        "first_token_p99_harm_percent",
        percent_over(result->first_token_p99_ms, floor->first_token_p99_ms), "gap_p50_ms",
        result->gap_p50_ms, "gap_p99_ms", result->gap_p99_ms, "gap_p99_harm_percent",
        percent_over(result->gap_p99_ms, floor->gap_p99_ms), "batch_items_per_s",
        result->batch_items_per_s, "control_bytes_per_s", result->control_bytes_per_s,
        "preemptions", (json_int_t)result->preemptions);
    char *text = json_dumps(document, JSON_COMPACT | JSON_REAL_PRECISION(6));
    printf("%s\n", text);
    free(text);
    json_decref(document);
}

static void print_heading(const sim_options *options, const sim_result *floor) {
    const hs_pacing_settings *pacing = &options->pacing;
    printf("desk=%s engines=%d seconds=%.0f seed=%u online=%llu max_batch=%u beside=%u "
           "start_beside=%u hold_ms=%u start_interval_ms=%u keep_tokens=%d\n",
           options->desk->name, options->desk->engines, options->seconds, options->seed,
           (unsigned long long)floor->online_requests, pacing->max_batch, pacing->beside_online,
           pacing->start_beside, pacing->idle_hold_ms, pacing->start_interval_ms,
           options->keep_tokens);
    printf("%-13s %8s %8s %8s %7s %7s %8s %9s %9s %8s %9s %10s\n", "way", "ttft50", "ttft99",
           "harm", "gap50", "gap99", "harm", "items/s", "tokens/s", "oracle", "preempted",
           "ctl-B/s");
}

/** All ways of one desk, or one of them. */
static void compare_ways(const command_line *line, const sim_desk *desk) {
    sim_options options = line->simulation;
    options.desk = desk;
    options.way = SIM_ONLINE_ALONE;
    sim_result floor = sim_run(&options);
    options.way = SIM_ORACLE;
    sim_result oracle = sim_run(&options);
    if (!line->json)
        print_heading(&options, &floor);
    for (int way = 0; way < SIM_WAYS; way++) {
        if (line->only_way >= 0 && way != line->only_way)
            continue;
        options.way = (sim_way)way;
        sim_result result = way == SIM_ONLINE_ALONE ? floor
                            : way == SIM_ORACLE     ? oracle
                                                    : sim_run(&options);
        if (line->json)
            print_json(&options, sim_way_names[way], &result, &floor);
        else
            print_result(sim_way_names[way], &result, &floor, &oracle);
    }
}

int main(int argument_count, char **arguments) {
    command_line line = {.only_way = -1,
                         .run = {.model = "drafting-7b", .rate_per_s = 20, .tokens = 40},
                         .simulation = {.pacing = {.max_batch = 32,
                                                   .beside_online = 2,
                                                   .start_beside = 0,
                                                   .idle_hold_ms = 20,
                                                   .start_interval_ms = 10},
                                        .fixed_cap = 4,
                                        .keep_tokens = true,
                                        .seconds = 60,
                                        .seed = 1}};
    struct argp parser = {
        option_list, parse_option, NULL, "Compare ways of letting batch yield, in virtual time.",
        NULL,        NULL,         NULL};
    argp_parse(&parser, argument_count, arguments, 0, NULL, &line);
    line.run.seconds = line.simulation.seconds;
    line.run.seed = line.simulation.seed;
    if (line.run.callers != NULL)
        return online_run(&line.run) == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    for (int index = 0; index < sim_desk_count; index++)
        if (line.desk == NULL || strcmp(line.desk, sim_desks[index].name) == 0)
            compare_ways(&line, &sim_desks[index]);
    return EXIT_SUCCESS;
}
