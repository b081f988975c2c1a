/**
 * @file test_regions.c
 * Allowed regions of routes and tenants: where requests run, which daemons handle bodies, and which
 * daemons callers are told to use.
 */
#include "base/clock.h"
#include "directory/resolve_addresses.h"
#include "fleet/config_source.h"
#include "heathsail/error.h"
#include "jobs/job_regions.h"
#include "jobs/job_starts.h"
#include "jobs/region_runner.h"
#include "online/online_request_state.h"
#include "platform/config_codec.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

#define ZONES "akl-a:akl,akl-b:akl,wlg-a:wlg,wlg-b:wlg,chc-a:chc,chc-b:chc"

static const char *const zones[] = {"akl-a", "akl-b", "wlg-a", "wlg-b", "chc-a", "chc-b", "odd"};
static const char *const regions[] = {"akl", "wlg", "chc", "nowhere"};

/** Returns a list of regions from a text with commas; NULL: all regions. */
static GPtrArray *make_list(const char *text) {
    if (text == NULL)
        return NULL;
    GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
    g_auto(GStrv) parts = g_strsplit(text, ",", -1);
    for (int index = 0; parts[index] != NULL; index++)
        if (*parts[index] != '\0')
            g_ptr_array_add(list, g_strdup(parts[index]));
    return list;
}

static void free_list(GPtrArray *list) {
    if (list != NULL)
        g_ptr_array_free(list, TRUE);
}

/** Guards against a restriction that is widened by a second one, or by an unknown region. */
static void both_restrictions_apply(void) {
    static const struct {
        const char *route;
        const char *tenant;
        const char *allowed;
        bool can_be_met;
    } cases[] = {
        {NULL, NULL, NULL, true},
        {"akl,wlg", NULL, "akl,wlg", true},
        {NULL, "wlg", "wlg", true},
        {"wlg,akl,wlg", "chc,wlg", "wlg", true},
        {"akl", "wlg", "", false},
        {"nowhere", NULL, "nowhere", false},
        {"akl,nowhere", "nowhere", "nowhere", false},
        {"", NULL, "", false},
    };
    hs_topology *topology = hs_topology_new(ZONES);
    for (size_t index = 0; index < G_N_ELEMENTS(cases); index++) {
        hs_region_policy policy = {.topology = topology,
                                   .regions_of_route = make_list(cases[index].route),
                                   .regions_of_tenant = make_list(cases[index].tenant)};
        bool is_restricted = cases[index].allowed != NULL;
        g_autofree char *allowed = hs_region_policy_describe(&policy);
        CU_ASSERT_EQUAL(hs_region_policy_is_restricted(&policy), is_restricted);
        CU_ASSERT_EQUAL(hs_region_policy_can_be_met(&policy), cases[index].can_be_met);
        CU_ASSERT_STRING_EQUAL(allowed, is_restricted ? cases[index].allowed : "");
        CU_ASSERT_EQUAL(hs_region_policy_allows_zone(&policy, "odd"), !is_restricted);
        CU_ASSERT_EQUAL(hs_region_policy_allows_zone(&policy, NULL), !is_restricted);
        free_list((GPtrArray *)policy.regions_of_route);
        free_list((GPtrArray *)policy.regions_of_tenant);
    }
    hs_topology_free(topology);
}

/**
 * Every hop of a body or result, for a route that allows wlg. Guards against a copy in a region
 * that is neither allowed nor the caller's.
 */
static void every_hop_stays_in_allowed_regions(void) {
    static const struct {
        const char *caller; /**< Region of the daemon that took the call. */
        const char *next;   /**< Region of the next daemon or engine. */
        bool engine;        /**< From a daemon to an engine, and its answer. */
        bool peer;          /**< From the caller's daemon to another one, to store or answer. */
    } hops[] = {
        {"akl", "akl", false, true},  {"akl", "wlg", true, true}, {"akl", "chc", false, false},
        {"wlg", "akl", false, false}, {"wlg", "wlg", true, true}, {"akl", NULL, false, false},
        {NULL, NULL, false, false},   {NULL, "wlg", true, true},  {NULL, "akl", false, false},
    };
    g_autoptr(GPtrArray) allowed = make_list("wlg");
    hs_region_policy policy = {.regions_of_route = allowed};
    for (size_t index = 0; index < G_N_ELEMENTS(hops); index++) {
        CU_ASSERT_EQUAL(hs_region_policy_allows_region(&policy, hops[index].next),
                        hops[index].engine);
        hs_body_regions body = {.policy = policy, .caller_region = hops[index].caller};
        hs_body_regions mixed = {.caller_region = hops[index].caller, .is_mixed = true};
        CU_ASSERT_EQUAL(hs_body_regions_allow(&body, hops[index].next), hops[index].peer);
        CU_ASSERT_FALSE(hs_body_regions_allow(&mixed, hops[index].next));
        CU_ASSERT_TRUE(hs_body_regions_allow(NULL, hops[index].next));
    }
}

