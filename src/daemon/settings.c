/**
 * @file settings.c
 * See settings.h. One table describes every key; the parser and the printed reference both use it,
 * so that they cannot differ.
 */
#include "daemon/settings.h"

#include "base/endpoint.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stddef.h>
#include <string.h>

typedef enum { SETTING_NUMBER, SETTING_DECIMAL, SETTING_TEXT } setting_type;

typedef struct {
    const char *group;
    const char *key;
    setting_type type;
    size_t field_offset; /**< Offset of the field in hs_settings. */
    const char *unit;
    int64_t minimum;
    int64_t maximum;
    int64_t default_number;
    const char *default_text; /**< Also the default of a decimal. */
    const char *meaning;
} setting;

#define NUMBER(group, key, field, unit, minimum, maximum, initial, meaning)                        \
    {                                                                                              \
        group, key, SETTING_NUMBER, offsetof(hs_settings, field), unit, minimum, maximum, initial, \
            NULL, meaning                                                                          \
    }
#define DECIMAL(group, key, field, unit, minimum, maximum, initial, meaning)                       \
    {                                                                                              \
        group, key, SETTING_DECIMAL, offsetof(hs_settings, field), unit, minimum, maximum, 0,      \
            initial, meaning                                                                       \
    }
#define TEXT(group, key, field, unit, initial, meaning)                                            \
    { group, key, SETTING_TEXT, offsetof(hs_settings, field), unit, 0, 0, 0, initial, meaning }

#define MAX_PORT 65535
#define HOUR_MS 3600000
#define GIB (1LL << 30)

