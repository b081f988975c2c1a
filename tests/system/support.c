/** @file support.c  See system_tests.h. */
#include "base/clock.h"
#include "tests/system/system_tests.h"

#include <string.h>

#define POLL_MS 10

fleet test_fleet;

static const char *const test_settings[] = {
    "daemon.log_level=debug",       "peer.probe_interval_ms=100",
    "peer.probe_timeout_ms=50",     "peer.suspect_ms=400",
    "platform.timeout_s=2",         "platform.machine_list_interval_ms=100",
    "batch.grant_lease_ms=1500",    "scheduling.run_once_recovery_ms=2000",
    "caller.max_body_bytes=20000",  "caller.max_file_bytes=60000000",
    "caller.max_header_bytes=4096", "caller.max_tokens=2000",
    "batch.max_line_bytes=4000",    "batch.snapshot_records=64",
    "batch.partitions=8",           "batch.claim_settle_ms=100",
    "batch.handover_ms=200",        "placement.interval_ms=200",

    "scheduling.item_timeout_s=3",  NULL};

/** Returns the tests' settings and the first two daemons as seeds; only the array is owned. */
static const char **make_settings(const fleet_ports *ports) {
    static char seeds[64];
    g_snprintf(seeds, sizeof seeds, "peer.seeds=127.0.0.1:%d,127.0.0.1:%d", ports->peer,
               ports->peer + 1);
    const char **settings = g_new0(const char *, G_N_ELEMENTS(test_settings) + 1);
    memcpy(settings, test_settings, sizeof test_settings - sizeof *test_settings);
    settings[G_N_ELEMENTS(test_settings) - 1] = seeds;
    return settings;
}

int begin_fleet(void) {
    static char log_directory[] = "/tmp/heathsail-test-XXXXXX";
    if (strstr(log_directory, "XXXXXX") != NULL && g_mkdtemp(log_directory) == NULL)
        return -1;
    fleet_ports ports = fleet_leased_ports();
    static const char **settings;
    if (settings == NULL)
        settings = make_settings(&ports);
    fleet_options options = {.programs = g_getenv("HS_TEST_PROGRAMS"),
                             .ports = ports,
                             .daemon_count = 3,
                             .drafting_engines = 3,
                             .order_engines = 1,
                             .list_lag_ms = 50,
                             .log_directory = log_directory,
                             .daemon_settings = settings};
    if (fleet_start(&test_fleet, &options))
        return 0;
    fleet_stop(&test_fleet);
    return -1;
}

int end_fleet(void) {
    return fleet_stop(&test_fleet) ? 0 : -1;
}

char *test_lines(const char *prefix, int count, int max_tokens, int run_once_every) {
    GString *lines = g_string_new(NULL);
    for (int item = 0; item < count; item++) {
        bool run_once = run_once_every > 0 && item % run_once_every == 0;
        g_string_append_printf(lines,
                               "{\"custom_id\":\"%s-%d\",\"method\":\"POST\",\"url\":"
                               "\"/v1/completions\",\"body\":{\"model\":\"drafting-7b\","
                               "\"max_tokens\":%d,\"prompt\":\"%s-%d\"}%s}\n",
                               prefix, item, max_tokens, prefix, item,
                               run_once ? ",\"run_once\":true" : "");
    }
    return g_string_free(lines, FALSE);
}

char *submit_lines(const char *lines, int upload_daemon, int submit_daemon, const char *key) {
    g_autofree char *file_id = NULL;
    if (client_upload(test_fleet.caller_urls[upload_daemon], TEST_TENANT, lines, &file_id) != 200)
        return NULL;
    g_autofree char *body =
        g_strdup_printf("{\"input_file_id\":\"%s\",\"endpoint\":\"/v1/completions\"}", file_id);
    const char *const headers[] = {key != NULL ? "Idempotency-Key" : NULL, key, NULL};
    json_t *job = NULL;
    client_call("POST", test_fleet.caller_urls[submit_daemon], "/v1/batches", TEST_TENANT, body,
                headers, &job);
    char *job_id = g_strdup(json_string_value(json_object_get(job, "id")));
    json_decref(job);
    return job_id;
}

json_t *read_results(const char *job_id, int daemon) {
    return client_read_results(test_fleet.caller_urls[daemon], TEST_TENANT, job_id);
}

/** Counts the requests of a record; see count_engine_runs. */
static int count_requests(const json_t *requests, const char *prompt_prefix, const char *state) {
    int count = 0;
    size_t index;
    const json_t *request;
    json_array_foreach(requests, index, request) {
        const char *prompt = json_string_value(json_object_get(request, "prompt"));
        const char *request_state = json_string_value(json_object_get(request, "state"));
        count += g_str_has_prefix(prompt, prompt_prefix) &&
                 (state == NULL || strcmp(request_state, state) == 0);
    }
    return count;
}

int count_engine_runs(const char *prompt_prefix, const char *state) {
    json_t *requests = fleet_engine_records(&test_fleet);
    int count = count_requests(requests, prompt_prefix, state);
    json_decref(requests);
    return count;
}

int count_runs_at(int engine, const char *prompt_prefix, const char *state) {
    json_t *record = NULL;
    client_call("GET", test_fleet.engine_urls[engine], "/control/record", NULL, NULL, NULL,
                &record);
    int count = count_requests(json_object_get(record, "requests"), prompt_prefix, state);
    json_decref(record);
    return count;
}

bool wait_until(bool (*condition)(void *user_data), void *user_data, unsigned timeout_ms) {
    uint64_t deadline_ms = hs_clock_monotonic_ms() + timeout_ms;
    while (hs_clock_monotonic_ms() < deadline_ms) {
        if (condition(user_data))
            return true;
        hs_clock_sleep_ms(POLL_MS);
    }
    return false;
}
