/** @file crowd.c  See crowd.h. */
#include "tests/system/crowd.h"

#include "base/clock.h"
#include "tests/support/raw_caller.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/** Time in ms within which a daemon that is ready takes a connection; the setting's default. */
#define CONTACT_MS 3000
/** A question whether a daemon is ready is answered within this time, in ms. */
#define READY_MS 1000
/** Time for a daemon to take what came, and to see that it is at its limit. */
#define SETTLE_MS 1500
/** Processor time in ms that a daemon without work to do may use in a second. */
#define IDLE_PROCESSOR_MS 400
#define RECOVER_MS 8000

static raw_caller *callers[CROWD_MOST];
static guint caller_count;

void crowd_open(const crowd_target *target, guint count, const char *bytes) {
    caller_count = count;
    for (guint index = 0; index < count; index++) {
        callers[index] = raw_caller_open(target->port);
        if (callers[index] != NULL && bytes != NULL)
            raw_caller_send(callers[index], bytes);
    }
}

void crowd_close(void) {
    for (guint index = 0; index < caller_count; index++)
        raw_caller_close(callers[index]);
    caller_count = 0;
}

int crowd_ask_ready(const crowd_target *target) {
    raw_caller *caller = raw_caller_open(target->ready_port);
    if (caller == NULL)
        return 0;
    g_autofree char *question =
        g_strdup_printf("GET %s HTTP/1.1\r\nHost: a\r\n\r\n", target->ready);
    raw_caller_send(caller, question);
    int status = 0;
    if (raw_caller_read_until(caller, "\r\n\r\n", READY_MS))
        status = atoi(raw_caller_text(caller) + strlen("HTTP/1.1 "));
    raw_caller_close(caller);
    return status;
}

/** Time in ms until a request on a new connection is answered; -1: not within CONTACT_MS. */
static int time_to_take(const crowd_target *target) {
    uint64_t began_ms = hs_clock_monotonic_ms();
    raw_caller *caller = raw_caller_open(target->port);
    if (caller == NULL)
        return -1;
    raw_caller_send(caller, "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
    bool is_answered = raw_caller_read_until(caller, "HTTP/1.1 404 ", CONTACT_MS);
    raw_caller_close(caller);
    return is_answered ? (int)(hs_clock_monotonic_ms() - began_ms) : -1;
}

/** Processor time in ms that a daemon has used. */
static uint64_t processor_ms(const crowd_target *target) {
    g_autofree char *path = g_strdup_printf("/proc/%d/stat", (int)target->pid);
    g_autofree char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL))
        return 0;
    unsigned long user = 0;
    unsigned long system = 0;
    const char *after_name = strrchr(text, ')');
    sscanf(after_name, ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system);
    return (user + system) * 1000 / (unsigned long)sysconf(_SC_CLK_TCK);
}

uint32_t crowd_count_descriptors(const crowd_target *target) {
    g_autofree char *path = g_strdup_printf("/proc/%d/fd", (int)target->pid);
    g_autoptr(GDir) directory = g_dir_open(path, 0, NULL);
    uint32_t count = 0;
    while (directory != NULL && g_dir_read_name(directory) != NULL)
        count++;
    return count;
}

void crowd_check_word(const crowd_target *target, const char *title) {
    hs_clock_sleep_ms(SETTLE_MS);
    int ready = crowd_ask_ready(target);
    int took_ms = time_to_take(target);
    uint64_t before_ms = processor_ms(target);
    hs_clock_sleep_ms(1000);
    uint64_t used_ms = processor_ms(target) - before_ms;
    fprintf(stderr, "%s: ready=%d took_ms=%d processor_ms_per_s=%" G_GUINT64_FORMAT "\n", title,
            ready, took_ms, (guint64)used_ms);
    CU_ASSERT(ready == 503 || (ready == 200 && took_ms >= 0));
    CU_ASSERT(used_ms <= IDLE_PROCESSOR_MS);
}

void crowd_check_recovers(const crowd_target *target) {
    uint64_t limit_ms = hs_clock_monotonic_ms() + RECOVER_MS;
    int ready = crowd_ask_ready(target);
    while (ready != 200 && hs_clock_monotonic_ms() < limit_ms) {
        hs_clock_sleep_ms(20);
        ready = crowd_ask_ready(target);
    }
    CU_ASSERT_EQUAL(ready, 200);
    CU_ASSERT(time_to_take(target) >= 0);
}
