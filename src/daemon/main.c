/** @file main.c  heathsaild: command line, settings, signals. */
#include "base/log.h"
#include "daemon/daemon.h"
#include "daemon/fleet_daemon.h"
#include "daemon/settings.h"

#include <argp.h>
#include <signal.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

const char *argp_program_version = "heathsaild 0.1.0";

#define EXIT_BAD_SETTINGS 2
/** Names the settings file where the command line names none. */
#define SETTINGS_VARIABLE "HEATHSAIL_CONFIG"

typedef struct {
    hs_settings *settings;
    bool check_only;
    bool has_file; /**< A settings file was named on the command line. */
    hs_error error;
} command_line;

enum { OPTION_REFERENCE = 256 };

static const struct argp_option option_list[] = {
    {"settings", 'c', "FILE", 0, "read settings from FILE", 0},
    {"set", 's', "GROUP.KEY=VALUE", 0, "override one setting; may be repeated", 0},
    {"check-settings", 't', NULL, 0, "check the settings and exit", 0},
    {"settings-reference", OPTION_REFERENCE, NULL, 0, "print the reference of settings and exit",
     0},
    {0}};

static error_t parse_option(int key, char *argument, struct argp_state *state) {
    command_line *line = state->input;
    switch (key) {
    case 'c':
        line->has_file = true;
        if (line->error.code == 0)
            hs_settings_load(line->settings, argument, &line->error);
        return 0;
    case 's':
        if (line->error.code == 0)
            hs_settings_override(line->settings, argument, &line->error);
        return 0;
    case 't':
        line->check_only = true;
        return 0;
    case OPTION_REFERENCE:
        hs_settings_print_reference(stdout);
        exit(EXIT_SUCCESS);
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static GLogLevelFlags log_level_of(const char *name) {
    if (strcmp(name, "debug") == 0)
        return G_LOG_LEVEL_DEBUG;
    return strcmp(name, "warning") == 0 ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_INFO;
}

static int serve_openai(const hs_settings *settings, const sigset_t *stop_signals) {
    hs_error error = {0};
    hs_daemon *daemon = hs_daemon_start(settings, &error);
    if (daemon == NULL) {
        fprintf(stderr, "heathsaild: %s\n", error.message);
        return EXIT_FAILURE;
    }
    int received = 0;
    sigwait(stop_signals, &received);
    int result = hs_daemon_stop(daemon);
    return result == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int serve_fleet(const hs_settings *settings, const sigset_t *stop_signals) {
    hs_error error = {0};
    hs_fleet_daemon *daemon = hs_fleet_daemon_start(settings, &error);
    if (daemon == NULL) {
        fprintf(stderr, "heathsaild: %s\n", error.message);
        return EXIT_FAILURE;
    }
    int received = 0;
    sigwait(stop_signals, &received);
    hs_fleet_daemon_stop(daemon);
    return EXIT_SUCCESS;
}

static int serve(const hs_settings *settings) {
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGINT);
    sigaddset(&stop_signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &stop_signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    hs_log_open(settings->daemon_id, log_level_of(settings->log_level));
    ulfius_global_init();
    return strcmp(settings->surface, "fleet") == 0 ? serve_fleet(settings, &stop_signals)
                                                   : serve_openai(settings, &stop_signals);
}

int main(int argument_count, char **arguments) {
    command_line line = {.settings = hs_settings_new()};
    struct argp parser = {
        option_list, parse_option,
        NULL,        "The heathsail daemon: online and batch inference on one fleet.",
        NULL,        NULL,
        NULL};
    argp_parse(&parser, argument_count, arguments, 0, NULL, &line);
    const char *named = getenv(SETTINGS_VARIABLE);
    if (line.error.code == 0 && !line.has_file && named != NULL)
        hs_settings_load(line.settings, named, &line.error);
    if (line.error.code == 0)
        hs_settings_check(line.settings, &line.error);
    if (line.error.code != 0) {
        fprintf(stderr, "heathsaild: %s\n", line.error.message);
        return EXIT_BAD_SETTINGS;
    }
    if (line.check_only) {
        printf("settings are valid\n");
        return EXIT_SUCCESS;
    }
    int result = serve(line.settings);
    hs_settings_free(line.settings);
    return result;
}
