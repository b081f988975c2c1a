/**
 * @file crash_callers.c
 * Requests that end each engine which begins them, and others beside them, at engines of their own;
 * see soak.h. New ones come now and then, up to FATAL_CONTENTS at a time.
 */
#include "base/clock.h"
#include "tests/soak/checks.h"
#include "tests/soak/soak.h"
#include "tests/support/crash_fleet.h"

#include <string.h>

/** Contents that crash engines at one time, and for how long they come, in ms. */
#define FATAL_CONTENTS 2 /* One a target: with another target a body is another content. */
#define FATAL_FOR_MS 12000
/** One request in so many is one of them. */
#define FATAL_ONE_IN 4
#define PAUSE_MOST_MS 60
#define TIMEOUT_MS 3000
/** A daemon has known for so long, in ms, without a fault beside, that it must not send. */
#define KNOWN_AFTER_MS 3000
/** Engines that a content may end before it is known. */
#define ENDS_KNOWN 3
/** Sends that are allowed after that. */
#define LATE_SENDS_MOST 3

/** Engines that start again under their ids are back after one of these times, in ms. */
static const uint32_t RETURNS_MS[] = {60, 300, 1500, 4000};

static crash_fleet *frail;

void soak_start_crashes(unsigned seed) {
    crash_fleet_settings settings = {0};
    settings.keeps_ids = seed % 2 == 1;
    settings.return_ms = settings.keeps_ids ? RETURNS_MS[seed / 2 % G_N_ELEMENTS(RETURNS_MS)] : 0;
    frail = crash_fleet_start(bench.store, "frail", &settings);
}

void soak_stop_crashes(void) {
    crash_fleet_stop(frail);
}

static const char *const targets[] = {"/frail/once/x", "/frail/plain/x"};

/** A content that crashes engines, by time, so that all callers have the same few. */
static char *fatal_content(int which, uint64_t began_ms) {
    uint64_t epoch = (hs_clock_monotonic_ms() - began_ms) / FATAL_FOR_MS;
    return g_strdup_printf(CRASH_FLEET_FATAL_PREFIX "-%u-%d.", (unsigned)epoch, which);
}

/** Send and judge; @p fatal: a content, or NULL for what many ask and what is new each time. */
static void send_one(GRand *chance, const char *target, const char *fatal, const char *id) {
    const char *other = g_rand_boolean(chance) ? "asked by many" : id;
    bench_answer answer =
        bench_send(&(bench_call){.daemon = g_rand_int_range(chance, 0, bench_daemons()),
                                 .method = "POST",
                                 .target = target,
                                 .request_id = id,
                                 .body = fatal != NULL ? fatal : other,
                                 .timeout_ms = TIMEOUT_MS});
    bool is_held =
        answer.status == 503 && answer.body != NULL && strstr(answer.body, "crashed engines");
    bool is_served = answer.status == 200 && answer.whole;
    soak_check_hold(id, fatal != NULL, is_held);
    g_mutex_lock(&record.lock);
    record.fatal_sent += fatal != NULL;
    record.fatal_held += is_held;
    record.beside_sent += fatal == NULL;
    record.beside_served += fatal == NULL && is_served;
    g_mutex_unlock(&record.lock);
    bench_answer_clear(&answer);
}

gpointer soak_run_crashers(gpointer data) {
    g_autoptr(GRand) chance = g_rand_new_with_seed(GPOINTER_TO_UINT(data));
    uint64_t began_ms = record.began_ms;
    uint32_t number = 0;
    while (g_atomic_int_get(&record.stopping) == 0) {
        bool is_fatal = g_rand_int_range(chance, 0, FATAL_ONE_IN) == 0;
        int which = g_rand_int_range(chance, 0, FATAL_CONTENTS);
        g_autofree char *fatal = is_fatal ? fatal_content(which, began_ms) : NULL;
        g_autofree char *id = g_strdup_printf("%s%u-%u", is_fatal ? fatal : "beside-",
                                              GPOINTER_TO_UINT(data), number++);
        if (is_fatal)
            soak_remember(record.fatal, fatal);
        send_one(chance, targets[which], fatal, id);
        hs_clock_sleep_ms((uint64_t)g_rand_int_range(chance, 1, PAUSE_MOST_MS));
    }
    return NULL;
}

void soak_check_hold(const char *id, bool is_fatal, bool is_held) {
    if (is_held && !is_fatal)
        soak_violation("%s was held back though it crashed no engine", id);
}

void soak_check_sends(const char *content, uint64_t known_ms, const GArray *begun_ms) {
    uint32_t late = 0;
    for (guint index = 0; known_ms != 0 && index < begun_ms->len; index++) {
        uint64_t at_ms = g_array_index(begun_ms, uint64_t, index);
        late += at_ms > known_ms + KNOWN_AFTER_MS && soak_was_calm(at_ms - KNOWN_AFTER_MS, at_ms);
    }
    if (late > LATE_SENDS_MOST)
        soak_violation("%s was sent %u times after it was known to crash engines", content, late);
}

void soak_check_crashes(void) {
    GHashTableIter iterator;
    gpointer content = NULL;
    g_hash_table_iter_init(&iterator, record.fatal);
    while (g_hash_table_iter_next(&iterator, &content, NULL)) {
        g_autoptr(GArray) begun_ms = crash_fleet_list_start_times(frail, content);
        soak_check_sends(content, crash_fleet_find_crash_ms(frail, content, ENDS_KNOWN), begun_ms);
    }
    record.crashes = crash_fleet_get_crash_count(frail);
}