static void put_engine(hs_fleet_engines *engines, const char *id, const char *zone) {
    hs_engine_entry entry = {.id = g_strdup(id),
                             .service = g_strdup("svc"),
                             .zone = g_strdup(zone),
                             .address = 0x7f000001,
                             .port = 1,
                             .slots = 2};
    hs_fleet_engines_put(engines, &entry, hs_clock_monotonic_ms());
}

static void read_list(hs_fleet_engines *engines, bool keeps_all) {
    GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
    hs_fleet_engines_keep_only(engines, listed, hs_clock_monotonic_ms() + (keeps_all ? 60000 : 0));
    g_hash_table_destroy(listed);
}

/** Guards against a request that is held, or judged by load, on engines that it may not use. */
static void outlook_counts_allowed_engines_only(void) {
    hs_topology *topology = hs_topology_new(ZONES);
    hs_fleet_engines *engines = hs_fleet_engines_new("akl-a");
    hs_fleet_engines_set_topology(engines, topology);
    g_autoptr(GPtrArray) allowed = make_list("wlg");
    hs_region_policy policy = {.topology = topology, .regions_of_route = allowed};
    hs_engine_query query = {.service = "svc", .regions = policy};
    put_engine(engines, "near", "akl-a");
    put_engine(engines, "odd", "odd");
    read_list(engines, true);
    CU_ASSERT_PTR_NULL(hs_fleet_engines_acquire(engines, &query));
    hs_service_outlook none = hs_fleet_engines_outlook_in(engines, "svc", &policy);
    CU_ASSERT(none.is_known && none.engines == 0 && none.slots == 0);
    CU_ASSERT_EQUAL(hs_fleet_engines_outlook(engines, "svc").engines, 2);
    CU_ASSERT_EQUAL(hs_fleet_engines_outlook(engines, "svc").absent_ms, 0);
    CU_ASSERT_EQUAL(hs_fleet_engines_capacity_in(engines, "svc", &policy).slots, 0);
    hs_clock_sleep_ms(20);
    CU_ASSERT(hs_fleet_engines_outlook_in(engines, "svc", &policy).absent_ms >= 20);
    put_engine(engines, "far", "wlg-b");
    hs_service_outlook one = hs_fleet_engines_outlook_in(engines, "svc", &policy);
    CU_ASSERT(one.engines == 1 && one.slots == 2 && one.absent_ms == 0);
    CU_ASSERT(one.last_absence_ms >= 20);
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
    CU_ASSERT_STRING_EQUAL(hs_engine_lease_id(lease), "far");
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_UNREACHABLE);
    CU_ASSERT_EQUAL(hs_fleet_engines_outlook_in(engines, "svc", &policy).healthy, 0);
    CU_ASSERT_EQUAL(hs_fleet_engines_outlook(engines, "svc").healthy, 2);
    hs_fleet_engines_free(engines);
    hs_topology_free(topology);
}

/** Returns a random list; NULL in about a third of the cases. */
static GPtrArray *draw_list(GRand *random) {
    if (g_rand_int_range(random, 0, 3) == 0)
        return NULL;
    GPtrArray *list = make_list("");
    for (size_t index = 0; index < G_N_ELEMENTS(regions); index++)
        if (g_rand_boolean(random))
            g_ptr_array_add(list, g_strdup(regions[index]));
    return list;
}

