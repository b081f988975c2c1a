/** @file main.c  Entry point of heathsaild: command line, settings, signals. */
#include "base/allocator.h"
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
/** Environment variable with the settings file's path; --settings overrides it. */
#define SETTINGS_VARIABLE "HEATHSAIL_CONFIG"
/** Interval of the checks whether the settings file has changed. */
#define SETTINGS_CHECK_S 2

typedef struct {
    hs_settings *settings;
    bool check_only;
    const char *path;     /**< Settings file; NULL: none. */
    GPtrArray *overrides; /**< Arguments of --set (const char *), in order. */
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

static GLogLevelFlags parse_log_level(const char *name) {
    if (strcmp(name, "debug") == 0)
        return G_LOG_LEVEL_DEBUG;
    return strcmp(name, "warning") == 0 ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_INFO;
}

static int serve_openai(const hs_settings *settings, const sigset_t *stop_signals) {
    hs_error error = {0};
    hs_daemon *daemon = hs_daemon_start(settings, &error);
    if (daemon == NULL) {
        fprintf(stderr, "heathsaild: start failed: %s\n", error.message);
        return EXIT_FAILURE;
    }
    int received = SIGHUP; /* The OpenAI surface has nothing to reload. */
    while (received == SIGHUP)
        sigwait(stop_signals, &received);
    int result = hs_daemon_stop(daemon);
    return result == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/** Size and modification time of the settings file, to detect changes without a signal. */
typedef struct {
    off_t size;
    struct timespec modified;
} file_stamp;

static file_stamp read_file_stamp(const char *path) {
    struct stat status;
    file_stamp stamp = {0};
    if (path != NULL && stat(path, &status) == 0) {
        stamp.size = status.st_size;
        stamp.modified = status.st_mtim;
    }
    return stamp;
}

static bool is_same_stamp(const file_stamp *one, const file_stamp *other) {
    return one->size == other->size && one->modified.tv_sec == other->modified.tv_sec &&
           one->modified.tv_nsec == other->modified.tv_nsec;
}

/** Reads the file, applies the command line's overrides and checks the result. */
static int read_settings(const command_line *line, hs_settings *settings, hs_error *error) {
    int result = line->path != NULL ? hs_settings_load(settings, line->path, error) : 0;
    for (guint index = 0; result == 0 && index < line->overrides->len; index++)
        result = hs_settings_override(settings, line->overrides->pdata[index], error);
    return result == 0 ? hs_settings_check(settings, error) : result;
}

/** Reloads the settings. If they are invalid, logs the error and keeps the previous ones. */
static void reload(hs_fleet_daemon *daemon, const command_line *line, const char *cause) {
    hs_error error = {0};
    if (line->path == NULL) {
        hs_fleet_daemon_report_failed_reload(
            daemon, cause, "no settings file is given by --settings or HEATHSAIL_CONFIG");
        return;
    }
    hs_settings *settings = hs_settings_new();
    if (read_settings(line, settings, &error) != 0) {
        hs_fleet_daemon_report_failed_reload(daemon, cause, error.message);
        hs_settings_free(settings);
        return;
    }
    hs_log_set_level(parse_log_level(settings->log_level));
    hs_fleet_daemon_reload(daemon, settings, cause);
}

/** Waits for SIGTERM or SIGINT; reloads on SIGHUP and when the file has changed. */
static void wait_for_stop(hs_fleet_daemon *daemon, const command_line *line,
                          const sigset_t *signals) {
    static const struct timespec check_interval = {.tv_sec = SETTINGS_CHECK_S};
    file_stamp last_stamp = read_file_stamp(line->path);
    while (true) {
        int received = sigtimedwait(signals, NULL, &check_interval);
        if (received == SIGTERM || received == SIGINT)
            return;
        file_stamp current_stamp = read_file_stamp(line->path);
        bool modified = !is_same_stamp(&last_stamp, &current_stamp);
        last_stamp = current_stamp;
        if (received == SIGHUP)
            reload(daemon, line, "signal");
        else if (modified)
            reload(daemon, line, "file");
    }
}

static int serve_fleet(const command_line *line, const sigset_t *signals) {
    hs_error error = {0};
    hs_log_start_writer();
    hs_fleet_daemon *daemon = hs_fleet_daemon_start(line->settings, &error);
    if (daemon == NULL) {
        fprintf(stderr, "heathsaild: start failed: %s\n", error.message);
        hs_log_flush();
        return EXIT_FAILURE;
    }
    wait_for_stop(daemon, line, signals);
    hs_fleet_daemon_stop(daemon);
    hs_log_flush();
    return EXIT_SUCCESS;
}

static int serve(const command_line *line, const sigset_t *signals) {
    const hs_settings *settings = line->settings;
    hs_log_open(settings->daemon_id, parse_log_level(settings->log_level));
    ulfius_global_init();
    return strcmp(settings->surface, "fleet") == 0 ? serve_fleet(line, signals)
                                                   : serve_openai(settings, signals);
}

/** Blocks the signals that wait_for_stop takes, in all threads to come. */
static void block_signals(sigset_t *signals) {
    sigemptyset(signals);
    sigaddset(signals, SIGINT);
    sigaddset(signals, SIGTERM);
    sigaddset(signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, signals, NULL);
    signal(SIGPIPE, SIG_IGN);
}

int main(int argument_count, char **arguments) {
    sigset_t signals;
    block_signals(&signals);
    hs_allocator_configure();
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
        fprintf(stderr, "heathsaild: invalid settings: %s\n", error.message);
        return EXIT_BAD_SETTINGS;
    }
    if (line.check_only) {
        printf("settings are valid\n");
        return EXIT_SUCCESS;
    }
    /* The settings are not freed, as log lines of threads that outlive the stop name the daemon. */
    return serve(&line, &signals);
}
