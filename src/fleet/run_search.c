/** @file run_search.c  See run_search.h. */
#include "fleet/run_search.h"

#include "base/clock.h"
#include "http/client_connection.h"
#include "platform/engine_codec.h"

/** Longest wait for one engine; some thirty round trips. */
#define ENGINE_TIMEOUT_MS 100
#define MAX_REPORT_BYTES (1024U * 1024)
#define STATUS_OK 200

/** Whether a report comes from the start that the engine's entry names, as far as both say. */
static bool is_same_start(const hs_engine_address *engine, const GByteArray *report) {
    uint64_t reported_ms = hs_platform_report_start_ms(report->data, report->len);
    return reported_ms == 0 || engine->started_at_ms == 0 || reported_ms == engine->started_at_ms;
}

static bool has_run(const hs_engine_address *engine, const char *request_id, hs_deadline deadline) {
    hs_wait wait = {.deadline = MIN(deadline, hs_clock_monotonic_ms() + ENGINE_TIMEOUT_MS),
                    .watched = HS_WATCH_NOTHING};
    hs_step step = HS_STEP_PROGRESS;
    hs_client_connection *connection =
        hs_client_connection_open(engine->address, engine->port, &wait, &step);
    if (connection == NULL)
        return false;
    GString *head = hs_platform_write_report_head();
    step = hs_client_connection_send(connection, head, NULL, 0, false, &wait);
    g_string_free(head, TRUE);
    if (step == HS_STEP_PROGRESS)
        step = hs_client_connection_read_head(connection, &wait);
    if (step == HS_STEP_PROGRESS)
        step = hs_client_connection_read_all(connection, MAX_REPORT_BYTES, &wait);
    const GByteArray *body = hs_client_connection_body(connection);
    bool is_found = step == HS_STEP_COMPLETE &&
                    hs_client_connection_status(connection) == STATUS_OK &&
                    is_same_start(engine, body) &&
                    hs_platform_report_has_run(body->data, body->len, request_id);
    hs_client_connection_close(connection);
    return is_found;
}

uint64_t hs_run_search_find(hs_fleet_engines *engines, const char *service, const char *request_id,
                            hs_deadline deadline) {
    g_autoptr(GArray) addresses = hs_fleet_engines_list_addresses(engines, service);
    uint64_t software = 0;
    if (addresses->len > HS_MAX_SEARCHED_ENGINES)
        return 0;
    for (guint index = 0; index < addresses->len && hs_clock_monotonic_ms() < deadline; index++) {
        const hs_engine_address *engine = &g_array_index(addresses, hs_engine_address, index);
        if (engine->software == software || !has_run(engine, request_id, deadline))
            continue;
        if (software != 0)
            return 0;
        software = engine->software;
    }
    return software;
}