static hs_fleet_config *draw_config(GRand *random, uint64_t version) {
    hs_fleet_config *config = hs_fleet_config_new();
    config->version = version;
    hs_fleet_route *route = g_new0(hs_fleet_route, 1);
    route->name = g_strdup("r");
    route->host = g_strdup("h");
    route->path_prefix = g_strdup("/");
    route->shares = g_array_new(FALSE, TRUE, sizeof(hs_route_share));
    route->allowed_regions = draw_list(random);
    g_ptr_array_add(config->routes, route);
    hs_fleet_tenant *tenant = g_new0(hs_fleet_tenant, 1);
    tenant->name = g_strdup("t");
    tenant->keys = g_ptr_array_new_with_free_func(g_free);
    tenant->allowed_regions = draw_list(random);
    g_ptr_array_add(config->tenants, tenant);
    return config;
}

static bool lists(const GPtrArray *list, const char *region) {
    return list == NULL || (region != NULL && g_ptr_array_find_with_equal_func(
                                                  (GPtrArray *)list, region, g_str_equal, NULL));
}

/** Whether the newest configuration allows an engine in the zone, by the rules' wording. */
static bool is_allowed(const hs_fleet_config *config, const hs_topology *topology,
                       const char *zone) {
    const hs_fleet_route *route = config->routes->pdata[0];
    const hs_fleet_tenant *tenant = config->tenants->pdata[0];
    const char *region = hs_topology_region(topology, zone);
    return lists(route->allowed_regions, region) && lists(tenant->allowed_regions, region);
}

/** Acquires all slots that the request may use; checks each, and that no allowed one is left. */
static void check_engines(hs_fleet_engines *engines, const hs_online_request *request,
                          const hs_fleet_config *config, uint32_t engine_mask) {
    hs_engine_query query = {.service = "svc", .regions = request->regions};
    const hs_topology *topology = hs_fleet_engines_topology(engines);
    g_autoptr(GPtrArray) used = g_ptr_array_new_with_free_func(g_free);
    query.excluded = used;
    uint32_t expected = 0;
    for (size_t index = 0; index < G_N_ELEMENTS(zones); index++)
        expected += (engine_mask >> index & 1) != 0 && is_allowed(config, topology, zones[index]);
    hs_engine_lease *lease = NULL;
    while ((lease = hs_fleet_engines_acquire(engines, &query)) != NULL) {
        CU_ASSERT_TRUE(is_allowed(config, topology, hs_engine_lease_id(lease)));
        g_ptr_array_add(used, g_strdup(hs_engine_lease_id(lease)));
        hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    }
    CU_ASSERT_EQUAL(used->len, expected);
    CU_ASSERT_EQUAL(hs_fleet_engines_outlook_in(engines, "svc", &request->regions).engines,
                    expected);
}

/**
 * Random routes, tenants, engines and versions. Guards against an attempt outside of the regions of
 * the newest configuration, also where an earlier version allowed the engine.
 */
static void attempts_follow_the_newest_configuration(void) {
    GRand *random = g_rand_new_with_seed(26);
    hs_topology *topology = hs_topology_new(ZONES);
    for (int round = 0; round < 60; round++) {
        hs_fleet_engines *engines = hs_fleet_engines_new("akl-a");
        hs_fleet_engines_set_topology(engines, topology);
        uint32_t mask = (uint32_t)g_rand_int_range(random, 0, 1 << G_N_ELEMENTS(zones));
        for (size_t index = 0; index < G_N_ELEMENTS(zones); index++)
            if ((mask >> index & 1) != 0)
                put_engine(engines, zones[index], zones[index]); /* The id is the zone. */
        read_list(engines, true);
        hs_online online = {.engines = engines, .config = hs_config_source_new(NULL, 1000)};
        hs_inbound inbound = {.target = (char *)"/x"};
        hs_online_request request = {.online = &online,
                                     .inbound = &inbound,
                                     .service = "svc",
                                     .tenant = (char *)"t",
                                     .request_id = (char *)"id",
                                     .terms = {.host = "h"}};
        for (uint64_t version = 1; version <= 4; version++) {
            hs_fleet_config *config = draw_config(random, version);
            hs_config_source_apply_if_newer(online.config, hs_fleet_config_ref(config));
            hs_end_reason reason = HS_END_SERVED;
            request.run = version == 4 ? HS_RUN_EXECUTED : HS_RUN_NOT_EXECUTED;
            bool has_region = hs_online_has_allowed_region(&request, &reason);
            bool is_any_known = false;
            for (size_t index = 0; index < G_N_ELEMENTS(zones); index++)
                is_any_known = is_any_known || is_allowed(config, topology, zones[index]);
            CU_ASSERT_EQUAL(has_region, is_any_known);
            if (!has_region)
                CU_ASSERT_EQUAL(reason, version == 4 ? HS_END_BROKEN : HS_END_NO_ALLOWED_REGION);
            check_engines(engines, &request, config, mask);
            hs_fleet_config_unref(config);
        }
        hs_fleet_config_unref(request.regions_config);
        g_free(request.group);
        hs_config_source_free(online.config);
        hs_fleet_engines_free(engines);
    }
    hs_topology_free(topology);
    g_rand_free(random);
}

