/** @file test_routing.c  Tests of engine choice, engine health, retry budget and tenant limits. */
#include "config/config_object.h"
#include "routing/engine_table.h"
#include "routing/retry_budget.h"
#include "routing/route.h"
#include "routing/tenant_limits.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

static void picks_the_only_available_candidate(void) {
    GRand *random = g_rand_new_with_seed(1);
    hs_route_candidate candidates[] = {{.engine_id = "a", .holds_model = true, .available = false},
                                       {.engine_id = "b", .holds_model = true, .available = true}};
    hs_route_choice choice = hs_route_pick(candidates, 2, random);
    CU_ASSERT_EQUAL(choice.index, 1);
    CU_ASSERT_EQUAL(choice.reason, HS_ROUTE_ONLY_ONE);
    candidates[1].available = false;
    CU_ASSERT_EQUAL(hs_route_pick(candidates, 2, random).index, -1);
    g_rand_free(random);
}

static void prefers_the_affine_engine_until_it_is_loaded(void) {
    GRand *random = g_rand_new_with_seed(1);
    hs_route_candidate candidates[4];
    for (int index = 0; index < 4; index++)
        candidates[index] = (hs_route_candidate){.holds_model = true,
                                                 .available = true,
                                                 .same_zone = true,
                                                 .prefix_weight = (uint64_t)index + 1,
                                                 .online_in_flight = 1};
    candidates[3].online_in_flight = 0;
    CU_ASSERT_EQUAL(hs_route_pick(candidates, 4, random).index, 3);
    candidates[3].online_in_flight = 50;
    candidates[2].online_in_flight = 50;
    int elsewhere = 0;
    for (int round = 0; round < 100; round++)
        elsewhere += hs_route_pick(candidates, 4, random).index < 2;
    CU_ASSERT(elsewhere > 60);
    g_rand_free(random);
}

static void avoids_an_engine_without_the_model(void) {
    GRand *random = g_rand_new_with_seed(1);
    hs_route_candidate candidates[] = {
        {.available = true, .holds_model = false, .same_zone = true, .prefix_weight = 9},
        {.available = true, .holds_model = true, .online_in_flight = 20, .prefix_weight = 1}};
    CU_ASSERT_EQUAL(hs_route_pick(candidates, 2, random).index, 1);
    g_rand_free(random);
}

/** A table with engines a and b of one group. */
typedef struct {
    hs_engine_table *table;
    hs_engine_group group;
    hs_routing_query query;
} table_fixture;

static void open_table(table_fixture *fixture) {
    static const hs_engine_table_settings settings = {
        .subset_size = 8, .max_in_flight = 4, .ejection_failures = 2, .ejection_ms = 100};
    fixture->table = hs_engine_table_new("daemon", "z", &settings);
    fixture->group =
        (hs_engine_group){.name = (char *)"g", .selector = json_pack("{s:s}", "service", "s")};
    fixture->query = (hs_routing_query){.group = &fixture->group, .model = "m", .prefix_hash = 1};
    json_t *labels = json_pack("{s:s}", "service", "s");
    hs_engine_table_begin_listing(fixture->table);
    hs_engine_table_put_listed(fixture->table, "a", "http://127.0.0.1:1", "z", labels, false);
    hs_engine_table_put_listed(fixture->table, "b", "http://127.0.0.1:2", "z", labels, false);
    hs_engine_table_end_listing(fixture->table);
    json_decref(labels);
}

static void close_table(table_fixture *fixture) {
    json_decref(fixture->group.selector);
    hs_engine_table_free(fixture->table);
}

static bool acquire_and_finish(table_fixture *fixture, hs_attempt_verdict verdict, uint64_t now_ms,
                               char id[64]) {
    hs_engine_choice choice;
    if (!hs_engine_table_acquire(fixture->table, &fixture->query, now_ms, &choice))
        return false;
    g_strlcpy(id, choice.id, 64);
    hs_engine_table_finish(fixture->table, choice.id, "m", verdict, now_ms);
    return true;
}

