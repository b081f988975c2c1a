/** @file system_tests.h  Declares the system suites, and the fleet of processes that they share. */
#ifndef TESTS_SYSTEM_SYSTEM_TESTS_H
#define TESTS_SYSTEM_SYSTEM_TESTS_H

#include "tests/support/runner.h"
#include "tools/fleet/client.h"
#include "tools/fleet/fleet.h"

#define TEST_TENANT "tenant-a"

/** The fleet of the running suite. */
extern fleet test_fleet;

/** Start and stop a fleet of three daemons, three drafting engines and one order engine. */
int begin_fleet(void);
int end_fleet(void);

/**
 * Returns the lines of a batch with items "PREFIX-n", of which every @p run_once_every th is
 * run-once (0: none). The caller frees them with g_free.
 */
char *test_lines(const char *prefix, int count, int max_tokens, int run_once_every);

/** Uploads and submits through the given daemons. @return the job's id, owned; NULL on failure. */
char *submit_lines(const char *lines, int upload_daemon, int submit_daemon, const char *key);

/** Returns a job's result lines, read through @p daemon, as a JSON array; the caller owns it. */
json_t *read_results(const char *job_id, int daemon);

/** Counts requests at all engines by prefix of the prompt and by state; NULL: any state. */
int count_engine_runs(const char *prompt_prefix, const char *state);

/** As count_engine_runs, at one engine. */
int count_runs_at(int engine, const char *prompt_prefix, const char *state);

/** Polls until @p condition returns true; returns false after @p timeout_ms. */
bool wait_until(bool (*condition)(void *user_data), void *user_data, unsigned timeout_ms);

extern const test_case path_tests[];
extern const test_case refusal_tests[];
extern const test_case online_tests[];
extern const test_case configuration_tests[];
extern const test_case leaving_tests[];

/** As begin_fleet, with a daemon whose grace time is short; end_fleet stops it. */
extern const test_case openai_stop_length_tests[];
int begin_openai_stop_lengths(void);

extern const test_case placement_system_tests[];
extern const test_case batch_loss_tests[];
extern const test_case batch_cancel_tests[];

/** As begin_fleet, with a daemon that reaches the platform through a proxy. */
int begin_batch_cancels(void);
int end_batch_cancels(void);
extern const test_case fleet_system_tests[];
extern const test_case fleet_job_system_tests[];

/** Start and stop the bench with a short retention of items. */
extern const test_case fleet_job_read_system_tests[];
int begin_job_reads(void);
int end_job_reads(void);

/** As begin_job_reads, with daemons of an earlier build beside one of this build. */
extern const test_case fleet_upgrade_job_read_system_tests[];
int begin_upgrade_job_reads(void);
int end_upgrade_job_reads(void);
extern const test_case fleet_job_end_system_tests[];
extern const test_case fleet_slow_store_system_tests[];

/** Start and stop the bench with engines of different weights. */
extern const test_case fleet_weight_system_tests[];
int begin_weights(void);
int end_weights(void);
extern const test_case fleet_job_end_stop_system_tests[];

/** Start and stop the bench with a fault proxy between each daemon and the store. */
extern const test_case fleet_job_end_link_system_tests[];
int begin_job_end_links(void);
int end_job_end_links(void);

/** Start and stop the bench with many daemons. */
extern const test_case fleet_job_ends_large_system_tests[];
int begin_job_ends_large(void);
int end_job_ends_large(void);

/** Start and stop the bench with two daemons of an earlier build (HS_PAST_PROGRAM). */
extern const test_case fleet_upgrade_job_end_system_tests[];
int begin_upgrade_job_ends(void);
int end_upgrade_job_ends(void);

extern const test_case fleet_edge_system_tests[];
extern const test_case fleet_run_system_tests[];

/** Start and stop the bench with an engine that sends surplus answers. */
int begin_fleet_runs(void);
int end_fleet_runs(void);

/** Start and stop the bench with an engine whose answers are cut, and a route of orders. */
extern const test_case fleet_cut_answer_system_tests[];
int begin_cut_answers(void);
int end_cut_answers(void);
extern const test_case online_caller_tests[];
extern const test_case online_taking_tests[];
extern const test_case fleet_taking_system_tests[];

/** Starts the bench with routes that have long timeouts; bench_tear_down stops it. */
int begin_bench_with_long_timeouts(void);
extern const test_case fleet_caller_system_tests[];

extern const test_case fleet_waking_system_tests[];

/** Start and stop the bench with streams of seconds, and daemons that the tests stop. */
extern const test_case fleet_stop_system_tests[];
int begin_stops(void);
int end_stops(void);

