/** @file token_engine.c  See token_engine.h. */
#include "standin/token_engine/token_engine.h"

#include "base/clock.h"
#include "base/peer_watch.h"
#include "http/http_fields.h"
#include "http/listener.h"
#include "platform/names.h"
#include "standin/port_lease/port_lease.h"

#include <stdio.h>
#include <string.h>

#define MAX_BODY_BYTES (16U * 1024 * 1024)
#define SLOW_RESPONSE_MS 150
#define DEFAULT_SLOT_COUNT 8U
/** Age of the runs in a report. */
#define REPORT_AGE_MS 250

struct token_engine {
    token_engine_settings settings;
    char *id;
    char *service;
    hs_listener *listener;
    uint16_t port;
    uint16_t announced_port;
    gint mode;
    gint is_crashing; /**< Makes waiting responses abort. */
    gint crash_requested;
    GMutex lock;
    GHashTable *run_counts;    /**< request id -> count of runs */
    GHashTable *resume_counts; /**< request id -> count of runs that resumed */
    GArray *run_log;           /**< of token_engine_run, by run number */
    GArray *call_log;          /**< of token_engine_call, by call number */
    uint32_t total_run_count;
    uint32_t entry_sequence; /**< Sequence number of the last announced entry. */
    uint64_t started_at_ms;  /**< Wall time. */
    uint64_t cold_until_ms;  /**< Monotonic time; 0: never cold. Guarded by lock. */
};

/** An open stream. */
typedef struct {
    token_engine *engine;
    uint32_t run;  /**< Number in the run log. */
    uint32_t call; /**< Number in the call log. */
    int descriptor;
    uint32_t next;          /**< Number of the next event. */
    uint32_t last;          /**< Number of the last event; 0: abort now. */
    uint32_t break_at;      /**< Last event before the cut; 0: no cut. */
    uint32_t spoiled;       /**< Event with a byte that is no UTF-8; 0: none. */
    uint32_t event_ms;      /**< Interval between events. */
    uint64_t last_event_ms; /**< Monotonic time of the last event. */
    bool is_fatal;
} stream;

/** Maximum interval between checks for a crash of the engine. */
#define MAX_CRASH_POLL_MS 5

/** Joins the values of all tenant headers. */
static void record_tenant(const GArray *fields, token_engine_call *call) {
    for (guint index = 0; index < fields->len; index++) {
        const hs_http_field *field = &g_array_index(fields, hs_http_field, index);
        if (g_ascii_strcasecmp(field->name, HEADER_TENANT) != 0)
            continue;
        if (*call->tenant != '\0')
            g_strlcat(call->tenant, ",", sizeof call->tenant);
        g_strlcat(call->tenant, field->value, sizeof call->tenant);
    }
}

/** Adds a call to the log and returns its number. */
static uint32_t record_call_start(token_engine *engine, const char *request_id,
                                  const GArray *fields) {
    token_engine_call call = {.begun_ms = hs_clock_monotonic_ms()};
    g_strlcpy(call.request_id, request_id, sizeof call.request_id);
    record_tenant(fields, &call);
    call.has_key = hs_http_fields_find(fields, HEADER_API_KEY) != NULL;
    g_mutex_lock(&engine->lock);
    uint32_t number = engine->call_log->len;
    g_array_append_val(engine->call_log, call);
    g_mutex_unlock(&engine->lock);
    return number;
}

static void record_misdirection(token_engine *engine, uint32_t number) {
    g_mutex_lock(&engine->lock);
    g_array_index(engine->call_log, token_engine_call, number).is_misdirected = true;
    g_mutex_unlock(&engine->lock);
}

static void record_call_end(token_engine *engine, uint32_t number) {
    g_mutex_lock(&engine->lock);
    g_array_index(engine->call_log, token_engine_call, number).ended_ms = hs_clock_monotonic_ms();
    g_mutex_unlock(&engine->lock);
}

