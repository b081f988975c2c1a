/** @file job_peer.c  See job_peer.h. */
#include "jobs/job_peer.h"

#include "base/clock.h"
#include "http/client_connection.h"
#include "http/http_fields.h"
#include "platform/caller_codec.h"

/** Maximum time until a daemon accepts a connection. */
#define CONNECT_LIMIT_MS 250
/** Maximum size of an answer; fits an escaped page of results. */
#define ANSWER_LIMIT_BYTES (16U * 1024 * 1024)

/**
 * Formats the request head with the fields as received and the tenant, which the other daemon
 * trusts. Freed with g_string_free.
 */
static GString *write_head(const hs_inbound *inbound, const char *tenant) {
    GArray *fields = hs_platform_copy_fields_with_tenant(inbound->fields, tenant);
    GString *head = g_string_new(NULL);
    g_string_append_printf(head, "%s %s HTTP/1.1\r\n", inbound->method, inbound->target);
    for (guint index = 0; index < fields->len; index++) {
        const hs_http_field *field = &g_array_index(fields, hs_http_field, index);
        if (!hs_http_fields_is_hop_by_hop(fields, field->name) &&
            g_ascii_strcasecmp(field->name, "Content-Length") != 0 &&
            g_ascii_strcasecmp(field->name, "Expect") != 0)
            g_string_append_printf(head, "%s: %s\r\n", field->name, field->value);
    }
    if (inbound->body->len > 0)
        g_string_append_printf(head, "Content-Length: %u\r\n", inbound->body->len);
    g_string_append(head, "\r\n");
    hs_http_fields_free(fields);
    return head;
}

/** Sends a request, with @p body unless it is NULL, and reads the complete answer. */
static bool exchange(hs_client_connection *connection, GString *head, const GByteArray *body,
                     const hs_wait *wait) {
    const void *bytes = body != NULL ? body->data : NULL;
    size_t length = body != NULL ? body->len : 0;
    hs_step step = hs_client_connection_send(connection, head, bytes, length, false, wait);
    if (step == HS_STEP_PROGRESS)
        step = hs_client_connection_read_head(connection, wait);
    if (step == HS_STEP_PROGRESS || step == HS_STEP_COMPLETE)
        step = hs_client_connection_read_all(connection, ANSWER_LIMIT_BYTES, wait);
    if (step == HS_STEP_DEADLINE)
        hs_client_connection_mark_lost(connection, "timeout");
    return step == HS_STEP_COMPLETE;
}

static void take_answer(hs_client_connection *connection, hs_peer_answer *answer) {
    const GArray *fields = hs_client_connection_fields(connection);
    const char *type = hs_http_fields_find(fields, "Content-Type");
    *answer = (hs_peer_answer){.status = hs_client_connection_status(connection),
                               .type = g_strdup(type != NULL ? type : "text/plain"),
                               .body = hs_client_connection_take_body(connection),
                               .states_fold_age =
                                   hs_http_fields_find(fields, HS_PEER_FOLD_AGE_FIELD) != NULL};
}

/**
 * Makes one request on a new connection. @p watched: descriptor whose end aborts the request, or
 * HS_WATCH_NOTHING. Frees @p head.
 */
static hs_peer_outcome call_peer(const hs_daemon_address *peer, GString *head,
                                 const GByteArray *body, int watched, hs_deadline deadline,
                                 hs_peer_answer *answer) {
    hs_wait wait = {.deadline = MIN(deadline, hs_clock_monotonic_ms() + CONNECT_LIMIT_MS),
                    .watched = watched};
    hs_step step = HS_STEP_CUT;
    hs_peer_outcome outcome = HS_PEER_NOT_SENT;
    hs_client_connection *connection =
        hs_client_connection_open(peer->address, peer->port, &wait, &step);
    wait.deadline = deadline;
    if (connection != NULL)
        hs_client_connection_set_timeouts(connection, HS_CONNECTION_DAEMON);
    if (connection != NULL && exchange(connection, head, body, &wait)) {
        take_answer(connection, answer);
        outcome = HS_PEER_ANSWERED;
    } else if (connection != NULL && hs_client_connection_has_sent_bytes(connection)) {
        outcome = HS_PEER_NO_ANSWER;
    }
    if (connection != NULL)
        hs_client_connection_close(connection);
    g_string_free(head, TRUE);
    return outcome;
}

hs_peer_outcome hs_job_peer_forward(const hs_daemon_address *peer, const hs_inbound *inbound,
                                    const char *tenant, hs_deadline deadline,
                                    hs_peer_answer *answer) {
    return call_peer(peer, write_head(inbound, tenant), inbound->body, inbound->descriptor,
                     deadline, answer);
}

hs_peer_outcome hs_job_peer_post(const hs_daemon_address *peer, const char *target,
                                 const GByteArray *body, hs_deadline deadline,
                                 hs_peer_answer *answer) {
    GString *head = g_string_new(NULL);
    g_string_printf(head, "POST %s HTTP/1.1\r\nHost: peer\r\nContent-Length: %u\r\n\r\n", target,
                    body->len);
    return call_peer(peer, head, body, HS_WATCH_NOTHING, deadline, answer);
}

bool hs_job_peer_can_reach_store(const hs_daemon_address *peer, hs_deadline deadline) {
    GString *head = g_string_new("GET " HS_PEER_STORE_TARGET " HTTP/1.1\r\nHost: peer\r\n\r\n");
    hs_peer_answer answer;
    if (call_peer(peer, head, NULL, HS_WATCH_NOTHING, deadline, &answer) != HS_PEER_ANSWERED)
        return false;
    bool can_reach = answer.status == 200;
    hs_peer_answer_clear(&answer);
    return can_reach;
}

bool hs_job_peer_is_listed(const GArray *daemons, const hs_daemon_address *daemon) {
    bool is_found = false;
    for (guint index = 0; index < daemons->len && !is_found; index++) {
        const hs_daemon_address *listed = &g_array_index(daemons, hs_daemon_address, index);
        is_found = listed->address == daemon->address && listed->port == daemon->port;
    }
    return is_found;
}

void hs_peer_answer_clear(hs_peer_answer *answer) {
    g_free(answer->type);
    g_byte_array_unref(answer->body);
}
