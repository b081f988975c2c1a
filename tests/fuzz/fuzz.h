/**
 * @file fuzz.h
 * Entry point and check macro of the libFuzzer targets. Each target checks properties that must
 * hold for any input; FUZZ_CHECK aborts the run if a property is violated.
 */
#ifndef TESTS_FUZZ_FUZZ_H
#define TESTS_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#define FUZZ_CHECK(condition)                                                                      \
    do {                                                                                           \
        if (!(condition))                                                                          \
            abort();                                                                               \
    } while (0)

#endif