/** Waits for @p wait_ms. Returns true early if the caller disconnects or the engine crashes. */
static bool wait_for_disconnect_or_crash(token_engine *engine, int descriptor, uint32_t wait_ms) {
    if (engine->settings.fatal == NULL) /* The engine cannot crash: wait without polling. */
        return hs_peer_wait_for_disconnect(descriptor, wait_ms);
    uint64_t until_ms = hs_clock_monotonic_ms() + wait_ms;
    uint64_t now_ms = hs_clock_monotonic_ms();
    while (g_atomic_int_get(&engine->is_crashing) == 0 && now_ms < until_ms) {
        if (hs_peer_wait_for_disconnect(descriptor,
                                        (uint32_t)MIN(until_ms - now_ms, MAX_CRASH_POLL_MS)))
            return true;
        now_ms = hs_clock_monotonic_ms();
    }
    return g_atomic_int_get(&engine->is_crashing) != 0;
}

/** Records the delay of an event by scheduling; the engine detects a disconnect as late as that. */
static void record_event_delay(stream *events) {
    token_engine *engine = events->engine;
    uint64_t now_ms = hs_clock_monotonic_ms();
    uint64_t due_ms = events->last_event_ms + events->event_ms;
    g_mutex_lock(&engine->lock);
    token_engine_run *run = &g_array_index(engine->run_log, token_engine_run, events->run);
    run->late_ms = MAX(run->late_ms, now_ms > due_ms ? now_ms - due_ms : 0);
    g_mutex_unlock(&engine->lock);
    events->last_event_ms = now_ms;
}

static ssize_t write_event(void *data, char *buffer, size_t size) {
    stream *events = data;
    if (events->break_at != 0 && events->next > events->break_at) {
        int cut_length = g_snprintf(buffer, size, "id: 9"); /* Cuts within an event. */
        events->break_at = 0;
        events->last = 0;
        return cut_length;
    }
    if (events->last == 0)
        return HS_READER_ABORT;
    if (events->next > events->last)
        return HS_READER_END;
    bool is_disconnected =
        wait_for_disconnect_or_crash(events->engine, events->descriptor, events->event_ms);
    record_event_delay(events);
    if (is_disconnected)
        return HS_READER_ABORT;
    if (events->is_fatal) {
        wait_for_disconnect_or_crash(events->engine, events->descriptor,
                                     events->engine->settings.fatal_after_ms);
        g_atomic_int_set(&events->engine->crash_requested, 1);
        wait_for_disconnect_or_crash(events->engine, events->descriptor, G_MAXINT / 2);
        return HS_READER_ABORT;
    }
    g_autofree char *event =
        token_engine_format_event(events->next, events->engine->id, events->run);
    if (events->next == events->spoiled)
        event[0] = (char)(event[0] | 0x80);
    int length = g_snprintf(buffer, size, "id: %u\ndata: %s\n\n", events->next, event);
    events->next++;
    return length;
}

char *token_engine_format_event(uint32_t event, const char *engine_id, uint32_t run) {
    return g_strdup_printf("token %u of %s/%u", event, engine_id, run);
}

bool token_engine_parse_event(const char *data, uint32_t *event, char *engine_id, uint32_t *run) {
    /* The width is TOKEN_ENGINE_ID_BYTES without the NUL. */
    return sscanf(data, "token %u of %63[^/]/%u", event, engine_id, run) == 3;
}

/** Returns how much longer the engine is cold; 0: it is warm. */
static uint32_t get_warmup_left_ms(token_engine *engine) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&engine->lock);
    uint64_t until_ms = engine->cold_until_ms;
    g_mutex_unlock(&engine->lock);
    return until_ms > now_ms ? (uint32_t)(until_ms - now_ms) : 0;
}

static void add_warmup_field(token_engine *engine, GArray *fields) {
    if (engine->settings.warmup_ms == 0)
        return;
    g_autofree char *left = g_strdup_printf("%u", get_warmup_left_ms(engine));
    hs_http_fields_add(fields, HEADER_WARMUP_MS, left);
}

