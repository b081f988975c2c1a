/** @file main.c  Runs the unit tests. */
#include "tests/unit/unit_tests.h"

int main(int argument_count, char **arguments) {
    static const test_suite suites[] = {
        {"settings", settings_tests, NULL, NULL},
        {"config", config_tests, NULL, NULL},
        {"partition", partition_tests, NULL, NULL},
        {"grants", grant_tests, NULL, NULL},
        {"membership", membership_tests, NULL, NULL},
        {"store_client", store_client_tests, NULL, NULL},
        {"membership_compare", membership_compare_tests, NULL, NULL},
        {"routing", routing_tests, NULL, NULL},
        {"scheduling", scheduling_tests, NULL, NULL},
        {"input", input_tests, NULL, NULL},
        {"engine", engine_tests, NULL, NULL},
        {"ring", ring_tests, NULL, NULL},
        {"interrupt", interrupt_tests, NULL, NULL},
        {"threads", thread_tests, NULL, NULL},
        {"placement", placement_tests, NULL, NULL},
        {"fleet", fleet_tests, NULL, NULL},
        {"engines", engines_tests, NULL, NULL},
        {"attempt", attempt_tests, NULL, NULL},
        {"connection_guard", connection_guard_tests, NULL, NULL},
        {"jobs", job_tests, NULL, NULL},
        {"item_plan", item_plan_tests, NULL, NULL},
        {"quota", quota_tests, NULL, NULL},
        {"slots", slot_tests, NULL, NULL},
        {"health", health_tests, NULL, NULL},
        {"crashes", crash_tests, NULL, NULL},
        {"records", record_tests, NULL, NULL},
        {"connections", connection_tests, NULL, NULL},
        {"engine_source", engine_source_tests, NULL, NULL},
        {"refusal_choice", refusal_choice_tests, NULL, NULL},
        {"urgency", urgency_tests, NULL, NULL},
        {"tenants", tenant_tests, NULL, NULL},
        {"limits", limit_tests, NULL, NULL},
        {"entries", entry_tests, NULL, NULL},
        {"shares", share_tests, NULL, NULL},
    };
    return run_suites(suites, sizeof suites / sizeof suites[0], argument_count, arguments);
}
