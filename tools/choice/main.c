/**
 * @file main.c
 * Measures processor time that depends on the number of engines: applying their entries, choosing
 * an engine for a request, and the table's periodic work. Prints name=value lines.
 */
#include "fleet/fleet_engines.h"
#include "platform/entry_codec.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define REPEATS 200
#define NS_PER_US 1000.0
#define US_PER_S 1000000.0
/** Other daemons of the fleet, and those that run items. */
#define PEERS 985
#define BATCH_PEERS 24

static double processor_us(void) {
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * US_PER_S + (double)now.tv_nsec / NS_PER_US;
}

static void put_entry(hs_fleet_engines *engines, uint32_t number) {
    g_autofree char *id = g_strdup_printf("engine-%08x", number);
    g_autofree char *value =
        g_strdup_printf("{\"service\":\"svc\",\"address\":\"10.%u.%u.%u:8000\",\"zone\":\"z%u\","
                        "\"slots\":8,\"version\":\"v1\",\"state\":\"ready\",\"warmup-left-ms\":0,"
                        "\"sequence\":1,\"born\":1796300000000}",
                        number >> 16, number >> 8 & 0xff, number & 0xff, number % 5);
    hs_engine_entry entry = {0};
    if (hs_platform_read_engine_entry(id, (const uint8_t *)value, strlen(value), &entry) ==
        HS_ENTRY_VALID)
        hs_fleet_engines_put(engines, &entry, 1);
}

static void measure(uint32_t count) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z0");
    hs_fleet_engines_set_peers(engines, PEERS, BATCH_PEERS);
    double began_us = processor_us();
    for (uint32_t number = 0; number < count; number++)
        put_entry(engines, number);
    double applied_us = processor_us();
    hs_engine_query query = {.service = "svc", .work = HS_WORK_ONLINE};
    for (int repeat = 0; repeat < REPEATS; repeat++) {
        hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
        if (lease != NULL)
            hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    }
    double chosen_us = processor_us();
    for (int repeat = 0; repeat < REPEATS; repeat++)
        g_array_unref(hs_fleet_engines_own_shares(engines));
    double listed_us = processor_us();
    printf("engines_%u_apply_us=%.2f\n", count, (applied_us - began_us) / count);
    printf("engines_%u_choose_us=%.1f\n", count, (chosen_us - applied_us) / REPEATS);
    printf("engines_%u_list_own_shares_us=%.1f\n", count, (listed_us - chosen_us) / REPEATS);
    hs_fleet_engines_free(engines);
}

int main(void) {
    static const uint32_t counts[] = {100, 1000, 10000, 20000};
    for (guint index = 0; index < G_N_ELEMENTS(counts); index++)
        measure(counts[index]);
    return 0;
}
