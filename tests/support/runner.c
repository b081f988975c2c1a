/** @file runner.c  See runner.h. */
#include "tests/support/runner.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static unsigned failed_tests;

static void report_test(const CU_pTest test, const CU_pSuite suite,
                        const CU_pFailureRecord failure) {
    printf("%s %s.%s\n", failure == NULL ? "ok" : "not ok", suite->pName, test->pName);
    failed_tests += failure != NULL;
    for (CU_pFailureRecord record = failure; record != NULL; record = record->pNext)
        printf("    %s:%u: %s\n", record->strFileName, record->uiLineNumber, record->strCondition);
    fflush(stdout);
}

static void report_suite_failure(const CU_pSuite suite) {
    printf("not ok %s.begin\n", suite->pName);
    failed_tests++;
}

/** Returns whether the arguments name the suite, or name no suite at all. */
static int is_selected(const char *name, int argument_count, char **arguments) {
    for (int index = 1; index < argument_count; index++)
        if (strcmp(arguments[index], name) == 0)
            return 1;
    return argument_count <= 1;
}

static int list_suites(const test_suite *suites, size_t count) {
    for (size_t index = 0; index < count; index++)
        printf("%s\n", suites[index].name);
    return EXIT_SUCCESS;
}

int run_suites(const test_suite *suites, size_t count, int argument_count, char **arguments) {
    if (argument_count == 2 && strcmp(arguments[1], "--list") == 0)
        return list_suites(suites, count);
    CU_initialize_registry();
    for (size_t index = 0; index < count; index++) {
        if (!is_selected(suites[index].name, argument_count, arguments))
            continue;
        CU_pSuite suite = CU_add_suite(suites[index].name, suites[index].begin, suites[index].end);
        for (const test_case *entry = suites[index].cases; entry->name != NULL; entry++)
            CU_add_test(suite, entry->name, entry->run);
    }
    CU_set_test_complete_handler(report_test);
    CU_set_suite_init_failure_handler(report_suite_failure);
    CU_run_all_tests();
    CU_cleanup_registry();
    return failed_tests == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
