/** @file self_test.h  Cases of the soak's self-test. */
#ifndef TESTS_SOAK_SELF_TEST_H
#define TESTS_SOAK_SELF_TEST_H

#include <stdbool.h>

/** One case of the self-test. */
typedef struct {
    const char *name; /**< NULL: the end of a list. */
    void (*plant)(bool with_fault);
    const char *expected_text; /**< Part of the violation that must be reported. */
} planted_fault;

/** The cases of stops. */
extern const planted_fault soak_stop_faults[];

/** Runs a request at the first engine several times. */
void soak_run_repeatedly(const char *id, int times);

#endif