static void leaving_engine_gets_no_new_work(void) {
    table_fixture fixture;
    open_table(&fixture);
    char first[64];
    char next[64];
    CU_ASSERT_TRUE(acquire_and_finish(&fixture, HS_ATTEMPT_VERDICT_LEAVING, 1, first));
    for (int round = 0; round < 20; round++) {
        CU_ASSERT_TRUE(acquire_and_finish(&fixture, HS_ATTEMPT_VERDICT_COMPLETED, 2, next));
        CU_ASSERT_STRING_NOT_EQUAL(first, next);
    }
    close_table(&fixture);
}

static void lagging_report_does_not_clear_a_recent_leaving_mark(void) {
    table_fixture fixture;
    open_table(&fixture);
    hs_engine_table_note_leaving(fixture.table, "a", true, 1000);
    hs_engine_table_note_serving(fixture.table, "a", 1500);
    CU_ASSERT_TRUE(hs_engine_table_is_avoided(fixture.table, "a", 1600));
    g_autoptr(GPtrArray) leaving = hs_engine_table_list_leaving(fixture.table, 1600);
    CU_ASSERT_EQUAL(leaving->len, 1);
    hs_engine_table_note_serving(fixture.table, "a", 4100);
    CU_ASSERT_FALSE(hs_engine_table_is_avoided(fixture.table, "a", 4100));
    close_table(&fixture);
}

static void failing_engine_is_ejected_and_returns(void) {
    table_fixture fixture;
    open_table(&fixture);
    json_t *labels = json_pack("{s:s}", "service", "s");
    hs_engine_table_begin_listing(fixture.table);
    hs_engine_table_put_listed(fixture.table, "a", "http://127.0.0.1:1", "z", labels, false);
    hs_engine_table_end_listing(fixture.table);
    json_decref(labels);
    char id[64];
    CU_ASSERT_TRUE(acquire_and_finish(&fixture, HS_ATTEMPT_VERDICT_FAILED, 1, id));
    CU_ASSERT_TRUE(acquire_and_finish(&fixture, HS_ATTEMPT_VERDICT_FAILED, 2, id));
    CU_ASSERT_FALSE(acquire_and_finish(&fixture, HS_ATTEMPT_VERDICT_COMPLETED, 50, id));
    CU_ASSERT_TRUE(acquire_and_finish(&fixture, HS_ATTEMPT_VERDICT_FAILED, 103, id));
    CU_ASSERT_FALSE(acquire_and_finish(&fixture, HS_ATTEMPT_VERDICT_COMPLETED, 250, id));
    CU_ASSERT_TRUE(acquire_and_finish(&fixture, HS_ATTEMPT_VERDICT_COMPLETED, 310, id));
    close_table(&fixture);
}

static void engines_at_their_limit_are_not_chosen(void) {
    table_fixture fixture;
    open_table(&fixture);
    hs_engine_choice choice;
    for (int count = 0; count < 8; count++)
        CU_ASSERT_TRUE(hs_engine_table_acquire(fixture.table, &fixture.query, 1, &choice));
    CU_ASSERT_FALSE(hs_engine_table_acquire(fixture.table, &fixture.query, 1, &choice));
    close_table(&fixture);
}

static void retries_stay_within_the_budget(void) {
    hs_retry_budget budget;
    hs_retry_budget_init(&budget, 10);
    int retries = 0;
    for (int request = 0; request < 1000; request++) {
        hs_retry_budget_note_request(&budget);
        retries += hs_retry_budget_take(&budget);
    }
    CU_ASSERT(retries >= 100 && retries <= 111);
}

#define LIMIT_EDGES 3
#define LIMIT_RATE 100
#define LIMIT_SECONDS 10

/** Returns a view with one limit. Release with hs_config_view_release. */
static hs_config_view *view_with_limit(const char *object_json) {
    hs_config_fold *fold = hs_config_fold_new();
    Hs__ConfigChange change = HS__CONFIG_CHANGE__INIT;
    change.change_id = (char *)"c";
    change.kind = (char *)HS_KIND_LIMIT;
    change.name = (char *)"tenant";
    change.object_json = (char *)object_json;
    hs_config_fold_apply(fold, 0, &change);
    hs_config_view *view = hs_config_view_new(fold);
    hs_config_fold_free(fold);
    return view;
}

