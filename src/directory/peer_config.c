/** @file peer_config.c  See peer_config.h. */
#include "directory/peer_config.h"

#include "base/clock.h"
#include "base/interrupt.h"
#include "base/log.h"
#include "base/stop_wait.h"
#include "http/client_connection.h"
#include "http/http_fields.h"

/** Time after the start for which the store's answer is awaited; it usually takes a few ms. */
#define STORE_ANSWER_MS 300
/** Time limits of one query: of the connection, and of the whole query. */
#define CONNECT_LIMIT_MS 250
#define QUERY_LIMIT_MS 800
/** Pause after all daemons were asked without success. */
#define ROUND_PAUSE_MS 500
#define POLL_MS 50
/** Bound of an answer: the largest configuration and a large list of engines fit. */
#define ANSWER_LIMIT_BYTES (8U * 1024 * 1024)

struct hs_peer_config {
    hs_peer_config_settings settings;
    hs_interrupt stop; /**< Ends a query in progress. */
    hs_stop_wait pause;
    GThread *thread;
};

hs_peer_query_step hs_peer_query_decide(const hs_peer_query *query, bool is_known,
                                        uint32_t peer_count, uint64_t now_ms) {
    if (is_known)
        return HS_PEER_QUERY_END;
    if (peer_count == 0 || now_ms < query->started_ms + STORE_ANSWER_MS ||
        now_ms < query->resumes_ms)
        return HS_PEER_QUERY_WAIT;
    return HS_PEER_QUERY_ASK;
}

void hs_peer_query_note_asked(hs_peer_query *query, uint32_t peer_count, uint64_t now_ms) {
    query->asked++;
    if (query->asked < peer_count)
        return;
    query->asked = 0;
    query->resumes_ms = now_ms + ROUND_PAUSE_MS;
}

/** Age of what was read as of @p as_of_ms; UINT64_MAX: unknown, thus not given as a lower one. */
static uint64_t get_age_ms(uint64_t now_ms, uint64_t as_of_ms) {
    return as_of_ms != 0 ? now_ms - MIN(now_ms, as_of_ms) : UINT64_MAX;
}

/** Age for log lines; -1: unknown. */
static gint64 to_logged_age(uint64_t age_ms) {
    return age_ms <= G_MAXINT64 ? (gint64)age_ms : -1;
}

/** Collects the state that this daemon has. Free with hs_peer_state_free. */
static hs_peer_state *collect_state(const hs_peer_config_settings *settings) {
    hs_peer_state *state = hs_peer_state_new();
    uint64_t now_ms = hs_clock_monotonic_ms();
    state->config_age_ms = get_age_ms(now_ms, hs_config_source_as_of_ms(settings->config));
    state->config = hs_config_source_get_value(settings->config, &state->config_offset);
    state->entries_age_ms = get_age_ms(now_ms, hs_engine_source_as_of_ms(settings->engine_source));
    if (hs_engine_source_has_list(settings->engine_source))
        state->entries = hs_engine_source_list_entries(settings->engine_source, now_ms);
    if (settings->evacuations.collect != NULL)
        state->evacuations = settings->evacuations.collect(settings->evacuations.user_data);
    return state;
}

void hs_peer_config_serve(hs_peer_config *peers, hs_inbound *inbound) {
    hs_peer_state *state = collect_state(&peers->settings);
    if (state->config == NULL && state->entries == NULL) {
        hs_inbound_reply(inbound, 503, NULL, "", 0);
    } else {
        g_autoptr(GByteArray) body = hs_peer_state_encode(state);
        GArray *fields = hs_http_fields_new();
        hs_http_fields_add(fields, "Content-Type", "application/octet-stream");
        hs_log_info("peer_state_given", "bytes=%u engines=%u config_age_ms=%" G_GINT64_FORMAT,
                    body->len, state->entries != NULL ? state->entries->len : 0,
                    to_logged_age(state->config_age_ms));
        hs_inbound_reply(inbound, 200, fields, body->data, body->len);
        hs_http_fields_free(fields);
    }
    hs_peer_state_free(state);
}

bool hs_peer_config_apply(hs_peer_config *peers, const char *peer, const GByteArray *answer,
                          uint64_t asked_ms) {
    const hs_peer_config_settings *settings = &peers->settings;
    hs_peer_state *state = hs_peer_state_decode(answer->data, answer->len);
    if (state == NULL) {
        hs_log_warning("peer_state_unreadable", "peer=%s bytes=%u", peer, answer->len);
        return false;
    }
    if (state->evacuations != NULL && settings->evacuations.apply != NULL)
        settings->evacuations.apply(state->evacuations, asked_ms, settings->evacuations.user_data);
    bool has_entries = state->entries != NULL &&
                       hs_engine_source_apply_from_peer(settings->engine_source, state->entries,
                                                        asked_ms, state->entries_age_ms);
    bool has_config =
        state->config != NULL &&
        hs_config_source_apply_from_peer(settings->config, state->config, state->config_offset,
                                         asked_ms - MIN(asked_ms, state->config_age_ms));
    hs_fleet_config *config = hs_config_source_get(settings->config);
    hs_log_warning("peer_state_applied",
                   "peer=%s config_applied=%d version=%" G_GUINT64_FORMAT
                   " offset=%" G_GUINT64_FORMAT " config_age_ms=%" G_GINT64_FORMAT
                   " engines_applied=%d engines=%u engines_age_ms=%" G_GINT64_FORMAT,
                   peer, has_config, (guint64)(config != NULL ? config->version : 0),
                   (guint64)state->config_offset, to_logged_age(state->config_age_ms), has_entries,
                   state->entries != NULL ? state->entries->len : 0,
                   to_logged_age(state->entries_age_ms));
    hs_fleet_config_unref(config);
    hs_peer_state_free(state);
    return has_entries || has_config;
}

