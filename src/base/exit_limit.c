/** @file exit_limit.c  See exit_limit.h. */
#include "base/exit_limit.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/thread.h"

#include <stdlib.h>
#include <unistd.h>

typedef struct {
    uint64_t deadline_ms;
    int status;
} exit_limit;

static noreturn void exit_with(int status) {
    hs_log_flush();
    _exit(status);
}

noreturn void hs_exit_at_once(void) {
    exit_with(EXIT_SUCCESS);
}

static gpointer exit_at(gpointer data) {
    exit_limit limit = *(exit_limit *)data;
    g_free(data);
    while (hs_clock_left_ms(limit.deadline_ms) > 0)
        hs_clock_sleep_ms(hs_clock_left_ms(limit.deadline_ms));
    hs_log_warning("exit_forced", "reason=grace_time_over");
    exit_with(limit.status);
}

void hs_exit_limit_start(uint64_t deadline_ms, int status) {
    exit_limit *limit = g_new(exit_limit, 1);
    *limit = (exit_limit){.deadline_ms = deadline_ms, .status = status};
    GThread *thread = hs_thread_try_start("exit-limit", exit_at, limit);
    if (thread != NULL)
        g_thread_unref(thread);
    else
        g_free(limit);
}
