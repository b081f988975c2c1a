/** @file allocator.c  See allocator.h. */
#include "base/allocator.h"

#include <malloc.h>

/** Size from which blocks are mapped; the allocator's initial value. */
#define MAPPED_BLOCK_BYTES (128 * 1024)

void hs_allocator_configure(void) {
    mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
    mallopt(M_TRIM_THRESHOLD, MAPPED_BLOCK_BYTES);
}
