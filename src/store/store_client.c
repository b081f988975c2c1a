/** @file store_client.c  See store_client.h. */
#include "store/store_client_state.h"

#include "base/clock.h"

#include <arpa/inet.h>
#include <string.h>

#define MAX_IDLE_CONNECTIONS 6
#define CONNECT_TIMEOUT_MS 800
/** Multiple of the mean write time to wait for the response to a write. */
#define WRITE_TIMEOUT_FACTOR 6.0
#define MIN_WRITE_TIMEOUT_MS 60
#define MAX_WRITE_TIMEOUT_MS 2000
/** Size of a write that extends its timeout by 1 ms. */
#define WRITE_BYTES_PER_MS 10000
/** Weight of a new sample in the mean write time. */
#define MEAN_WRITE_WEIGHT 0.2
/** Number of consecutive failed calls from which the store counts as failing: more than the answers
 * that a store in use loses now and then. */
#define FAILURE_THRESHOLD 3
/** Circuit breaker: while calls fail, one append is sent in each interval as a probe. The interval
 * is short for callers of jobs, and probes of hundreds of daemons stay far below the store's rates.
 */
#define STORE_PROBE_INTERVAL_MS 250

hs_store_client *hs_store_client_new(uint32_t address, uint16_t port) {
    hs_store_client *client = g_new0(hs_store_client, 1);
    hs_interrupt_init(&client->calls_interrupt);
    client->address = address;
    client->port = port;
    struct in_addr number = {.s_addr = htonl(address)};
    g_snprintf(client->host, sizeof client->host, "%s:%u", inet_ntoa(number), port);
    g_mutex_init(&client->lock);
    g_cond_init(&client->recovered);
    g_queue_init(&client->idle);
    return client;
}

static void close_connection(gpointer data) {
    hs_client_connection_close(data);
}

void hs_store_client_free(hs_store_client *client) {
    if (client == NULL)
        return;
    g_queue_clear_full(&client->idle, close_connection);
    g_cond_clear(&client->recovered);
    g_mutex_clear(&client->lock);
    hs_interrupt_clear(&client->calls_interrupt);
    g_free(client);
}

hs_client_connection *hs_store_client_take_idle(hs_store_client *client) {
    hs_client_connection *connection = NULL;
    g_mutex_lock(&client->lock);
    while (connection == NULL && !g_queue_is_empty(&client->idle)) {
        connection = g_queue_pop_tail(&client->idle);
        if (!hs_client_connection_is_idle_and_open(connection)) {
            hs_client_connection_close(connection);
            connection = NULL;
        }
    }
    g_mutex_unlock(&client->lock);
    return connection;
}

void hs_store_client_return(hs_store_client *client, hs_client_connection *connection) {
    g_mutex_lock(&client->lock);
    bool is_pooled = hs_client_connection_is_reusable(connection) &&
                     g_queue_get_length(&client->idle) < MAX_IDLE_CONNECTIONS;
    if (is_pooled)
        g_queue_push_tail(&client->idle, connection);
    g_mutex_unlock(&client->lock);
    if (!is_pooled)
        hs_client_connection_close(connection);
}

void hs_store_client_close_idle(hs_store_client *client) {
    g_mutex_lock(&client->lock);
    while (!g_queue_is_empty(&client->idle))
        hs_client_connection_close(g_queue_pop_tail(&client->idle));
    g_mutex_unlock(&client->lock);
}

static bool is_read(const hs_store_call *call) {
    return strcmp(call->method, "GET") == 0;
}

hs_store_outcome hs_store_client_classify_status(uint32_t status) {
    switch (status) {
    case 200:
        return HS_STORE_DONE;
    case 409:
    case 412:
        return HS_STORE_CONFLICT;
    case 410:
        return HS_STORE_GONE;
    case 429:
    case 503:
        return HS_STORE_REFUSED;
    case 507:
        return HS_STORE_FULL;
    default:
        return status >= 400 && status < 500 ? HS_STORE_INVALID : HS_STORE_UNKNOWN;
    }
}

GString *hs_store_client_write_head(const hs_store_client *client, const hs_store_call *call,
                                    const char *target) {
    GString *head = g_string_new(NULL);
    g_string_append_printf(head, "%s %s HTTP/1.1\r\nHost: %s\r\n", call->method, target,
                           client->host);
    if (call->body != NULL) {
        bool is_json = call->body->len > 0 && call->body->data[0] == '{';
        g_string_append_printf(head, "Content-Type: %s\r\nContent-Length: %u\r\n",
                               is_json ? "application/json" : "application/octet-stream",
                               call->body->len);
    }
    g_string_append(head, "\r\n");
    return head;
}

void hs_store_client_count_call(hs_store_client *client, size_t sent, size_t received) {
    g_mutex_lock(&client->lock);
    client->counters.calls += sent > 0;
    client->counters.bytes_sent += sent;
    client->counters.bytes_received += received;
    g_mutex_unlock(&client->lock);
}

