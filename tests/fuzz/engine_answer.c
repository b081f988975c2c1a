/**
 * @file engine_answer.c
 * Fuzz target: an engine's answer from a socket that then ends. Whatever the bytes are, an answer
 * counts as whole only where the parser says so, and a connection with surplus is never kept.
 */
#include "base/clock.h"
#include "http/client_connection.h"
#include "http/http_fields.h"
#include "platform/engine_codec.h"
#include "tests/fuzz/fuzz.h"

#include <sys/socket.h>
#include <unistd.h>

#define BODY_LIMIT 65536
#define WAIT_MS 1000
#define INPUT_MOST 60000

/** A load that is present or not, and a slowdown that an engine can mean or none. */
static void check_load(const hs_engine_load *load) {
    FUZZ_CHECK(load->slowdown_percent == 0 ||
               (load->present && load->slowdown_percent >= HS_MIN_SLOWDOWN_PERCENT &&
                load->slowdown_percent <= HS_MAX_SLOWDOWN_PERCENT));
    FUZZ_CHECK(!load->is_slowdown_rejected || (load->present && load->slowdown_percent == 0));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
    int sockets[2];
    if (size > INPUT_MOST || socketpair(AF_UNIX, SOCK_STREAM, 0, sockets) != 0)
        return 0;
    hs_wait wait = {.deadline = hs_clock_monotonic_ms() + WAIT_MS, .watched = HS_WATCH_NOTHING};
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
        step = hs_client_connection_read_all(connection, BODY_LIMIT, &wait);
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