/** Edges and a limit owner that exchange messages without a network. */
typedef struct {
    hs_config_view *view;
    hs_limit_owner *owner;
    hs_tenant_limits *edges[LIMIT_EDGES];
    int sending_edge; /**< Edge whose request is forwarded; -1 - allowance after the response. */
    uint64_t now_ms;
} limit_fixture;

static void forward_request(const hs_allowance_request *request, void *user_data) {
    limit_fixture *fixture = user_data;
    hs_allowance_request request_with_edge = *request;
    char edge_id[8];
    g_snprintf(edge_id, sizeof edge_id, "edge-%d", fixture->sending_edge);
    request_with_edge.edge_id = edge_id;
    const hs_tenant_limit *limit = hs_config_view_find_limit(fixture->view, request->tenant);
    uint32_t allowance =
        hs_limit_owner_grant(fixture->owner, limit, &request_with_edge, fixture->now_ms);
    /* The edge's lock is held here, so run_one_ms adds the allowance afterwards. */
    fixture->sending_edge = -1 - (int)allowance;
}

/** Runs the allowance requests and requests of all edges for 1 ms. Returns requests admitted. */
static int run_one_ms(limit_fixture *fixture, const int *interval_ms) {
    int admitted = 0;
    fixture->now_ms++;
    for (int edge = 0; edge < LIMIT_EDGES; edge++) {
        fixture->sending_edge = edge;
        hs_tenant_limits_send_requests(fixture->edges[edge], fixture->view, fixture->now_ms,
                                       forward_request, fixture);
        if (fixture->sending_edge < 0)
            hs_tenant_limits_add_allowance(fixture->edges[edge], "tenant",
                                           (uint32_t)(-1 - fixture->sending_edge));
        if (interval_ms[edge] == 0 || fixture->now_ms % (uint64_t)interval_ms[edge] != 0)
            continue;
        if (hs_tenant_limits_enter(fixture->edges[edge], fixture->view, "tenant", LIMIT_EDGES,
                                   fixture->now_ms) != 0)
            continue;
        admitted++;
        hs_tenant_limits_leave(fixture->edges[edge], "tenant");
    }
    return admitted;
}

/** Returns the requests admitted if edge e receives one per interval_ms[e] (0: none). */
static int admitted_under_rate(const int *interval_ms) {
    limit_fixture fixture = {.view = view_with_limit("{\"requests_per_second\":100}"),
                             .owner = hs_limit_owner_new(),
                             .now_ms = 5000};
    for (int edge = 0; edge < LIMIT_EDGES; edge++)
        fixture.edges[edge] = hs_tenant_limits_new();
    int admitted = 0;
    for (int ms = 0; ms < LIMIT_SECONDS * 1000; ms++)
        admitted += run_one_ms(&fixture, interval_ms);
    for (int edge = 0; edge < LIMIT_EDGES; edge++)
        hs_tenant_limits_free(fixture.edges[edge]);
    hs_limit_owner_free(fixture.owner);
    hs_config_view_release(fixture.view);
    return admitted;
}

static void rate_limit_holds_for_any_distribution_over_edges(void) {
    static const int patterns[][LIMIT_EDGES] = {{2, 0, 0}, {6, 6, 6}, {2, 30, 200}, {1, 1, 1}};
    const int allowed = LIMIT_RATE * LIMIT_SECONDS;
    for (size_t index = 0; index < G_N_ELEMENTS(patterns); index++) {
        int admitted = admitted_under_rate(patterns[index]);
        CU_ASSERT(admitted >= allowed * 95 / 100);
        CU_ASSERT(admitted <= allowed * 105 / 100);
    }
}

static void demand_below_the_rate_is_not_refused(void) {
    static const int slow[] = {40, 50, 0};
    int sent = LIMIT_SECONDS * 1000 / 40 + LIMIT_SECONDS * 1000 / 50;
    CU_ASSERT(admitted_under_rate(slow) >= sent * 95 / 100);
}