static const setting setting_table[] = {
    TEXT("daemon", "id", daemon_id, "name", "", "Unique name of this daemon. Required."),
    TEXT("daemon", "zone", zone, "name", "zone-a", "Zone this daemon stands in."),
    TEXT("daemon", "region", region, "name", "region-a", "Region this daemon stands in."),
    TEXT("daemon", "address", address, "IPv4", "127.0.0.1", "Address of all listeners."),
    TEXT("daemon", "log_level", log_level, "debug|info|warning", "info",
         "Most verbose level logged."),
    NUMBER("daemon", "shutdown_grace_ms", shutdown_grace_ms, "ms", 0, HOUR_MS, 60000,
           "Longest wait for open requests on a planned stop."),
    NUMBER("daemon", "drain_notice_ms", drain_notice_ms, "ms", 0, HOUR_MS, 200,
           "Time a stopping daemon says not ready but still takes requests."),
    TEXT("daemon", "surface", surface, "openai|fleet", "openai",
         "Which callers are served: the OpenAI forms, or the fleet surface of [fleet]."),
    NUMBER("caller", "enabled", caller_enabled, "0|1", 0, 1, 1, "Whether callers are listened to."),
    NUMBER("caller", "port", caller_port, "port", 1, MAX_PORT, 8080,
           "Port of the callers' listener."),
    NUMBER("caller", "max_body_bytes", max_body_bytes, "bytes", 1024, GIB, 4194304,
           "Largest body of a completion request."),
    NUMBER("caller", "max_file_bytes", max_file_bytes, "bytes", 1024, GIB, 67108864,
           "Largest uploaded file."),
    NUMBER("caller", "max_header_bytes", max_header_bytes, "bytes", 1024, 65536, 16384,
           "Largest request head; above it the answer is 431."),
    NUMBER("caller", "default_timeout_ms", default_timeout_ms, "ms", 1, HOUR_MS, 60000,
           "Deadline of a request that names none."),
    NUMBER("caller", "max_timeout_ms", max_timeout_ms, "ms", 1, HOUR_MS, 600000,
           "Longest deadline a request may name."),
    NUMBER("caller", "max_tokens", max_tokens, "tokens", 1, 1000000, 32768,
           "Largest max_tokens a request may ask for."),
    NUMBER("admin", "port", admin_port, "port", 1, MAX_PORT, 8090,
           "Port of the operators' listener; peers fetch configuration from it too."),
    NUMBER("peer", "port", peer_port, "port", 1, MAX_PORT, 8100, "UDP port between daemons."),
    TEXT("peer", "seeds", peer_seeds, "IPv4:port,...", "",
         "Peers to ask while the machine list cannot be read. Empty: the list alone."),
    NUMBER("peer", "probe_interval_ms", probe_interval_ms, "ms", 20, 60000, 500,
           "Time between two probes that this daemon sends."),
    NUMBER("peer", "probe_timeout_ms", probe_timeout_ms, "ms", 10, 60000, 250,
           "Wait for an answer before others are asked to probe."),
    NUMBER("peer", "suspect_ms", suspect_ms, "ms", 50, 600000, 2000,
           "Time a suspected member has to refute before it counts as dead."),
    TEXT("platform", "url", platform_url, "URL", "http://127.0.0.1:8070",
         "Platform services, by IP number."),
    NUMBER("platform", "timeout_s", platform_timeout_s, "s", 1, 600, 3,
           "Limit of one platform call."),
    NUMBER("platform", "machine_list_interval_ms", machine_list_interval_ms, "ms", 20, 600000, 1000,
           "Time between two reads of the machine list."),
    NUMBER("batch", "partitions", partitions, "count", 1, 4096, 16,
           "Partitions of batch jobs. The same on all daemons, set once for a log."),
    NUMBER("batch", "chunk_items", chunk_items, "items", 1, 10000, 256,
           "Most items in one record of an uploaded file."),
    NUMBER("batch", "max_line_bytes", max_line_bytes, "bytes", 64, 16777216, 262144,
           "Longest JSONL line."),
    NUMBER("batch", "max_items", max_items, "items", 1, 1000000, 200000, "Most items of one job."),
    NUMBER("batch", "grant_lease_ms", grant_lease_ms, "ms", 100, 600000, 5000,
           "Time after which items of a silent scheduler are granted anew."),
    NUMBER("batch", "snapshot_records", snapshot_records, "records", 16, 1000000, 2000,
           "Records after which the owner writes a snapshot of its partition."),
    NUMBER("batch", "claim_settle_ms", claim_settle_ms, "ms", 10, 600000, 500,
           "Wait before an unowned partition is claimed; doubles with each claim lost."),
    NUMBER("batch", "handover_ms", handover_ms, "ms", 10, HOUR_MS, 5000,
           "Wait before a partition is handed to a better placed daemon."),
    NUMBER("batch", "job_window_s", job_window_s, "s", 60, 31536000, 604800,
           "How long a finished job is kept, its results read and a resent job recognised."),
    NUMBER("batch", "replica_idle_s", replica_idle_s, "s", 10, 31536000, 60,
           "Time after which a partition read for a query is dropped from memory."),
    NUMBER("scheduling", "max_batch_per_engine", max_batch_per_engine, "items", 1, 4096, 32,
           "Batch items on an engine without online requests."),
    NUMBER("scheduling", "batch_beside_online", batch_beside_online, "items", 0, 4096, 2,
           "Batch items that stay on an engine beside online requests."),
    NUMBER("scheduling", "batch_start_beside_online", batch_start_beside_online, "items", 0, 4096,
           0, "Batch items up to which new ones start beside online requests."),
    NUMBER("scheduling", "idle_hold_ms", idle_hold_ms, "ms", 0, 60000, 20,
           "Time an engine must be free of online requests before full batch returns."),
    NUMBER("scheduling", "start_interval_ms", start_interval_ms, "ms", 0, 60000, 10,
           "At most one batch item starts on an engine in such a time: the knob between batch "
           "throughput (less) and online tail (more); see docs/design/0001-admission.md."),
    NUMBER("scheduling", "run_once_recovery_ms", run_once_recovery_ms, "ms", 100, HOUR_MS, 30000,
           "Time an engine may stay unreachable before a run-once item is recorded indeterminate."),
    NUMBER("scheduling", "item_timeout_s", item_timeout_s, "s", 1, 86400, 600,
           "Longest time of a batch item on an engine; then it runs elsewhere."),
    NUMBER("placement", "interval_ms", placement_interval_ms, "ms", 50, HOUR_MS, 2000,
           "Time between two rounds of an engine group's controller."),
    NUMBER("routing", "subset_size", subset_size, "engines", 1, 4096, 16,
           "Engines of a group that one daemon sends to."),
    NUMBER("routing", "max_attempts", max_attempts, "attempts", 1, 10, 3,
           "Attempts of one request."),
    NUMBER("routing", "retry_budget_percent", retry_budget_percent, "percent", 0, 100, 10,
           "Retries allowed, as a share of requests."),
    NUMBER("routing", "max_in_flight_per_engine", max_in_flight_per_engine, "requests", 1, 100000,
           256, "Online requests on one engine above which new ones are refused."),
    NUMBER("routing", "ejection_failures", ejection_failures, "failures", 1, 1000, 3,
           "Failures in a row after which an engine is avoided."),
    NUMBER("routing", "ejection_ms", ejection_ms, "ms", 100, HOUR_MS, 5000,
           "First time an engine is avoided; doubles with each further ejection."),
    TEXT("fleet", "front", fleet_front, "IPv4:port", "", "Callers' listener. Required there."),
    TEXT("fleet", "ready", fleet_ready, "IPv4:port", "", "Readiness listener. Empty: none."),
    TEXT("fleet", "directory", fleet_directory, "IPv4:port", "",
         "Listener that tells callers which daemons to use. Empty: none."),
    TEXT("fleet", "control", fleet_control, "IPv4:port", "",
         "Datagrams between daemons. Required there."),
    TEXT("fleet", "metrics", fleet_metrics, "IPv4:port", "", "Metrics listener. Empty: none."),
    TEXT("fleet", "seeds", fleet_seeds, "IPv4:port,...", "",
         "Control addresses of daemons to ask first; they may be stale."),
    TEXT("fleet", "zone_regions", fleet_zone_regions, "zone:region,...", "",
         "Region of each zone of the deployment. Empty: regions are not distinguished."),
    TEXT("fleet", "store", fleet_store, "IPv4:port", "", "The log store. Required there."),
    NUMBER("fleet", "parts", fleet_parts, "count", 1, 4096, 12, "Partitions of a topic."),
    NUMBER("fleet", "record_bytes", fleet_record_bytes, "bytes", 4096, GIB, 262144,
           "Largest record the store takes."),
    NUMBER("fleet", "call_bytes", fleet_call_bytes, "bytes", 8192, GIB, 2097152,
           "Largest append the store takes."),
    NUMBER("fleet", "group_ttl_least_ms", fleet_group_ttl_least_ms, "ms", 1, HOUR_MS, 1000,
           "Shortest time after which the store drops a silent group member."),
    NUMBER("fleet", "drain_ms", fleet_drain_ms, "ms", 10, HOUR_MS, 2000,
           "Time within which a leaving engine must get no new work."),
    NUMBER("fleet", "cancel_ms", fleet_cancel_ms, "ms", 10, HOUR_MS, 3000,
           "Time after the acknowledged end of a job from which none of its items may start. An "
           "owner whose view of the log is too old for that starts no items."),
    NUMBER("fleet", "config_apply_ms", fleet_config_apply_ms, "ms", 10, HOUR_MS, 2000,
           "Time within which a configuration must be in force."),
    NUMBER("fleet", "contact_ms", fleet_contact_ms, "ms", 10, HOUR_MS, 3000,
           "Time without a disruption after which a daemon counts as in touch."),
    NUMBER("fleet", "heartbeat_ms", fleet_heartbeat_ms, "ms", 10, HOUR_MS, 1200,
           "Time between two beats by which an engine keeps itself listed."),
    NUMBER("fleet", "caller_silence_ms", fleet_caller_silence_ms, "ms", 0, HOUR_MS, 6000,
           "A caller's kernel gives no sign for so long: its connection ends (TCP_USER_TIMEOUT, "
           "keep-alive). Several lost packets in a row, and a reader that pauses, stay. 0: never."),
    NUMBER("fleet", "daemon_silence_ms", fleet_daemon_silence_ms, "ms", 0, HOUR_MS, 3000,
           "The same between daemons; their calls have time-outs of their own of up to 1.5 s."),
    NUMBER("fleet", "engine_silence_ms", fleet_engine_silence_ms, "ms", 0, HOUR_MS, 3000,
           "The same to engines: longer than four retransmissions in a row, as a request that may "
           "run once is broken off by it."),
    NUMBER("fleet", "store_silence_ms", fleet_store_silence_ms, "ms", 0, HOUR_MS, 1500,
           "The same to the store: below fleet.config_apply_ms, within which held reads must "
           "bring a configuration."),
    NUMBER(
        "fleet", "repeat_unacknowledged_ms", fleet_repeat_unacknowledged_ms, "ms", 0, HOUR_MS, 150,
        "What may be repeated leaves a kept connection on which none of it was acknowledged for "
        "so long: below half of the shortest target, so that a second try is in time. 0: never."),
    NUMBER("fleet", "once_unacknowledged_ms", fleet_once_unacknowledged_ms, "ms", 0, HOUR_MS, 800,
           "The same for what may run once, which ends by it: longer than two retransmissions, so "
           "that a lost packet ends nothing. 0: never."),
    NUMBER("fleet", "once_idle_ms", fleet_once_idle_ms, "ms", 0, HOUR_MS, 2000,
           "Idle time after which a kept connection gets no request that may run once: half of the "
           "time for which one is kept, as a new connection is work for the engine too. 0: any."),
    DECIMAL(
        "fleet", "limit_slack", fleet_limit_slack, "requests", 0, 1000000, "0",
        "Requests that the operator bears beyond a tenant's limit. Half of them are let pass at "
        "one time above its burst; the other half is for daemons that are lost or cut off."),
    DECIMAL("fleet", "cores", fleet_cores, "cores", 0, 4096, "0",
            "Processors of the machine. 0: not told; see fleet.link_mbps."),
    DECIMAL("fleet", "cpu_share", fleet_cpu_share, "share", 0, 1, "1",
            "Part of them that this daemon gets."),
    NUMBER("fleet", "memory_mb", fleet_memory_mb, "MB", 0, 16777216, 0,
           "Memory that the machine gives this daemon. Told, what is kept for callers and engines "
           "that read slowly is bounded, and their streams are read ahead. 0: not told, no bound."),
    NUMBER("fleet", "descriptors", fleet_descriptors, "count", 0, 100000000, 0,
           "Descriptors that this daemon may have. 0: not told."),
    DECIMAL("fleet", "link_mbps", fleet_link_mbps, "Mbit/s", 0, 4000000, "0",
            "The machine's link. 0: not told. Where daemons tell these four, callers are told to "
            "use them by what their machines bear."),
    NUMBER("fleet", "strict_revoke", fleet_strict_revoke, "0 or 1", 0, 1, 0,
           "1: while the store does not tell which keys are in force, none opens anything after "
           "fleet.revoke_ms, and streams of a key that was taken away end. 0: the last keys known "
           "hold, and streams go on."),
    NUMBER("fleet", "revoke_ms", fleet_revoke_ms, "ms", 10, HOUR_MS, 5000,
           "With fleet.strict_revoke: longest time for which keys hold without the store's word."),
    NUMBER("fleet", "evacuate_ms", fleet_evacuate_ms, "ms", 0, HOUR_MS, 0,
           "Time within which the engines of an evacuated zone must get no more requests. 0: they "
           "get none from the moment at which the evacuation is known."),
    NUMBER("fleet", "tolerated_zones", fleet_tolerated_zones, "zones", 0, 1000, 0,
           "Zones that may be lost at once while the others go on serving. 0: not specified."),
    DECIMAL("fleet", "grace_s", fleet_grace_s, "s", 0, 3600, "8",
            "Time from SIGTERM until the platform kills the process."),
    DECIMAL("fleet", "status_s", fleet_status_s, "s", 1, 31536000, "120",
            "Time after its submission for which a job can be read."),
    DECIMAL("fleet", "resolve_ttl_most_s", fleet_resolve_ttl_most_s, "s", 0, 3600, "5",
            "Longest time for which callers keep a resolve answer."),
};