static void add_response_fields(token_engine *engine, GArray *fields, const char *request_id) {
    hs_http_fields_add(fields, HEADER_REQUEST_ID, request_id);
    hs_http_fields_add(fields, HEADER_SIGNATURE, "sig.1");
    hs_http_fields_add(fields, HEADER_SERVER_LOAD, "1,0,8");
    hs_http_fields_add(fields, "X-Engine", engine->id);
    hs_http_fields_add(fields, "X-Twice", "one");
    hs_http_fields_add(fields, "X-Twice", "two");
    add_warmup_field(engine, fields);
}

static void reply_refusal(token_engine *engine, hs_inbound *inbound, uint32_t status,
                          const char *request_id, bool executed) {
    GArray *fields = hs_http_fields_new();
    add_warmup_field(engine, fields);
    hs_http_fields_add(fields, HEADER_REQUEST_ID, request_id);
    if (status == 421 && engine->settings.states_id)
        hs_http_fields_add(fields, HEADER_INSTANCE_ID, engine->id);
    if (executed)
        hs_http_fields_add(fields, HEADER_SIGNATURE, "sig.f");
    else
        hs_http_fields_add(fields, HEADER_NOT_EXECUTED, "1");
    hs_inbound_reply(inbound, status, fields, "no", 2);
    hs_http_fields_free(fields);
}

/** The caller holds the lock. */
static void increment_count(GHashTable *counts, const char *request_id) {
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, request_id));
    g_hash_table_insert(counts, g_strdup(request_id), GUINT_TO_POINTER(count + 1));
}

/** Adds a run that resumes after the event @p after (NULL: a new run); returns its number. */
static uint32_t record_run_start(token_engine *engine, const char *request_id, const char *after) {
    token_engine_run run = {.version = engine->settings.version,
                            .resumes = after != NULL,
                            .begun_ms = hs_clock_wall_ms()};
    g_strlcpy(run.request_id, request_id, sizeof run.request_id);
    if (run.resumes)
        run.asked_after = g_ascii_strtoull(after, NULL, 10);
    g_mutex_lock(&engine->lock);
    increment_count(engine->run_counts, request_id);
    if (run.resumes)
        increment_count(engine->resume_counts, request_id);
    uint32_t number = engine->run_log->len;
    g_array_append_val(engine->run_log, run);
    engine->total_run_count++;
    g_mutex_unlock(&engine->lock);
    return number;
}

static const token_engine_pace *select_pace(const token_engine *engine, const char *path) {
    const token_engine_path_pace *entry = engine->settings.path_paces;
    for (; entry != NULL && entry->prefix != NULL; entry++)
        if (g_str_has_prefix(path, entry->prefix))
            return &entry->pace;
    return &engine->settings.pace;
}

static void record_run_end(token_engine *engine, uint32_t run) {
    g_mutex_lock(&engine->lock);
    g_array_index(engine->run_log, token_engine_run, run).ended_ms = hs_clock_wall_ms();
    g_mutex_unlock(&engine->lock);
}

static void end_stream(void *data) {
    stream *events = data;
    record_run_end(events->engine, events->run);
    record_call_end(events->engine, events->call);
    g_free(events);
}

static void serve_stream(token_engine *engine, hs_inbound *inbound, GArray *fields,
                         token_engine_mode mode, const stream *started) {
    const char *after = NULL;
    if (mode != TOKEN_ENGINE_IGNORES_RESUME)
        after = hs_http_fields_find(inbound->fields, HEADER_LAST_EVENT_ID);
    const token_engine_pace *pace = select_pace(engine, inbound->target);
    stream *events = g_new(stream, 1);
    *events = *started;
    events->event_ms = pace->event_ms;
    events->last_event_ms = hs_clock_monotonic_ms();
    events->next = after != NULL ? (uint32_t)g_ascii_strtoull(after, NULL, 10) + 1 : 1;
    events->last = mode == TOKEN_ENGINE_ENDLESS ? UINT32_MAX - 1 : pace->events;
    events->break_at =
        mode == TOKEN_ENGINE_BREAKS_STREAMS ? events->next + engine->settings.break_after - 1 : 0;
    events->spoiled =
        mode == TOKEN_ENGINE_SPOILS_EVENTS ? events->next + engine->settings.break_after : 0;
    hs_http_fields_add(fields, "Content-Type", "text/event-stream");
    hs_inbound_reply_stream(inbound, 200, fields, write_event, events, end_stream);
}

