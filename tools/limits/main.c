/**
 * @file main.c
 * heathsail-limits: compares strategies of enforcing tenants' limits in the model. Prints a line
 * per scenario and strategy: "window" is the largest ratio of passed to allowed requests over all
 * seeds (at most 1 if the limit holds), "refused" the mean share of requests within the limit that
 * were refused, and "datagrams_per_s" the mean per daemon.
 */
#include "tools/limits/limit_model.h"

#include <math.h>
#include <stdio.h>

#define SEEDS 5

typedef struct {
    const char *name;
    limit_scenario scenario;
} named_case;

static void print_case(const named_case *entry) {
    for (int way = 0; way < LIMIT_STRATEGY_COUNT; way++) {
        limit_outcome sum = {0};
        for (uint32_t seed = 1; seed <= SEEDS; seed++) {
            limit_scenario scenario = entry->scenario;
            scenario.way = (limit_strategy)way;
            scenario.seed = seed;
            limit_outcome outcome = limit_model_run(&scenario);
            sum.max_window_ratio = fmax(sum.max_window_ratio, outcome.max_window_ratio);
            sum.refused_share += outcome.refused_share / SEEDS;
            sum.datagrams_per_s += outcome.datagrams_per_s / SEEDS;
        }
        printf("%-18s %-7s window=%.2f refused=%.4f datagrams_per_s=%.1f\n", entry->name,
               limit_strategy_name((limit_strategy)way), sum.max_window_ratio, sum.refused_share,
               sum.datagrams_per_s);
    }
}

int main(void) {
    static const limit_fault kill_all[] = {{10000, 2000, LIMIT_FAULT_KILL, 1.0}};
    static const limit_fault kill_half[] = {{10000, 2000, LIMIT_FAULT_KILL, 0.55}};
    static const limit_fault disconnect_third[] = {{9000, 12000, LIMIT_FAULT_DISCONNECT, 0.35}};
    static const limit_fault rolling[] = {
        {9000, 1000, LIMIT_FAULT_KILL, 0.05},  {11000, 1000, LIMIT_FAULT_KILL, 0.05},
        {13000, 1000, LIMIT_FAULT_KILL, 0.05}, {15000, 1000, LIMIT_FAULT_KILL, 0.05},
        {17000, 1000, LIMIT_FAULT_KILL, 0.05}, {19000, 1000, LIMIT_FAULT_KILL, 0.05}};
    const limit_scenario base_scenario = {.daemons = 60,
                                          .tenants = 72,
                                          .requests_per_s = 540,
                                          .limit_factor = 1.6,
                                          .has_load_wave = true,
                                          .hot_load_factor = 1,
                                          .hot_duration_ms = 12000,
                                          .run_length_ms = 30000};
    named_case cases[] = {{"calm", base_scenario},          {"hot-largest", base_scenario},
                          {"hot-tenth", base_scenario},     {"hot-smallest", base_scenario},
                          {"hot-kill-all", base_scenario},  {"hot-kill-half", base_scenario},
                          {"hot-cut-third", base_scenario}, {"hot-rolling", base_scenario},
                          {"kill-half", base_scenario},     {"cut-third", base_scenario}};
    static const uint32_t hot_tenants[] = {0, 0, 9, 71, 0, 0, 0, 0, 0, 0};
    static const double hot_load_factors[] = {1, 7.5, 7.5, 7.5, 7.5, 7.5, 7.5, 7.5, 1, 1};
    static const limit_fault *const faults[] = {NULL,
                                                NULL,
                                                NULL,
                                                NULL,
                                                kill_all,
                                                kill_half,
                                                disconnect_third,
                                                rolling,
                                                kill_half,
                                                disconnect_third};
    static const uint32_t fault_counts[] = {0, 0, 0, 0, 1, 1, 1, 6, 1, 1};
    for (size_t index = 0; index < sizeof cases / sizeof cases[0]; index++) {
        cases[index].scenario.hot_tenant = hot_tenants[index];
        cases[index].scenario.hot_load_factor = hot_load_factors[index];
        cases[index].scenario.faults = faults[index];
        cases[index].scenario.fault_count = fault_counts[index];
        print_case(&cases[index]);
    }
    return 0;
}