/** Sends the query on a connection and reads the complete answer. */
static hs_step exchange(hs_client_connection *connection, const hs_wait *wait) {
    g_autoptr(GString) head =
        g_string_new("GET " HS_PEER_STATE_TARGET " HTTP/1.1\r\nHost: peer\r\n\r\n");
    hs_client_connection_set_timeouts(connection, HS_CONNECTION_DAEMON);
    hs_step step = hs_client_connection_send(connection, head, NULL, 0, false, wait);
    if (step == HS_STEP_PROGRESS)
        step = hs_client_connection_read_head(connection, wait);
    if (step == HS_STEP_PROGRESS || step == HS_STEP_COMPLETE)
        step = hs_client_connection_read_all(connection, ANSWER_LIMIT_BYTES, wait);
    return step;
}

/** Asks one daemon and applies its answer. */
static void ask(hs_peer_config *peers, const hs_daemon_address *peer) {
    uint64_t asked_ms = hs_clock_monotonic_ms();
    g_autofree char *name =
        g_strdup_printf("%u.%u.%u.%u:%u", peer->address >> 24, peer->address >> 16 & 0xff,
                        peer->address >> 8 & 0xff, peer->address & 0xff, peer->port);
    hs_wait wait = {.deadline = asked_ms + CONNECT_LIMIT_MS,
                    .watched = HS_WATCH_NOTHING,
                    .interrupt = &peers->stop};
    hs_step step = HS_STEP_CUT;
    hs_client_connection *connection =
        hs_client_connection_open(peer->address, peer->port, &wait, &step);
    wait.deadline = asked_ms + QUERY_LIMIT_MS;
    if (connection != NULL)
        step = exchange(connection, &wait);
    uint32_t status = step == HS_STEP_COMPLETE ? hs_client_connection_status(connection) : 0;
    if (status == 200)
        hs_peer_config_apply(peers, name, hs_client_connection_body(connection), asked_ms);
    else
        hs_log_info("peer_state_not_given", "peer=%s step=%s status=%u", name, hs_step_name(step),
                    status);
    hs_client_connection_close(connection);
}

/** Whether configuration and engines are known, or the store has answered. */
static bool is_known(const hs_peer_config_settings *settings) {
    hs_fleet_config *config = hs_config_source_get(settings->config);
    bool has_config = config != NULL || hs_config_source_last_received_ms(settings->config) != 0;
    hs_fleet_config_unref(config);
    /* In a large fleet the feeds get the state from other daemons, also at a start. */
    return hs_state_feed_is_awaiting(hs_engine_source_feed(settings->engine_source)) ||
           (has_config && hs_engine_source_has_list(settings->engine_source));
}

/**
 * Asks the next daemon of the round if one is due. @p first: number from which the list of daemons
 * is read, so that daemons which start together ask different ones. Returns false at the end.
 */
static bool advance(hs_peer_config *peers, hs_peer_query *query, uint32_t first) {
    g_autoptr(GArray) known = hs_daemon_directory_list_peers(peers->settings.members);
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_peer_query_step step =
        hs_peer_query_decide(query, is_known(&peers->settings), known->len, now_ms);
    if (step == HS_PEER_QUERY_ASK) {
        ask(peers, &g_array_index(known, hs_daemon_address, (first + query->asked) % known->len));
        hs_peer_query_note_asked(query, known->len, hs_clock_monotonic_ms());
    }
    return step != HS_PEER_QUERY_END;
}

static gpointer run_queries(gpointer data) {
    hs_peer_config *peers = data;
    hs_peer_query query = {.started_ms = hs_clock_monotonic_ms()};
    uint32_t first = 0;
    bool continues = hs_stop_wait_pause(&peers->pause, STORE_ANSWER_MS);
    if (continues && !is_known(&peers->settings))
        first = g_random_int() / 2;
    while (continues && advance(peers, &query, first))
        continues = hs_stop_wait_pause(&peers->pause, POLL_MS);
    return NULL;
}

hs_peer_config *hs_peer_config_new(const hs_peer_config_settings *settings) {
    hs_peer_config *peers = g_new0(hs_peer_config, 1);
    peers->settings = *settings;
    hs_interrupt_init(&peers->stop);
    hs_stop_wait_init(&peers->pause);
    return peers;
}

void hs_peer_config_start(hs_peer_config *peers) {
    peers->thread = g_thread_new("peer-config", run_queries, peers);
}

void hs_peer_config_free(hs_peer_config *peers) {
    if (peers == NULL)
        return;
    hs_stop_wait_request_stop(&peers->pause);
    hs_interrupt_raise(&peers->stop, HS_INTERRUPT_STOP);
    if (peers->thread != NULL)
        g_thread_join(peers->thread);
    hs_interrupt_clear(&peers->stop);
    hs_stop_wait_clear(&peers->pause);
    g_free(peers);
}
