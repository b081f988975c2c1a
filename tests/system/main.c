/** @file main.c  Runs the system tests, which start a fleet of processes. */
#include "tests/system/system_tests.h"
#include "tools/surface/fleet_bench.h"

#include <ulfius.h>

int main(int argument_count, char **arguments) {
    static const test_suite suites[] = {
        {"path", path_tests, begin_fleet, end_fleet},
        {"refusals", refusal_tests, begin_fleet, end_fleet},
        {"online", online_tests, begin_fleet, end_fleet},
        {"configuration", configuration_tests, begin_fleet, end_fleet},
        {"leaving", leaving_tests, begin_fleet, end_fleet},
        {"placement", placement_system_tests, begin_fleet, end_fleet},
        {"batch_cancels", batch_cancel_tests, begin_batch_cancels, end_batch_cancels},
        {"fleet_surface", fleet_system_tests, bench_set_up, bench_tear_down},
        {"fleet_jobs", fleet_job_system_tests, bench_set_up, bench_tear_down},
        {"fleet_job_ends", fleet_job_end_system_tests, bench_set_up, bench_tear_down},
        {"fleet_job_end_stops", fleet_job_end_stop_system_tests, bench_set_up, bench_tear_down},
        {"fleet_job_end_links", fleet_job_end_link_system_tests, begin_job_end_links,
         end_job_end_links},
        {"fleet_job_ends_large", fleet_job_ends_large_system_tests, begin_job_ends_large,
         end_job_ends_large},
        {"fleet_upgrade_job_ends", fleet_upgrade_job_end_system_tests, begin_upgrade_job_ends,
         end_upgrade_job_ends},
        {"fleet_slow_store", fleet_slow_store_system_tests, bench_set_up, bench_tear_down},
        {"fleet_edges", fleet_edge_system_tests, bench_set_up, bench_tear_down},
        {"fleet_runs", fleet_run_system_tests, begin_fleet_runs, end_fleet_runs},
        {"online_taking", online_taking_tests, begin_fleet, end_fleet},
        {"fleet_taking", fleet_taking_system_tests, bench_set_up, bench_tear_down},
        {"online_callers", online_caller_tests, begin_fleet, end_fleet},
        {"fleet_callers", fleet_caller_system_tests, begin_bench_with_long_timeouts,
         bench_tear_down},
        {"fleet_crashes", fleet_crash_system_tests, begin_crashes, end_crashes},
        {"fleet_crashes_reborn", fleet_crash_restart_system_tests, begin_crashes_same_ids,
         end_crashes_same_ids},
        {"fleet_crashes_few", fleet_crash_few_system_tests, begin_crashes_few,
         end_crashes_same_ids},
        {"fleet_crashes_two", fleet_crash_few_system_tests, begin_crashes_two,
         end_crashes_same_ids},
        {"fleet_crashes_two_causes", fleet_crash_few_system_tests, begin_crashes_two_causes,
         end_crashes_same_ids},
        {"fleet_crashes_all_down", fleet_crash_all_down_system_tests, begin_crashes_all_down,
         end_crashes_same_ids},
        {"fleet_item_losses", fleet_item_loss_system_tests, begin_item_losses, end_item_losses},
        {"fleet_upgrade", fleet_upgrade_system_tests, begin_upgrade, end_upgrade},
        {"fleet_versions", fleet_version_system_tests, begin_versions, end_versions},
        {"fleet_entries", fleet_entry_system_tests, bench_set_up, bench_tear_down},
        {"fleet_crashes_large", fleet_crash_large_system_tests, begin_crashes_large,
         end_crashes_large},
        {"fleet_tenants", fleet_tenant_system_tests, begin_tenants, end_tenants},
        {"fleet_regions", fleet_region_system_tests, begin_fleet_regions, end_fleet_regions},
        {"fleet_peer_state", fleet_peer_state_system_tests, bench_set_up, bench_tear_down},
        {"fleet_waking", fleet_waking_system_tests, bench_set_up, bench_tear_down},
        {"fleet_silence", fleet_silence_system_tests, begin_silence, end_silence},
        {"fleet_warmup", fleet_warmup_system_tests, begin_warmup, bench_tear_down},
        {"fleet_warmup_restart", fleet_warmup_restart_system_tests, begin_warmup_restart,
         end_warmup_restart},
        {"fleet_memory", fleet_memory_system_tests, begin_memory, end_memory},
        {"fleet_evacuation", fleet_evacuation_system_tests, bench_set_up, bench_tear_down},
    };
    ulfius_global_init();
    return run_suites(suites, sizeof suites / sizeof suites[0], argument_count, arguments);
}
