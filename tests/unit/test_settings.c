/** @file test_settings.c  Settings: defaults, errors with file, line and key, overrides, checks. */
#include "base/endpoint.h"
#include "daemon/settings.h"
#include "tests/unit/unit_tests.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

/** Loads @p text as a settings file. Returns the result of hs_settings_load. */
static int load_text(const char *text, hs_settings *settings, hs_error *error) {
    g_autofree char *path = NULL;
    int descriptor = g_file_open_tmp("settings-XXXXXX", &path, NULL);
    g_close(descriptor, NULL);
    g_file_set_contents(path, text, -1, NULL);
    int result = hs_settings_load(settings, path, error);
    g_remove(path);
    return result;
}

/** Checks that @p text is rejected with a message that contains @p expected. */
static void check_refused(const char *text, const char *expected) {
    hs_settings *settings = hs_settings_new();
    hs_error error = {0};
    CU_ASSERT_EQUAL(load_text(text, settings, &error), HS_INVALID);
    CU_ASSERT_PTR_NOT_NULL(strstr(error.message, expected));
    hs_settings_free(settings);
}

static void reads_values_and_keeps_defaults(void) {
    hs_settings *settings = hs_settings_new();
    hs_error error = {0};
    CU_ASSERT_EQUAL(load_text("[daemon]\nid=edge-1\n[caller]\nport=9000\n", settings, &error), 0);
    CU_ASSERT_STRING_EQUAL(settings->daemon_id, "edge-1");
    CU_ASSERT_EQUAL(settings->caller_port, 9000);
    CU_ASSERT_EQUAL(settings->admin_port, 8090);
    CU_ASSERT_EQUAL(hs_settings_check(settings, &error), 0);
    hs_settings_free(settings);
}

static void refuses_unknown_key_with_its_line(void) {
    check_refused("[daemon]\nid=a\n\nshoe_size=4\n", ":4: unknown key daemon.shoe_size");
}

static void refuses_unknown_group(void) {
    check_refused("[daemon]\nid=a\n[cellar]\nport=1\n", ":3: unknown group [cellar]");
}

static void refuses_bad_number_with_range(void) {
    check_refused("[caller]\nport=70000\n",
                  ":2: key caller.port: \"70000\" is not a whole number from 1");
    check_refused("[caller]\nport=80x\n", "caller.port");
}

/** Platforms may set whole numbers with a fraction. */
static void rounds_a_fraction(void) {
    hs_settings *settings = hs_settings_new();
    hs_error error = {0};
    CU_ASSERT_EQUAL(
        load_text("[fleet]\ndrain_ms=1999.6\nparts=12.0\ncontact_ms=\n", settings, &error), 0);
    CU_ASSERT_EQUAL(settings->fleet_drain_ms, 2000);
    CU_ASSERT_EQUAL(settings->fleet_parts, 12);
    CU_ASSERT_EQUAL(settings->fleet_contact_ms, 3000);
    hs_settings_free(settings);
}

static void endpoints_are_an_ipv4_number_and_a_port(void) {
    static const char *const broken[] = {"",           "10.0.0.1",      "10.0.0.1:", "10.0.0.1:0",
                                         "10.0.0:80",  "10.0.0.1:-1",   "host:80",   ":80",
                                         "10.0.0.1:x", "10.0.0.1:99999"};
    hs_endpoint endpoint;
    for (size_t index = 0; index < G_N_ELEMENTS(broken); index++)
        CU_ASSERT_FALSE(hs_endpoint_parse(broken[index], &endpoint));
    CU_ASSERT_FALSE(hs_endpoint_parse(NULL, &endpoint));
    CU_ASSERT_TRUE(hs_endpoint_parse("10.1.2.3:8146", &endpoint));
    CU_ASSERT_STRING_EQUAL(endpoint.host, "10.1.2.3");
    CU_ASSERT_EQUAL(endpoint.address, 0x0a010203);
    CU_ASSERT_EQUAL(endpoint.port, 8146);
}

static void overrides_a_value(void) {
    hs_settings *settings = hs_settings_new();
    hs_error error = {0};
    CU_ASSERT_EQUAL(hs_settings_override(settings, "caller.port=1234", &error), 0);
    CU_ASSERT_EQUAL(settings->caller_port, 1234);
    CU_ASSERT_EQUAL(hs_settings_override(settings, "caller.port", &error), HS_INVALID);
    CU_ASSERT_EQUAL(hs_settings_override(settings, "caller.prt=1", &error), HS_INVALID);
    hs_settings_free(settings);
}

static void checks_combinations_of_keys(void) {
    hs_settings *settings = hs_settings_new();
    hs_error error = {0};
    CU_ASSERT_EQUAL(hs_settings_check(settings, &error), HS_INVALID);
    hs_settings_override(settings, "daemon.id=a", &error);
    CU_ASSERT_EQUAL(hs_settings_check(settings, &error), 0);
    hs_settings_override(settings, "admin.port=8080", &error);
    CU_ASSERT_EQUAL(hs_settings_check(settings, &error), HS_INVALID);
    hs_settings_override(settings, "admin.port=8090", &error);
    hs_settings_override(settings, "daemon.address=localhost", &error);
    CU_ASSERT_EQUAL(hs_settings_check(settings, &error), HS_INVALID);
    hs_settings_free(settings);
}

const test_case settings_tests[] = {
    {"reads_values_and_keeps_defaults", reads_values_and_keeps_defaults},
    {"refuses_unknown_key_with_its_line", refuses_unknown_key_with_its_line},
    {"refuses_unknown_group", refuses_unknown_group},
    {"refuses_bad_number_with_range", refuses_bad_number_with_range},
    {"rounds_a_fraction", rounds_a_fraction},
    {"endpoints_are_an_ipv4_number_and_a_port", endpoints_are_an_ipv4_number_and_a_port},
    {"overrides_a_value", overrides_a_value},
    {"checks_combinations_of_keys", checks_combinations_of_keys},
    {NULL, NULL}};
