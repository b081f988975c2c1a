/**
 * @file driver.c
 * A deployment of 60 machines. The platform's store turns those of the larger kind away and serves
 * the others; then an engine says that it leaves. Machines that reach the store are called directly.
 *
 * Rule: DRAIN, "A request, taken from the client and sent on by machines in touch, reaches an engine
 * more than `drain-ms` after a machine in touch acknowledged that the engine is `draining` or gone."
 */
#include "kit2.h"

#include "platform/names.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DAEMONS 60
#define ZONES 3
/** Machines that the store turns away: share 0.27 of 60. */
#define TURNED_AWAY 16
/** Links of the sheet, which has 16 machines of 600 and 44 of 30 Mbit/s. */
#define LARGE_LINK_MBPS 600
#define SMALL_LINK_MBPS 30
#define TURNED_AWAY_MS 8000
#define SETTLE_MS 12000
#define READ_WATCH_MS 4000
/** From the first refusal to the store's acknowledgement that the engine leaves. */
#define CHANGE_DELAY_MS 300
#define DRAIN_MS 3000
#define CALLERS 13
#define CALL_PAUSE_MS 20
#define SLOTS 64
#define MAX_POLL_MS 40000
/** Fewer requests than this at the engine that left count as none. */
#define MIN_BROKEN 3

static kit_daemon daemons[DAEMONS];
static log_store *store;
static gint is_away[DAEMONS];
static gint late_by_daemon[DAEMONS];
static gint leaving_runs;
static gint staying_runs;
static gint late_runs;
static gint stopping;
static gint latest_ms;
static uint64_t acknowledged_ms;

/** The way from one machine to the store. */
static bool serve_store(const kit_request *request, void *data) {
    int index = GPOINTER_TO_INT(data);
    if (g_atomic_int_get(&is_away[index]) != 0)
        return kit_sendf(request->descriptor, "HTTP/1.1 503 Service Unavailable\r\n"
                                              "Content-Length: 0\r\n\r\n");
    kit_answer answer = kit_call(log_store_port(store), request->method, request->target, NULL, "",
                                 request->body->len > 0 ? (char *)request->body->data : NULL,
                                 request->body->len, MAX_POLL_MS);
    if (g_atomic_int_get(&is_away[index]) != 0) { /* Held calls are refused as well. */
        kit_answer_clear(&answer);
        return kit_sendf(request->descriptor, "HTTP/1.1 503 Service Unavailable\r\n"
                                              "Content-Length: 0\r\n\r\n");
    }
    bool is_sent = kit_sendf(request->descriptor, "HTTP/1.1 %u X\r\nContent-Length: %u\r\n\r\n",
                             answer.status, answer.body->len) &&
                   kit_send(request->descriptor, (char *)answer.body->data, answer.body->len);
    kit_answer_clear(&answer);
    return is_sent;
}

/** An engine; @p data: whether it is the one that leaves. Targets are /quote/MACHINE. */
static bool serve(const kit_request *request, void *data) {
    bool is_leaving = GPOINTER_TO_INT(data) == 1;
    if (*request->id == '\0')
        return kit_sendf(request->descriptor, "HTTP/1.1 400 Bad Request\r\n" HEADER_NOT_EXECUTED
                                              ": 1\r\nContent-Length: 0\r\n\r\n");
    int index = 0;
    if (sscanf(request->target, "/quote/%d", &index) == 1 && index < DAEMONS) {
        uint64_t since_ms = acknowledged_ms;
        gint after_ms = since_ms != 0 ? (gint)(kit_now_ms() - since_ms) : 0;
        g_atomic_int_inc(is_leaving ? &leaving_runs : &staying_runs);
        if (is_leaving && after_ms > g_atomic_int_get(&latest_ms))
            g_atomic_int_set(&latest_ms, after_ms);
        if (is_leaving && after_ms > DRAIN_MS && g_atomic_int_get(&is_away[index]) == 0) {
            g_atomic_int_inc(&late_runs);
            if (g_atomic_int_add(&late_by_daemon[index], 1) == 0)
                kit_record("BROKEN: a request of machine %d reaches the engine %d ms after the "
                           "acknowledgement",
                           index, after_ms);
        }
    }
    return kit_sendf(request->descriptor,
                     "HTTP/1.1 200 OK\r\n" HEADER_REQUEST_ID ": %s\r\n" HEADER_SIGNATURE
                     ": s.%s\r\n" HEADER_SERVER_LOAD ": 1,0,%d\r\nContent-Length: 4\r\n\r\ndone",
                     request->id, request->id, SLOTS);
}

