/** @file store_read.c  Reads of the store over one or several connections. */
#include "store/store_client_state.h"

#include "base/clock.h"

#include <string.h>

/** Maximum number of a read's requests that wait for an answer at the same time. */
#define MAX_OPEN_ATTEMPTS 3

/** A request of a read that has no answer yet. */
typedef struct {
    hs_client_connection *connection;
    uint64_t sent_ms;
    uint32_t wait_ms; /**< For which the store was asked to hold the request. */
} read_attempt;

/** A read; the pointers are borrowed. */
typedef struct {
    hs_store_client *client;
    const hs_store_call *call;
    const hs_wait *wait;
    GByteArray *response;
    uint64_t started_ms;
    uint64_t repeat_ms;     /**< See hs_read_times_repeat_ms. */
    uint64_t next_start_ms; /**< When the next attempt is due. */
    bool may_reconnect;     /**< The first attempt uses an idle connection, which may be closed. */
    read_attempt open[MAX_OPEN_ATTEMPTS]; /**< The oldest first. */
    size_t open_count;
} store_read;

static void drop_attempt(store_read *read, size_t index) {
    hs_client_connection_close(read->open[index].connection);
    read->open_count--;
    memmove(&read->open[index], &read->open[index + 1],
            (read->open_count - index) * sizeof read->open[0]);
}

static void drop_all(store_read *read) {
    while (read->open_count > 0)
        drop_attempt(read, read->open_count - 1);
}

/** Ends an attempt without an answer. */
static void end_attempt(store_read *read, size_t index, hs_step step) {
    drop_attempt(read, index);
    if (step == HS_STEP_LOST)
        hs_store_client_close_idle(read->client);
}

/** Sends the read on @p connection. A repeated long poll is not held for longer than the first. */
static void begin_attempt(store_read *read, hs_client_connection *connection) {
    const hs_store_call *call = read->call;
    uint64_t now_ms = hs_clock_monotonic_ms();
    bool is_held = now_ms < read->started_ms + call->wait_ms;
    GString *head = hs_store_client_write_head(
        read->client, call, is_held || call->wait_ms == 0 ? call->target : call->unheld_target);
    hs_step step = hs_client_connection_send(connection, head, NULL, 0, false, read->wait);
    hs_store_client_count_call(read->client, head->len, 0);
    g_string_free(head, TRUE);
    read->open[read->open_count++] = (read_attempt){
        .connection = connection, .sent_ms = now_ms, .wait_ms = is_held ? call->wait_ms : 0};
    read->next_start_ms = now_ms + read->open[read->open_count - 1].wait_ms + read->repeat_ms;
    if (step == HS_STEP_PROGRESS && hs_client_connection_is_reused(connection))
        step = hs_client_connection_check_liveness(
            connection, hs_connection_timeouts_get().repeat_unacknowledged_ms, read->wait);
    if (step != HS_STEP_PROGRESS)
        end_attempt(read, read->open_count - 1, step);
}

/** Sends the read on a new connection. Returns false if the store cannot be reached. */
static bool begin_new_attempt(store_read *read) {
    hs_client_connection *connection = hs_store_client_connect(read->client, read->wait);
    if (connection != NULL)
        begin_attempt(read, connection);
    return connection != NULL;
}

/** Sends the read again while earlier attempts have no answer. */
static void repeat(store_read *read) {
    const read_attempt *newest = &read->open[read->open_count - 1];
    if (!hs_client_connection_is_reused(newest->connection))
        hs_store_client_note_outcome(read->client, HS_STORE_UNKNOWN);
    read->next_start_ms = hs_clock_monotonic_ms() + read->repeat_ms;
    /* The first attempt is kept for a slow store, the last one for a store that returns. */
    if (read->open_count == MAX_OPEN_ATTEMPTS)
        drop_attempt(read, 1);
    begin_new_attempt(read);
}

static void note_time(store_read *read, const read_attempt *attempt, uint64_t answered_ms) {
    uint64_t due_ms = attempt->sent_ms + attempt->wait_ms;
    if (answered_ms < due_ms) /* Records came while the store held the request. */
        return;
    g_mutex_lock(&read->client->lock);
    hs_read_times_note(&read->client->read_times, answered_ms - due_ms);
    g_mutex_unlock(&read->client->lock);
}

