/** @file runner.h  Runs CUnit suites and prints a line per test: "ok NAME" or "not ok NAME". */
#ifndef TESTS_SUPPORT_RUNNER_H
#define TESTS_SUPPORT_RUNNER_H

#include <CUnit/CUnit.h>

typedef struct {
    const char *name;
    CU_TestFunc run;
} test_case;

/** A suite; a case without a name ends the list of cases. */
typedef struct {
    const char *name;
    const test_case *cases;
    CU_InitializeFunc begin; /**< May be NULL. */
    CU_CleanupFunc end;      /**< May be NULL. */
} test_suite;

/**
 * Runs all suites, or only the suites that the arguments name; "--list" prints the suites' names.
 * @return the process's exit status.
 */
int run_suites(const test_suite *suites, size_t count, int argument_count, char **arguments);

#endif
