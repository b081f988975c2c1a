/** @file main.c  heathsail-hollow: measures control at one size; one name=value a line. */
#include "base/clock.h"
#include "base/log.h"
#include "config/config_object.h"
#include "tools/hollow/hollow.h"

#include <argp.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <ulfius.h>
#include <unistd.h>

const char *argp_program_version = "heathsail-hollow 0.1.0";

#define LEVEL_TIMEOUT_MS 90000
#define SPREAD_TIMEOUT_MS 20000
#define POLL_MS 5
#define MS_PER_S 1000.0
#define US_PER_S 1e6
#define QUIET_AFTER_JOIN_MS 14000 /* The exchange of all accounts at the start is over. */

static const struct argp_option option_list[] = {
    {"daemons", 'n', "N", 0, "hollow daemons (45)", 0},
    {"engines", 'e', "N", 0, "engines listed (600)", 0},
    {"partitions", 'p', "N", 0, "partitions of batch (128)", 0},
    {"zones", 'z', "N", 0, "zones (5)", 0},
    {"port", 'P', "PORT", 0, "first UDP port (20000)", 0},
    {"platform", 'u', "URL", 0, "platform (http://127.0.0.1:8070)", 0},
    {"changes", 'c', "N", 0, "configuration changes timed (50)", 0},
    {"failures", 'f', "N", 0, "daemons that fall silent (3)", 0},
    {"seconds", 's', "N", 0, "time over which idle cost is measured (10)", 0},
    {0}};

