/** @file start_check.c  See start_check.h. */
#include "fleet/start_check.h"

#include "base/clock.h"
#include "base/log.h"
#include "platform/engine_codec.h"

/** Longest wait for a report; some thirty round trips. */
#define REPORT_TIMEOUT_MS 100
#define MAX_REPORT_BYTES (1024U * 1024)
#define STATUS_OK 200

/** Returns when the engine behind the connection says that it started; 0: it does not. */
static uint64_t ask_for_start(hs_client_connection *connection, const hs_wait *wait) {
    hs_wait limited = *wait;
    limited.deadline = MIN(wait->deadline, hs_clock_monotonic_ms() + REPORT_TIMEOUT_MS);
    g_autoptr(GString) head = hs_platform_write_report_head();
    hs_step step = hs_client_connection_send(connection, head, NULL, 0, false, &limited);
    if (step == HS_STEP_PROGRESS)
        step = hs_client_connection_read_all(connection, MAX_REPORT_BYTES, &limited);
    const GByteArray *body = hs_client_connection_body(connection);
    if (hs_client_connection_status(connection) != STATUS_OK)
        hs_client_connection_note_unnamed_answer(connection);
    return step == HS_STEP_COMPLETE && hs_client_connection_status(connection) == STATUS_OK
               ? hs_platform_report_start_ms(body->data, body->len)
               : 0;
}

hs_start_check hs_start_check_run(hs_engine_lease *lease, hs_client_connection *connection,
                                  bool may_ask, const hs_wait *wait) {
    hs_engine_start start = hs_engine_lease_start(lease, connection);
    if (start.is_certain) {
        hs_client_connection_note_peer_known(connection);
        return HS_START_KNOWN;
    }
    if (!may_ask)
        return HS_START_UNKNOWN;
    uint64_t reported_ms = ask_for_start(connection, wait);
    bool is_same = reported_ms != 0 ? reported_ms == start.started_at_ms : !start.is_doubted;
    if (reported_ms != 0 && is_same)
        hs_client_connection_note_peer_known(connection);
    if (!is_same) {
        hs_engine_lease_note_unknown_start(lease);
        hs_log_info("engine_start_unknown",
                    "engine=%s entry_born_ms=%" G_GUINT64_FORMAT " born_ms=%" G_GUINT64_FORMAT,
                    hs_engine_lease_id(lease), (guint64)start.started_at_ms, (guint64)reported_ms);
    }
    if (!hs_client_connection_is_reusable(connection))
        return HS_START_CLOSED;
    return is_same ? HS_START_KNOWN : HS_START_UNKNOWN;
}
