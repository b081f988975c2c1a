/**
 * @file test_topology.c
 * Zones, regions and distances, and the fields of the configuration and the wire that depend on
 * them.
 */
#include "base/topology.h"
#include "heathsail/error.h"
#include "http/http_fields.h"
#include "platform/config_codec.h"
#include "platform/engine_codec.h"
#include "platform/store_codec.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

/** Guards against a region boundary that is not seen, or seen where no regions are known. */
static void distance_depends_on_zone_and_region(void) {
    hs_topology *topology = hs_topology_new("a1:a, a2:a,b1:b");
    CU_ASSERT_EQUAL(hs_topology_distance(topology, "a1", "a1"), HS_DISTANCE_SAME_ZONE);
    CU_ASSERT_EQUAL(hs_topology_distance(topology, "a1", "a2"), HS_DISTANCE_OTHER_ZONE);
    CU_ASSERT_EQUAL(hs_topology_distance(topology, "a1", "b1"), HS_DISTANCE_OTHER_REGION);
    CU_ASSERT_EQUAL(hs_topology_distance(topology, "a1", "unknown"), HS_DISTANCE_OTHER_ZONE);
    CU_ASSERT_EQUAL(hs_topology_distance(topology, NULL, NULL), HS_DISTANCE_OTHER_ZONE);
    CU_ASSERT_STRING_EQUAL(hs_topology_region(topology, "b1"), "b");
    CU_ASSERT_PTR_NULL(hs_topology_region(topology, "unknown"));
    CU_ASSERT(hs_topology_has_regions(topology));
    hs_topology_free(topology);
    topology = hs_topology_new("");
    CU_ASSERT_EQUAL(hs_topology_distance(topology, "a1", "b1"), HS_DISTANCE_OTHER_ZONE);
    CU_ASSERT_FALSE(hs_topology_has_regions(topology));
    CU_ASSERT_EQUAL(hs_topology_rejected_count(topology), 0);
    hs_topology_free(topology);
}

/** Guards against a region that is guessed from a malformed or contradictory entry. */
static void malformed_zones_have_no_region(void) {
    hs_topology *topology = hs_topology_new("a1:a,a1:b,a1:c,b1,:c,d1:,e1:a,e1:a");
    CU_ASSERT_PTR_NULL(hs_topology_region(topology, "a1"));
    CU_ASSERT_PTR_NULL(hs_topology_region(topology, "b1"));
    CU_ASSERT_PTR_NULL(hs_topology_region(topology, "d1"));
    CU_ASSERT_STRING_EQUAL(hs_topology_region(topology, "e1"), "a");
    CU_ASSERT_EQUAL(hs_topology_rejected_count(topology), 4);
    CU_ASSERT_FALSE(hs_topology_has_regions(topology));
    hs_topology_free(topology);
}

#define UNRESTRICTED (-1)

/** Returns the number of allowed regions, or UNRESTRICTED. */
static int count_regions(const GPtrArray *regions) {
    return regions != NULL ? (int)regions->len : UNRESTRICTED;
}

static bool has_region(const GPtrArray *regions, const char *name) {
    return regions != NULL &&
           g_ptr_array_find_with_equal_func((GPtrArray *)regions, name, g_str_equal, NULL);
}

/** Guards against limits of regions and of cold engines that are lost in the codec. */
static void configuration_has_regions_and_warmup(void) {
    static const char text[] =
        "{\"version\":3,\"routes\":[{\"name\":\"r\",\"allowed-regions\":[\"wlg\",7,\"akl\"]},"
        "{\"name\":\"q\",\"allowed-regions\":[]},{\"name\":\"p\",\"allowed-regions\":\"wlg\"}],"
        "\"services\":[{\"name\":\"s\",\"warmup-s\":2.5,"
        "\"warmup-per-s\":11},{\"name\":\"t\",\"warmup-s\":-1}],"
        "\"tenants\":[{\"name\":\"n\",\"allowed-regions\":[\"chc\"]}]}";
    hs_error error = {0};
    hs_fleet_config *config = hs_platform_read_config(text, strlen(text), &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    if (config == NULL)
        return;
    const hs_fleet_route *limited = config->routes->pdata[0];
    const hs_fleet_route *open = config->routes->pdata[1];
    const hs_fleet_route *malformed = config->routes->pdata[2];
    const hs_fleet_service *service = config->services->pdata[0];
    const hs_fleet_service *warm = config->services->pdata[1];
    const hs_fleet_tenant *tenant = config->tenants->pdata[0];
    CU_ASSERT_EQUAL(count_regions(limited->allowed_regions), 2);
    CU_ASSERT_TRUE(has_region(limited->allowed_regions, "akl"));
    CU_ASSERT_EQUAL(count_regions(open->allowed_regions), UNRESTRICTED);
    CU_ASSERT_EQUAL(count_regions(malformed->allowed_regions), 0);
    CU_ASSERT_EQUAL(count_regions(tenant->allowed_regions), 1);
    CU_ASSERT_EQUAL(service->warmup_ms, 2500);
    CU_ASSERT_EQUAL(service->warmup_per_s, 11);
    CU_ASSERT_EQUAL(warm->warmup_ms, 0);
    CU_ASSERT_EQUAL(warm->warmup_per_s, 0);
    hs_fleet_config_unref(config);
}

/** Guards against other keys of the operator's topic that are read as evacuations. */
static void evacuation_keys_name_a_zone(void) {
    g_autofree char *zone = hs_platform_read_evacuated_zone("evacuate/north/1", 16);
    CU_ASSERT_STRING_EQUAL(zone, "north/1");
    CU_ASSERT_PTR_NULL(hs_platform_read_evacuated_zone("evacuate/", 9));
    CU_ASSERT_PTR_NULL(hs_platform_read_evacuated_zone("config", 6));
}

static hs_engine_answer read_answer(const char *warmup) {
    GArray *fields = hs_http_fields_new();
    hs_engine_answer answer;
    if (warmup != NULL)
        hs_http_fields_add(fields, "heathsail-warmup-ms", warmup);
    hs_platform_read_engine_answer(200, fields, &answer);
    hs_http_fields_free(fields);
    answer.request_id = NULL;
    return answer;
}

/** Guards against an engine that counts as warm because its header is missing or malformed. */
static void answers_report_the_warmup(void) {
    CU_ASSERT(read_answer("1500").has_warmup);
    CU_ASSERT_EQUAL(read_answer("1500").warmup_ms, 1500);
    CU_ASSERT(read_answer("0").has_warmup);
    CU_ASSERT_FALSE(read_answer("1500x").has_warmup);
    CU_ASSERT_FALSE(read_answer("-1").has_warmup);
    CU_ASSERT_FALSE(read_answer(NULL).has_warmup);
}

const test_case topology_tests[] = {
    {"distance_depends_on_zone_and_region", distance_depends_on_zone_and_region},
    {"malformed_zones_have_no_region", malformed_zones_have_no_region},
    {"configuration_has_regions_and_warmup", configuration_has_regions_and_warmup},
    {"evacuation_keys_name_a_zone", evacuation_keys_name_a_zone},
    {"answers_report_the_warmup", answers_report_the_warmup},
    {NULL, NULL}};
