/** @file engine.c  See engine.h. */
#include "review/lib/engine.h"

#include "base/clock.h"
#include "base/peer_watch.h"
#include "http/http_fields.h"
#include "http/listener.h"
#include "platform/names.h"
#include "standin/port_lease/port_lease.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEADER_EXPECTED_VERSION "Heathsail-Expected-Version"
#define HEADER_INSTANCE_ID "Heathsail-Instance-Id"

struct engine {
    engine_settings settings;
    char *id;
    hs_listener *listener;
    uint16_t port;
    GMutex lock;
    GCond freed;
    uint32_t running;
    uint32_t waiting;
    GHashTable *runs; /**< request id -> count */
    uint32_t all_runs;
    uint32_t misdirected;
};

typedef struct {
    engine *of;
    int descriptor;
    uint32_t next;
    uint32_t last;
} run;

static void answer(const engine *of, hs_inbound *call, uint32_t status, const char *id,
                   bool is_run) {
    GArray *fields = hs_http_fields_new();
    if (id != NULL)
        hs_http_fields_add(fields, HEADER_REQUEST_ID, id);
    if (status == 421)
        hs_http_fields_add(fields, HEADER_INSTANCE_ID, of->id);
    if (is_run)
        hs_http_fields_add(fields, HEADER_SIGNATURE, "sig.1");
    else
        hs_http_fields_add(fields, HEADER_NOT_EXECUTED, "1");
    hs_inbound_reply(call, status, fields, is_run ? "ok" : "", is_run ? 2 : 0);
    hs_http_fields_free(fields);
}

/** Waits for a slot. Returns false if the queue is full, the time is over or the caller left. */
static bool take_slot(engine *of, const hs_inbound *call, uint64_t until_ms) {
    g_mutex_lock(&of->lock);
    bool is_taken = of->running < of->settings.slots;
    if (!is_taken && of->waiting < of->settings.queue) {
        of->waiting++;
        while (of->running >= of->settings.slots && hs_clock_monotonic_ms() < until_ms &&
               !hs_peer_has_disconnected(call->descriptor))
            g_cond_wait_until(&of->freed, &of->lock, g_get_monotonic_time() + 20000);
        of->waiting--;
        is_taken = of->running < of->settings.slots && hs_clock_monotonic_ms() < until_ms &&
                   !hs_peer_has_disconnected(call->descriptor);
    }
    of->running += is_taken;
    g_mutex_unlock(&of->lock);
    return is_taken;
}

static void free_slot(engine *of) {
    g_mutex_lock(&of->lock);
    of->running--;
    g_cond_signal(&of->freed);
    g_mutex_unlock(&of->lock);
}

static void count_run(engine *of, const char *id) {
    g_mutex_lock(&of->lock);
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(of->runs, id));
    g_hash_table_insert(of->runs, g_strdup(id), GUINT_TO_POINTER(count + 1));
    of->all_runs++;
    g_mutex_unlock(&of->lock);
}

static ssize_t write_event(void *data, char *buffer, size_t size) {
    run *of = data;
    if (of->next > of->last)
        return HS_READER_END;
    if (hs_peer_wait_for_disconnect(of->descriptor, of->of->settings.event_ms))
        return HS_READER_ABORT;
    uint32_t number = of->next++;
    return g_snprintf(buffer, size, "id: %u\ndata: event %u\n\n", number, number);
}

static void end_run(void *data) {
    free_slot(((run *)data)->of);
    g_free(data);
}

static void serve_stream(engine *of, hs_inbound *call, const char *id) {
    const char *after = hs_http_fields_find(call->fields, HEADER_LAST_EVENT_ID);
    GArray *fields = hs_http_fields_new();
    hs_http_fields_add(fields, HEADER_REQUEST_ID, id);
    hs_http_fields_add(fields, HEADER_SIGNATURE, "sig.1");
    hs_http_fields_add(fields, "Content-Type", "text/event-stream");
    run *begun = g_new(run, 1);
    *begun = (run){.of = of,
                   .descriptor = call->descriptor,
                   .next = after != NULL ? (uint32_t)atoi(after) + 1 : 1,
                   .last = g_str_has_prefix(call->target, "/jobs/long") ? of->settings.long_events
                                                                        : of->settings.events};
    hs_inbound_reply_stream(call, 200, fields, write_event, begun, end_run);
    hs_http_fields_free(fields);
}