/** Returns whether the prompt has a fatal part that is not its last one. */
static bool has_fatal_part(const token_engine *engine, const hs_inbound *inbound) {
    const char *parts = hs_http_fields_find(inbound->fields, HEADER_PROMPT_PREFIX);
    if (engine->settings.fatal_part == NULL || parts == NULL)
        return false;
    g_auto(GStrv) list = g_strsplit(parts, ",", -1);
    bool is_found = false;
    for (guint index = 0; index + 1 < g_strv_length(list) && !is_found; index++)
        is_found = g_str_has_prefix(list[index], engine->settings.fatal_part);
    return is_found;
}

/** Runs a request. Returns true if a stream was started, which records the end of the call. */
static bool run_request(token_engine *engine, hs_inbound *inbound, const char *id, uint32_t call) {
    token_engine_mode mode = (token_engine_mode)g_atomic_int_get(&engine->mode);
    stream started = {.engine = engine, .call = call, .descriptor = inbound->descriptor};
    started.run =
        record_run_start(engine, id, hs_http_fields_find(inbound->fields, HEADER_LAST_EVENT_ID));
    uint32_t response_delay_ms = 0;
    if (mode == TOKEN_ENGINE_SLOW || mode == TOKEN_ENGINE_ENDLESS)
        response_delay_ms = SLOW_RESPONSE_MS;
    else if (mode == TOKEN_ENGINE_UNRESPONSIVE)
        response_delay_ms = G_MAXINT / 2;
    const char *fatal = engine->settings.fatal;
    started.is_fatal = fatal != NULL && inbound->body->len >= strlen(fatal) &&
                       memcmp(inbound->body->data, fatal, strlen(fatal)) == 0;
    started.is_fatal = started.is_fatal || has_fatal_part(engine, inbound);
    bool is_plain = strstr(inbound->target, "plain") != NULL;
    if (started.is_fatal && is_plain) {
        wait_for_disconnect_or_crash(engine, inbound->descriptor, engine->settings.fatal_after_ms);
        g_atomic_int_set(&engine->crash_requested, 1);
        response_delay_ms = G_MAXINT / 2;
    }
    if (wait_for_disconnect_or_crash(engine, inbound->descriptor, response_delay_ms)) {
        hs_inbound_drop(inbound);
        record_run_end(engine, started.run);
        return false;
    }
    if (mode == TOKEN_ENGINE_FAILS || mode == TOKEN_ENGINE_UNPROCESSABLE) {
        reply_refusal(engine, inbound, mode == TOKEN_ENGINE_FAILS ? 500 : 422, id, true);
        record_run_end(engine, started.run);
        return false;
    }
    GArray *fields = hs_http_fields_new();
    add_response_fields(engine, fields, id);
    if (is_plain) {
        hs_inbound_reply(inbound, 200, fields, inbound->target, strlen(inbound->target));
        record_run_end(engine, started.run);
    } else {
        serve_stream(engine, inbound, fields, mode, &started);
    }
    hs_http_fields_free(fields);
    return !is_plain;
}