/** Guards against a refusal without a status that promises that the request never runs. */
static void refusals_have_reasons_of_their_own(void) {
    g_autoptr(GPtrArray) allowed = make_list("wlg");
    hs_online_request request = {0};
    CU_ASSERT_EQUAL(hs_online_refusal_reason(&request, HS_REFUSAL_NO_ENGINE), HS_END_NO_ENGINE);
    g_autofree char *nothing = hs_online_describe_regions(&request);
    CU_ASSERT_STRING_EQUAL(nothing, "");
    request.regions.regions_of_tenant = allowed;
    CU_ASSERT_EQUAL(hs_online_refusal_reason(&request, HS_REFUSAL_NO_ENGINE),
                    HS_END_NO_ENGINE_IN_REGION);
    CU_ASSERT_EQUAL(hs_online_refusal_reason(&request, HS_REFUSAL_QUEUE), HS_END_FULL);
    g_autofree char *text = hs_online_describe_regions(&request);
    CU_ASSERT_STRING_EQUAL(text, " region=wlg");
    CU_ASSERT_EQUAL(hs_end_reason_status(HS_END_NO_ENGINE_IN_REGION), 503);
    CU_ASSERT_EQUAL(hs_end_reason_status(HS_END_NO_ALLOWED_REGION), 503);
    CU_ASSERT_STRING_EQUAL(hs_end_reason_name(HS_END_NO_ENGINE_IN_REGION), "no_engine_in_region");
    CU_ASSERT_STRING_EQUAL(hs_end_reason_name(HS_END_NO_ALLOWED_REGION), "no_allowed_region");
}

typedef struct {
    hs_held_requests *held;
    const char *group;
    bool is_woken;
} waiter;

static gpointer wait_for_slot(gpointer data) {
    waiter *self = data;
    hs_queue_priority priority = {.is_in_time = true};
    hs_held_request *request = hs_held_requests_enter(self->held, self->group, &priority);
    self->is_woken = hs_held_requests_wait(self->held, request, &priority, -1, 5000);
    hs_held_requests_leave(self->held, request, true);
    return NULL;
}

/**
 * Guards against restricted requests that get no free slot because others are woken first, and
 * against others that wait behind a restricted one.
 */
static void free_slot_wakes_restricted_and_other_requests(void) {
    hs_held_requests *held = hs_held_requests_new();
    waiter waiters[] = {{held, "svc", false}, {held, "svc@wlg", false}, {held, "svc@akl", false}};
    GThread *threads[G_N_ELEMENTS(waiters)];
    for (size_t index = 0; index < G_N_ELEMENTS(waiters); index++) {
        threads[index] = g_thread_new("waiter", wait_for_slot, &waiters[index]);
        while (hs_held_requests_view(held, waiters[index].group, NULL).held == 0)
            hs_clock_sleep_ms(1);
    }
    hs_clock_sleep_ms(20); /* Lets the threads begin to wait. */
    CU_ASSERT_FALSE(hs_held_requests_wake(held, "sv"));
    CU_ASSERT_TRUE(hs_held_requests_wake(held, "svc"));
    for (size_t index = 0; index < G_N_ELEMENTS(waiters); index++) {
        g_thread_join(threads[index]);
        CU_ASSERT_TRUE(waiters[index].is_woken);
    }
    hs_held_requests_free(held);
}