static char **text_field(hs_settings *settings, const setting *entry) {
    return (char **)(void *)((char *)settings + entry->field_offset);
}

static int64_t *number_field(hs_settings *settings, const setting *entry) {
    return (int64_t *)(void *)((char *)settings + entry->field_offset);
}

static double *decimal_field(hs_settings *settings, const setting *entry) {
    return (double *)(void *)((char *)settings + entry->field_offset);
}

hs_settings *hs_settings_new(void) {
    hs_settings *settings = g_new0(hs_settings, 1);
    for (size_t index = 0; index < G_N_ELEMENTS(setting_table); index++) {
        const setting *entry = &setting_table[index];
        if (entry->type == SETTING_TEXT)
            *text_field(settings, entry) = g_strdup(entry->default_text);
        else if (entry->type == SETTING_DECIMAL)
            *decimal_field(settings, entry) = g_ascii_strtod(entry->default_text, NULL);
        else
            *number_field(settings, entry) = entry->default_number;
    }
    return settings;
}

void hs_settings_free(hs_settings *settings) {
    if (settings == NULL)
        return;
    for (size_t index = 0; index < G_N_ELEMENTS(setting_table); index++)
        if (setting_table[index].type == SETTING_TEXT)
            g_free(*text_field(settings, &setting_table[index]));
    g_free(settings);
}

