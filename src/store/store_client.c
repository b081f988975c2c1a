/** @file store_client.c  Exchanges with the log store; see store_client.h. */
#include "store/store_client.h"

#include "base/clock.h"
#include "http/client_connection.h"

#include <arpa/inet.h>
#include <string.h>

#define IDLE_CONNECTIONS_MAX 6
/** Of the time of a read, one part is for the first try on a kept connection. */
#define KEPT_READ_PARTS 2
#define CONNECT_LIMIT_MS 800
#define PATIENCE_MEANS 6.0
#define PATIENCE_LEAST_MS 60
#define PATIENCE_MOST_MS 2000
#define PATIENCE_BYTES_PER_MS 10000
#define WRITE_WEIGHT 0.2
/** So many failures in a row are more than the answers that a store in use loses now and then. */
#define FAILING_CALLS 3
/**
 * Interval of trials in ms: while calls fail, appends are held back as by a circuit breaker, and
 * one goes out each so often to see whether they are taken again. A quarter of a second is little
 * for callers of jobs, and hundreds of daemons together stay far below the store's rates.
 */
#define TRIAL_INTERVAL_MS 250
#define ANSWER_LIMIT_BYTES (32U * 1024 * 1024)

struct hs_store_client {
    uint32_t address;
    uint16_t port;
    char host[32];
    GMutex lock;
    GQueue idle; /**< of hs_client_connection*; the latest used last. */
    hs_store_counters counters;
    uint32_t failed_in_a_row;
    GCond recovered; /**< A call was answered after several failed, or the client is abandoned. */
    uint64_t next_trial_ms; /**< While calls fail: when the next append may go out. */
    bool is_abandoned;
    double write_ms; /**< Mean time of answers to small writes of late. */
    hs_interrupt abandoned;
};

hs_store_client *hs_store_client_new(uint32_t address, uint16_t port) {
    hs_store_client *client = g_new0(hs_store_client, 1);
    hs_interrupt_init(&client->abandoned);
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
    hs_interrupt_clear(&client->abandoned);
    g_free(client);
}