static void serve(hs_inbound *call, void *user_data) {
    engine *of = user_data;
    if (strcmp(call->target, PATH_REPORT) == 0) {
        hs_inbound_reply(call, 200, NULL, "{\"run-count\":[]}", 16);
        return;
    }
    const char *id = hs_http_fields_find(call->fields, HEADER_REQUEST_ID);
    const char *instance = hs_http_fields_find(call->fields, HEADER_TARGET_INSTANCE);
    const char *version = hs_http_fields_find(call->fields, HEADER_EXPECTED_VERSION);
    const char *timeout = hs_http_fields_find(call->fields, HEADER_TIMEOUT_MS);
    uint64_t until_ms =
        hs_clock_monotonic_ms() + (timeout != NULL ? (uint64_t)atoll(timeout) : 30000);
    bool is_other = instance != NULL && strcmp(instance, of->id) != 0;
    bool has_other_weights =
        version != NULL && (uint32_t)atoi(version) != of->settings.weights_version;
    if (id == NULL) {
        answer(of, call, 400, NULL, false);
        return;
    }
    if (is_other || has_other_weights) {
        g_mutex_lock(&of->lock);
        of->misdirected++;
        g_mutex_unlock(&of->lock);
        answer(of, call, 421, id, false);
        return;
    }
    if (!take_slot(of, call, until_ms)) {
        answer(of, call, 503, id, false);
        return;
    }
    count_run(of, id);
    if (!g_str_has_prefix(call->target, "/plain/")) {
        serve_stream(of, call, id);
        return;
    }
    bool has_left = hs_peer_wait_for_disconnect(call->descriptor, of->settings.event_ms);
    free_slot(of);
    if (has_left)
        hs_inbound_drop(call);
    else
        answer(of, call, 200, id, true);
}

engine *engine_start(const engine_settings *settings, log_store *store) {
    engine *started = g_new0(engine, 1);
    started->settings = *settings;
    started->id = g_strdup(settings->id);
    started->port = port_lease_take(1);
    started->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_mutex_init(&started->lock);
    g_cond_init(&started->freed);
    started->listener = hs_listener_start(
        "127.0.0.1", started->port, &(hs_listener_limits){.max_body_bytes = 16U * 1024 * 1024},
        serve, started, NULL);
    if (started->listener == NULL)
        exit(2);
    g_autofree char *entry = g_strdup_printf(
        "{\"born\":%" G_GUINT64_FORMAT ",\"service\":\"llm\",\"address\":\"127.0.0.1:%u\","
        "\"zone\":\"brandon\",\"version\":\"v1\",\"slots\":%u,\"state\":\"ready\","
        "\"warmup-left-ms\":0,\"stage\":\"hybrid\","
        "\"models\":[{\"name\":\"m\",\"version\":%u,\"adapters\":[]}],\"sequence\":1}",
        (guint64)hs_clock_wall_ms(), started->port, settings->slots, settings->weights_version);
    log_store_put(store, TOPIC_ENGINES, started->id, entry);
    return started;
}

uint32_t engine_runs(engine *of, const char *request_id) {
    g_mutex_lock(&of->lock);
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(of->runs, request_id));
    g_mutex_unlock(&of->lock);
    return count;
}

uint32_t engine_all_runs(engine *of) {
    g_mutex_lock(&of->lock);
    uint32_t count = of->all_runs;
    g_mutex_unlock(&of->lock);
    return count;
}

uint32_t engine_open(engine *of) {
    g_mutex_lock(&of->lock);
    uint32_t count = of->running + of->waiting;
    g_mutex_unlock(&of->lock);
    return count;
}

uint32_t engine_misdirected(engine *of) {
    g_mutex_lock(&of->lock);
    uint32_t count = of->misdirected;
    g_mutex_unlock(&of->lock);
    return count;
}
