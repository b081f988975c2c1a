/** @file test_ring.c  The bounded ring: refusal when full, and concurrent producers. */
#include "base/ring.h"
#include "tests/unit/unit_tests.h"

#include <glib.h>

#define ENTRIES_PER_THREAD 20000
#define THREADS 4

static void full_ring_refuses(void) {
    hs_ring *ring = hs_ring_new(4);
    int entry = 0;
    int accepted = 0;
    while (hs_ring_put(ring, &entry))
        accepted++;
    CU_ASSERT(accepted >= 4);
    CU_ASSERT_EQUAL(hs_ring_size(ring), accepted);
    CU_ASSERT_PTR_EQUAL(hs_ring_take(ring, 0), &entry);
    CU_ASSERT_TRUE(hs_ring_put(ring, &entry));
    hs_ring_free(ring);
}

static gpointer put_many(gpointer data) {
    hs_ring *ring = data;
    for (gsize value = 1; value <= ENTRIES_PER_THREAD; value++)
        while (!hs_ring_put(ring, GSIZE_TO_POINTER(value)))
            g_thread_yield();
    return NULL;
}

static void nothing_is_lost_between_threads(void) {
    hs_ring *ring = hs_ring_new(64);
    GThread *threads[THREADS];
    gsize sum = 0;
    for (int index = 0; index < THREADS; index++)
        threads[index] = g_thread_new("put", put_many, ring);
    for (int count = 0; count < THREADS * ENTRIES_PER_THREAD; count++) {
        gpointer entry = NULL;
        while (entry == NULL)
            entry = hs_ring_take(ring, 1000);
        sum += GPOINTER_TO_SIZE(entry);
    }
    for (int index = 0; index < THREADS; index++)
        g_thread_join(threads[index]);
    CU_ASSERT_EQUAL(sum, (gsize)THREADS * ENTRIES_PER_THREAD * (ENTRIES_PER_THREAD + 1) / 2);
    CU_ASSERT_PTR_NULL(hs_ring_take(ring, 0));
    hs_ring_free(ring);
}

const test_case ring_tests[] = {
    {"full_ring_refuses", full_ring_refuses},
    {"nothing_is_lost_between_threads", nothing_is_lost_between_threads},
    {NULL, NULL}};
