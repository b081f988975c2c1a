/** @file test_thread.c  Threads on a machine that has none left. */
#include "base/thread.h"
#include "tests/unit/unit_tests.h"

#include <stdbool.h>
#include <stdio.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#define CHILD_WAS_REFUSED 7
/** Room for two or three more stacks of 8 MB. */
#define ROOM_BYTES ((rlim_t)20 * 1024 * 1024)
#define THREADS_MAX 64

static gpointer do_nothing(gpointer data) {
    return data;
}

static void a_thread_runs_and_is_joined(void) {
    int value = 0;
    GThread *thread = hs_thread_try("test", do_nothing, &value);
    CU_ASSERT_PTR_NOT_NULL_FATAL(thread);
    CU_ASSERT_PTR_EQUAL(g_thread_join(thread), &value);
}

static gpointer wait_for_ever(gpointer data) {
    (void)data;
    pause();
    return NULL;
}

/** The process's address space in bytes. */
static rlim_t address_space(void) {
    unsigned long pages = 0;
    FILE *file = fopen("/proc/self/statm", "r");
    CU_ASSERT_PTR_NOT_NULL_FATAL(file);
    CU_ASSERT_EQUAL(fscanf(file, "%lu", &pages), 1); // NOLINT(cert-err34-c)
    fclose(file);
    return (rlim_t)pages * (rlim_t)sysconf(_SC_PAGESIZE);
}

/** Start threads until there is no room for one more stack; whether that was told by NULL. */
static bool starts_until_refused(void) {
    for (int count = 0; count < THREADS_MAX; count++)
        if (hs_thread_try("test", wait_for_ever, NULL) == NULL)
            return true;
    return false;
}

/** The process goes on without the thread, where g_thread_new would have ended it. */
static void a_thread_that_is_not_to_be_had_ends_nothing(void) {
    rlim_t limit = address_space() + ROOM_BYTES;
    pid_t child = fork();
    CU_ASSERT_FATAL(child >= 0);
    if (child == 0) {
        struct rlimit no_room = {.rlim_cur = limit, .rlim_max = limit};
        setrlimit(RLIMIT_AS, &no_room);
        _exit(starts_until_refused() ? CHILD_WAS_REFUSED : 0);
    }
    int status = 0;
    CU_ASSERT_EQUAL(waitpid(child, &status, 0), child);
    CU_ASSERT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == CHILD_WAS_REFUSED);
}

const test_case thread_tests[] = {
    {"a_thread_runs_and_is_joined", a_thread_runs_and_is_joined},
    {"a_thread_that_is_not_to_be_had_ends_nothing", a_thread_that_is_not_to_be_had_ends_nothing},
    {NULL, NULL}};
