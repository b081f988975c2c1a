/** @file job_peer.c  See job_peer.h. */
#include "jobs/job_peer.h"

#include "base/clock.h"
#include "http/client_connection.h"
#include "http/http_fields.h"

/** A daemon that takes longer than this to accept a connection is asked no further, in ms. */
#define CONNECT_LIMIT_MS 250
/** Largest answer, in bytes: a page of results, escaped. */
#define ANSWER_LIMIT_BYTES (16U * 1024 * 1024)

/** The head as it came, for the other daemon. Free with g_string_free. */
static GString *write_head(const hs_inbound *inbound) {
    GString *head = g_string_new(NULL);
    g_string_append_printf(head, "%s %s HTTP/1.1\r\n", inbound->method, inbound->target);
    for (guint index = 0; index < inbound->fields->len; index++) {
        const hs_http_field *field = &g_array_index(inbound->fields, hs_http_field, index);
        if (!hs_http_fields_is_hop_by_hop(inbound->fields, field->name) &&
            g_ascii_strcasecmp(field->name, "Content-Length") != 0 &&
            g_ascii_strcasecmp(field->name, "Expect") != 0)
            g_string_append_printf(head, "%s: %s\r\n", field->name, field->value);
    }
    if (inbound->body->len > 0)
        g_string_append_printf(head, "Content-Length: %u\r\n", inbound->body->len);
    g_string_append(head, "\r\n");
    return head;
}

/** Send a call, with @p body where it is not NULL, and read the whole answer. */
static bool exchange(hs_client_connection *connection, GString *head, const GByteArray *body,
                     const hs_wait *wait) {
    const void *bytes = body != NULL ? body->data : NULL;
    size_t length = body != NULL ? body->len : 0;
    hs_step step = hs_client_connection_send(connection, head, bytes, length, false, wait);
    if (step == HS_STEP_PROGRESS)
        step = hs_client_connection_read_head(connection, wait);
    if (step == HS_STEP_PROGRESS || step == HS_STEP_COMPLETE)
        step = hs_client_connection_read_all(connection, ANSWER_LIMIT_BYTES, wait);
    return step == HS_STEP_COMPLETE;
}

static void take_answer(hs_client_connection *connection, hs_peer_answer *answer) {
    const GByteArray *body = hs_client_connection_body(connection);
    const char *type = hs_http_fields_find(hs_client_connection_fields(connection), "Content-Type");
    *answer = (hs_peer_answer){.status = hs_client_connection_status(connection),
                               .type = g_strdup(type != NULL ? type : "text/plain"),
                               .body = g_byte_array_sized_new(body->len)};
    g_byte_array_append(answer->body, body->data, body->len);
}

hs_peer_outcome hs_job_peer_ask(const hs_daemon_address *peer, const hs_inbound *inbound,
                                hs_deadline deadline, hs_peer_answer *answer) {
    hs_wait wait = {.deadline = MIN(deadline, hs_clock_monotonic_ms() + CONNECT_LIMIT_MS),
                    .watched = inbound->descriptor};
    hs_step step = HS_STEP_CUT;
    hs_client_connection *connection =
        hs_client_connection_open(peer->address, peer->port, &wait, &step);
    if (connection == NULL)
        return HS_PEER_NOT_ASKED;
    wait.deadline = deadline;
    hs_peer_outcome outcome = HS_PEER_ANSWERED;
    GString *head = write_head(inbound);
    if (exchange(connection, head, inbound->body, &wait))
        take_answer(connection, answer);
    else
        outcome = hs_client_connection_sent_any(connection) ? HS_PEER_SILENT : HS_PEER_NOT_ASKED;
    g_string_free(head, TRUE);
    hs_client_connection_close(connection);
    return outcome;
}

bool hs_job_peer_reaches_store(const hs_daemon_address *peer, hs_deadline deadline) {
    hs_wait wait = {.deadline = deadline, .watched = HS_WATCH_NOTHING};
    hs_step step = HS_STEP_CUT;
    hs_client_connection *connection =
        hs_client_connection_open(peer->address, peer->port, &wait, &step);
    if (connection == NULL)
        return false;
    GString *head = g_string_new("GET " HS_PEER_STORE_TARGET " HTTP/1.1\r\nHost: peer\r\n\r\n");
    bool reaches =
        exchange(connection, head, NULL, &wait) && hs_client_connection_status(connection) == 200;
    g_string_free(head, TRUE);
    hs_client_connection_close(connection);
    return reaches;
}

void hs_peer_answer_clear(hs_peer_answer *answer) {
    g_free(answer->type);
    g_byte_array_unref(answer->body);
}