/** Answers with the runs of some hundred ms ago: those in progress, and those that ended since. */
static void reply_report(token_engine *engine, hs_inbound *inbound) {
    GString *report = g_string_new("{\"run-count\":[");
    uint64_t as_of_ms = hs_clock_wall_ms() - REPORT_AGE_MS;
    const char *separator = "";
    g_mutex_lock(&engine->lock);
    for (guint index = 0; index < engine->run_log->len; index++) {
        const token_engine_run *run = &g_array_index(engine->run_log, token_engine_run, index);
        if (run->begun_ms > as_of_ms || (run->ended_ms != 0 && run->ended_ms < as_of_ms))
            continue;
        g_string_append_printf(report, "%s[\"%s\",0,0,0]", separator, run->request_id);
        separator = ",";
    }
    g_mutex_unlock(&engine->lock);
    g_string_append_c(report, ']');
    if (engine->settings.announces_start)
        g_string_append_printf(report, ",\"born\":%" G_GUINT64_FORMAT,
                               (guint64)engine->started_at_ms);
    g_string_append_c(report, '}');
    GArray *fields = hs_http_fields_new();
    hs_http_fields_add(fields, "Content-Type", "application/json");
    hs_inbound_reply(inbound, 200, fields, report->str, report->len);
    hs_http_fields_free(fields);
    g_string_free(report, TRUE);
}

static void serve(hs_inbound *inbound, void *user_data) {
    token_engine *engine = user_data;
    if (strcmp(inbound->target, PATH_REPORT) == 0) {
        reply_report(engine, inbound);
        return;
    }
    const char *id = hs_http_fields_find(inbound->fields, HEADER_REQUEST_ID);
    const char *target_instance = hs_http_fields_find(inbound->fields, HEADER_TARGET_INSTANCE);
    if (id == NULL) {
        reply_refusal(engine, inbound, 400, "-", false);
        return;
    }
    uint32_t call = record_call_start(engine, id, inbound->fields);
    bool is_streaming = false;
    const char *weights = hs_http_fields_find(inbound->fields, HEADER_EXPECTED_VERSION);
    bool has_other_weights = weights != NULL && engine->settings.weights != NULL &&
                             strcmp(weights, engine->settings.weights) != 0;
    if (has_other_weights) {
        reply_refusal(engine, inbound, 421, id, false);
    } else if (target_instance != NULL && strcmp(target_instance, engine->id) != 0) {
        record_misdirection(engine, call);
        reply_refusal(engine, inbound, 421, id, false);
    } else if (g_atomic_int_get(&engine->mode) == TOKEN_ENGINE_FULL) {
        reply_refusal(engine, inbound, 503, id, false);
    } else {
        is_streaming = run_request(engine, inbound, id, call);
    }
    if (!is_streaming)
        record_call_end(engine, call);
}

static void listen_for_requests(token_engine *engine) {
    hs_error error = {0};
    engine->listener = hs_listener_start("127.0.0.1", engine->port,
                                         &(hs_listener_limits){.max_body_bytes = MAX_BODY_BYTES},
                                         serve, engine, &error);
    if (engine->listener == NULL)
        g_error("stand-in engine %s cannot listen: %s", engine->id, error.message);
}

void token_engine_crash(token_engine *engine) {
    g_atomic_int_set(&engine->is_crashing, 1);
    hs_listener_stop(engine->listener);
    engine->listener = NULL;
    g_atomic_int_set(&engine->crash_requested, 0);
}

void token_engine_restart(token_engine *engine, const char *id) {
    if (strcmp(engine->id, id) != 0) { /* Other threads may read an id that stays. */
        g_free(engine->id);
        engine->id = g_strdup(id);
    }
    g_mutex_lock(&engine->lock);
    engine->cold_until_ms =
        engine->settings.warmup_ms > 0 ? hs_clock_monotonic_ms() + engine->settings.warmup_ms : 0;
    g_mutex_unlock(&engine->lock);
    engine->entry_sequence = 0;
    engine->started_at_ms = hs_clock_wall_ms();
    g_atomic_int_set(&engine->is_crashing, 0);
    listen_for_requests(engine);
}

bool token_engine_is_crash_requested(token_engine *engine) {
    return g_atomic_int_get(&engine->crash_requested) != 0;
}

