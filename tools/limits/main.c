/**
 * @file main.c
 * Prints how three ways of keeping tenants' limits do in the model: a line a way and case, with the
 * most of any window over what is allowed (1 and below keeps the limit), the share of requests
 * within their limit that were refused, and datagrams a daemon and second; means of the seeds, but
 * for the window, of which it is the worst.
 */
#include "tools/limits/limit_model.h"

#include <math.h>
#include <stdio.h>

#define SEEDS 5

typedef struct {
    const char *name;
    limit_case what;
} named_case;

static void print_case(const named_case *entry) {
    for (int way = 0; way < LIMIT_WAY_COUNT; way++) {
        limit_outcome sum = {0};
        for (uint32_t seed = 1; seed <= SEEDS; seed++) {
            limit_case what = entry->what;
            what.way = (limit_way)way;
            what.seed = seed;
            limit_outcome outcome = limit_model_run(&what);
            sum.worst_window = fmax(sum.worst_window, outcome.worst_window);
            sum.refused_share += outcome.refused_share / SEEDS;
            sum.datagrams_per_s += outcome.datagrams_per_s / SEEDS;
        }
        printf("%-18s %-7s window=%.2f refused=%.4f datagrams_per_s=%.1f\n", entry->name,
               limit_way_name((limit_way)way), sum.worst_window, sum.refused_share,
               sum.datagrams_per_s);
    }
}

int main(void) {
    static const limit_fault kill_all[] = {{10000, 2000, LIMIT_KILL, 1.0}};
    static const limit_fault kill_half[] = {{10000, 2000, LIMIT_KILL, 0.55}};
    static const limit_fault cut_third[] = {{9000, 12000, LIMIT_CUT, 0.35}};
    static const limit_fault rolling[] = {
        {9000, 1000, LIMIT_KILL, 0.05},  {11000, 1000, LIMIT_KILL, 0.05},
        {13000, 1000, LIMIT_KILL, 0.05}, {15000, 1000, LIMIT_KILL, 0.05},
        {17000, 1000, LIMIT_KILL, 0.05}, {19000, 1000, LIMIT_KILL, 0.05}};
    const limit_case usual = {.daemons = 60,
                              .tenants = 72,
                              .requests_per_s = 540,
                              .limit_share = 1.6,
                              .is_square = true,
                              .hot_share = 1,
                              .hot_ms = 12000,
                              .length_ms = 30000};
    named_case cases[] = {{"calm", usual},          {"hot-largest", usual},
                          {"hot-tenth", usual},     {"hot-smallest", usual},
                          {"hot-kill-all", usual},  {"hot-kill-half", usual},
                          {"hot-cut-third", usual}, {"hot-rolling", usual},
                          {"kill-half", usual},     {"cut-third", usual}};
    static const uint32_t hot[] = {0, 0, 9, 71, 0, 0, 0, 0, 0, 0};
    static const double hot_shares[] = {1, 7.5, 7.5, 7.5, 7.5, 7.5, 7.5, 7.5, 1, 1};
    static const limit_fault *const faults[] = {
        NULL, NULL, NULL, NULL, kill_all, kill_half, cut_third, rolling, kill_half, cut_third};
    static const uint32_t counts[] = {0, 0, 0, 0, 1, 1, 1, 6, 1, 1};
    for (size_t index = 0; index < sizeof cases / sizeof cases[0]; index++) {
        cases[index].what.hot_tenant = hot[index];
        cases[index].what.hot_share = hot_shares[index];
        cases[index].what.faults = faults[index];
        cases[index].what.fault_count = counts[index];
        print_case(&cases[index]);
    }
    return 0;
}