static hs_client_connection *take_idle(hs_store_client *client) {
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

static void give_back(hs_store_client *client, hs_client_connection *connection) {
    g_mutex_lock(&client->lock);
    bool keeps = hs_client_connection_is_reusable(connection) &&
                 g_queue_get_length(&client->idle) < IDLE_CONNECTIONS_MAX;
    if (keeps)
        g_queue_push_tail(&client->idle, connection);
    g_mutex_unlock(&client->lock);
    if (!keeps)
        hs_client_connection_close(connection);
}

/** Close all idle connections: one was lost, and they are as old. */
static void drop_idle(hs_store_client *client) {
    g_mutex_lock(&client->lock);
    while (!g_queue_is_empty(&client->idle))
        hs_client_connection_close(g_queue_pop_tail(&client->idle));
    g_mutex_unlock(&client->lock);
}

static bool is_read(const hs_store_call *call) {
    return strcmp(call->method, "GET") == 0;
}

/** How long a call may stay unacknowledged on a kept connection. */
static uint32_t unacknowledged_ms(const hs_store_call *call) {
    hs_connection_timeouts bounds = hs_connection_timeouts_get();
    return is_read(call) ? bounds.repeat_unacknowledged_ms : bounds.once_unacknowledged_ms;
}

static hs_store_outcome outcome_of(uint32_t status) {
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
 * Until when the head of an answer is waited for. A read on a kept connection that the store does
 * not hold leaves time for a second try; one that it holds has no more than its own bound.
 */
static hs_deadline head_deadline(const hs_client_connection *connection, const hs_store_call *call,
                                 hs_deadline deadline) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    bool has_second = hs_client_connection_is_reused(connection) && is_read(call) && !call->holds;
    return has_second && deadline > now_ms ? now_ms + (deadline - now_ms) / KEPT_READ_PARTS
                                           : deadline;
}

/** Read the whole answer to a call that was sent. */
static hs_step read_answer(hs_client_connection *connection, const hs_store_call *call,
                           const hs_wait *wait) {
    bool is_kept = hs_client_connection_is_reused(connection);
    hs_step step = HS_STEP_PROGRESS;
    hs_wait first = *wait;
    first.deadline = head_deadline(connection, call, wait->deadline);
    if (is_kept)
        step = hs_client_connection_check_liveness(connection, unacknowledged_ms(call), wait);
    if (step == HS_STEP_PROGRESS)
        step = hs_client_connection_read_head(connection, &first);
    if (step == HS_STEP_DEADLINE && is_kept && is_read(call)) /* A write's time is short. */
        step = hs_client_connection_mark_lost(connection, "timeout");
    if (step == HS_STEP_PROGRESS || step == HS_STEP_COMPLETE)
        step = hs_client_connection_read_all(connection, ANSWER_LIMIT_BYTES, wait);
    return step;
}

/** One try on @p connection, which is closed or given back. */
static hs_store_outcome exchange(hs_store_client *client, hs_client_connection *connection,
                                 const hs_store_call *call, const hs_wait *wait, GByteArray *answer,
                                 bool *was_lost) {
    GString *head = write_head(client, call);
    const void *body = call->body != NULL ? call->body->data : NULL;
    size_t body_length = call->body != NULL ? call->body->len : 0;
    hs_step step = hs_client_connection_send(connection, head, body, body_length, false, wait);
    size_t sent = head->len + body_length;
    g_string_free(head, TRUE);
    if (step == HS_STEP_PROGRESS)
        step = read_answer(connection, call, wait);
    *was_lost = step == HS_STEP_LOST;
    hs_store_outcome outcome = HS_STORE_UNKNOWN;
    if (step == HS_STEP_COMPLETE) {
        const GByteArray *received = hs_client_connection_body(connection);
        outcome = outcome_of(hs_client_connection_status(connection));
        g_byte_array_append(answer, received->data, received->len);
    } else if (!hs_client_connection_has_sent_bytes(connection)) {
        outcome = HS_STORE_REFUSED;
    }
    g_mutex_lock(&client->lock);
    client->counters.calls++;
    client->counters.bytes_sent += sent;
    client->counters.bytes_received += answer->len;
    g_mutex_unlock(&client->lock);
    if (*was_lost)
        drop_idle(client);
    if (step == HS_STEP_COMPLETE)
        give_back(client, connection);
    else
        hs_client_connection_close(connection);
    return outcome;
}

static hs_client_connection *connect_store(hs_store_client *client, const hs_wait *wait) {
    hs_wait connecting = *wait;
    connecting.deadline = MIN(wait->deadline, hs_clock_monotonic_ms() + CONNECT_LIMIT_MS);
    hs_step step = HS_STEP_CUT;
    hs_client_connection *connection =
        hs_client_connection_open(client->address, client->port, &connecting, &step);
    if (connection != NULL)
        hs_client_connection_set_timeouts(connection, HS_CONNECTION_STORE);
    return connection;
}

static void note_write(hs_store_client *client, const hs_store_call *call, uint64_t took_ms) {
    if (call->body == NULL || call->body->len > PATIENCE_BYTES_PER_MS)
        return;
    g_mutex_lock(&client->lock);
    client->write_ms += ((double)took_ms - client->write_ms) * WRITE_WEIGHT;
    g_mutex_unlock(&client->lock);
}

/**
 * Whether an append may go out now. Where calls fail, only a trial may; the others wait here, until
 * calls are answered again or for a trial's interval at most. They are not sent even then: most of
 * their time is over, and their senders try again.
 */
static bool may_append(hs_store_client *client, hs_deadline deadline) {
    g_mutex_lock(&client->lock);
    uint64_t now_ms = hs_clock_monotonic_ms();
    bool is_failing = client->failed_in_a_row >= FAILING_CALLS;
    bool is_trial = is_failing && now_ms >= client->next_trial_ms;
    if (is_trial)
        client->next_trial_ms = now_ms + TRIAL_INTERVAL_MS;
    hs_deadline until = MIN(deadline, now_ms + TRIAL_INTERVAL_MS);
    bool has_time = true;
    while (is_failing && !is_trial && has_time && !client->is_abandoned &&
           client->failed_in_a_row >= FAILING_CALLS)
        has_time = hs_clock_wait_until(until, &client->recovered, &client->lock);
    g_mutex_unlock(&client->lock);
    return !is_failing || is_trial;
}

/** Note how a call ended; those that wait for the store are woken when one was answered. */
static void note_outcome(hs_store_client *client, hs_store_outcome outcome) {
    bool has_failed = outcome == HS_STORE_REFUSED || outcome == HS_STORE_UNKNOWN;
    g_mutex_lock(&client->lock);
    if (!has_failed && client->failed_in_a_row >= FAILING_CALLS)
        g_cond_broadcast(&client->recovered);
    client->failed_in_a_row = has_failed ? client->failed_in_a_row + 1 : 0;
    client->counters.refused += outcome == HS_STORE_REFUSED;
    client->counters.unknown += outcome == HS_STORE_UNKNOWN;
    g_mutex_unlock(&client->lock);
}

hs_store_outcome hs_store_client_send(hs_store_client *client, hs_store_call *call,
                                      hs_deadline deadline, hs_interrupt *interrupt,
                                      GByteArray *answer) {
    hs_wait wait = {.deadline = deadline,
                    .watched = HS_WATCH_NOTHING,
                    .interrupt = interrupt != NULL ? interrupt : &client->abandoned};
    g_byte_array_set_size(answer, 0);
    if (call->appends && !may_append(client, deadline)) {
        hs_store_call_clear(call);
        return HS_STORE_REFUSED;
    }
    hs_client_connection *connection = take_idle(client);
    bool was_kept = connection != NULL;
    bool was_lost = false;
    if (connection == NULL)
        connection = connect_store(client, &wait);
    hs_store_outcome outcome = HS_STORE_REFUSED;
    uint64_t began_ms = hs_clock_monotonic_ms();
    if (connection != NULL)
        outcome = exchange(client, connection, call, &wait, answer, &was_lost);
    if (outcome == HS_STORE_DONE && !is_read(call))
        note_write(client, call, hs_clock_monotonic_ms() - began_ms);
    bool in_time = hs_clock_monotonic_ms() < deadline;
    if (was_kept && in_time && (outcome == HS_STORE_REFUSED || outcome == HS_STORE_UNKNOWN) &&
        answer->len == 0 && (is_read(call) || outcome == HS_STORE_REFUSED)) {
        connection = connect_store(client, &wait); /* The kept connection may just have ended. */
        was_lost = false;
        if (connection != NULL)
            outcome = exchange(client, connection, call, &wait, answer, &was_lost);
    }
    if (!was_lost) /* A silent connection says nothing of the store. */
        note_outcome(client, outcome);
    hs_store_call_clear(call);
    return outcome;
}

uint64_t hs_store_client_patience_ms(hs_store_client *client, uint32_t attempt, size_t bytes) {
    g_mutex_lock(&client->lock);
    double mean_ms = client->write_ms;
    g_mutex_unlock(&client->lock);
    uint64_t first_ms = MAX((uint64_t)(mean_ms * PATIENCE_MEANS), PATIENCE_LEAST_MS) +
                        bytes / PATIENCE_BYTES_PER_MS;
    return MIN(first_ms << MIN(attempt, 8), PATIENCE_MOST_MS);
}

bool hs_store_client_is_failing(hs_store_client *client) {
    g_mutex_lock(&client->lock);
    bool is_failing = client->failed_in_a_row >= FAILING_CALLS;
    g_mutex_unlock(&client->lock);
    return is_failing;
}

void hs_store_client_abandon(hs_store_client *client) {
    hs_interrupt_raise(&client->abandoned, HS_INTERRUPT_STOP);
    g_mutex_lock(&client->lock);
    client->is_abandoned = true;
    g_cond_broadcast(&client->recovered);
    g_mutex_unlock(&client->lock);
}

hs_store_counters hs_store_client_counters(hs_store_client *client) {
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