token_engine *token_engine_start(const token_engine_settings *settings) {
    token_engine *engine = g_new0(token_engine, 1);
    engine->settings = *settings;
    engine->id = g_strdup(settings->id);
    engine->service = g_strdup(settings->service);
    g_mutex_init(&engine->lock);
    engine->run_counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    engine->resume_counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    engine->run_log = g_array_new(FALSE, FALSE, sizeof(token_engine_run));
    engine->call_log = g_array_new(FALSE, FALSE, sizeof(token_engine_call));
    engine->port = port_lease_take(1);
    engine->started_at_ms = hs_clock_wall_ms();
    listen_for_requests(engine);
    engine->announced_port = engine->port;
    return engine;
}

void token_engine_stop(token_engine *engine) {
    hs_listener_stop(engine->listener);
    g_hash_table_destroy(engine->run_counts);
    g_hash_table_destroy(engine->resume_counts);
    g_array_free(engine->run_log, TRUE);
    g_array_free(engine->call_log, TRUE);
    g_mutex_clear(&engine->lock);
    g_free(engine->id);
    g_free(engine->service);
    g_free(engine);
}

void token_engine_set_mode(token_engine *engine, token_engine_mode mode) {
    g_atomic_int_set(&engine->mode, (gint)mode);
}

uint16_t token_engine_port(const token_engine *engine) {
    return engine->port;
}

void token_engine_set_version(token_engine *engine, const char *version) {
    g_mutex_lock(&engine->lock);
    engine->settings.version = version;
    g_mutex_unlock(&engine->lock);
}

void token_engine_set_announced_port(token_engine *engine, uint16_t port) {
    engine->announced_port = port;
}

void token_engine_announce(token_engine *engine, log_store *store, bool draining) {
    g_autofree char *start =
        engine->settings.announces_start
            ? g_strdup_printf("\"born\":%" G_GUINT64_FORMAT ",", (guint64)engine->started_at_ms)
            : g_strdup("");
    g_autofree char *entry = g_strdup_printf(
        "{%s\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"%s\",\"version\":\"%s\","
        "\"slots\":%u,\"state\":\"%s\",\"warmup-left-ms\":%u,\"sequence\":%u}",
        start, engine->service, engine->announced_port,
        engine->settings.zone != NULL ? engine->settings.zone : "zone-a",
        engine->settings.version != NULL ? engine->settings.version : "v1",
        engine->settings.slots != 0 ? engine->settings.slots : DEFAULT_SLOT_COUNT,
        draining ? "draining" : "ready", get_warmup_left_ms(engine), ++engine->entry_sequence);
    log_store_put(store, TOPIC_ENGINES, engine->id, entry);
}

static uint32_t read_count(token_engine *engine, GHashTable *counts, const char *request_id) {
    g_mutex_lock(&engine->lock);
    uint32_t count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, request_id));
    g_mutex_unlock(&engine->lock);
    return count;
}

uint32_t token_engine_run_count(token_engine *engine, const char *request_id) {
    return read_count(engine, engine->run_counts, request_id);
}

uint32_t token_engine_resume_count(token_engine *engine, const char *request_id) {
    return read_count(engine, engine->resume_counts, request_id);
}

const char *token_engine_id(const token_engine *engine) {
    return engine->id;
}

bool token_engine_find_run(token_engine *engine, uint32_t number, token_engine_run *run) {
    g_mutex_lock(&engine->lock);
    bool is_known = number < engine->run_log->len;
    if (is_known)
        *run = g_array_index(engine->run_log, token_engine_run, number);
    g_mutex_unlock(&engine->lock);
    return is_known;
}

bool token_engine_find_call(token_engine *engine, uint32_t number, token_engine_call *call) {
    g_mutex_lock(&engine->lock);
    bool is_known = number < engine->call_log->len;
    if (is_known)
        *call = g_array_index(engine->call_log, token_engine_call, number);
    g_mutex_unlock(&engine->lock);
    return is_known;
}

uint32_t token_engine_total_run_count(token_engine *engine) {
    g_mutex_lock(&engine->lock);
    uint32_t total_run_count = engine->total_run_count;
    g_mutex_unlock(&engine->lock);
    return total_run_count;
}

uint32_t token_engine_open_request_count(token_engine *engine) {
    return engine->listener != NULL ? hs_listener_open_request_count(engine->listener) : 0;
}
