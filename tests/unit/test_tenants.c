/** @file test_tenants.c  Tests of tenants, their keys and ranks, and access decisions. */
#include "base/clock.h"
#include "fleet/config_source.h"
#include "http/http_fields.h"
#include "platform/caller_codec.h"
#include "platform/config_codec.h"
#include "platform/engine_codec.h"
#include "tenants/tenant_index.h"
#include "tests/unit/unit_tests.h"

#include <stdio.h>
#include <string.h>

#define TENANT_COUNT 6500
#define KEYS_PER_TENANT 3
#define LOOKUP_COUNT 2000000
/** Limit of the mean lookup time, with a margin for sanitizers and busy machines. */
#define MAX_LOOKUP_NS 2000.0

/** Reads a configuration of the given routes and tenants and builds its index. */
static hs_fleet_config *read_config(const char *routes, const char *tenants,
                                    hs_tenant_faults *faults) {
    g_autofree char *text =
        g_strdup_printf("{\"version\":3,\"routes\":[%s]%s%s}", routes,
                        tenants != NULL ? ",\"tenants\":" : "", tenants != NULL ? tenants : "");
    hs_error error = {0};
    hs_fleet_config *config = hs_platform_read_config(text, strlen(text), &error);
    hs_tenant_faults found = {0};
    if (config != NULL)
        found = hs_tenant_index_build(config);
    if (faults != NULL)
        *faults = found;
    return config;
}

static hs_access decide(const hs_fleet_config *config, const char *key, bool is_public,
                        const char **name) {
    const hs_fleet_tenant *tenant = NULL;
    hs_access access = hs_tenant_access_decide(
        config, &(hs_access_request){.key = key, .is_public = is_public}, &tenant);
    *name = tenant != NULL ? tenant->name : "";
    return access;
}