static const setting *find_setting(const char *group, const char *key) {
    for (size_t index = 0; index < G_N_ELEMENTS(setting_table); index++) {
        const setting *entry = &setting_table[index];
        if (strcmp(entry->group, group) == 0 && strcmp(entry->key, key) == 0)
            return entry;
    }
    return NULL;
}

static int set_decimal(hs_settings *settings, const setting *entry, const char *location,
                       const char *value, hs_error *error) {
    char *end = NULL;
    double number = g_ascii_strtod(value, &end);
    if (end == value || *end != '\0' || !(number >= (double)entry->minimum) ||
        !(number <= (double)entry->maximum))
        return hs_error_set(error, HS_LAYER_SETTINGS, HS_INVALID,
                            "%s: key %s.%s: \"%s\" is not a number from %" G_GINT64_FORMAT
                            " to %" G_GINT64_FORMAT " (%s)",
                            location, entry->group, entry->key, value, entry->minimum,
                            entry->maximum, entry->unit);
    *decimal_field(settings, entry) = number;
    return 0;
}

/** Sets an integer; a fraction is rounded, as deployment templates may produce one. */
static int set_number(hs_settings *settings, const setting *entry, const char *location,
                      const char *value, hs_error *error) {
    char *end = NULL;
    double number = round(g_ascii_strtod(value, &end));
    if (end == value || *end != '\0' || !(number >= (double)entry->minimum) ||
        !(number <= (double)entry->maximum))
        return hs_error_set(error, HS_LAYER_SETTINGS, HS_INVALID,
                            "%s: key %s.%s: \"%s\" is not a whole number from %" G_GINT64_FORMAT
                            " to %" G_GINT64_FORMAT " (%s)",
                            location, entry->group, entry->key, value, entry->minimum,
                            entry->maximum, entry->unit);
    *number_field(settings, entry) = (int64_t)number;
    return 0;
}

