/** @file system_tests.h  Suites over real processes, and the fleet they share. */
#ifndef TESTS_SYSTEM_SYSTEM_TESTS_H
#define TESTS_SYSTEM_SYSTEM_TESTS_H

#include "tests/support/runner.h"
#include "tools/fleet/client.h"
#include "tools/fleet/fleet.h"

#define TEST_TENANT "tenant-a"

/** The fleet of the running suite. */
extern fleet test_fleet;

/** Three daemons, three drafting engines, one order engine. For suites' begin and end. */
int begin_fleet(void);
int end_fleet(void);

/** Lines of a batch: items "PREFIX-n"; @p run_once_every: 0 for none. Free with g_free. */
char *test_lines(const char *prefix, int count, int max_tokens, int run_once_every);

/** Upload and submit through the given daemons. @return the job's id, owned; NULL on failure. */
char *submit_lines(const char *lines, int upload_daemon, int submit_daemon, const char *key);

/** Result lines of a job as a JSON array, read through a daemon. Owned. */
json_t *read_results(const char *job_id, int daemon);

/** Engine requests (of all engines) whose prompt begins with @p prefix. */
int count_engine_runs(const char *prompt_prefix, const char *state);

/** Poll until @p condition says true; false after @p timeout_ms. */
bool wait_until(bool (*condition)(void *user_data), void *user_data, unsigned timeout_ms);

extern const test_case path_tests[];
extern const test_case refusal_tests[];
extern const test_case online_tests[];
extern const test_case configuration_tests[];
extern const test_case leaving_tests[];
extern const test_case placement_system_tests[];
extern const test_case fleet_system_tests[];
extern const test_case fleet_job_system_tests[];
extern const test_case fleet_edge_system_tests[];
extern const test_case fleet_run_system_tests[];

/** The bench with an engine that sends surplus answers. For the suite's begin and end. */
int begin_fleet_runs(void);
int end_fleet_runs(void);
extern const test_case online_caller_tests[];
extern const test_case online_taking_tests[];
extern const test_case fleet_taking_system_tests[];

/** Suites with a beginning of their own. */
int begin_patient_bench(void);
extern const test_case fleet_caller_system_tests[];

extern const test_case fleet_waking_system_tests[];

extern const test_case fleet_tenant_system_tests[];

/** The bench with tenants, and daemons that write logs to files. For the suite's begin and end. */
int begin_tenants(void);
int end_tenants(void);

extern const test_case fleet_crash_system_tests[];

/** The bench with engines that crash instead of its own. For the suite's begin and end. */
int begin_crashes(void);
int end_crashes(void);

extern const test_case fleet_crash_reborn_system_tests[];

/** The same with engines that start again under their ids. */
int begin_crashes_reborn(void);
int end_crashes_reborn(void);

extern const test_case fleet_crash_few_system_tests[];

/** The same with two, three, or six engines, and one or two requests that crash them. */
int begin_crashes_few(void);
int begin_crashes_two(void);
int begin_crashes_two_causes(void);

extern const test_case fleet_entry_system_tests[];

/** The same with streams that last for two seconds. For the suite's begin and end. */
extern const test_case fleet_item_loss_system_tests[];
int begin_item_losses(void);
int end_item_losses(void);

/** Daemons of an earlier build (HS_PAST_PROGRAM) beside this one. For the suite's begin and end. */
extern const test_case fleet_upgrade_system_tests[];
int begin_upgrade(void);
int end_upgrade(void);

extern const test_case fleet_crash_large_system_tests[];

/** The same with many daemons. */
int begin_crashes_large(void);
int end_crashes_large(void);

extern const test_case fleet_silence_system_tests[];

/** The bench with proxies before its engines and its store. */
int begin_silence(void);
int end_silence(void);

extern const test_case fleet_memory_system_tests[];

/** The bench with daemons that are told their memory, and an engine that cuts unread answers. */
int begin_memory(void);
int end_memory(void);

#endif
