/** @file main.c  heathsail-fleet: a fleet in the foreground, or the demo. */
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
    const char *settings[MAX_SETTINGS + 1]; /**< For every daemon; NULL-terminated. */
    int setting_count;
} command_line;

static const struct argp_option option_list[] = {
    {"programs", 'p', "DIR", 0, "directory of the programs (build)", 0},
    {"set", 's', "GROUP.KEY=VALUE", 0, "a setting of every daemon; may be repeated", 0},
    {"demo", 'd', NULL, 0, "send the demo's requests, then stop", 0},
    {0}};

static error_t parse_option(int key, char *argument, struct argp_state *state) {
    command_line *line = state->input;
    switch (key) {
    case 'p':
        line->programs = argument;
        return 0;
    case 's':
        if (line->setting_count >= MAX_SETTINGS)
            argp_error(state, "too many settings");
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
    sigset_t earlier;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGINT);
    sigaddset(&stop_signals, SIGTERM);
    fleet running;
    bool good = fleet_start(&running, &options);
    pthread_sigmask(SIG_BLOCK, &stop_signals, &earlier);
    if (good && line.demo) {
        good = fleet_demo(&running);
    } else if (good) {
        printf("fleet ready caller=%s admin=%s callers=%s,%s,%s\n", running.caller_urls[0],
               running.admin_urls[0], running.caller_urls[0], running.caller_urls[1],
               running.caller_urls[2]);
        fflush(stdout);
        int received = 0;
        sigwait(&stop_signals, &received);
    }
    if (!good)
        fprintf(stderr, "the fleet failed; logs are in %s\n", log_directory);
    bool clean = fleet_stop(&running);
    printf("fleet stopped %s\n", clean ? "cleanly" : "with an error");
    return good && clean ? EXIT_SUCCESS : EXIT_FAILURE;
}
