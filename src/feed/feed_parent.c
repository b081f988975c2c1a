/** @file feed_parent.c  See feed_parent.h. */
#include "feed/feed_parent.h"

#include "base/clock.h"

#define CONNECT_LIMIT_MS 250
/** Time beyond the hold time within which an answer has to be whole. */
#define ANSWER_LIMIT_MS 900
#define MAX_ANSWER_BYTES (16U * 1024 * 1024)
/** Time after which stale answers make another daemon be asked. */
#define STALE_PATIENCE_MS 700
/**
 * The same for refusals. A parent without records waits for its own parent at the start of a fleet;
 * to ask others then puts the load of many daemons on the few that have records.
 */
#define REFUSED_PATIENCE_MS 1500
/** Time after which the parent is asked again in place of another daemon. */
#define RETURN_MS 3000

const char *hs_feed_ask_result_name(hs_feed_ask_result result) {
    static const char *const names[] = {
        [HS_FEED_ASK_FRESH] = "fresh",     [HS_FEED_ASK_STALE] = "stale",
        [HS_FEED_ASK_CUT_OFF] = "cut_off", [HS_FEED_ASK_REFUSED] = "refused",
        [HS_FEED_ASK_FAILED] = "failed",   [HS_FEED_ASK_REJECTED] = "rejected"};
    return names[result];
}

/** Returns the time for which a result has to last before another daemon is asked. */
static uint64_t get_patience_ms(hs_feed_ask_result result, bool is_reader) {
    switch (result) {
    case HS_FEED_ASK_FRESH:
        return RETURN_MS;
    case HS_FEED_ASK_STALE:
    case HS_FEED_ASK_CUT_OFF:
        return is_reader ? 0 : STALE_PATIENCE_MS;
    case HS_FEED_ASK_REFUSED:
        return is_reader ? 0 : REFUSED_PATIENCE_MS;
    default:
        return 0;
    }
}

bool hs_feed_parent_note(hs_feed_parent *parent, hs_feed_ask_result result, bool is_reader,
                         uint64_t now_ms) {
    parent->is_fresh = result == HS_FEED_ASK_FRESH;
    if (parent->since_ms == 0)
        parent->since_ms = now_ms;
    if (result == HS_FEED_ASK_FRESH && parent->attempt == 0) {
        parent->since_ms = now_ms;
        return false;
    }
    if (now_ms < parent->since_ms + get_patience_ms(result, is_reader))
        return false;
    parent->attempt = result == HS_FEED_ASK_FRESH ? 0 : parent->attempt + 1;
    parent->since_ms = now_ms;
    return result != HS_FEED_ASK_FRESH;
}

/** Opens a connection to the node unless one is kept. Returns false on failure. */
static bool connect_node(hs_feed_parent *parent, const hs_feed_node *node, hs_interrupt *stop) {
    bool is_other = parent->address != node->address || parent->port != node->port;
    if (parent->connection != NULL &&
        (is_other || !hs_client_connection_is_idle_and_open(parent->connection)))
        hs_feed_parent_clear(parent);
    if (parent->connection != NULL)
        return true;
    hs_wait wait = {.deadline = hs_clock_monotonic_ms() + CONNECT_LIMIT_MS,
                    .watched = HS_WATCH_NOTHING,
                    .interrupt = stop};
    hs_step step = HS_STEP_CUT;
    parent->connection = hs_client_connection_open(node->address, node->port, &wait, &step);
    if (parent->connection == NULL)
        return false;
    hs_client_connection_set_timeouts(parent->connection, HS_CONNECTION_DAEMON);
    parent->address = node->address;
    parent->port = node->port;
    return true;
}

uint32_t hs_feed_parent_ask(hs_feed_parent *parent, const hs_feed_node *node, const char *name,
                            const hs_feed_request *request, hs_interrupt *stop, GByteArray *body) {
    g_byte_array_set_size(body, 0);
    if (!connect_node(parent, node, stop))
        return 0;
    hs_client_connection *connection = parent->connection;
    g_autofree char *target = hs_feed_request_write(name, request);
    g_autoptr(GString) head = g_string_new(NULL);
    g_string_printf(head, "GET %s HTTP/1.1\r\nHost: peer\r\n\r\n", target);
    hs_wait wait = {.deadline = hs_clock_monotonic_ms() + request->wait_ms + ANSWER_LIMIT_MS,
                    .watched = HS_WATCH_NOTHING,
                    .interrupt = stop};
    hs_step step = hs_client_connection_send(connection, head, NULL, 0, false, &wait);
    if (step == HS_STEP_PROGRESS)
        step = hs_client_connection_read_head(connection, &wait);
    if (step == HS_STEP_PROGRESS || step == HS_STEP_COMPLETE)
        step = hs_client_connection_read_all(connection, MAX_ANSWER_BYTES, &wait);
    uint32_t status = step == HS_STEP_COMPLETE ? hs_client_connection_status(connection) : 0;
    if (status != 0) {
        const GByteArray *received = hs_client_connection_body(connection);
        g_byte_array_append(body, received->data, received->len);
        hs_client_connection_drop_body(connection);
    }
    if (status == 0 || !hs_client_connection_is_reusable(connection))
        hs_feed_parent_clear(parent);
    return status;
}

void hs_feed_parent_clear(hs_feed_parent *parent) {
    hs_client_connection_close(parent->connection);
    parent->connection = NULL;
}