/** Adds daemons to a membership that has only this one; addresses are 10.0.0.NUMBER. */
static void add_daemons(hs_membership *membership, const char *const *places) {
    for (uint32_t index = 0; places[index] != NULL; index++) {
        g_autofree char *id = g_strdup_printf("daemon-%u", index);
        Hs__MemberRecord record = HS__MEMBER_RECORD__INIT;
        record.id = id;
        record.zone = (char *)places[index];
        record.incarnation = 1;
        record.version = 1;
        record.address = 0x0a000000 + index;
        record.peer_port = 1;
        record.admin_port = 2;
        hs_membership_apply_record(membership, &record, HS_RECORD_FROM_GOSSIP, 1);
    }
}

/** Returns the numbers of the daemons in an answer, sorted; "": none. */
static char *resolve(const hs_membership *membership, const hs_resolve_query *query) {
    g_auto(GStrv) addresses = hs_resolve_addresses(membership, query);
    GString *text = g_string_new(NULL);
    for (int number = 0; number < 10; number++) {
        g_autofree char *address = g_strdup_printf("10.0.0.%d:2", number);
        if (addresses != NULL && g_strv_contains((const char *const *)addresses, address))
            g_string_append_printf(text, "%d", number);
    }
    return g_string_free(text, FALSE);
}

/** Guards against answers that send callers out of their region or the allowed ones. */
static void addresses_are_of_the_zone_then_region_then_allowed(void) {
    static const char *const places[] = {"akl-a", "akl-b", "akl-b", "wlg-a", "wlg-b", "odd", NULL};
    static const struct {
        const char *zones; /**< Of the topology. */
        const char *zone;
        const char *region;
        const char *allowed;
        const char *expected;
    } cases[] = {
        {"", "akl-b", NULL, NULL, "12"},
        {"", "akl-a", "akl", NULL, "012345"}, /* Without regions: the zone, then all. */
        {"akl-a:akl,akl-b:akl", "akl-a", "akl", NULL, "012345"},
        {"", NULL, NULL, NULL, "012345"},
        {ZONES, "akl-b", NULL, NULL, "12"},
        {ZONES, "akl-a", NULL, NULL, "012"},
        {ZONES, "akl-a", "wlg", "wlg", "012"}, /* The settings' region of the zone counts. */
        {ZONES, NULL, "akl", NULL, "012"},
        {ZONES, "other", "wlg", NULL, "34"},
        {ZONES, NULL, NULL, NULL, "012345"},
        {ZONES, NULL, NULL, "wlg", "34"},
        {ZONES, "chc-a", NULL, NULL, "012345"},
        {ZONES, "chc-a", NULL, "wlg", "34"},
        {ZONES, "chc-a", NULL, "chc", "012345"}, /* No daemon is in the region. */
        {"akl-a:akl,wlg-a:wlg", "akl-a", NULL, "wlg", "03"},
        {"akl-a:akl,wlg-a:wlg", "akl-a", NULL, "akl", "0"}, /* One is enough not to leave. */
        {"akl-a:akl,wlg-a:wlg", "akl-a", NULL, NULL, "012345"},
    };
    static const hs_membership_settings settings = {.forget_ms = 1000};
    hs_member self = {.id = (char *)"self", .zone = (char *)"akl-a"};
    hs_membership *membership = hs_membership_new(&self, &settings, 1);
    add_daemons(membership, places);
    for (size_t index = 0; index < G_N_ELEMENTS(cases); index++) {
        hs_topology *topology = hs_topology_new(cases[index].zones);
        GPtrArray *allowed = make_list(cases[index].allowed);
        hs_resolve_query query = {.zone = cases[index].zone,
                                  .region = cases[index].region,
                                  .allowed_regions = allowed,
                                  .topology = topology,
                                  .without_self = true};
        g_autofree char *found = resolve(membership, &query);
        CU_ASSERT_STRING_EQUAL(found, cases[index].expected);
        free_list(allowed);
        hs_topology_free(topology);
    }
    hs_membership_free(membership);
}