static error_t parse_option(int key, char *argument, struct argp_state *state) {
    hollow_options *options = state->input;
    switch (key) {
    case 'n':
        options->daemons = atoi(argument);
        return 0;
    case 'e':
        options->engines = atoi(argument);
        return 0;
    case 'p':
        options->partitions = atoi(argument);
        return 0;
    case 'z':
        options->zones = atoi(argument);
        return 0;
    case 'P':
        options->first_port = atoi(argument);
        return 0;
    case 'u':
        options->platform_url = argument;
        return 0;
    case 'c':
        options->changes = atoi(argument);
        return 0;
    case 'f':
        options->failures = atoi(argument);
        return 0;
    case 's':
        options->seconds = atoi(argument);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/** Wait until all see @p expected live members. @return ms it took, or -1. */
static double await_level(const hollow_fleet *fleet, uint32_t expected) {
    uint64_t started_ms = hs_clock_monotonic_ms();
    while (!hollow_fleet_is_level(fleet, expected)) {
        if (hs_clock_monotonic_ms() > started_ms + LEVEL_TIMEOUT_MS)
            return -1;
        hs_clock_sleep_ms(POLL_MS);
    }
    return (double)(hs_clock_monotonic_ms() - started_ms);
}

/** Wait until daemons that run own every partition. @return ms it took, or -1. */
static double await_owned(const hollow_fleet *fleet) {
    uint64_t started_ms = hs_clock_monotonic_ms();
    while (hollow_fleet_owned(fleet) != fleet->options.partitions) {
        if (hs_clock_monotonic_ms() > started_ms + LEVEL_TIMEOUT_MS)
            return -1;
        hs_clock_sleep_ms(POLL_MS);
    }
    return (double)(hs_clock_monotonic_ms() - started_ms);
}

/** Bytes that the loopback device has sent since the machine started. */
static double loopback_bytes(void) {
    g_autofree char *text = NULL;
    if (!g_file_get_contents("/proc/net/dev", &text, NULL, NULL))
        return 0;
    const char *line = strstr(text, "lo:");
    return line != NULL ? g_ascii_strtod(line + strlen("lo:"), NULL) : 0;
}

static double process_seconds(void) {
    struct rusage usage;
    getrusage(RUSAGE_SELF, &usage);
    return (double)usage.ru_utime.tv_sec + (double)usage.ru_stime.tv_sec +
           (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / US_PER_S;
}

static double resident_mb(void) {
    g_autofree char *text = NULL;
    if (!g_file_get_contents("/proc/self/status", &text, NULL, NULL))
        return 0;
    const char *line = strstr(text, "VmRSS:");
    return line != NULL ? g_ascii_strtod(line + strlen("VmRSS:"), NULL) / 1024.0 : 0;
}

static uint64_t datagram_bytes(const hollow_fleet *fleet) {
    uint64_t bytes = 0;
    for (int index = 0; index < fleet->options.daemons; index++) {
        hs_peer_counters counters = hs_peer_socket_counters(fleet->daemons[index].socket);
        bytes += counters.sent_bytes + counters.received_bytes;
    }
    return bytes;
}

/** Cost of a fleet at rest. */
static void measure_idle(const hollow_fleet *fleet) {
    double started_s = process_seconds();
    double started_bytes = loopback_bytes();
    uint64_t started_datagrams = datagram_bytes(fleet);
    uint64_t started_ms = hs_clock_monotonic_ms();
    hs_clock_sleep_ms((uint64_t)fleet->options.seconds * 1000);
    double elapsed_s = (double)(hs_clock_monotonic_ms() - started_ms) / MS_PER_S;
    double daemons = fleet->options.daemons;
    printf("cpu_percent_of_core_per_daemon=%.3f\n",
           (process_seconds() - started_s) / elapsed_s / daemons * 100.0);
    printf("datagram_bytes_per_s_per_daemon=%.0f\n",
           (double)(datagram_bytes(fleet) - started_datagrams) / elapsed_s / daemons);
    printf("loopback_bytes_per_s_per_daemon=%.0f\n",
           (loopback_bytes() - started_bytes) / elapsed_s / daemons);
    printf("resident_mb_per_daemon=%.2f\n", resident_mb() / daemons);
}

static bool publish(const hollow_fleet *fleet, int number, uint64_t *offset) {
    g_autofree char *id = g_strdup_printf("change-%d", number);
    g_autofree char *name = g_strdup_printf("hollow-%d", number);
    Hs__ConfigChange change = HS__CONFIG_CHANGE__INIT;
    change.change_id = id;
    change.kind = (char *)HS_KIND_LIMIT;
    change.name = name;
    change.object_json = (char *)"{\"max_in_flight\":7}";
    size_t length = hs__config_change__get_packed_size(&change);
    g_autofree uint8_t *bytes = g_malloc(length);
    hs__config_change__pack(&change, bytes);
    g_autoptr(GByteArray) batch = g_byte_array_new();
    hs_log_frame_append(batch, bytes, (uint32_t)length);
    hs_error error = {0};
    return hs_log_append(&fleet->daemons[0].log, HS_CONFIG_STREAM, batch, offset, &error) == 0;
}

static bool all_reached(const hollow_fleet *fleet, uint64_t offset) {
    for (int index = 0; index < fleet->options.daemons; index++)
        if (!fleet->daemons[index].failed &&
            hs_config_store_offset(fleet->daemons[index].config) <= offset)
            return false;
    return true;
}

/** Publish changes one after the other and time each until it is in force everywhere. */
static void measure_spread(const hollow_fleet *fleet) {
    double worst_ms = 0;
    double total_ms = 0;
    int reached = 0;
    for (int number = 0; number < fleet->options.changes; number++) {
        uint64_t offset = 0;
        uint64_t started_us = hs_clock_monotonic_us();
        if (!publish(fleet, number, &offset))
            continue;
        while (!all_reached(fleet, offset) &&
               hs_clock_monotonic_us() < started_us + SPREAD_TIMEOUT_MS * 1000)
            hs_clock_sleep_ms(1);
        double took_ms = (double)(hs_clock_monotonic_us() - started_us) / MS_PER_S;
        reached += all_reached(fleet, offset);
        worst_ms = fmax(worst_ms, took_ms);
        total_ms += took_ms;
    }
    printf("config_changes_reached=%d/%d\n", reached, fleet->options.changes);
    printf("config_spread_mean_ms=%.1f\n", total_ms / MAX(fleet->options.changes, 1));
    printf("config_spread_p100_ms=%.1f\n", worst_ms);
}

static uint32_t rejoins(const hollow_fleet *fleet) {
    uint32_t count = 0;
    for (int index = 0; index < fleet->options.daemons; index++) {
        hs_membership *membership = hs_membership_service_lock(fleet->daemons[index].membership);
        count += hs_membership_rejoin_count(membership);
        hs_membership_service_unlock(fleet->daemons[index].membership);
    }
    return count;
}

/** Let daemons fall silent; time until all others know, and until all partitions have owners. */
static void measure_failures(hollow_fleet *fleet) {
    int failures = MIN(fleet->options.failures, fleet->options.daemons - 1);
    uint64_t started_ms = hs_clock_monotonic_ms();
    for (int index = 0; index < failures; index++)
        hollow_daemon_fail(&fleet->daemons[index]);
    double stopped_ms = (double)(hs_clock_monotonic_ms() - started_ms);
    double known_ms = await_level(fleet, (uint32_t)(fleet->options.daemons - failures));
    double owned_ms = await_owned(fleet);
    printf("failed_daemons=%d\nfailure_known_everywhere_ms=%.0f\n", failures,
           known_ms < 0 ? -1 : known_ms + stopped_ms);
    printf("partitions_owned_again_ms=%.0f\n",
           known_ms < 0 || owned_ms < 0 ? -1 : known_ms + stopped_ms + owned_ms);
}

int main(int argument_count, char **arguments) {
    hollow_options options = {.daemons = 45,
                              .engines = 600,
                              .partitions = 128,
                              .zones = 5,
                              .first_port = 20000,
                              .platform_url = "http://127.0.0.1:8070",
                              .changes = 50,
                              .failures = 3,
                              .seconds = 10};
    struct argp parser = {option_list, parse_option, NULL, "Many hollow daemons in one process.",
                          NULL,        NULL,         NULL};
    argp_parse(&parser, argument_count, arguments, 0, NULL, &options);
    hs_log_open("hollow", G_LOG_LEVEL_CRITICAL);
    ulfius_global_init();
    hollow_fleet fleet;
    if (!hollow_fleet_start(&fleet, &options))
        return EXIT_FAILURE;
    printf("daemons=%d\nengines=%d\npartitions=%d\n", options.daemons, options.engines,
           options.partitions);
    printf("joined_ms=%.0f\n", await_level(&fleet, (uint32_t)options.daemons));
    printf("partitions_owned_ms=%.0f\n", await_owned(&fleet));
    hs_clock_sleep_ms(QUIET_AFTER_JOIN_MS);
    measure_idle(&fleet);
    measure_spread(&fleet);
    printf("false_deaths=%u\n", rejoins(&fleet));
    measure_failures(&fleet);
    fflush(stdout);
    /* The threads of several hundred daemons are left to the exit. */
    _exit(EXIT_SUCCESS);
}