/** Sets one value; @p location is its file and line, or "command line", for the error. */
static int set_value(hs_settings *settings, const char *location, const char *group,
                     const char *key, const char *value, hs_error *error) {
    const setting *entry = find_setting(group, key);
    if (entry == NULL)
        return hs_error_set(error, HS_LAYER_SETTINGS, HS_INVALID, "%s: unknown key %s.%s", location,
                            group, key);
    if (entry->type == SETTING_TEXT) {
        g_free(*text_field(settings, entry));
        *text_field(settings, entry) = g_strdup(value);
        return 0;
    }
    if (*value == '\0') /* An empty value, as from an unset template variable, keeps the default. */
        return 0;
    if (entry->type == SETTING_DECIMAL)
        return set_decimal(settings, entry, location, value, error);
    return set_number(settings, entry, location, value, error);
}

/** Returns the line of @p key in @p group, or of the group's header if @p key is NULL; 0: none. */
static int find_key_line(const char *text, const char *group, const char *key) {
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    g_autofree char *header = g_strdup_printf("[%s]", group);
    bool inside = false;
    for (int index = 0; lines[index] != NULL; index++) {
        const char *line = g_strstrip(lines[index]);
        if (*line == '[')
            inside = strcmp(line, header) == 0;
        if (key == NULL && inside)
            return index + 1;
        size_t length = key != NULL ? strlen(key) : 0;
        if (inside && key != NULL && strncmp(line, key, length) == 0 &&
            strchr("= \t", line[length]) != NULL)
            return index + 1;
    }
    return 0;
}

