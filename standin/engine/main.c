/** @file main.c  Command line of heathsail-engine, which runs one or more stand-in engines. */
#include "standin/engine/engine.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

const char *argp_program_version = "heathsail-engine 0.1.0";

typedef struct {
    int port;
    int count;
    const char *id_prefix;
    double step_base_ms;
    int max_sequences;
    const char *model;
} options;

static const struct argp_option option_list[] = {
    {"port", 'p', "PORT", 0,
     "port of the first engine on 127.0.0.1; the others use the next ports (default 8200)", 0},
    {"count", 'n', "N", 0, "number of engines (default 1)", 0},
    {"id", 'i', "PREFIX", 0, "engine ids are PREFIX-0, PREFIX-1, ... (default engine)", 0},
    {"step-ms", 's', "MS", 0, "base duration of a step, at least 3 (default 3)", 0},
    {"max-sequences", 'm', "N", 0, "maximum of running sequences (default 64)", 0},
    {"model", 'M', "MODEL", 0, "additional model loaded at the start", 0},
    {0}};

static error_t parse_option(int key, char *argument, struct argp_state *state) {
    options *parsed = state->input;
    switch (key) {
    case 'p':
        parsed->port = atoi(argument);
        return 0;
    case 'n':
        parsed->count = atoi(argument);
        return 0;
    case 'i':
        parsed->id_prefix = argument;
        return 0;
    case 's':
        parsed->step_base_ms = MAX(atof(argument), 3.0);
        return 0;
    case 'm':
        parsed->max_sequences = atoi(argument);
        return 0;
    case 'M':
        parsed->model = argument;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static hs_http_server *start_engine(const options *parsed, int index, engine **started) {
    engine_model_settings settings = engine_model_default_settings;
    settings.step_base_ms = parsed->step_base_ms;
    settings.max_sequences = (uint32_t)parsed->max_sequences;
    g_autofree char *id = g_strdup_printf("%s-%d", parsed->id_prefix, index);
    *started = engine_new(id, &settings);
    if (parsed->model != NULL)
        g_ptr_array_add((*started)->loaded_models, g_strdup(parsed->model));
    hs_http_server *server = hs_http_server_new("127.0.0.1", (uint16_t)(parsed->port + index), 0);
    engine_add_routes(*started, server);
    hs_error error = {0};
    if (hs_http_server_start(server, &error) == 0)
        return server;
    fprintf(stderr, "heathsail-engine: %s\n", error.message);
    exit(EXIT_FAILURE);
}

int main(int argument_count, char **arguments) {
    options parsed = {.port = 8200,
                      .count = 1,
                      .id_prefix = "engine",
                      .step_base_ms = engine_model_default_settings.step_base_ms,
                      .max_sequences = (int)engine_model_default_settings.max_sequences};
    struct argp parser = {option_list, parse_option, NULL, "Stand-in model engines.",
                          NULL,        NULL,         NULL};
    argp_parse(&parser, argument_count, arguments, 0, NULL, &parsed);
    signal(SIGPIPE, SIG_IGN);
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGINT);
    sigaddset(&stop_signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &stop_signals, NULL);
    g_autofree engine **engines = g_new0(engine *, (gsize)parsed.count);
    g_autofree hs_http_server **servers = g_new0(hs_http_server *, (gsize)parsed.count);
    for (int index = 0; index < parsed.count; index++)
        servers[index] = start_engine(&parsed, index, &engines[index]);
    int received = 0;
    sigwait(&stop_signals, &received);
    for (int index = 0; index < parsed.count; index++) {
        g_mutex_lock(&engines[index]->lock);
        engines[index]->stopping = true;
        g_cond_broadcast(&engines[index]->progressed);
        g_mutex_unlock(&engines[index]->lock);
        hs_http_server_free(servers[index]);
        engine_free(engines[index]);
    }
    return EXIT_SUCCESS;
}
