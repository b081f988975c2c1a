/** @file store_client.c  See store_client.h. */
#include "store/store_client.h"

#include "base/clock.h"
#include "http/client_connection.h"

#include <arpa/inet.h>
#include <string.h>

#define MAX_IDLE_CONNECTIONS 6
/** A read's first attempt on a reused connection may take this fraction of the remaining time. */
#define REUSED_READ_TIME_DIVISOR 2
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
#define MAX_RESPONSE_BYTES (32U * 1024 * 1024)

struct hs_store_client {
    uint32_t address;
    uint16_t port;
    char host[32];
    GMutex lock;
    GQueue idle; /**< Of hs_client_connection*; the most recently used last. */
    hs_store_counters counters;
    uint32_t consecutive_failures;
    uint64_t last_failure_ms;
    GCond recovered;              /**< Calls no longer fail, or the client is interrupted. */
    uint64_t next_store_probe_ms; /**< While calls fail: when the next append may be sent. */
    bool is_interrupted;
    double mean_write_ms; /**< Moving average of the response times of small writes. */
    hs_interrupt calls_interrupt;
};

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

static hs_client_connection *take_idle_connection(hs_store_client *client) {
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

static void return_connection(hs_store_client *client, hs_client_connection *connection) {
    g_mutex_lock(&client->lock);
    bool is_pooled = hs_client_connection_is_reusable(connection) &&
                     g_queue_get_length(&client->idle) < MAX_IDLE_CONNECTIONS;
    if (is_pooled)
        g_queue_push_tail(&client->idle, connection);
    g_mutex_unlock(&client->lock);
    if (!is_pooled)
        hs_client_connection_close(connection);
}

/** Closes all idle connections; used when one was lost, as the others may be lost too. */
static void close_idle_connections(hs_store_client *client) {
    g_mutex_lock(&client->lock);
    while (!g_queue_is_empty(&client->idle))
        hs_client_connection_close(g_queue_pop_tail(&client->idle));
    g_mutex_unlock(&client->lock);
}

static bool is_read(const hs_store_call *call) {
    return strcmp(call->method, "GET") == 0;
}

/** Returns how long the call's bytes may stay unacknowledged on a reused connection. */
static uint32_t max_unacknowledged_ms(const hs_store_call *call) {
    hs_connection_timeouts timeouts = hs_connection_timeouts_get();
    return is_read(call) ? timeouts.repeat_unacknowledged_ms : timeouts.once_unacknowledged_ms;
}

static hs_store_outcome classify_status(uint32_t status) {
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

static GString *write_head(const hs_store_client *client, const hs_store_call *call) {
    GString *head = g_string_new(NULL);
    g_string_append_printf(head, "%s %s HTTP/1.1\r\nHost: %s\r\n", call->method, call->target,
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

/**
 * Returns the deadline for the head of the response. A read on a reused connection leaves time for
 * a second attempt, unless it is a long poll.
 */
static hs_deadline head_deadline(const hs_client_connection *connection, const hs_store_call *call,
                                 hs_deadline deadline) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    bool has_second_attempt =
        hs_client_connection_is_reused(connection) && is_read(call) && !call->holds;
    return has_second_attempt && deadline > now_ms
               ? now_ms + (deadline - now_ms) / REUSED_READ_TIME_DIVISOR
               : deadline;
}

/** Reads the response to a call that was sent. */
static hs_step read_response(hs_client_connection *connection, const hs_store_call *call,
                             const hs_wait *wait) {
    bool is_reused = hs_client_connection_is_reused(connection);
    hs_step step = HS_STEP_PROGRESS;
    hs_wait first = *wait;
    first.deadline = head_deadline(connection, call, wait->deadline);
    if (is_reused)
        step = hs_client_connection_check_liveness(connection, max_unacknowledged_ms(call), wait);
    if (step == HS_STEP_PROGRESS)
        step = hs_client_connection_read_head(connection, &first);
    /* The timeout of writes is too short to indicate a lost connection. */
    if (step == HS_STEP_DEADLINE && is_reused && is_read(call))
        step = hs_client_connection_mark_lost(connection, "timeout");
    if (step == HS_STEP_PROGRESS || step == HS_STEP_COMPLETE)
        step = hs_client_connection_read_all(connection, MAX_RESPONSE_BYTES, wait);
    return step;
}

/** Makes one attempt on @p connection, which is closed or returned to the pool. */
static hs_store_outcome exchange(hs_store_client *client, hs_client_connection *connection,
                                 const hs_store_call *call, const hs_wait *wait,
                                 GByteArray *response, bool *was_lost) {
    GString *head = write_head(client, call);
    const void *body = call->body != NULL ? call->body->data : NULL;
    size_t body_length = call->body != NULL ? call->body->len : 0;
    hs_step step = hs_client_connection_send(connection, head, body, body_length, false, wait);
    size_t sent = head->len + body_length;
    g_string_free(head, TRUE);
    if (step == HS_STEP_PROGRESS)
        step = read_response(connection, call, wait);
    *was_lost = step == HS_STEP_LOST;
    hs_store_outcome outcome = HS_STORE_UNKNOWN;
    if (step == HS_STEP_COMPLETE) {
        const GByteArray *received = hs_client_connection_body(connection);
        outcome = classify_status(hs_client_connection_status(connection));
        g_byte_array_append(response, received->data, received->len);
    } else if (!hs_client_connection_has_sent_bytes(connection)) {
        outcome = HS_STORE_REFUSED;
    }
    g_mutex_lock(&client->lock);
    client->counters.calls++;
    client->counters.bytes_sent += sent;
    client->counters.bytes_received += response->len;
    g_mutex_unlock(&client->lock);
    if (*was_lost)
        close_idle_connections(client);
    if (step == HS_STEP_COMPLETE)
        return_connection(client, connection);
    else
        hs_client_connection_close(connection);
    return outcome;
}

static hs_client_connection *connect_store(hs_store_client *client, const hs_wait *wait) {
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

/** Counts the outcome of a call, and wakes waiting appends if calls no longer fail. */
static void note_outcome(hs_store_client *client, hs_store_outcome outcome) {
    bool has_failed = outcome == HS_STORE_REFUSED || outcome == HS_STORE_UNKNOWN;
    g_mutex_lock(&client->lock);
    if (!has_failed && client->consecutive_failures >= FAILURE_THRESHOLD)
        g_cond_broadcast(&client->recovered);
    client->consecutive_failures = has_failed ? client->consecutive_failures + 1 : 0;
    if (has_failed)
        client->last_failure_ms = hs_clock_monotonic_ms();
    client->counters.refused += outcome == HS_STORE_REFUSED;
    client->counters.unknown += outcome == HS_STORE_UNKNOWN;
    g_mutex_unlock(&client->lock);
}

static void note_lost_call(hs_store_client *client) {
    g_mutex_lock(&client->lock);
    client->last_failure_ms = hs_clock_monotonic_ms();
    g_mutex_unlock(&client->lock);
}

hs_store_outcome hs_store_client_send(hs_store_client *client, hs_store_call *call,
                                      hs_deadline deadline, hs_interrupt *interrupt,
                                      GByteArray *response) {
    hs_wait wait = {.deadline = deadline,
                    .watched = HS_WATCH_NOTHING,
                    .interrupt = interrupt != NULL ? interrupt : &client->calls_interrupt};
    g_byte_array_set_size(response, 0);
    if (call->appends && !may_append(client, deadline)) {
        hs_store_call_clear(call);
        return HS_STORE_REFUSED;
    }
    hs_client_connection *connection = take_idle_connection(client);
    bool was_reused = connection != NULL;
    bool was_lost = false;
    if (connection == NULL)
        connection = connect_store(client, &wait);
    hs_store_outcome outcome = HS_STORE_REFUSED;
    uint64_t started_ms = hs_clock_monotonic_ms();
    if (connection != NULL)
        outcome = exchange(client, connection, call, &wait, response, &was_lost);
    if (outcome == HS_STORE_DONE && !is_read(call))
        note_write_time(client, call, hs_clock_monotonic_ms() - started_ms);
    bool in_time = hs_clock_monotonic_ms() < deadline;
    if (was_reused && in_time && (outcome == HS_STORE_REFUSED || outcome == HS_STORE_UNKNOWN) &&
        response->len == 0 && (is_read(call) || outcome == HS_STORE_REFUSED)) {
        connection = connect_store(client, &wait); /* The store may have closed the reused one. */
        was_lost = false;
        if (connection != NULL)
            outcome = exchange(client, connection, call, &wait, response, &was_lost);
    }
    if (!was_lost) /* A lost connection does not show whether the store is failing. */
        note_outcome(client, outcome);
    else
        note_lost_call(client);
    hs_store_call_clear(call);
    return outcome;
}

uint64_t hs_store_client_write_timeout_ms(hs_store_client *client, uint32_t attempt, size_t bytes) {
    g_mutex_lock(&client->lock);
    double mean_ms = client->mean_write_ms;
    g_mutex_unlock(&client->lock);
    uint64_t first_ms = MAX((uint64_t)(mean_ms * WRITE_TIMEOUT_FACTOR), MIN_WRITE_TIMEOUT_MS) +
                        bytes / WRITE_BYTES_PER_MS;
    return MIN(first_ms << MIN(attempt, 8), MAX_WRITE_TIMEOUT_MS);
}

uint64_t hs_store_client_last_failure_ms(hs_store_client *client) {
    g_mutex_lock(&client->lock);
    uint64_t last_failure_ms = client->last_failure_ms;
    g_mutex_unlock(&client->lock);
    return last_failure_ms;
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