static int load_group(hs_settings *settings, GKeyFile *file, const char *path, const char *text,
                      const char *group, hs_error *error) {
    g_auto(GStrv) keys = g_key_file_get_keys(file, group, NULL, NULL);
    for (int index = 0; keys != NULL && keys[index] != NULL; index++) {
        g_autofree char *value = g_key_file_get_string(file, group, keys[index], NULL);
        g_autofree char *location =
            g_strdup_printf("%s:%d", path, find_key_line(text, group, keys[index]));
        int result = set_value(settings, location, group, keys[index],
                               value != NULL ? g_strstrip(value) : "", error);
        if (result != 0)
            return result;
    }
    return 0;
}

static bool is_known_group(const char *group) {
    for (size_t index = 0; index < G_N_ELEMENTS(setting_table); index++)
        if (strcmp(setting_table[index].group, group) == 0)
            return true;
    return false;
}

int hs_settings_load(hs_settings *settings, const char *path, hs_error *error) {
    g_autofree char *text = NULL;
    g_autoptr(GError) cause = NULL;
    if (!g_file_get_contents(path, &text, NULL, &cause))
        return hs_error_set(error, HS_LAYER_SETTINGS, HS_INVALID, "%s", cause->message);
    g_autoptr(GKeyFile) file = g_key_file_new();
    if (!g_key_file_load_from_data(file, text, (gsize)-1, G_KEY_FILE_NONE, &cause))
        return hs_error_set(error, HS_LAYER_SETTINGS, HS_INVALID, "%s: %s", path, cause->message);
    g_auto(GStrv) groups = g_key_file_get_groups(file, NULL);
    for (int index = 0; groups[index] != NULL; index++) {
        if (!is_known_group(groups[index]))
            return hs_error_set(error, HS_LAYER_SETTINGS, HS_INVALID, "%s:%d: unknown group [%s]",
                                path, find_key_line(text, groups[index], NULL), groups[index]);
        int result = load_group(settings, file, path, text, groups[index], error);
        if (result != 0)
            return result;
    }
    return 0;
}

int hs_settings_override(hs_settings *settings, const char *assignment, hs_error *error) {
    const char *dot = strchr(assignment, '.');
    const char *equals = dot != NULL ? strchr(dot, '=') : NULL;
    if (equals == NULL)
        return hs_error_set(error, HS_LAYER_SETTINGS, HS_INVALID,
                            "command line: --set \"%s\" is not of the form group.key=value",
                            assignment);
    g_autofree char *group = g_strndup(assignment, (gsize)(dot - assignment));
    g_autofree char *key = g_strndup(dot + 1, (gsize)(equals - dot - 1));
    return set_value(settings, "command line", group, key, equals + 1, error);
}

