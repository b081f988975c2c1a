/** @file exit_limit.c  See exit_limit.h. */
#include "base/exit_limit.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/thread.h"

#include <stdlib.h>
#include <unistd.h>

noreturn void hs_exit_at_once(void) {
    hs_log_flush();
    _exit(EXIT_SUCCESS);
}

static gpointer exit_at(gpointer data) {
    uint64_t deadline_ms = *(uint64_t *)data;
    g_free(data);
    while (hs_clock_left_ms(deadline_ms) > 0)
        hs_clock_sleep_ms(hs_clock_left_ms(deadline_ms));
    hs_log_warning("exit_forced", "reason=grace_time_over");
    hs_exit_at_once();
}

void hs_exit_limit_start(uint64_t deadline_ms) {
    uint64_t *deadline = g_new(uint64_t, 1);
    *deadline = deadline_ms;
    GThread *thread = hs_thread_try_start("exit-limit", exit_at, deadline);
    if (thread != NULL)
        g_thread_unref(thread);
    else
        g_free(deadline);
}