/** Reads the response to a write that was sent. */
static hs_step read_response(hs_client_connection *connection, const hs_wait *wait) {
    hs_step step = HS_STEP_PROGRESS;
    if (hs_client_connection_is_reused(connection))
        step = hs_client_connection_check_liveness(
            connection, hs_connection_timeouts_get().once_unacknowledged_ms, wait);
    /* The timeout of writes is too short to indicate a lost connection. */
    if (step == HS_STEP_PROGRESS)
        step = hs_client_connection_read_all(connection, HS_STORE_MAX_RESPONSE_BYTES, wait);
    return step;
}

/** Makes one attempt of a write on @p connection, which is closed or returned to the pool. */
static hs_store_outcome exchange(hs_store_client *client, hs_client_connection *connection,
                                 const hs_store_call *call, const hs_wait *wait,
                                 GByteArray *response, bool *was_lost) {
    GString *head = hs_store_client_write_head(client, call, call->target);
    const void *body = call->body != NULL ? call->body->data : NULL;
    size_t body_length = call->body != NULL ? call->body->len : 0;
    hs_step step = hs_client_connection_send(connection, head, body, body_length, false, wait);
    size_t sent = head->len + body_length;
    g_string_free(head, TRUE);
    if (step == HS_STEP_PROGRESS)
        step = read_response(connection, wait);
    *was_lost = step == HS_STEP_LOST;
    hs_store_outcome outcome = HS_STORE_UNKNOWN;
    if (step == HS_STEP_COMPLETE) {
        const GByteArray *received = hs_client_connection_body(connection);
        outcome = hs_store_client_classify_status(hs_client_connection_status(connection));
        g_byte_array_append(response, received->data, received->len);
    } else if (!hs_client_connection_has_sent_bytes(connection)) {
        outcome = HS_STORE_REFUSED;
    }
    hs_store_client_count_call(client, sent, response->len);
    if (*was_lost)
        hs_store_client_close_idle(client);
    if (step == HS_STEP_COMPLETE)
        hs_store_client_return(client, connection);
    else
        hs_client_connection_close(connection);
    return outcome;
}

hs_client_connection *hs_store_client_connect(hs_store_client *client, const hs_wait *wait) {
    hs_wait connecting = *wait;
    connecting.deadline = MIN(wait->deadline, hs_clock_monotonic_ms() + CONNECT_TIMEOUT_MS);
    hs_step step = HS_STEP_CUT;
    hs_client_connection *connection =
        hs_client_connection_open(client->address, client->port, &connecting, &step);
    if (connection != NULL)
        hs_client_connection_set_timeouts(connection, HS_CONNECTION_STORE);
    return connection;
}

static void note_write_time(hs_store_client *client, const hs_store_call *call, uint64_t took_ms) {
    if (call->body == NULL || call->body->len > WRITE_BYTES_PER_MS)
        return;
    g_mutex_lock(&client->lock);
    client->mean_write_ms += ((double)took_ms - client->mean_write_ms) * MEAN_WRITE_WEIGHT;
    g_mutex_unlock(&client->lock);
}

/**
 * Returns whether an append may be sent. While calls fail, only probes are sent. Other appends wait
 * until calls succeed again, for one probe interval at most, and are then rejected: little of their
 * time is left, and the callers retry.
 */
static bool may_append(hs_store_client *client, hs_deadline deadline) {
    g_mutex_lock(&client->lock);
    uint64_t now_ms = hs_clock_monotonic_ms();
    bool is_failing = client->consecutive_failures >= FAILURE_THRESHOLD;
    bool is_probe = is_failing && now_ms >= client->next_store_probe_ms;
    if (is_probe)
        client->next_store_probe_ms = now_ms + STORE_PROBE_INTERVAL_MS;
    hs_deadline until = MIN(deadline, now_ms + STORE_PROBE_INTERVAL_MS);
    bool has_time = true;
    while (is_failing && !is_probe && has_time && !client->is_interrupted &&
           client->consecutive_failures >= FAILURE_THRESHOLD)
        has_time = hs_clock_wait_until(until, &client->recovered, &client->lock);
    g_mutex_unlock(&client->lock);
    return !is_failing || is_probe;
}

void hs_store_client_note_outcome(hs_store_client *client, hs_store_outcome outcome) {
    bool has_failed = outcome == HS_STORE_REFUSED || outcome == HS_STORE_UNKNOWN;
    g_mutex_lock(&client->lock);
    if (!has_failed && client->consecutive_failures >= FAILURE_THRESHOLD)
        g_cond_broadcast(&client->recovered);
    client->consecutive_failures = has_failed ? client->consecutive_failures + 1 : 0;
    client->counters.refused += outcome == HS_STORE_REFUSED;
    client->counters.unknown += outcome == HS_STORE_UNKNOWN;
    g_mutex_unlock(&client->lock);
}

