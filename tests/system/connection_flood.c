/** @file connection_flood.c  See connection_flood.h. */
#include "tests/system/connection_flood.h"

#include "base/clock.h"
#include "tests/support/raw_caller.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/** Bound for the answer to a request on a new connection; the default of the setting. */
#define ANSWER_TIMEOUT_MS 3000
/** Bound for an answer of the readiness endpoint. */
#define READINESS_TIMEOUT_MS 1000
/** Time for a daemon to accept the connections and to detect that a limit is reached. */
#define SETTLE_MS 1500
/** Processor time in ms that an idle daemon may use per second. */
#define MAX_IDLE_PROCESSOR_MS 400
#define RECOVERY_TIMEOUT_MS 8000

static raw_caller *callers[MAX_FLOOD_CONNECTIONS];
static guint caller_count;

void connection_flood_open(const connection_flood_target *target, guint count, const char *bytes) {
    caller_count = count;
    for (guint index = 0; index < count; index++) {
        callers[index] = raw_caller_open(target->port);
        if (callers[index] != NULL && bytes != NULL)
            raw_caller_send(callers[index], bytes);
    }
}

void connection_flood_close(void) {
    for (guint index = 0; index < caller_count; index++)
        raw_caller_close(callers[index]);
    caller_count = 0;
}

int connection_flood_get_readiness(const connection_flood_target *target) {
    raw_caller *caller = raw_caller_open(target->readiness_port);
    if (caller == NULL)
        return 0;
    g_autofree char *request = g_strdup_printf("GET %s HTTP/1.1\r\nHost: a\r\n\r\n", target->ready);
    raw_caller_send(caller, request);
    int status = 0;
    if (raw_caller_read_until(caller, "\r\n\r\n", READINESS_TIMEOUT_MS))
        status = atoi(raw_caller_text(caller) + strlen("HTTP/1.1 "));
    raw_caller_close(caller);
    return status;
}

/** Returns the time in ms to an answer on a new connection; -1 after ANSWER_TIMEOUT_MS. */
static int measure_answer_ms(const connection_flood_target *target) {
    uint64_t start_ms = hs_clock_monotonic_ms();
    raw_caller *caller = raw_caller_open(target->port);
    if (caller == NULL)
        return -1;
    raw_caller_send(caller, "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
    bool is_answered = raw_caller_read_until(caller, "HTTP/1.1 404 ", ANSWER_TIMEOUT_MS);
    raw_caller_close(caller);
    return is_answered ? (int)(hs_clock_monotonic_ms() - start_ms) : -1;
}

/** Returns the processor time in ms that a daemon has used since its start. */
static uint64_t get_processor_ms(const connection_flood_target *target) {
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

uint32_t connection_flood_count_descriptors(const connection_flood_target *target) {
    g_autofree char *path = g_strdup_printf("/proc/%d/fd", (int)target->pid);
    g_autoptr(GDir) directory = g_dir_open(path, 0, NULL);
    uint32_t count = 0;
    while (directory != NULL && g_dir_read_name(directory) != NULL)
        count++;
    return count;
}

void connection_flood_check_readiness(const connection_flood_target *target, const char *title) {
    hs_clock_sleep_ms(SETTLE_MS);
    int ready = connection_flood_get_readiness(target);
    int took_ms = measure_answer_ms(target);
    uint64_t before_ms = get_processor_ms(target);
    hs_clock_sleep_ms(1000);
    uint64_t used_ms = get_processor_ms(target) - before_ms;
    fprintf(stderr, "%s: ready=%d took_ms=%d processor_ms_per_s=%" G_GUINT64_FORMAT "\n", title,
            ready, took_ms, (guint64)used_ms);
    CU_ASSERT(ready == 503 || (ready == 200 && took_ms >= 0));
    CU_ASSERT(used_ms <= MAX_IDLE_PROCESSOR_MS);
}

void connection_flood_check_recovery(const connection_flood_target *target) {
    uint64_t limit_ms = hs_clock_monotonic_ms() + RECOVERY_TIMEOUT_MS;
    int ready = connection_flood_get_readiness(target);
    while (ready != 200 && hs_clock_monotonic_ms() < limit_ms) {
        hs_clock_sleep_ms(20);
        ready = connection_flood_get_readiness(target);
    }
    CU_ASSERT_EQUAL(ready, 200);
    CU_ASSERT(measure_answer_ms(target) >= 0);
}