/** Guards against a host that is taken for unrestricted, or restricted by another host's route. */
static void regions_of_a_host_are_those_of_its_routes(void) {
    static const char text[] =
        "{\"version\":1,\"routes\":["
        "{\"name\":\"a\",\"host\":\"one.nz\",\"path-prefix\":\"/a\",\"allowed-regions\":[\"akl\"]},"
        "{\"name\":\"b\",\"host\":\"one.nz\",\"path-prefix\":\"/b\",\"allowed-regions\":[\"wlg\"]},"
        "{\"name\":\"c\",\"host\":\"two.nz\",\"path-prefix\":\"/\"}],\"services\":[]}";
    hs_error error = {0};
    hs_fleet_config *config = hs_platform_read_config(text, strlen(text), &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    g_autoptr(GPtrArray) one = hs_region_policy_regions_of_host(config, "One.nz:80");
    CU_ASSERT_EQUAL(one != NULL ? one->len : 0, 2);
    CU_ASSERT_PTR_NULL(hs_region_policy_regions_of_host(config, "two.nz"));
    CU_ASSERT_PTR_NULL(hs_region_policy_regions_of_host(config, "one"));
    hs_fleet_config_unref(config);
}

/** An owner with engines in akl only, for plans without threads or a store. */
typedef struct {
    hs_topology *topology;
    hs_job_owner owner;
    GArray *open;
    hs_owned_item item;
    hs_item_run run;
} item_fixture;

static void begin_items(item_fixture *fixture) {
    *fixture = (item_fixture){.topology = hs_topology_new(ZONES)};
    fixture->owner.settings.engines = hs_fleet_engines_new("akl-a");
    fixture->owner.services = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    hs_fleet_engines_set_topology(fixture->owner.settings.engines, fixture->topology);
    put_engine(fixture->owner.settings.engines, "near", "akl-a");
    fixture->item.run = &fixture->run;
    fixture->open = g_array_new(FALSE, TRUE, sizeof(hs_open_item));
}

static void end_items(item_fixture *fixture) {
    hs_fleet_engines_free(fixture->owner.settings.engines);
    g_hash_table_destroy(fixture->owner.services);
    g_array_free(fixture->open, TRUE);
    hs_topology_free(fixture->topology);
}

static void add_item(item_fixture *fixture, const GPtrArray *allowed, int64_t left_ms) {
    hs_open_item entry = {.item = &fixture->item,
                          .service = g_intern_string("svc"),
                          .left_ms = left_ms,
                          .remaining_ms = 100,
                          .regions = {.topology = fixture->topology, .regions_of_route = allowed}};
    g_autofree char *group = hs_region_policy_group(&entry.regions, entry.service);
    entry.group = g_intern_string(group);
    g_array_append_val(fixture->open, entry);
}

/**
 * Guards against items without an engine in their regions that make all others urgent, take slots
 * from them, or wait unreported.
 */
static void items_without_region_do_not_affect_others(void) {
    item_fixture fixture;
    g_autoptr(GPtrArray) far = make_list("wlg");
    g_autoptr(GPtrArray) none = make_list("nowhere");
    begin_items(&fixture);
    add_item(&fixture, NULL, 60000);
    hs_job_plan_make(&fixture.owner, fixture.open);
    int32_t rank_alone_ms = g_array_index(fixture.open, hs_open_item, 0).rank_ms;
    uint64_t work_ms = hs_fleet_engines_batch_work(fixture.owner.settings.engines);
    for (int index = 0; index < 50; index++)
        add_item(&fixture, index < 20 ? far : none, 50);
    hs_job_starts_observe(&fixture.owner, fixture.open);
    hs_job_regions_observe(&fixture.owner, fixture.open);
    hs_job_plan_make(&fixture.owner, fixture.open);
    CU_ASSERT_EQUAL(fixture.open->len, 51);
    for (guint index = 0; index < fixture.open->len; index++) {
        const hs_open_item *entry = &g_array_index(fixture.open, hs_open_item, index);
        bool is_restricted = hs_region_policy_is_restricted(&entry->regions);
        CU_ASSERT_EQUAL(entry->is_urgent, is_restricted);
        if (!is_restricted)
            CU_ASSERT_EQUAL(entry->rank_ms, rank_alone_ms);
    }
    CU_ASSERT_EQUAL(hs_fleet_engines_batch_work(fixture.owner.settings.engines), work_ms);
    CU_ASSERT_EQUAL(fixture.owner.region_waits.no_engine_in_region, 20);
    CU_ASSERT_EQUAL(fixture.owner.region_waits.no_allowed_region, 30);
    end_items(&fixture);
}

/** Returns how the item's attempt ended by a configuration that allows @p allowed on its route. */
static hs_item_attempt_end attempt_item(hs_item_run *run, hs_fleet_engines *engines,
                                        const char *allowed) {
    GRand *random = g_rand_new_with_seed(1);
    hs_fleet_config *config = draw_config(random, 1);
    hs_fleet_route *route = config->routes->pdata[0];
    hs_route_share share = {.service = (char *)"svc", .weight = 1};
    g_array_append_val(route->shares, share);
    free_list(route->allowed_regions);
    route->allowed_regions = make_list(allowed);
    hs_item_attempt_terms terms = {.engines = engines, .config = config, .own_region = "akl"};
    run->engine_id[0] = '\0';
    hs_item_attempt_end end = hs_item_run_attempt(run, &terms);
    hs_fleet_config_unref(config);
    g_rand_free(random);
    return end;
}

/** Guards against items that start outside of the regions of the configuration in force. */
static void items_start_at_allowed_engines_only(void) {
    item_fixture fixture;
    begin_items(&fixture);
    Hs__JobItemContent content = HS__JOB_ITEM_CONTENT__INIT;
    content.path = (char *)"/items";
    fixture.run = (hs_item_run){.job_id = (char *)"job",
                                .host = (char *)"h",
                                .job_target = (char *)"/jobs",
                                .item_id = (char *)"item",
                                .content = &content,
                                .give_up_ms = hs_clock_monotonic_ms() + 5000,
                                .texts = g_ptr_array_new()};
    hs_interrupt_init(&fixture.run.interrupt);
    hs_fleet_engines *engines = fixture.owner.settings.engines;
    CU_ASSERT_EQUAL(attempt_item(&fixture.run, engines, "wlg"), HS_ITEM_ATTEMPT_NO_CAPACITY);
    CU_ASSERT_STRING_EQUAL(fixture.run.engine_id, "");
    CU_ASSERT_EQUAL(attempt_item(&fixture.run, engines, "akl"), HS_ITEM_ATTEMPT_BROKEN);
    CU_ASSERT_STRING_EQUAL(fixture.run.engine_id, "near");
    hs_interrupt_clear(&fixture.run.interrupt);
    g_ptr_array_free(fixture.run.texts, TRUE);
    end_items(&fixture);
}

/** Guards against an owner that returns results of a job whose route is not known yet. */
static void results_of_unknown_jobs_stay_where_all_jobs_may_be(void) {
    GRand *random = g_rand_new_with_seed(1);
    hs_topology *topology = hs_topology_new(ZONES);
    hs_fleet_config *config = draw_config(random, 1);
    hs_fleet_route *route = config->routes->pdata[0];
    hs_fleet_tenant *tenant = config->tenants->pdata[0];
    free_list(route->allowed_regions);
    free_list(tenant->allowed_regions);
    route->allowed_regions = make_list("wlg,chc");
    tenant->allowed_regions = make_list("wlg");
    route->kind = HS_ROUTE_BATCH;
    CU_ASSERT_TRUE(hs_region_policy_allows_any_job(topology, config, "", "chc", "akl"));
    CU_ASSERT_TRUE(hs_region_policy_allows_any_job(topology, config, "", "akl", "akl"));
    CU_ASSERT_FALSE(hs_region_policy_allows_any_job(topology, config, "", "akl", "wlg"));
    CU_ASSERT_FALSE(hs_region_policy_allows_any_job(topology, config, "t", "chc", "akl"));
    CU_ASSERT_FALSE(hs_region_policy_allows_any_job(topology, config, "", NULL, "akl"));
    route->kind = HS_ROUTE_STREAMING;
    CU_ASSERT_TRUE(hs_region_policy_allows_any_job(topology, config, "t", "akl", "wlg"));
    hs_fleet_config_unref(config);
    hs_topology_free(topology);
    g_rand_free(random);
}

#define RUNNERS 74
#define PARTITIONS 64

/** Lists daemons with hashes from 1 on, spread over three regions; @p lost is left out. */
static GArray *list_daemons(uint64_t lost) {
    GArray *daemons = g_array_new(FALSE, FALSE, sizeof(hs_daemon_region));
    for (uint64_t number = 1; number <= RUNNERS; number++) {
        hs_daemon_region daemon = {.daemon = number, .region = regions[number % 3]};
        if (number != lost)
            g_array_append_val(daemons, daemon);
    }
    return daemons;
}

/**
 * Guards against a runner outside of the regions, against partitions that move although their
 * runner lives, and against one daemon that runs far more than its share.
 */
static void restricted_items_have_one_runner_in_their_regions(void) {
    g_autoptr(GPtrArray) allowed = make_list("wlg");
    g_autoptr(GPtrArray) none = make_list("nowhere");
    hs_region_policy policy = {.regions_of_route = allowed};
    hs_region_policy unmet = {.regions_of_route = none};
    g_autoptr(GArray) all = list_daemons(0);
    uint32_t partitions[RUNNERS + 1] = {0};
    for (uint32_t number = 0; number < PARTITIONS; number++) {
        uint64_t runner = hs_region_runner_choose(all, number, &policy);
        CU_ASSERT_FATAL(runner > 0 && runner <= RUNNERS);
        CU_ASSERT_STRING_EQUAL(regions[runner % 3], "wlg");
        CU_ASSERT(++partitions[runner] <= PARTITIONS / 8);
        CU_ASSERT_EQUAL(hs_region_runner_choose(all, number, &unmet), HS_NO_RUNNER);
        for (uint64_t lost = 1; lost <= RUNNERS; lost++) {
            g_autoptr(GArray) rest = list_daemons(lost);
            uint64_t next = hs_region_runner_choose(rest, number, &policy);
            CU_ASSERT_EQUAL(next == runner, lost != runner);
        }
    }
}

/** Guards against a policy of some tenant or route for which no daemon follows the partitions. */
static void policies_of_all_batch_routes_and_tenants_are_listed(void) {
    GRand *random = g_rand_new_with_seed(1);
    hs_fleet_config *config = draw_config(random, 1);
    hs_fleet_route *route = config->routes->pdata[0];
    hs_fleet_tenant *tenant = config->tenants->pdata[0];
    free_list(route->allowed_regions);
    free_list(tenant->allowed_regions);
    route->allowed_regions = NULL;
    tenant->allowed_regions = make_list("wlg");
    GArray *online = hs_region_runner_list_policies(NULL, config);
    route->kind = HS_ROUTE_BATCH;
    GArray *of_tenant = hs_region_runner_list_policies(NULL, config);
    route->allowed_regions = make_list("akl,wlg");
    GArray *of_both = hs_region_runner_list_policies(NULL, config);
    CU_ASSERT_EQUAL(online->len, 0);
    CU_ASSERT_EQUAL(of_tenant->len, 1);
    CU_ASSERT_EQUAL(of_both->len, 2);
    g_array_free(online, TRUE);
    g_array_free(of_tenant, TRUE);
    g_array_free(of_both, TRUE);
    hs_fleet_config_unref(config);
    g_rand_free(random);
}

const test_case region_tests[] = {
    {"both_restrictions_apply", both_restrictions_apply},
    {"every_hop_stays_in_allowed_regions", every_hop_stays_in_allowed_regions},
    {"outlook_counts_allowed_engines_only", outlook_counts_allowed_engines_only},
    {"attempts_follow_the_newest_configuration", attempts_follow_the_newest_configuration},
    {"refusals_have_reasons_of_their_own", refusals_have_reasons_of_their_own},
    {"free_slot_wakes_restricted_and_other_requests",
     free_slot_wakes_restricted_and_other_requests},
    {"addresses_are_of_the_zone_then_region_then_allowed",
     addresses_are_of_the_zone_then_region_then_allowed},
    {"regions_of_a_host_are_those_of_its_routes", regions_of_a_host_are_those_of_its_routes},
    {"items_without_region_do_not_affect_others", items_without_region_do_not_affect_others},
    {"items_start_at_allowed_engines_only", items_start_at_allowed_engines_only},
    {"results_of_unknown_jobs_stay_where_all_jobs_may_be",
     results_of_unknown_jobs_stay_where_all_jobs_may_be},
    {"restricted_items_have_one_runner_in_their_regions",
     restricted_items_have_one_runner_in_their_regions},
    {"policies_of_all_batch_routes_and_tenants_are_listed",
     policies_of_all_batch_routes_and_tenants_are_listed},
    {NULL, NULL},
};