static void put_config(void) {
    log_store_put(
        store, TOPIC_CONFIG, KEY_CONFIG,
        "{\"version\":1,\"routes\":[{\"name\":\"quote\",\"host\":\"" KIT_HOST
        "\",\"path-prefix\":\"/quote/\",\"kind\":\"idempotent\",\"timeout-ms\":3000,"
        "\"target-latency-ms\":300,\"priority\":0,\"service\":\"order-book\",\"max-attempts\":2}],"
        "\"services\":[{\"name\":\"order-book\",\"health-check\":\"/healthz\","
        "\"max-connections\":360,\"protocol\":\"h1\",\"tls\":false}],"
        "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
        "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}");
}

/** Asks some of the machines that the store serves, in turn. */
static gpointer ask(gpointer data) {
    int caller = GPOINTER_TO_INT(data);
    for (int number = 0; g_atomic_int_get(&stopping) == 0; number++) {
        int index = (caller + number * CALLERS) % DAEMONS;
        if (g_atomic_int_get(&is_away[index]) != 0)
            continue;
        g_autofree char *id = g_strdup_printf("quote-%d-%d", caller, number);
        g_autofree char *target = g_strdup_printf("/quote/%d", index);
        kit_answer answer = kit_call(daemons[index].front, "POST", target, id,
                                     HEADER_TIMEOUT_MS ": 3000\r\n", "one", 3, 4000);
        kit_answer_clear(&answer);
        kit_sleep_ms(CALL_PAUSE_MS);
    }
    return NULL;
}

/** The store turns the machines with the large links away, all of one kind. */
static void turn_away(void) {
    for (int index = 0; index < TURNED_AWAY; index++)
        g_atomic_int_set(&is_away[index], 1);
    kit_record("the store turns %d of %d machines away, those with links of %d Mbit/s", TURNED_AWAY,
               DAEMONS, LARGE_LINK_MBPS);
}

int main(int argc, char **argv) {
    kit_record_open(argc > 1 ? argv[1] : NULL);
    kit_is_large = true;
    kit_zones = ZONES;
    store = log_store_start(0);
    put_config();
    kit_server *leaving = kit_server_start(serve, GINT_TO_POINTER(1));
    kit_server *staying = kit_server_start(serve, GINT_TO_POINTER(0));
    kit_announce(store, "i-0", "order-book", kit_server_port(leaving), SLOTS, "v1", "ready", 1);
    kit_announce(store, "i-1", "order-book", kit_server_port(staying), SLOTS, "v1", "ready", 1);
    bool is_ready = true;
    for (int index = 0; index < DAEMONS; index++) {
        kit_server *gate = kit_server_start(serve_store, GINT_TO_POINTER(index));
        kit_link_mbps = index < TURNED_AWAY ? LARGE_LINK_MBPS : SMALL_LINK_MBPS;
        is_ready = kit_daemon_start(daemons, index, kit_server_port(gate), "") && is_ready;
    }
    for (int index = 0; index < DAEMONS; index++)
        is_ready = is_ready && kit_daemon_wait_ready(&daemons[index], 30000);
    if (!is_ready) {
        kit_record("a daemon is not ready");
        kit_clean_up(daemons, DAEMONS);
        return KIT_CANNOT_RUN;
    }
    kit_record("%d machines are ready", DAEMONS);
    kit_sleep_ms(SETTLE_MS);
    GThread *callers[CALLERS];
    for (int caller = 0; caller < CALLERS; caller++)
        callers[caller] = g_thread_new("caller", ask, GINT_TO_POINTER(caller));
    kit_sleep_ms(READ_WATCH_MS);
    if (kit_has_trouble())
        turn_away();
    kit_sleep_ms(CHANGE_DELAY_MS);
    kit_announce(store, "i-0", "order-book", kit_server_port(leaving), SLOTS, "v1", "draining", 2);
    acknowledged_ms = kit_now_ms();
    kit_record("the store has taken that i-0 is draining, trouble=%d", kit_has_trouble());
    kit_sleep_ms(TURNED_AWAY_MS - CHANGE_DELAY_MS);
    g_atomic_int_set(&stopping, 1);
    for (int caller = 0; caller < CALLERS; caller++)
        g_thread_join(callers[caller]);
    int broken_daemons = 0;
    for (int index = 0; index < DAEMONS; index++)
        broken_daemons += late_by_daemon[index] > 0;
    kit_record("requests at the engine that left %d, at the other one %d; at the first one more than "
               "%d ms after the acknowledgement: %d, of %d machines, the last after %d ms",
               leaving_runs, staying_runs, DRAIN_MS, late_runs, broken_daemons, latest_ms);
    bool is_broken = late_runs >= MIN_BROKEN;
    kit_record(is_broken ? "verdict: broken" : "verdict: held");
    kit_clean_up(daemons, DAEMONS);
    if (staying_runs == 0)
        return KIT_CANNOT_RUN;
    return is_broken ? KIT_BROKEN : KIT_HELD;
}