/** Start and stop the bench with items of seconds, and a proxy between each daemon and the store.
 */
extern const test_case fleet_stop_length_system_tests[];
int begin_stop_lengths(void);
int end_stop_lengths(void);

extern const test_case fleet_peer_state_system_tests[];

/** Starts the bench with a limit of cold engines; bench_tear_down stops it. */
int begin_warmup(void);
/** As bench_set_up, with engines that are cold after each restart; waits until they are warm. */
int begin_warmup_restart(void);
int end_warmup_restart(void);
extern const test_case fleet_warmup_restart_system_tests[];
extern const test_case fleet_warmup_system_tests[];

extern const test_case fleet_tenant_system_tests[];

/** Start and stop the bench with a daemon in each of three regions, and engines in two of them. */
int begin_fleet_regions(void);
int end_fleet_regions(void);
extern const test_case fleet_region_system_tests[];

/** Start and stop the bench with tenants, and with daemons that log to files. */
int begin_tenants(void);
int end_tenants(void);

extern const test_case fleet_crash_system_tests[];

/** Start and stop the bench with engines that crash, in place of the usual engines. */
int begin_crashes(void);
int end_crashes(void);

extern const test_case fleet_crash_restart_system_tests[];

/** As begin_crashes, with engines that restart under the same ids. */
int begin_crashes_same_ids(void);
int end_crashes_same_ids(void);

extern const test_case fleet_crash_few_system_tests[];

/** As begin_crashes_same_ids: three, two, or six engines, and one, one, or two fatal contents. */
int begin_crashes_few(void);
int begin_crashes_two(void);
int begin_crashes_two_causes(void);

extern const test_case fleet_crash_all_down_system_tests[];

/** As begin_crashes_same_ids, with three engines that are down for seconds. */
int begin_crashes_all_down(void);

/** As begin_crashes, with four daemons and engines that a prompt part crashes. */
int begin_crash_parts(void);
int end_crash_parts(void);
extern const test_case fleet_crash_part_system_tests[];

/** As begin_crashes, with four daemons and engines of two software versions. */
int begin_versions(void);
int end_versions(void);
extern const test_case fleet_version_system_tests[];

/** As begin_versions, with engines of one version, and proxies between the daemons and the store.
 */
int begin_version_records(void);
int end_version_records(void);
extern const test_case fleet_version_record_system_tests[];
extern const test_case fleet_version_loss_system_tests[];
extern const test_case fleet_version_move_system_tests[];
extern const test_case fleet_version_cut_system_tests[];

/** As begin_version_records, with more daemons; ends as end_versions. */
int begin_version_gaps(void);
extern const test_case fleet_version_gap_system_tests[];

/** As begin_versions, with one daemon of the earlier build that HS_PAST_PROGRAM names. */
int begin_upgrade_versions(void);
int end_upgrade_versions(void);
extern const test_case fleet_version_restart_system_tests[];

/** Starts the bench with engines that are renewed under their former ids; ends as end_versions. */
int begin_versions_reused(void);
extern const test_case fleet_upgrade_version_system_tests[];

extern const test_case fleet_entry_system_tests[];
extern const test_case fleet_evacuation_system_tests[];

/** As begin_crashes, with streams of two seconds. */
extern const test_case fleet_item_loss_system_tests[];
int begin_item_losses(void);
int end_item_losses(void);

/** Begun and ended as fleet_item_losses. */
extern const test_case fleet_item_storm_system_tests[];

/** As begin_item_losses, with the platform's retention; ended by end_item_losses. */
extern const test_case fleet_item_series_system_tests[];
int begin_item_series(void);

/** Start and stop daemons of an earlier build (HS_PAST_PROGRAM) beside daemons of this build. */
extern const test_case fleet_upgrade_system_tests[];
int begin_upgrade(void);
int end_upgrade(void);

extern const test_case fleet_crash_large_system_tests[];

/** As begin_crashes, with many daemons. */
int begin_crashes_large(void);
int end_crashes_large(void);

extern const test_case fleet_silence_system_tests[];

/** Start and stop the bench with fault proxies in front of the engines and the store. */
int begin_silence(void);
int end_silence(void);

extern const test_case fleet_job_memory_system_tests[];

/** Start and stop the bench with daemons on machines of different memory. */
int begin_job_memory(void);
int end_job_memory(void);
extern const test_case fleet_memory_system_tests[];

/** Start and stop the bench with memory limits, and an engine that closes on unread answers. */
int begin_memory(void);
int end_memory(void);

#endif
