/** @file stop_callers.c  Callers that go on using their connections while daemons stop. */
#include "base/clock.h"
#include "tests/soak/checks.h"
#include "tests/soak/soak.h"

#include <stdio.h>

/** Longer than any pause of a daemon. */
#define ANSWER_LIMIT_MS 12000
#define RECONNECT_PAUSE_MS 30

typedef struct {
    GRand *rng;
    guint seed;
    stop_caller_kind kind;
    uint32_t number;
    int daemon;
    raw_caller *connection; /**< NULL: none. */
    bool is_kept;           /**< The connection was used before. */
} stop_caller;

static void connect_caller(stop_caller *caller) {
    caller->daemon = g_rand_int_range(caller->rng, 0, bench_daemon_count());
    caller->connection = raw_caller_open(bench_front_port(caller->daemon));
    caller->is_kept = false;
}

static void send_request(stop_caller *caller) {
    static const char *const targets[] = {"/once/medium", "/once/x", "/again/medium", "/plain/x"};
    const char *target = targets[g_rand_int_range(caller->rng, 0, G_N_ELEMENTS(targets))];
    g_autofree char *id = soak_make_request_id(caller->seed, caller->number++, caller->daemon);
    if (g_str_has_prefix(target, "/once/"))
        soak_add_id(record.run_once_ids, id);
    stop_request request =
        stop_request_send(caller->connection, caller->kind, target, id, ANSWER_LIMIT_MS);
    request.daemon = caller->daemon;
    request.is_kept = caller->is_kept;
    caller->is_kept = true;
    soak_record_stop_request(&request, raw_caller_text(caller->connection));
    if (!request.is_whole || request.is_closing ||
        raw_caller_state(caller->connection) != RAW_OPEN) {
        raw_caller_close(caller->connection);
        caller->connection = NULL;
    }
    if (request.status != 200)
        hs_clock_sleep_ms(RECONNECT_PAUSE_MS);
}

gpointer soak_run_stop_caller(gpointer data) {
    guint seed = GPOINTER_TO_UINT(data);
    stop_caller caller = {.rng = g_rand_new_with_seed(seed),
                          .seed = seed,
                          .kind = (stop_caller_kind)(seed % STOP_CALLER_KINDS)};
    while (g_atomic_int_get(&record.stopping) == 0) {
        if (caller.connection == NULL)
            connect_caller(&caller);
        if (caller.connection != NULL)
            send_request(&caller);
        else
            hs_clock_sleep_ms(RECONNECT_PAUSE_MS);
    }
    raw_caller_close(caller.connection);
    g_rand_free(caller.rng);
    return NULL;
}
