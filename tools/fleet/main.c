/** @file main.c  heathsail-fleet: runs a fleet in the foreground, or the demo. */
#include "tools/fleet/demo.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <ulfius.h>

const char *argp_program_version = "heathsail-fleet 0.1.0";

#define MAX_SETTINGS 16

typedef struct {
    const char *programs;
    bool demo;
    const char *settings[MAX_SETTINGS + 1]; /**< NULL-terminated. */
    int setting_count;
} command_line;

static const struct argp_option option_list[] = {
    {"programs", 'p', "DIR", 0, "directory of the programs (build)", 0},
    {"set", 's', "GROUP.KEY=VALUE", 0, "setting for every daemon; may be repeated", 0},
    {"demo", 'd', NULL, 0, "send the demo requests, then stop", 0},
    {0}};

static error_t parse_option(int key, char *argument, struct argp_state *state) {
    command_line *line = state->input;
    switch (key) {
    case 'p':
        line->programs = argument;
        return 0;
    case 's':
        if (line->setting_count >= MAX_SETTINGS)
            argp_error(state, "too many --set options (at most 16)");
        line->settings[line->setting_count++] = argument;
        return 0;
    case 'd':
        line->demo = true;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int main(int argument_count, char **arguments) {
    command_line line = {.programs = "build"};
    struct argp parser = {option_list, parse_option, NULL, "A small heathsail fleet on loopback.",
                          NULL,        NULL,         NULL};
    argp_parse(&parser, argument_count, arguments, 0, NULL, &line);
    ulfius_global_init();
    g_autofree char *log_directory = g_dir_make_tmp("heathsail-fleet-XXXXXX", NULL);
    fleet_options options = {.programs = line.programs,
                             .ports = fleet_default_ports,
                             .daemon_count = 3,
                             .drafting_engines = 4,
                             .order_engines = 2,
                             .list_lag_ms = 200,
                             .log_directory = log_directory,
                             .daemon_settings = line.settings};
    sigset_t stop_signals;
    sigset_t previous_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGINT);
    sigaddset(&stop_signals, SIGTERM);
    fleet running;
    bool is_successful = fleet_start(&running, &options);
    pthread_sigmask(SIG_BLOCK, &stop_signals, &previous_signals);
    if (is_successful && line.demo) {
        is_successful = fleet_demo(&running);
    } else if (is_successful) {
        printf("fleet ready caller=%s admin=%s callers=%s,%s,%s\n", running.caller_urls[0],
               running.admin_urls[0], running.caller_urls[0], running.caller_urls[1],
               running.caller_urls[2]);
        fflush(stdout);
        int received = 0;
        sigwait(&stop_signals, &received);
    }
    if (!is_successful)
        fprintf(stderr, "the fleet did not start or the demo failed; logs are in %s\n",
                log_directory);
    bool is_clean = fleet_stop(&running);
    printf("fleet stopped %s\n", is_clean ? "cleanly" : "with an error");
    return is_successful && is_clean ? EXIT_SUCCESS : EXIT_FAILURE;
}
