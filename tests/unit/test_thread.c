/** @file test_thread.c  Starting of threads, also if the system cannot create one. */
#include "base/clock.h"
#include "base/exit_limit.h"
#include "base/thread.h"
#include "tests/unit/unit_tests.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#define CHILD_WAS_REFUSED 7
#define CHILD_EXIT_STATUS 5
/** Address space for two or three more stacks of 8 MB. */
#define EXTRA_ADDRESS_SPACE_BYTES ((rlim_t)20 * 1024 * 1024)
#define MAX_THREADS 64
#define EXIT_LIMIT_MS 100

static gpointer do_nothing(gpointer data) {
    return data;
}

static void a_thread_runs_and_is_joined(void) {
    int value = 0;
    GThread *thread = hs_thread_try_start("test", do_nothing, &value);
    CU_ASSERT_PTR_NOT_NULL_FATAL(thread);
    CU_ASSERT_PTR_EQUAL(g_thread_join(thread), &value);
}

static gpointer wait_forever(gpointer data) {
    (void)data;
    pause();
    return NULL;
}

/** Returns the size of the process's address space in bytes. */
static rlim_t address_space(void) {
    unsigned long pages = 0;
    FILE *file = fopen("/proc/self/statm", "r");
    CU_ASSERT_PTR_NOT_NULL_FATAL(file);
    CU_ASSERT_EQUAL(fscanf(file, "%lu", &pages), 1); // NOLINT(cert-err34-c)
    fclose(file);
    return (rlim_t)pages * (rlim_t)sysconf(_SC_PAGESIZE);
}

/** Starts threads until one cannot be created. Returns whether NULL reported the failure. */
static bool start_until_refused(void) {
    for (int count = 0; count < MAX_THREADS; count++)
        if (hs_thread_try_start("test", wait_forever, NULL) == NULL)
            return true;
    return false;
}

/** Guards against an abort of the process, as by g_thread_new. */
static void a_failed_start_does_not_end_the_process(void) {
    rlim_t limit = address_space() + EXTRA_ADDRESS_SPACE_BYTES;
    pid_t child = fork();
    CU_ASSERT_FATAL(child >= 0);
    if (child == 0) {
        struct rlimit address_limit = {.rlim_cur = limit, .rlim_max = limit};
        setrlimit(RLIMIT_AS, &address_limit);
        _exit(start_until_refused() ? CHILD_WAS_REFUSED : 0);
    }
    int status = 0;
    CU_ASSERT_EQUAL(waitpid(child, &status, 0), child);
    CU_ASSERT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == CHILD_WAS_REFUSED);
}

/** Guards against a process that outlives its limit in a join. */
static void a_process_that_waits_for_a_thread_exits_at_its_limit(void) {
    uint64_t started_ms = hs_clock_monotonic_ms();
    pid_t child = fork();
    CU_ASSERT_FATAL(child >= 0);
    if (child == 0) {
        hs_exit_limit_start(started_ms + EXIT_LIMIT_MS, CHILD_EXIT_STATUS);
        g_thread_join(hs_thread_try_start("test", wait_forever, NULL));
        _exit(CHILD_WAS_REFUSED);
    }
    int status = -1;
    CU_ASSERT_EQUAL(waitpid(child, &status, 0), child);
    CU_ASSERT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == CHILD_EXIT_STATUS);
    CU_ASSERT(hs_clock_monotonic_ms() - started_ms >= EXIT_LIMIT_MS);
}

const test_case thread_tests[] = {
    {"a_process_that_waits_for_a_thread_exits_at_its_limit",
     a_process_that_waits_for_a_thread_exits_at_its_limit},
    {"a_thread_runs_and_is_joined", a_thread_runs_and_is_joined},
    {"a_failed_start_does_not_end_the_process", a_failed_start_does_not_end_the_process},
    {NULL, NULL}};