/** Makes a write. */
static hs_store_outcome write_call(hs_store_client *client, const hs_store_call *call,
                                   const hs_wait *wait, GByteArray *response) {
    hs_client_connection *connection = hs_store_client_take_idle(client);
    bool was_reused = connection != NULL;
    bool was_lost = false;
    if (connection == NULL)
        connection = hs_store_client_connect(client, wait);
    hs_store_outcome outcome = HS_STORE_REFUSED;
    uint64_t started_ms = hs_clock_monotonic_ms();
    if (connection != NULL)
        outcome = exchange(client, connection, call, wait, response, &was_lost);
    if (outcome == HS_STORE_DONE)
        note_write_time(client, call, hs_clock_monotonic_ms() - started_ms);
    bool in_time = hs_clock_monotonic_ms() < wait->deadline;
    if (was_reused && in_time && outcome == HS_STORE_REFUSED && response->len == 0) {
        /* The store may have closed the reused one. */
        connection = hs_store_client_connect(client, wait);
        was_lost = false;
        if (connection != NULL)
            outcome = exchange(client, connection, call, wait, response, &was_lost);
    }
    if (!was_lost) /* A lost connection does not show whether the store is failing. */
        hs_store_client_note_outcome(client, outcome);
    return outcome;
}

/** A read that ends with a lost connection has failed too, but is no failure of the store. */
static void note_failed_read(hs_store_client *client) {
    g_mutex_lock(&client->lock);
    client->last_failed_read_ms = hs_clock_monotonic_ms();
    g_mutex_unlock(&client->lock);
}

hs_store_outcome hs_store_client_send(hs_store_client *client, hs_store_call *call,
                                      hs_deadline deadline, hs_interrupt *interrupt,
                                      GByteArray *response) {
    hs_wait wait = {.deadline = deadline,
                    .watched = HS_WATCH_NOTHING,
                    .interrupt = interrupt != NULL ? interrupt : &client->calls_interrupt};
    g_byte_array_set_size(response, 0);
    hs_store_outcome outcome = HS_STORE_REFUSED;
    if (is_read(call))
        outcome = hs_store_client_read(client, call, &wait, response);
    else if (!call->appends || may_append(client, deadline))
        outcome = write_call(client, call, &wait, response);
    bool has_failed = outcome == HS_STORE_REFUSED || outcome == HS_STORE_UNKNOWN;
    if (has_failed && is_read(call))
        note_failed_read(client);
    hs_store_call_clear(call);
    return outcome;
}

uint64_t hs_store_client_read_limit_ms(hs_store_client *client, uint64_t usual_ms,
                                       uint32_t attempt) {
    g_mutex_lock(&client->lock);
    uint64_t limit_ms = hs_read_times_limit_ms(&client->read_times, usual_ms, attempt);
    g_mutex_unlock(&client->lock);
    return limit_ms;
}

uint64_t hs_store_client_write_timeout_ms(hs_store_client *client, uint32_t attempt, size_t bytes) {
    g_mutex_lock(&client->lock);
    double mean_ms = client->mean_write_ms;
    g_mutex_unlock(&client->lock);
    uint64_t first_ms = MAX((uint64_t)(mean_ms * WRITE_TIMEOUT_FACTOR), MIN_WRITE_TIMEOUT_MS) +
                        bytes / WRITE_BYTES_PER_MS;
    return MIN(first_ms << MIN(attempt, 8), MAX_WRITE_TIMEOUT_MS);
}

uint64_t hs_store_client_last_failed_read_ms(hs_store_client *client) {
    g_mutex_lock(&client->lock);
    uint64_t last_failed_read_ms = client->last_failed_read_ms;
    g_mutex_unlock(&client->lock);
    return last_failed_read_ms;
}

bool hs_store_client_is_failing(hs_store_client *client) {
    g_mutex_lock(&client->lock);
    bool is_failing = client->consecutive_failures >= FAILURE_THRESHOLD;
    g_mutex_unlock(&client->lock);
    return is_failing;
}

void hs_store_client_interrupt_calls(hs_store_client *client) {
    hs_interrupt_raise(&client->calls_interrupt, HS_INTERRUPT_STOP);
    g_mutex_lock(&client->lock);
    client->is_interrupted = true;
    g_cond_broadcast(&client->recovered);
    g_mutex_unlock(&client->lock);
}

hs_store_counters hs_store_client_get_counters(hs_store_client *client) {
    g_mutex_lock(&client->lock);
    hs_store_counters counters = client->counters;
    g_mutex_unlock(&client->lock);
    return counters;
}

const char *hs_store_outcome_name(hs_store_outcome outcome) {
    static const char *const names[] = {
        [HS_STORE_DONE] = "done",       [HS_STORE_REFUSED] = "refused",
        [HS_STORE_FULL] = "full",       [HS_STORE_CONFLICT] = "conflict",
        [HS_STORE_GONE] = "gone",       [HS_STORE_INVALID] = "invalid",
        [HS_STORE_UNKNOWN] = "unknown",
    };
    return names[outcome];
}