static void equal_share_applies_without_a_limit_owner_response(void) {
    hs_config_view *view = view_with_limit("{\"requests_per_second\":100,\"max_in_flight\":8}");
    hs_tenant_limits *limits = hs_tenant_limits_new();
    limit_fixture fixture = {.view = view, .owner = hs_limit_owner_new(), .now_ms = 5000};
    for (int request = 0; request < 11; request++)
        CU_ASSERT_EQUAL(hs_tenant_limits_enter(limits, view, "tenant", 4, 5000), 0);
    CU_ASSERT(hs_tenant_limits_enter(limits, view, "tenant", 4, 5000) > 0);
    for (int request = 0; request < 11; request++)
        hs_tenant_limits_leave(limits, "tenant");
    hs_tenant_limits_send_requests(limits, view, 5050, forward_request, &fixture);
    CU_ASSERT(hs_tenant_limits_enter(limits, view, "tenant", 4, 5100) > 0);
    /* A quarter of 8 in flight. */
    CU_ASSERT_EQUAL(hs_tenant_limits_enter(limits, view, "tenant", 4, 5600), 0);
    CU_ASSERT_EQUAL(hs_tenant_limits_enter(limits, view, "tenant", 4, 5600), 0);
    CU_ASSERT(hs_tenant_limits_enter(limits, view, "tenant", 4, 5601) > 0);
    CU_ASSERT_EQUAL(hs_tenant_limits_enter(limits, view, "other", 4, 5601), 0);
    hs_limit_owner_free(fixture.owner);
    hs_tenant_limits_free(limits);
    hs_config_view_release(view);
}

static void in_flight_limit_counts_all_edges(void) {
    hs_config_view *view = view_with_limit("{\"max_in_flight\":8}");
    const hs_tenant_limit *limit = hs_config_view_find_limit(view, "tenant");
    hs_limit_owner *owner = hs_limit_owner_new();
    hs_allowance_request first = {.edge_id = "a", .tenant = "tenant", .wanted = 5};
    hs_allowance_request second = {.edge_id = "b", .tenant = "tenant", .wanted = 5};
    CU_ASSERT_EQUAL(hs_limit_owner_grant(owner, limit, &first, 1000), 5);
    CU_ASSERT_EQUAL(hs_limit_owner_grant(owner, limit, &second, 1000), 3);
    first.in_flight = 2;
    CU_ASSERT_EQUAL(hs_limit_owner_grant(owner, limit, &first, 1100), 3);
    second.in_flight = 3;
    CU_ASSERT_EQUAL(hs_limit_owner_grant(owner, limit, &second, 9000), 5);
    hs_limit_owner_free(owner);
    hs_config_view_release(view);
}

const test_case routing_tests[] = {
    {"picks_the_only_available_candidate", picks_the_only_available_candidate},
    {"prefers_the_affine_engine_until_it_is_loaded", prefers_the_affine_engine_until_it_is_loaded},
    {"avoids_an_engine_without_the_model", avoids_an_engine_without_the_model},
    {"leaving_engine_gets_no_new_work", leaving_engine_gets_no_new_work},
    {"lagging_report_does_not_clear_a_recent_leaving_mark",
     lagging_report_does_not_clear_a_recent_leaving_mark},
    {"failing_engine_is_ejected_and_returns", failing_engine_is_ejected_and_returns},
    {"engines_at_their_limit_are_not_chosen", engines_at_their_limit_are_not_chosen},
    {"retries_stay_within_the_budget", retries_stay_within_the_budget},
    {"rate_limit_holds_for_any_distribution_over_edges",
     rate_limit_holds_for_any_distribution_over_edges},
    {"demand_below_the_rate_is_not_refused", demand_below_the_rate_is_not_refused},
    {"equal_share_applies_without_a_limit_owner_response",
     equal_share_applies_without_a_limit_owner_response},
    {"in_flight_limit_counts_all_edges", in_flight_limit_counts_all_edges},
    {NULL, NULL}};
