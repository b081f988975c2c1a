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
#include <sys/stat.h>
#include <ulfius.h>

const char *argp_program_version = "heathsaild 0.1.0";

#define EXIT_BAD_SETTINGS 2
/** Names the settings file where the command line names none. */
#define SETTINGS_VARIABLE "HEATHSAIL_CONFIG"
/** A file that changed without a signal is noticed within this time. */
#define SETTINGS_CHECK_S 2

typedef struct {
    hs_settings *settings;
    bool check_only;
    const char *path;     /**< Settings file; NULL: none. */
    GPtrArray *overrides; /**< of const char*: --set, in their order. */
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
        line->path = argument;
        return 0;
    case 's':
        g_ptr_array_add(line->overrides, argument);
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
    int received = SIGHUP; /* The OpenAI surface has nothing to reload. */
    while (received == SIGHUP)
        sigwait(stop_signals, &received);
    int result = hs_daemon_stop(daemon);
    return result == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/** Identity of a settings file's content, to notice a change that no signal told. */
typedef struct {
    off_t size;
    struct timespec changed;
} file_mark;

static file_mark mark_file(const char *path) {
    struct stat status;
    file_mark mark = {0};
    if (path != NULL && stat(path, &status) == 0) {
        mark.size = status.st_size;
        mark.changed = status.st_mtim;
    }
    return mark;
}

static bool same_mark(const file_mark *one, const file_mark *other) {
    return one->size == other->size && one->changed.tv_sec == other->changed.tv_sec &&
           one->changed.tv_nsec == other->changed.tv_nsec;
}

/** The file's settings, then those of the command line; checked. 0, or the error's code. */
static int read_settings(const command_line *line, hs_settings *settings, hs_error *error) {
    int result = line->path != NULL ? hs_settings_load(settings, line->path, error) : 0;
    for (guint index = 0; result == 0 && index < line->overrides->len; index++)
        result = hs_settings_override(settings, line->overrides->pdata[index], error);
    return result == 0 ? hs_settings_check(settings, error) : result;
}

/** Read the settings anew; a broken file is logged and the old ones stay. */
static void reload(hs_fleet_daemon *daemon, const command_line *line, const char *cause) {
    hs_error error = {0};
    if (line->path == NULL) {
        hs_fleet_daemon_refuse_reload(daemon, cause, "no settings file");
        return;
    }
    hs_settings *settings = hs_settings_new();
    if (read_settings(line, settings, &error) != 0) {
        hs_fleet_daemon_refuse_reload(daemon, cause, error.message);
        hs_settings_free(settings);
        return;
    }
    hs_log_set_level(log_level_of(settings->log_level));
    hs_fleet_daemon_reload(daemon, settings, cause);
}

/** Wait for the signal to stop; reload in between. */
static void wait_for_stop(hs_fleet_daemon *daemon, const command_line *line,
                          const sigset_t *signals) {
    static const struct timespec check_interval = {.tv_sec = SETTINGS_CHECK_S};
    file_mark seen = mark_file(line->path);
    while (true) {
        int received = sigtimedwait(signals, NULL, &check_interval);
        if (received == SIGTERM || received == SIGINT)
            return;
        file_mark now = mark_file(line->path);
        bool changed = !same_mark(&seen, &now);
        seen = now;
        if (received == SIGHUP)
            reload(daemon, line, "signal");
        else if (changed)
            reload(daemon, line, "file");
    }
}

static int serve_fleet(const command_line *line, const sigset_t *signals) {
    hs_error error = {0};
    hs_log_start_writer();
    hs_fleet_daemon *daemon = hs_fleet_daemon_start(line->settings, &error);
    if (daemon == NULL) {
        fprintf(stderr, "heathsaild: %s\n", error.message);
        hs_log_flush();
        return EXIT_FAILURE;
    }
    wait_for_stop(daemon, line, signals);
    hs_fleet_daemon_stop(daemon);
    hs_log_flush();
    return EXIT_SUCCESS;
}

static int serve(const command_line *line) {
    const hs_settings *settings = line->settings;
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGINT);
    sigaddset(&stop_signals, SIGTERM);
    sigaddset(&stop_signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &stop_signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    hs_log_open(settings->daemon_id, log_level_of(settings->log_level));
    ulfius_global_init();
    return strcmp(settings->surface, "fleet") == 0 ? serve_fleet(line, &stop_signals)
                                                   : serve_openai(settings, &stop_signals);
}

int main(int argument_count, char **arguments) {
    command_line line = {.settings = hs_settings_new(), .overrides = g_ptr_array_new()};
    struct argp parser = {
        option_list, parse_option,
        NULL,        "The heathsail daemon: online and batch inference on one fleet.",
        NULL,        NULL,
        NULL};
    argp_parse(&parser, argument_count, arguments, 0, NULL, &line);
    if (line.path == NULL)
        line.path = getenv(SETTINGS_VARIABLE);
    hs_error error = {0};
    if (read_settings(&line, line.settings, &error) != 0) {
        fprintf(stderr, "heathsaild: %s\n", error.message);
        return EXIT_BAD_SETTINGS;
    }
    if (line.check_only) {
        printf("settings are valid\n");
        return EXIT_SUCCESS;
    }
    int result = serve(&line);
    g_ptr_array_free(line.overrides, TRUE);
    hs_settings_free(line.settings);
    return result;
}