static int invalid(hs_error *error, const char *message) {
    return hs_error_set(error, HS_LAYER_SETTINGS, HS_INVALID, "%s", message);
}

/** A key of [fleet] with an address. */
typedef struct {
    const char *key;
    const char *value;
    bool required;
} endpoint_rule;

static int check_fleet(const hs_settings *settings, hs_error *error) {
    const endpoint_rule rules[] = {{"front", settings->fleet_front, true},
                                   {"control", settings->fleet_control, true},
                                   {"store", settings->fleet_store, true},
                                   {"ready", settings->fleet_ready, false},
                                   {"directory", settings->fleet_directory, false},
                                   {"metrics", settings->fleet_metrics, false}};
    for (size_t index = 0; index < G_N_ELEMENTS(rules); index++) {
        const endpoint_rule *rule = &rules[index];
        hs_endpoint parsed;
        if ((rule->required || *rule->value != '\0') && !hs_endpoint_parse(rule->value, &parsed))
            return hs_error_set(error, HS_LAYER_SETTINGS, HS_INVALID,
                                "key fleet.%s: \"%s\" is not IPv4:port (1 to 65535)", rule->key,
                                rule->value);
    }
    return 0;
}

int hs_settings_check(const hs_settings *settings, hs_error *error) {
    if (*settings->daemon_id == '\0')
        return invalid(error, "key daemon.id: no value given; each daemon needs a unique id");
    if (hs_endpoint_parse_address(settings->address) == 0)
        return invalid(error, "key daemon.address: not an IPv4 address such as 10.0.0.1");
    if (!g_str_has_prefix(settings->platform_url, "http://"))
        return invalid(error, "key platform.url: must start with http://");
    if (strcmp(settings->log_level, "debug") != 0 && strcmp(settings->log_level, "info") != 0 &&
        strcmp(settings->log_level, "warning") != 0)
        return invalid(error, "key daemon.log_level: must be debug, info or warning");
    if (settings->caller_enabled && settings->caller_port == settings->admin_port)
        return invalid(error, "keys caller.port and admin.port: must differ");
    if (settings->probe_timeout_ms >= settings->probe_interval_ms)
        return invalid(error, "key peer.probe_timeout_ms: must be below peer.probe_interval_ms");
    if (strcmp(settings->surface, "fleet") == 0)
        return check_fleet(settings, error);
    if (strcmp(settings->surface, "openai") != 0)
        return invalid(error, "key daemon.surface: must be openai or fleet");
    return 0;
}

void hs_settings_print_reference(FILE *output) {
    fprintf(output, "# Settings\n\nMade by `heathsaild --settings-reference`. A file is a GLib key "
                    "file; `--set group.key=value` overrides it.\n");
    const char *group = "";
    for (size_t index = 0; index < G_N_ELEMENTS(setting_table); index++) {
        const setting *entry = &setting_table[index];
        if (strcmp(group, entry->group) != 0)
            fprintf(
                output,
                "\n## [%s]\n\n| key | default | unit | range | meaning |\n|---|---|---|---|---|\n",
                entry->group);
        group = entry->group;
        if (entry->type == SETTING_TEXT)
            fprintf(output, "| `%s` | `%s` | %s | | %s |\n", entry->key, entry->default_text,
                    entry->unit, entry->meaning);
        else if (entry->type == SETTING_DECIMAL)
            fprintf(output,
                    "| `%s` | %s | %s | %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT " | %s |\n",
                    entry->key, entry->default_text, entry->unit, entry->minimum, entry->maximum,
                    entry->meaning);
        else
            fprintf(output,
                    "| `%s` | %" G_GINT64_FORMAT " | %s | %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
                    " | %s |\n",
                    entry->key, entry->default_number, entry->unit, entry->minimum, entry->maximum,
                    entry->meaning);
    }
}
