/**
 * @file test_engine_ring.c
 * The choice among the engines of a large service: a sample, and all of them where the sample has
 * no free slot.
 */
#include "base/clock.h"
#include "fleet/fleet_engine.h"
#include "tests/unit/unit_tests.h"

#include <netinet/in.h>

#define ENGINES 4000
#define ZONES 5
#define SLOTS 8
#define MAX_SAMPLE 128

/** Guards against a part that ends at the end of a ring, and against engines that stay in it. */
static void a_part_of_a_ring_wraps_and_follows_changes(void) {
    static int engines[4];
    hs_engine_rings *rings = hs_engine_rings_new();
    for (uint64_t number = 0; number < 4; number++)
        hs_engine_rings_add(rings, "svc", number == 3 ? "far" : "near", 10 * (number + 1),
                            &engines[number]);
    hs_engine_ring_part part = {.position = 25, .zone = "near", .zone_count = 2, .far_count = 1};
    g_autoptr(GHashTable) found = g_hash_table_new(g_direct_hash, g_direct_equal);
    hs_engine_rings_take(rings, "svc", &part, found);
    CU_ASSERT_EQUAL(g_hash_table_size(found), 3);
    CU_ASSERT_TRUE(g_hash_table_contains(found, &engines[2]));
    CU_ASSERT_TRUE(g_hash_table_contains(found, &engines[0]));
    CU_ASSERT_TRUE(g_hash_table_contains(found, &engines[3]));
    CU_ASSERT_PTR_EQUAL(hs_engine_rings_first(rings, "svc", "near", 31), &engines[0]);
    hs_engine_rings_remove(rings, "svc", "near", 10);
    hs_engine_rings_remove(rings, "svc", "near", 11); /* Unknown. */
    CU_ASSERT_EQUAL(hs_engine_rings_count(rings, "svc"), 3);
    CU_ASSERT_PTR_EQUAL(hs_engine_rings_first(rings, "svc", "near", 31), &engines[1]);
    CU_ASSERT_PTR_NULL(hs_engine_rings_first(rings, "other", "near", 0));
    hs_engine_rings_remove(rings, "svc", "far", 40);
    CU_ASSERT_PTR_NULL(hs_engine_rings_first(rings, "svc", "far", 0));
    hs_engine_rings_free(rings);
}

static hs_fleet_engines *make_engines(void) {
    static const char *const zones[ZONES] = {"a", "b", "c", "d", "e"};
    hs_fleet_engines *engines = hs_fleet_engines_new("a");
    for (uint32_t number = 0; number < ENGINES; number++) {
        hs_engine_entry entry = {.id = g_strdup_printf("e%u", number),
                                 .service = g_strdup("svc"),
                                 .zone = g_strdup(zones[number % ZONES]),
                                 .address = INADDR_LOOPBACK,
                                 .port = 9,
                                 .slots = SLOTS};
        hs_fleet_engines_put(engines, &entry, hs_clock_monotonic_ms());
    }
    return engines;
}

/** Sets the requests of this daemon on each engine as if others used its slots. */
static void fill(hs_fleet_engines *engines, uint32_t free_every) {
    GHashTableIter iterator;
    gpointer value = NULL;
    uint32_t number = 0;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hs_fleet_engine *engine = value;
        engine->full_until_ms = number++ % free_every != 0 ? UINT64_MAX : 0;
    }
}

static const hs_engine_query query = {.service = "svc", .work = HS_WORK_ONLINE};

/** Guards against a choice that takes as long as there are engines, and spreads over all of them.
 */
static void a_large_service_is_sampled(void) {
    hs_fleet_engines *engines = make_engines();
    g_autoptr(GHashTable) used = g_hash_table_new(g_direct_hash, g_direct_equal);
    uint32_t far = 0;
    for (int request = 0; request < 300; request++) {
        hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
        CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
        if (lease == NULL)
            break;
        CU_ASSERT(lease->reasons.candidates <= MAX_SAMPLE);
        far += lease->engine->entry.zone[0] != 'a';
        g_hash_table_add(used, lease->engine);
        hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    }
    CU_ASSERT_EQUAL(far, 0);
    CU_ASSERT(g_hash_table_size(used) < 300);
    hs_fleet_engines_free(engines);
}

/** Guards against a request that is refused or late since the sample is full. */
static void all_engines_are_considered_where_the_sample_is_full(void) {
    hs_fleet_engines *engines = make_engines();
    fill(engines, 1000);
    for (int request = 0; request < 20; request++) {
        hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
        CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
        if (lease == NULL)
            break;
        CU_ASSERT_EQUAL(lease->engine->full_until_ms, 0);
        hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    }
    fill(engines, 4); /* Where a quarter is free, so are some of any sample. */
    for (int request = 0; request < 100; request++) {
        hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
        CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
        if (lease == NULL)
            break;
        CU_ASSERT_EQUAL(lease->engine->full_until_ms, 0);
        CU_ASSERT(lease->reasons.candidates <= MAX_SAMPLE);
        hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    }
    hs_fleet_engines_free(engines);
}

/** Guards against samples with engines that have left. */
static void an_engine_that_left_is_not_sampled(void) {
    hs_fleet_engines *engines = make_engines();
    for (uint32_t number = 0; number < ENGINES; number++) {
        g_autofree char *id = g_strdup_printf("e%u", number);
        if (number % 2 == 0)
            hs_fleet_engines_drop(engines, id);
    }
    CU_ASSERT_EQUAL(hs_engine_rings_count(engines->rings, "svc"), ENGINES / 2);
    for (int request = 0; request < 100; request++) {
        hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
        CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
        if (lease == NULL)
            break;
        CU_ASSERT_TRUE(lease->engine->listed);
        hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    }
    hs_fleet_engines_free(engines);
}

const test_case engine_ring_tests[] = {
    {"a_part_of_a_ring_wraps_and_follows_changes", a_part_of_a_ring_wraps_and_follows_changes},
    {"a_large_service_is_sampled", a_large_service_is_sampled},
    {"all_engines_are_considered_where_the_sample_is_full",
     all_engines_are_considered_where_the_sample_is_full},
    {"an_engine_that_left_is_not_sampled", an_engine_that_left_is_not_sampled},
    {NULL, NULL}};