static void a_key_identifies_its_tenant(void) {
    hs_fleet_config *config =
        read_config("",
                    "[{\"name\":\"alpha\",\"api-keys\":[\"a1\",\"a2\"],\"priority\":1,"
                    "\"rate-per-s\":20.5,\"burst\":7},"
                    "{\"name\":\"beta\",\"api-keys\":[\"b1\"]},{\"name\":\"gamma\"}]",
                    NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    static const struct {
        const char *key;
        const char *tenant;
        hs_access access;
        hs_access when_public;
    } cases[] = {{"a1", "alpha", HS_ACCESS_GRANTED, HS_ACCESS_GRANTED},
                 {"a2", "alpha", HS_ACCESS_GRANTED, HS_ACCESS_GRANTED},
                 {"b1", "beta", HS_ACCESS_GRANTED, HS_ACCESS_GRANTED},
                 {"b", "", HS_ACCESS_KEY_UNKNOWN, HS_ACCESS_GRANTED},
                 {"gamma", "", HS_ACCESS_KEY_UNKNOWN, HS_ACCESS_GRANTED},
                 {"", "", HS_ACCESS_KEY_MALFORMED, HS_ACCESS_GRANTED},
                 {"a1\x01", "", HS_ACCESS_KEY_MALFORMED, HS_ACCESS_GRANTED},
                 {"a1 ", "", HS_ACCESS_KEY_MALFORMED, HS_ACCESS_GRANTED},
                 {NULL, "", HS_ACCESS_KEY_MISSING, HS_ACCESS_GRANTED}};
    for (size_t index = 0; index < G_N_ELEMENTS(cases); index++) {
        const char *name = NULL;
        CU_ASSERT_EQUAL(decide(config, cases[index].key, false, &name), cases[index].access);
        CU_ASSERT_STRING_EQUAL(name, cases[index].tenant);
        CU_ASSERT_EQUAL(decide(config, cases[index].key, true, &name), cases[index].when_public);
        CU_ASSERT_STRING_EQUAL(name, cases[index].tenant);
    }
    const hs_fleet_tenant *alpha = hs_tenant_index_find(config, "a1");
    CU_ASSERT_DOUBLE_EQUAL(alpha->rate_per_s, 20.5, 1e-9);
    CU_ASSERT_DOUBLE_EQUAL(alpha->burst, 7, 1e-9);
    hs_fleet_config_unref(config);
}

static void without_tenants_no_key_is_needed(void) {
    hs_fleet_config *config = read_config("", NULL, NULL);
    const char *name = NULL;
    CU_ASSERT_EQUAL(decide(config, NULL, false, &name), HS_ACCESS_GRANTED);
    CU_ASSERT_EQUAL(decide(config, "whatever", false, &name), HS_ACCESS_GRANTED);
    hs_fleet_config_unref(config);
    config = read_config("", "[]", NULL); /* An empty list of tenants. */
    CU_ASSERT_EQUAL(decide(config, NULL, false, &name), HS_ACCESS_KEY_MISSING);
    CU_ASSERT_EQUAL(decide(config, "whatever", false, &name), HS_ACCESS_KEY_UNKNOWN);
    hs_fleet_config_unref(config);
}

/** Guards against faulty tenants that gain access or make the rest of a version invalid. */
static void faulty_tenants_get_no_access(void) {
    hs_tenant_faults faults;
    hs_fleet_config *config = read_config(
        "",
        "[{\"name\":\"alpha\",\"api-keys\":[\"a1\",\"both\",\"\",7,\"a\\nb\"],\"rate-per-s\":5},"
        "{\"name\":\"beta\",\"api-keys\":[\"both\",\"b1\"]},"
        "{\"name\":\"alpha\",\"api-keys\":[\"a3\",\"a1\"],\"rate-per-s\":900},"
        "{\"name\":\"\",\"api-keys\":[\"n1\"]},{\"name\":\"x\\r\\ny\",\"api-keys\":[\"n2\"]},"
        "{\"api-keys\":[\"n3\"]},{\"name\":\"delta\",\"api-keys\":\"d1\"},17,\"text\"]",
        &faults);
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    const char *name = NULL;
    static const char *const dead[] = {"both", "n1", "n2", "n3", "d1", "17", "text"};
    for (size_t index = 0; index < G_N_ELEMENTS(dead); index++)
        CU_ASSERT_EQUAL(decide(config, dead[index], false, &name), HS_ACCESS_KEY_UNKNOWN);
    CU_ASSERT_EQUAL(decide(config, "b1", false, &name), HS_ACCESS_GRANTED);
    CU_ASSERT_STRING_EQUAL(name, "beta");
    CU_ASSERT_EQUAL(decide(config, "a3", false, &name), HS_ACCESS_GRANTED);
    CU_ASSERT_STRING_EQUAL(name, "alpha");
    CU_ASSERT_DOUBLE_EQUAL(hs_tenant_index_find(config, "a3")->rate_per_s, 5, 1e-9);
    CU_ASSERT_EQUAL(faults.disputed_keys, 1);
    CU_ASSERT_EQUAL(faults.duplicate_names, 1);
    CU_ASSERT_EQUAL(faults.unusable_keys, 2);
    CU_ASSERT_EQUAL(faults.unusable_tenants, 5);
    hs_fleet_config_unref(config);
    /* A malformed list of tenants is rejected, so the previous version stays in use. */
    CU_ASSERT_PTR_NULL(read_config("", "\"alpha\"", NULL));
    CU_ASSERT_PTR_NULL(read_config("", "{\"alpha\":[\"a1\"]}", NULL));
}

static void a_tenant_rank_overrides_the_route_rank(void) {
    static const char routes[] =
        "{\"name\":\"a\",\"host\":\"h\",\"path-prefix\":\"/a\",\"kind\":\"idempotent\","
        "\"service\":\"one\",\"priority\":0},"
        "{\"name\":\"b\",\"host\":\"h\",\"path-prefix\":\"/b\",\"kind\":\"idempotent\","
        "\"service\":\"one\",\"priority\":2}";
    hs_fleet_config *config =
        read_config(routes,
                    "[{\"name\":\"high\",\"api-keys\":[\"h\"],\"priority\":1},"
                    "{\"name\":\"low\",\"api-keys\":[\"l\"],\"priority\":3}]",
                    NULL);
    const hs_fleet_route *urgent = config->routes->pdata[0];
    const hs_fleet_tenant *high = hs_tenant_index_find(config, "h");
    const hs_fleet_tenant *low = hs_tenant_index_find(config, "l");
    CU_ASSERT_EQUAL(hs_tenant_rank(urgent, low), 3);
    CU_ASSERT_EQUAL(hs_tenant_rank(urgent, NULL), 0);
    /* All tenants have a priority, so no request has the route's rank 0. */
    CU_ASSERT_FALSE(hs_fleet_config_is_less_urgent(config, hs_tenant_rank(urgent, high), "one"));
    CU_ASSERT_TRUE(hs_fleet_config_is_less_urgent(config, hs_tenant_rank(urgent, low), "one"));
    hs_fleet_config_unref(config);
    config = read_config(routes,
                         "[{\"name\":\"high\",\"api-keys\":[\"h\"],\"priority\":1},"
                         "{\"name\":\"unranked\",\"api-keys\":[\"u\"]}]",
                         NULL);
    CU_ASSERT_TRUE(hs_fleet_config_is_less_urgent(config, 1, "one"));
    CU_ASSERT_FALSE(hs_fleet_config_is_less_urgent(config, 0, "one"));
    hs_fleet_config_unref(config);
}

static bool has_line(const GString *head, const char *line) {
    return strstr(head->str, line) != NULL;
}

/** Guards against forwarding the caller's key or a tenant header set by the caller. */
static void engines_receive_the_tenant_without_the_key(void) {
    GArray *fields = hs_http_fields_new();
    hs_http_fields_add(fields, "x-API-key", "secret");
    hs_http_fields_add(fields, "Heathsail-tenant", "of-the-caller");
    hs_http_fields_add(fields, "Other", "kept");
    hs_engine_request request = {
        .method = "POST", .target = "/a", .fields = fields, .tenant = "alpha", .engine_id = "e"};
    GString *head = hs_platform_write_engine_head(&request);
    CU_ASSERT_FALSE(has_line(head, "secret"));
    CU_ASSERT_FALSE(has_line(head, "of-the-caller"));
    CU_ASSERT_TRUE(has_line(head, "\r\nHeathsail-Tenant: alpha\r\n"));
    CU_ASSERT_TRUE(has_line(head, "\r\nOther: kept\r\n"));
    g_string_free(head, TRUE);
    request.tenant = NULL;
    head = hs_platform_write_engine_head(&request);
    CU_ASSERT_FALSE(has_line(head, "enant"));
    g_string_free(head, TRUE);
    GArray *forwarded = hs_platform_copy_fields_with_tenant(fields, "alpha");
    hs_caller_terms terms;
    hs_platform_read_terms(forwarded, &terms);
    CU_ASSERT_PTR_NULL(terms.api_key);
    CU_ASSERT_STRING_EQUAL(terms.asserted_tenant, "alpha");
    hs_http_fields_free(forwarded);
    hs_platform_read_terms(fields, &terms);
    CU_ASSERT_STRING_EQUAL(terms.api_key, "secret");
    CU_ASSERT_FALSE(terms.has_many_keys);
    hs_http_fields_add(fields, "X-Api-Key", "secret");
    hs_platform_read_terms(fields, &terms);
    CU_ASSERT_TRUE(terms.has_many_keys);
    hs_http_fields_free(fields);
}

/** Guards against lookups that are slow with many tenants; half of the keys are unknown. */
static void lookup_time_does_not_grow_with_tenants(void) {
    GString *tenants = g_string_new("[");
    for (int tenant = 0; tenant < TENANT_COUNT; tenant++) {
        g_string_append_printf(tenants, "%s{\"name\":\"t%d\",\"api-keys\":[", tenant > 0 ? "," : "",
                               tenant);
        for (int key = 0; key < KEYS_PER_TENANT; key++)
            g_string_append_printf(tenants, "%s\"%06dkey%07d%04d\"", key > 0 ? "," : "",
                                   tenant * 7919 % 999983, tenant, key);
        g_string_append(tenants, "]}");
    }
    g_string_append(tenants, "]");
    hs_fleet_config *config = read_config("", tenants->str, NULL);
    CU_ASSERT_EQUAL(g_hash_table_size(config->tenant_by_key), TENANT_COUNT * KEYS_PER_TENANT);
    const char *keys[64];
    for (guint index = 0; index < G_N_ELEMENTS(keys); index++) {
        const hs_fleet_tenant *tenant = config->tenants->pdata[index * 97];
        keys[index] = index % 2 == 0 ? tenant->keys->pdata[0] : tenant->name;
    }
    uint64_t found = 0;
    uint64_t started_us = hs_clock_monotonic_us();
    for (guint index = 0; index < LOOKUP_COUNT; index++)
        found += hs_tenant_index_find(config, keys[index % G_N_ELEMENTS(keys)]) != NULL;
    double each_ns = (double)(hs_clock_monotonic_us() - started_us) * 1000.0 / LOOKUP_COUNT;
    printf("tenant_lookup_ns=%.0f\n", each_ns);
    CU_ASSERT_EQUAL(found, LOOKUP_COUNT / 2);
    CU_ASSERT(each_ns < MAX_LOOKUP_NS);
    hs_fleet_config_unref(config);
    g_string_free(tenants, TRUE);
}

const test_case tenant_tests[] = {
    {"a_key_identifies_its_tenant", a_key_identifies_its_tenant},
    {"without_tenants_no_key_is_needed", without_tenants_no_key_is_needed},
    {"faulty_tenants_get_no_access", faulty_tenants_get_no_access},
    {"a_tenant_rank_overrides_the_route_rank", a_tenant_rank_overrides_the_route_rank},
    {"engines_receive_the_tenant_without_the_key", engines_receive_the_tenant_without_the_key},
    {"lookup_time_does_not_grow_with_tenants", lookup_time_does_not_grow_with_tenants},
    {NULL, NULL}};
