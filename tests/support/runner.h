/** @file runner.h  Runs CUnit suites and prints one line a test, "ok NAME" or "not ok NAME". */
#ifndef TESTS_SUPPORT_RUNNER_H
#define TESTS_SUPPORT_RUNNER_H

#include <CUnit/CUnit.h>

typedef struct {
    const char *name;
    CU_TestFunc run;
} test_case;

/** A suite: cases closed by an entry without a name. */
typedef struct {
    const char *name;
    const test_case *cases;
    CU_InitializeFunc begin; /**< May be NULL. */
    CU_CleanupFunc end;      /**< May be NULL. */
} test_suite;

/**
 * Run all suites, or those that the arguments name; "--list" alone prints their names.
 * @return an exit status.
 */
int run_suites(const test_suite *suites, size_t count, int argument_count, char **arguments);

#endif