/** Ends the read with the complete response of an attempt. */
static hs_store_outcome accept_response(store_read *read, size_t index, uint64_t answered_ms) {
    read_attempt answered = read->open[index];
    const GByteArray *received = hs_client_connection_body(answered.connection);
    hs_store_outcome outcome =
        hs_store_client_classify_status(hs_client_connection_status(answered.connection));
    g_byte_array_append(read->response, received->data, received->len);
    hs_store_client_count_call(read->client, 0, received->len);
    if (outcome == HS_STORE_DONE || outcome == HS_STORE_GONE)
        note_time(read, &answered, answered_ms);
    if (index > 0 && hs_client_connection_is_reused(read->open[0].connection)) {
        hs_client_connection_mark_lost(read->open[0].connection, "timeout");
        hs_store_client_close_idle(read->client);
    }
    read->open[index] = read->open[--read->open_count];
    hs_store_client_return(read->client, answered.connection);
    return outcome;
}

/** Reads the response of an attempt that has begun to arrive. Returns whether it ends the read. */
static bool receive(store_read *read, size_t index, hs_store_outcome *outcome) {
    hs_client_connection *connection = read->open[index].connection;
    uint64_t answered_ms = hs_clock_monotonic_ms();
    hs_step step =
        hs_client_connection_read_all(connection, HS_STORE_MAX_RESPONSE_BYTES, read->wait);
    if (step != HS_STEP_COMPLETE) {
        end_attempt(read, index, step);
        return false;
    }
    *outcome = accept_response(read, index, answered_ms);
    bool is_repeated = read->may_reconnect && read->response->len == 0 &&
                       (*outcome == HS_STORE_REFUSED || *outcome == HS_STORE_UNKNOWN);
    return !is_repeated;
}

/** Waits until an attempt is answered or the next one is due. */
static hs_step await_answer(const store_read *read, size_t *index) {
    hs_client_connection *connections[MAX_OPEN_ATTEMPTS];
    for (size_t each = 0; each < read->open_count; each++)
        connections[each] = read->open[each].connection;
    hs_wait wait = *read->wait;
    wait.deadline = MIN(wait.deadline, read->next_start_ms);
    return hs_client_connection_await_any(connections, read->open_count, &wait, index);
}

/** Waits for the first answer, and sends the read again when it is due. */
static hs_store_outcome run_read(store_read *read) {
    hs_store_outcome outcome = HS_STORE_UNKNOWN;
    while (hs_clock_monotonic_ms() < read->wait->deadline) {
        if (read->open_count == 0) {
            if (!read->may_reconnect)
                break;
            read->may_reconnect = false;
            begin_new_attempt(read);
            continue;
        }
        size_t index = 0;
        hs_step step = await_answer(read, &index);
        if (step == HS_STEP_PROGRESS && receive(read, index, &outcome))
            return outcome;
        if (step == HS_STEP_DEADLINE && hs_clock_monotonic_ms() < read->wait->deadline)
            repeat(read);
        if (step != HS_STEP_PROGRESS && step != HS_STEP_DEADLINE)
            break;
    }
    return outcome;
}

hs_store_outcome hs_store_client_read(hs_store_client *client, const hs_store_call *call,
                                      const hs_wait *wait, GByteArray *response) {
    store_read read = {.client = client,
                       .call = call,
                       .wait = wait,
                       .response = response,
                       .started_ms = hs_clock_monotonic_ms()};
    hs_client_connection *connection = hs_store_client_take_idle(client);
    read.may_reconnect = connection != NULL;
    uint64_t due_ms = read.started_ms + call->wait_ms;
    uint64_t left_ms = wait->deadline > due_ms ? wait->deadline - due_ms : 0;
    g_mutex_lock(&client->lock);
    read.repeat_ms = hs_read_times_repeat_ms(&client->read_times, read.may_reconnect, left_ms);
    g_mutex_unlock(&client->lock);
    if (connection == NULL)
        connection = hs_store_client_connect(client, wait);
    hs_store_outcome outcome = HS_STORE_REFUSED;
    if (connection != NULL) {
        begin_attempt(&read, connection);
        outcome = run_read(&read);
        drop_all(&read);
    }
    hs_store_client_note_outcome(client, outcome);
    return outcome;
}
