/** @file test_settings.c  Settings: defaults, refusals by file, line and key, overrides. */
#include "daemon/settings.h"
#include "tests/unit/unit_tests.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

/** Load a settings text; @return the result and the error. */
static int load_text(const char *text, hs_settings *settings, hs_error *error) {
    g_autofree char *path = NULL;
    int descriptor = g_file_open_tmp("settings-XXXXXX", &path, NULL);
    g_close(descriptor, NULL);
    g_file_set_contents(path, text, -1, NULL);
    int result = hs_settings_load(settings, path, error);
    g_remove(path);
    return result;
}

static void refuses(const char *text, const char *expected) {
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
    refuses("[daemon]\nid=a\n\nshoe_size=4\n", ":4: unknown key daemon.shoe_size");
}

static void refuses_unknown_group(void) {
    refuses("[daemon]\nid=a\n[cellar]\nport=1\n", ":3: unknown group [cellar]");
}

static void refuses_bad_number_with_range(void) {
    refuses("[caller]\nport=70000\n",
            ":2: key caller.port: \"70000\" is not a whole number from 1");
    refuses("[caller]\nport=80x\n", "caller.port");
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

static void checks_what_concerns_several_keys(void) {
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
    {"overrides_a_value", overrides_a_value},
    {"checks_what_concerns_several_keys", checks_what_concerns_several_keys},
    {NULL, NULL}};
