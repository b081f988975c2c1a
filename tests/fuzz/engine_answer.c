/**
 * @file engine_answer.c
 * Fuzz target: an engine's answer on a connection that the engine closes after it. A connection may
 * be reused only after a complete final answer, and only if no surplus bytes follow.
 */
#include "base/clock.h"
#include "http/client_connection.h"
#include "http/http_fields.h"
#include "platform/engine_codec.h"
#include "tests/fuzz/fuzz.h"

#include <sys/socket.h>
#include <unistd.h>

#define MAX_BODY_BYTES 65536
#define ANSWER_TIMEOUT_MS 1000
#define MAX_INPUT_BYTES 60000

/** Checks that a slowdown is within its limits, and is reported only together with a load. */
static void check_load(const hs_engine_load *load) {
    FUZZ_CHECK(load->slowdown_percent == 0 ||
               (load->present && load->slowdown_percent >= HS_MIN_SLOWDOWN_PERCENT &&
                load->slowdown_percent <= HS_MAX_SLOWDOWN_PERCENT));
    FUZZ_CHECK(!load->is_slowdown_rejected || (load->present && load->slowdown_percent == 0));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
    int sockets[2];
    if (size > MAX_INPUT_BYTES || socketpair(AF_UNIX, SOCK_STREAM, 0, sockets) != 0)
        return 0;
    hs_wait wait = {.deadline = hs_clock_monotonic_ms() + ANSWER_TIMEOUT_MS,
                    .watched = HS_WATCH_NOTHING};
    hs_client_connection *connection = hs_client_connection_adopt(sockets[0]);
    GString *head = g_string_new("GET / HTTP/1.1\r\n\r\n");
    hs_client_connection_send(connection, head, NULL, 0, false, &wait);
    FUZZ_CHECK(size == 0 || write(sockets[1], data, size) == (ssize_t)size);
    shutdown(sockets[1], SHUT_WR);
    hs_step step = hs_client_connection_read_head(connection, &wait);
    if (step == HS_STEP_PROGRESS || step == HS_STEP_COMPLETE) {
        hs_engine_answer answer;
        hs_platform_read_engine_answer(hs_client_connection_status(connection),
                                       hs_client_connection_fields(connection), &answer);
        check_load(&answer.load);
        step = hs_client_connection_read_all(connection, MAX_BODY_BYTES, &wait);
    }
    FUZZ_CHECK(step != HS_STEP_PROGRESS);
    if (hs_client_connection_is_reusable(connection)) {
        FUZZ_CHECK(step == HS_STEP_COMPLETE);
        FUZZ_CHECK(hs_client_connection_status(connection) >= 200);
    }
    hs_client_connection_skip_response(connection);
    hs_client_connection_close(connection);
    g_string_free(head, TRUE);
    close(sockets[1]);
    return 0;
}
