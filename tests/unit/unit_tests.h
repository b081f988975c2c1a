/** @file unit_tests.h  Declares the suites of unit tests, one per file. */
#ifndef TESTS_UNIT_UNIT_TESTS_H
#define TESTS_UNIT_UNIT_TESTS_H

#include "tests/support/runner.h"

extern const test_case settings_tests[];
extern const test_case topology_tests[];
extern const test_case region_arbiter_tests[];
extern const test_case region_report_tests[];
extern const test_case region_choice_tests[];
extern const test_case region_tests[];
extern const test_case zone_outage_tests[];
extern const test_case warmup_tests[];
extern const test_case warmup_play_tests[];
extern const test_case config_tests[];
extern const test_case partition_tests[];
extern const test_case grant_tests[];
extern const test_case membership_tests[];
extern const test_case store_client_tests[];
extern const test_case read_times_tests[];
extern const test_case membership_compare_tests[];
extern const test_case routing_tests[];
extern const test_case scheduling_tests[];
extern const test_case input_tests[];
extern const test_case engine_tests[];
extern const test_case ring_tests[];
extern const test_case interrupt_tests[];
extern const test_case thread_tests[];
extern const test_case placement_tests[];

extern const test_case fleet_tests[];
extern const test_case engines_tests[];
extern const test_case pace_tests[];
extern const test_case pace_play_tests[];
extern const test_case attempt_tests[];
extern const test_case cut_answer_tests[];
extern const test_case job_tests[];
extern const test_case content_trim_tests[];
extern const test_case result_page_tests[];
extern const test_case item_plan_tests[];
extern const test_case allocation_tests[];
extern const test_case forecast_tests[];
extern const test_case quota_tests[];
extern const test_case slot_tests[];
extern const test_case health_tests[];
extern const test_case suspicion_tests[];
extern const test_case load_report_tests[];
extern const test_case arbiter_term_tests[];
extern const test_case peer_state_tests[];
extern const test_case relayed_report_tests[];
extern const test_case spread_tests[];
extern const test_case crash_tests[];
extern const test_case crash_trial_tests[];
extern const test_case crash_part_tests[];
extern const test_case crash_storm_tests[];
extern const test_case version_tests[];
extern const test_case record_tests[];
extern const test_case connection_tests[];
extern const test_case engine_source_tests[];
extern const test_case engine_ring_tests[];
extern const test_case membership_death_tests[];
extern const test_case feed_tests[];
extern const test_case foreign_record_tests[];
extern const test_case log_tests[];
extern const test_case feed_play_tests[];
extern const test_case feed_member_tests[];
extern const test_case refusal_choice_tests[];
extern const test_case urgency_tests[];
extern const test_case admission_tests[];
extern const test_case holding_tests[];
extern const test_case stop_admission_tests[];
extern const test_case tenant_tests[];
extern const test_case limit_tests[];
extern const test_case entry_tests[];
extern const test_case share_tests[];
extern const test_case connection_guard_tests[];
extern const test_case caller_tests[];
extern const test_case memory_tests[];
extern const test_case evacuation_tests[];
extern const test_case zone_request_tests[];

#endif
