/**
 * @file fuzz.h
 * Entry of every fuzz target: libFuzzer calls it with inputs it makes. A target checks what must
 * hold for any bytes at all; FUZZ_CHECK ends the run where it does not.
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
