/** @file callers.c  Callers of online requests; see soak.h. */
#include "base/clock.h"
#include "tests/soak/checks.h"
#include "tests/soak/soak.h"

#define TIMEOUT_MS 3000
#define PAUSE_MOST_MS 60
/** A caller that leaves does it while the stream, of some seconds, is under way. */
#define LEAVE_LEAST_MS 50
#define LEAVE_MOST_MS 1200

/** One caller: a connection to each daemon is kept as long as the daemon keeps it. */
typedef struct {
    GRand *chance;
    guint seed;
    uint32_t number;
    hs_client_connection *kept[BENCH_DAEMONS_MOST];
} online_caller;

static void open_caller(online_caller *caller, gpointer data) {
    *caller = (online_caller){.chance = g_rand_new_with_seed(GPOINTER_TO_UINT(data)),
                              .seed = GPOINTER_TO_UINT(data)};
}

static void close_caller(online_caller *caller) {
    for (int daemon = 0; daemon < bench_daemons(); daemon++)
        hs_client_connection_close(caller->kept[daemon]);
    g_rand_free(caller->chance);
}

static void send_one(online_caller *caller, const char *target, uint32_t leave_after_ms) {
    int daemon = g_rand_int_range(caller->chance, 0, bench_daemons());
    bool was_kept = caller->kept[daemon] != NULL;
    g_autofree char *id = g_strdup_printf("r%u-%u", caller->seed, caller->number++);
    if (g_str_has_prefix(target, "/once/"))
        soak_remember(record.once, id);
    bench_answer answer = bench_send(&(bench_call){.daemon = daemon,
                                                   .method = "POST",
                                                   .target = target,
                                                   .request_id = id,
                                                   .body = "hello",
                                                   .timeout_ms = TIMEOUT_MS,
                                                   .leave_after_ms = leave_after_ms,
                                                   .kept = &caller->kept[daemon]});
    if (answer.left)
        soak_note_end(id);
    soak_check_answer(id, target, &answer);
    bench_answer_clear(&answer);
    g_mutex_lock(&record.lock);
    record.kept += was_kept;
    g_mutex_unlock(&record.lock);
}

static void pause_caller(const online_caller *caller) {
    hs_clock_sleep_ms((uint64_t)g_rand_int_range(caller->chance, 1, PAUSE_MOST_MS));
}

gpointer soak_run_online(gpointer data) {
    static const char *const targets[] = {"/plain/soak", "/once/soak", "/again/soak"};
    online_caller caller;
    open_caller(&caller, data);
    while (g_atomic_int_get(&record.stopping) == 0) {
        send_one(&caller, targets[g_rand_int_range(caller.chance, 0, G_N_ELEMENTS(targets))], 0);
        pause_caller(&caller);
    }
    close_caller(&caller);
    return NULL;
}

gpointer soak_run_leavers(gpointer data) {
    static const char *const targets[] = {"/once/long", "/again/long"};
    online_caller caller;
    open_caller(&caller, data);
    while (g_atomic_int_get(&record.stopping) == 0) {
        uint32_t leave_after_ms =
            (uint32_t)g_rand_int_range(caller.chance, LEAVE_LEAST_MS, LEAVE_MOST_MS);
        send_one(&caller, targets[g_rand_int_range(caller.chance, 0, G_N_ELEMENTS(targets))],
                 leave_after_ms);
        pause_caller(&caller);
    }
    close_caller(&caller);
    return NULL;
}
