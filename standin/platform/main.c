/** @file main.c  Command line of heathsail-platform, the stand-in for the platform. */
#include "standin/platform/platform.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

const char *argp_program_version = "heathsail-platform 0.1.0";

typedef struct {
    int port;
    int list_lag_ms;
    int weight_loads_per_minute;
} options;

static const struct argp_option option_list[] = {
    {"port", 'p', "PORT", 0, "port on 127.0.0.1 (default 8070)", 0},
    {"list-lag-ms", 'l', "MS", 0, "lag of the machine list (default 200)", 0},
    {"weight-loads", 'w', "N", 0, "weight loads per minute (default 60)", 0},
    {0}};

static error_t parse_option(int key, char *argument, struct argp_state *state) {
    options *parsed = state->input;
    switch (key) {
    case 'p':
        parsed->port = atoi(argument);
        return 0;
    case 'l':
        parsed->list_lag_ms = atoi(argument);
        return 0;
    case 'w':
        parsed->weight_loads_per_minute = atoi(argument);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int main(int argument_count, char **arguments) {
    options parsed = {.port = 8070, .list_lag_ms = 200, .weight_loads_per_minute = 60};
    struct argp parser = {option_list, parse_option, NULL, "Stand-in for the platform's services.",
                          NULL,        NULL,         NULL};
    argp_parse(&parser, argument_count, arguments, 0, NULL, &parsed);
    signal(SIGPIPE, SIG_IGN);
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGINT);
    sigaddset(&stop_signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &stop_signals, NULL);
    platform *self =
        platform_new((uint32_t)parsed.list_lag_ms, (uint32_t)parsed.weight_loads_per_minute);
    hs_http_server *server = hs_http_server_new("127.0.0.1", (uint16_t)parsed.port, 0);
    platform_add_routes(self, server);
    hs_error error = {0};
    if (hs_http_server_start(server, &error) != 0) {
        fprintf(stderr, "heathsail-platform: %s\n", error.message);
        return EXIT_FAILURE;
    }
    int received = 0;
    sigwait(&stop_signals, &received);
    platform_stop(self);
    hs_http_server_free(server);
    return EXIT_SUCCESS;
}
