/** @file test_foreign_records.c  Records and bodies of other writers that no daemon would write. */
#include "base/clock.h"
#include "feed/state_feed.h"
#include "http/listener.h"
#include "platform/config_codec.h"
#include "platform/job_codec.h"
#include "platform/names.h"
#include "platform/store_codec.h"
#include "standin/log_store/log_store.h"
#include "standin/port_lease/port_lease.h"
#include "store/keyed_topic.h"
#include "store/machine_list.h"
#include "tests/unit/unit_tests.h"

#include <netinet/in.h>
#include <pthread.h>
#include <string.h>

/** Stack of the threads that serve callers; see listener.c. */
#define LISTENER_STACK_BYTES (256 * 1024)
#define MAX_LEVELS 100000

/** Returns @p levels times @p opening, 1, and as many times @p closing. */
static char *nest(const char *opening, char closing, int levels) {
    GString *text = g_string_new(NULL);
    for (int level = 0; level < levels; level++)
        g_string_append(text, opening);
    g_string_append_c(text, '1');
    for (int level = 0; level < levels; level++)
        g_string_append_c(text, closing);
    return g_string_free(text, FALSE);
}

static void ignore_item(const hs_submitted_item *item, void *data) {
    (void)item;
    (void)data;
}

/** Parses a submission, a configuration and a page of results that have the value @p data. */
static void *parse_bodies(void *data) {
    static const char *const bodies[] = {
        "{\"requests\":[{\"id\":\"a\",\"path\":\"/p\",\"body\":\"\"}],\"note\":%s}",
        "{\"routes\":[],\"note\":%s}", "{\"total\":1,\"next-page-token\":1,\"note\":%s}"};
    const hs_submission_handler handler = {.on_item = ignore_item};
    for (size_t index = 0; index < G_N_ELEMENTS(bodies); index++) {
        g_auto(GStrv) parts = g_strsplit(bodies[index], "%s", 2);
        g_autofree char *body = g_strjoinv(data, parts);
        hs_error error = {0};
        uint64_t number = 0;
        hs_platform_read_submission(body, strlen(body), &handler, &error);
        hs_fleet_config_unref(hs_platform_read_config(body, strlen(body), &error));
        hs_platform_read_page_bounds(body, strlen(body), &number, &number);
    }
    return NULL;
}

/** Guards against a daemon that ends by a nested body, as its threads' stacks overflow. */
static void nested_bodies_fit_the_stacks_of_listeners(void) {
    static const char *const openings[] = {"[", "{\"a\":"};
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, LISTENER_STACK_BYTES);
    for (int levels = 100; levels <= MAX_LEVELS; levels += levels < 2200 ? 100 : MAX_LEVELS / 4)
        for (size_t kind = 0; kind < G_N_ELEMENTS(openings); kind++) {
            g_autofree char *value = nest(openings[kind], kind == 0 ? ']' : '}', levels);
            pthread_t thread;
            CU_ASSERT_EQUAL_FATAL(pthread_create(&thread, &attributes, parse_bodies, value), 0);
            pthread_join(thread, NULL);
        }
    pthread_attr_destroy(&attributes);
}

/** Returns the value that the feed has for @p key, or NULL. */
static char *get_value(hs_state_feed *feed, const char *key) {
    g_autoptr(GPtrArray) records = hs_state_feed_list(feed);
    for (guint index = 0; index < records->len; index++) {
        const hs_feed_record *record = records->pdata[index];
        gsize length = 0;
        const char *value = g_bytes_get_data(record->value, &length);
        if (strcmp(record->key, key) == 0)
            return g_strndup(value, length);
    }
    return NULL;
}

static void read_feed(hs_state_feed *feed) {
    hs_feed_limits limits = {.store_timeout_ms = 1000};
    hs_feed_batch batch;
    hs_state_feed_read(feed, &limits, &batch);
    CU_ASSERT_EQUAL(batch.outcome, HS_STORE_DONE);
    hs_feed_batch_clear(&batch);
}

/** Guards against a feed that stops at a record whose key can't be read. */
static void a_feed_goes_on_after_records_without_a_valid_key(void) {
    static const struct {
        const char *bytes;
        size_t length;
    } records[] = {{"", 0},        {"\0", 1},        {"\x09k", 2},   {"\xff{}", 3},
                   {"\0value", 6}, {"\x01\xffv", 3}, {"\x02\0av", 4}};
    log_store *store = log_store_start(0);
    hs_store_client *client = hs_store_client_new(INADDR_LOOPBACK, log_store_port(store));
    hs_state_feed *feed = hs_state_feed_new(client, HS_TOPIC_ENGINES, "engines");
    read_feed(feed);
    for (size_t index = 0; index < G_N_ELEMENTS(records); index++) {
        g_autofree char *key = g_strdup_printf("e%zu", index);
        log_store_put_raw(store, TOPIC_ENGINES, records[index].bytes, records[index].length);
        log_store_put(store, TOPIC_ENGINES, key, "joined");
        read_feed(feed);
        g_autofree char *value = get_value(feed, key);
        CU_ASSERT_EQUAL(g_strcmp0(value, "joined"), 0);
        g_autofree char *unnamed = get_value(feed, "");
        CU_ASSERT_PTR_NULL(unnamed); /* Daemons that follow this one would reject it. */
    }
    hs_state_feed_stop(feed);
    hs_state_feed_free(feed);
    hs_store_client_free(client);
    log_store_stop(store);
}

/** Guards against a record that replaces that of another key, of which it only has the start. */
static void a_key_with_a_nul_byte_does_not_replace_another(void) {
    log_store *store = log_store_start(0);
    hs_store_client *client = hs_store_client_new(INADDR_LOOPBACK, log_store_port(store));
    hs_state_feed *feed = hs_state_feed_new(client, HS_TOPIC_ENGINES, "engines");
    log_store_put(store, TOPIC_ENGINES, "e1", "own");
    read_feed(feed);
    log_store_put_raw(store, TOPIC_ENGINES,
                      "\x04"
                      "e1\0xodd",
                      8);
    read_feed(feed);
    g_autofree char *value = get_value(feed, "e1");
    CU_ASSERT_EQUAL(g_strcmp0(value, "own"), 0);
    hs_state_feed_stop(feed);
    hs_state_feed_free(feed);
    hs_store_client_free(client);
    log_store_stop(store);
}

/** Guards against a list that is not read at all since one of its keys is no valid text. */
static void a_page_is_read_without_the_entries_that_are_malformed(void) {
    static const char *const entries[] = {
        "{\"key\":\"\\ud800\",\"value\":\"eA==\",\"offset\":1}",
        "{\"key\":\"e\\u0000x\",\"value\":\"eA==\",\"offset\":1}",
        "{\"key\":\"\xff\",\"value\":\"eA==\",\"offset\":1}",
        "{\"key\":\"\",\"value\":\"eA==\",\"offset\":1}",
        "{\"key\":7,\"value\":\"eA==\",\"offset\":1}",
        "{\"key\":\"x\",\"value\":{},\"offset\":1}",
        "{\"key\":\"x\",\"value\":\"eA==\",\"offset\":18446744073709551616}",
        "{\"key\":\"x\",\"value\":\"eA==\",\"offset\":-1}",
        "{\"key\":\"x\",\"value\":\"eA==\",\"offset\":1e400}",
        "[\"}\\\"\",{\"key\":\"x\"}]",
        "null",
    };
    for (size_t index = 0; index < G_N_ELEMENTS(entries); index++) {
        g_autofree char *page =
            g_strdup_printf("{\"requests\":[{\"key\":\"a\",\"value\":\"eA==\",\"offset\":3}, %s "
                            ",{\"key\":\"b\",\"value\":\"eA==\",\"offset\":4}],"
                            "\"has-more\":true,\"end\":9}",
                            entries[index]);
        g_autoptr(GByteArray) response = g_byte_array_new();
        g_byte_array_append(response, (const guint8 *)page, (guint)strlen(page));
        GArray *read = hs_newest_entries_new();
        hs_newest_page bounds;
        CU_ASSERT_TRUE(hs_platform_read_newest(response, read, &bounds));
        CU_ASSERT_TRUE(bounds.has_more);
        CU_ASSERT_EQUAL(bounds.end, 9);
        CU_ASSERT_EQUAL(bounds.rejected, 1);
        CU_ASSERT_EQUAL(read->len, 2);
        CU_ASSERT_EQUAL(g_bytes_get_size(bounds.last_key), 1);
        CU_ASSERT_EQUAL(*(const char *)g_bytes_get_data(bounds.last_key, NULL), 'b');
        hs_newest_page_clear(&bounds);
        for (guint entry = 0; entry < read->len && read->len == 2; entry++)
            CU_ASSERT_STRING_EQUAL(g_array_index(read, hs_newest_entry, entry).key,
                                   entry == 0 ? "a" : "b");
        g_array_free(read, TRUE);
    }
}

/** A store whose first page has a single entry, with more after it. */
typedef struct {
    const char *entry;
    const char *after; /**< The query's part that requests the second page. */
} odd_store;

static void reply_page(hs_inbound *inbound, void *user_data) {
    const odd_store *store = user_data;
    bool is_second = g_str_has_suffix(inbound->target, store->after);
    g_autofree char *body = g_strdup_printf(
        "{\"requests\":[%s],\"has-more\":%s,\"end\":9}",
        is_second ? "{\"key\":\"\xef\xbf\xbf\",\"value\":\"eA==\",\"offset\":3}" : store->entry,
        is_second ? "false" : "true");
    hs_inbound_reply(inbound, 200, NULL, body, strlen(body));
}

static void count_entry(const hs_newest_entry *entry, void *user_data) {
    (void)entry;
    ++*(guint *)user_data;
}

/** Guards against a list that is never read as all entries of a page are malformed. */
static void a_listing_goes_on_after_a_page_without_valid_entries(void) {
    static odd_store stores[] = {
        {"{\"key\":\"e\",\"value\":\"eA==\",\"offset\":-1}", "&after=e"},
        {"{\"value\":{\"key\":\"a\"},\"offset\":1e400,\"key\":\"e\"}", "&after=e"},
        {"{\"offset\":null, \"value\":\"}\\\"\",\"key\" : \"\\u0065 &\"}", "&after=e%20%26"},
        {"{\"key\":\"e\\u0000x\",\"value\":\"eA==\",\"offset\":1}", "&after=e%00x"},
        {"{\"key\":\"\xff\",\"value\":\"eA==\",\"offset\":1}", "&after=%FF"},
        {"{\"key\":\"\\ud800\",\"value\":\"eA==\",\"offset\":1}", "&after=%ED%A0%80"},
        {"{\"key\":\"\\ud83d\\ude00\",\"value\":7}", "&after=%F0%9F%98%80"},
        {"{\"key\":\"e\",\"value\":7},{\"key\":\"\",\"value\":7},{\"key\":7},null", "&after=e"},
        {"{\"key\":\"e\",\"value\":7},{\"key\":\"\xff\",\"value\":7}", "&after=e"},
    };
    for (size_t index = 0; index < G_N_ELEMENTS(stores); index++) {
        uint16_t port = port_lease_take(1);
        hs_listener *listener = hs_listener_start("127.0.0.1", port, &(hs_listener_limits){0},
                                                  reply_page, &stores[index], NULL);
        hs_store_client *client = hs_store_client_new(INADDR_LOOPBACK, port);
        hs_state_feed *feed = hs_state_feed_new(client, HS_TOPIC_ENGINES, "engines");
        read_feed(feed);
        read_feed(feed);
        g_autofree char *value = get_value(feed, "\xef\xbf\xbf");
        CU_ASSERT_EQUAL(g_strcmp0(value, "x"), 0);
        guint entries = 0;
        CU_ASSERT_TRUE(hs_keyed_topic_read(client, HS_TOPIC_CRASHES, 1000, count_entry, &entries));
        CU_ASSERT_EQUAL(entries, 1);
        hs_state_feed_stop(feed);
        hs_state_feed_free(feed);
        hs_store_client_free(client);
        hs_listener_stop(listener);
    }
}

/** Guards against a page that is requested again without end. */
static void a_listing_fails_if_its_next_page_is_the_same(void) {
    static odd_store store = {"{\"key\":\"e\",\"value\":\"eA==\",\"offset\":1}", "&after=never"};
    uint16_t port = port_lease_take(1);
    hs_listener *listener =
        hs_listener_start("127.0.0.1", port, &(hs_listener_limits){0}, reply_page, &store, NULL);
    hs_store_client *client = hs_store_client_new(INADDR_LOOPBACK, port);
    guint entries = 0;
    CU_ASSERT_FALSE(hs_keyed_topic_read(client, HS_TOPIC_CRASHES, 1000, count_entry, &entries));
    CU_ASSERT_EQUAL(entries, 1);
    hs_store_client_free(client);
    hs_listener_stop(listener);
}

/** Reads a configuration that has @p number in all numeric fields but the version. */
static hs_fleet_config *read_config(const char *number) {
    static const char text[] =
        "{\"version\":1,\"routes\":[{\"name\":\"r\",\"service\":\"s\",\"timeout-ms\":N,"
        "\"target-latency-ms\":N,\"gap-target-ms\":N,\"completion-target-ms\":N,\"retention-s\":N,"
        "\"max-attempts\":N,\"priority\":N,\"max-queued-tokens\":N,\"traffic-split\":["
        "{\"service\":\"s\",\"weight\":N},{\"service\":\"t\",\"weight\":N}]}],\"services\":["
        "{\"name\":\"s\",\"max-connections\":N,\"warmup-s\":N,\"warmup-per-s\":N,\"engine\":"
        "{\"kv-capacity-tokens\":N}}],\"limits\":{\"max-header-bytes\":N,\"max-body-bytes\":N,"
        "\"header-timeout-ms\":N,\"idle-timeout-ms\":N},\"tenants\":[{\"name\":\"t\","
        "\"priority\":N,\"rate-per-s\":N,\"burst\":N}]}";
    g_auto(GStrv) parts = g_strsplit(text, "N", -1);
    g_autofree char *filled = g_strjoinv(number, parts);
    hs_error error = {0};
    return hs_platform_read_config(filled, strlen(filled), &error);
}

#define HOUR_MS 3600000

/** Guards against numbers that a cast turns into small ones, such as a timeout of 0 ms. */
static void large_numbers_of_a_configuration_stay_large(void) {
    static const char *const numbers[] = {"4294967296", "9223372036854775807", "1e300",
                                          "4294967297.5", "18446744073709551615.0"};
    for (size_t index = 0; index < G_N_ELEMENTS(numbers); index++) {
        hs_fleet_config *config = read_config(numbers[index]);
        CU_ASSERT_PTR_NOT_NULL(config);
        if (config == NULL)
            continue;
        const hs_fleet_route *route = config->routes->pdata[0];
        const hs_fleet_service *service = config->services->pdata[0];
        const hs_fleet_tenant *tenant = config->tenants->pdata[0];
        CU_ASSERT(route->timeout_ms >= HOUR_MS);
        CU_ASSERT(route->target_latency_ms >= HOUR_MS);
        CU_ASSERT(3 * route->target_latency_ms > route->target_latency_ms);
        CU_ASSERT(route->gap_target_ms >= HOUR_MS);
        CU_ASSERT(2 * route->gap_target_ms > route->gap_target_ms);
        CU_ASSERT(route->completion_target_ms >= HOUR_MS);
        CU_ASSERT(route->retention_ms >= HOUR_MS && route->retention_ms < INT64_MAX / 2);
        CU_ASSERT(route->max_attempts >= UINT16_MAX && route->priority >= UINT16_MAX);
        CU_ASSERT(route->max_queued_tokens >= UINT32_MAX);
        CU_ASSERT(route->max_queued_tokens <= INT64_MAX);
        double weights = g_array_index(route->shares, hs_route_share, 0).weight +
                         g_array_index(route->shares, hs_route_share, 1).weight;
        CU_ASSERT(weights > 0 && weights <= 1e15);
        CU_ASSERT(service->max_connections >= UINT16_MAX && service->warmup_ms >= HOUR_MS);
        CU_ASSERT(service->memory_tokens >= UINT32_MAX && service->memory_tokens <= INT64_MAX);
        CU_ASSERT(service->warmup_per_s <= 1e15 && tenant->rate_per_s <= 1e15);
        CU_ASSERT(tenant->burst <= 1e15 && tenant->priority >= UINT16_MAX);
        CU_ASSERT(config->limits.idle_timeout_ms >= HOUR_MS);
        CU_ASSERT(config->limits.idle_timeout_ms <= UINT32_MAX);
        CU_ASSERT(config->limits.header_timeout_ms >= HOUR_MS);
        CU_ASSERT(config->limits.header_timeout_ms <= UINT32_MAX);
        CU_ASSERT(config->limits.max_body_bytes >= UINT32_MAX);
        hs_fleet_config_unref(config);
    }
}

/** Guards against requests that all end at once by a limit below 0. */
static void negative_numbers_of_a_configuration_are_replaced_by_defaults(void) {
    hs_fleet_config *config = read_config("-1");
    hs_fleet_config *defaults = read_config("null");
    const hs_fleet_route *route = config->routes->pdata[0];
    const hs_fleet_route *default_route = defaults->routes->pdata[0];
    CU_ASSERT(default_route->timeout_ms > 0);
    CU_ASSERT_EQUAL(route->timeout_ms, default_route->timeout_ms);
    CU_ASSERT_EQUAL(route->target_latency_ms, default_route->target_latency_ms);
    CU_ASSERT_EQUAL(route->retention_ms, default_route->retention_ms);
    CU_ASSERT_EQUAL(config->limits.max_header_bytes, defaults->limits.max_header_bytes);
    CU_ASSERT_EQUAL(config->limits.max_body_bytes, defaults->limits.max_body_bytes);
    CU_ASSERT_EQUAL(config->limits.header_timeout_ms, defaults->limits.header_timeout_ms);
    CU_ASSERT_EQUAL(config->limits.idle_timeout_ms, defaults->limits.idle_timeout_ms);
    hs_fleet_config_unref(config);
    hs_fleet_config_unref(defaults);
}

/** Guards against a newer configuration that is taken for the same as its predecessor. */
static void configurations_with_large_versions_stay_distinct(void) {
    hs_error error = {0};
    static const char first[] = "{\"version\":9007199254740992,\"routes\":[]}";
    static const char second[] = "{\"version\":9007199254740993,\"routes\":[]}";
    hs_fleet_config *one = hs_platform_read_config(first, strlen(first), &error);
    hs_fleet_config *other = hs_platform_read_config(second, strlen(second), &error);
    CU_ASSERT(other->version > one->version);
    hs_fleet_config_unref(one);
    hs_fleet_config_unref(other);
}

static void reply_machines(hs_inbound *inbound, void *user_data) {
    (void)user_data;
    static const char body[] =
        "{\"machines\":[7,null,[],{\"id\":1,\"kind\":\"daemon\"},"
        "{\"id\":\"a\",\"kind\":\"daemon\",\"address\":\"127.0.0.1\",\"peer_port\":65616,"
        "\"admin_port\":-65456},"
        "{\"id\":\"b\",\"kind\":\"daemon\",\"address\":\"127.0.0.1\",\"peer_port\":80.5,"
        "\"admin_port\":65535,\"labels\":[1]}]}";
    hs_inbound_reply(inbound, 200, NULL, body, strlen(body));
}

/** Guards against a port out of range that a cast turns into another one. */
static void machines_get_no_port_out_of_range(void) {
    uint16_t port = port_lease_take(1);
    hs_error error = {0};
    hs_listener *listener = hs_listener_start("127.0.0.1", port, &(hs_listener_limits){0},
                                              reply_machines, NULL, &error);
    g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u", port);
    g_autofree char *etag = NULL;
    GPtrArray *machines = NULL;
    CU_ASSERT_EQUAL(hs_machine_list_read(url, 2, &etag, &machines, &error), 0);
    CU_ASSERT_PTR_NOT_NULL(machines);
    if (machines != NULL) {
        CU_ASSERT_EQUAL(machines->len, 2);
        for (guint index = 0; index < machines->len; index++) {
            const hs_machine *machine = machines->pdata[index];
            CU_ASSERT_EQUAL(machine->peer_port, 0);
            CU_ASSERT_EQUAL(machine->admin_port, strcmp(machine->id, "b") == 0 ? 65535 : 0);
        }
        g_ptr_array_unref(machines);
    }
    hs_listener_stop(listener);
}

/** Guards against a daemon that owns a partition which nobody assigned to it. */
static void odd_rows_of_a_group_answer_assign_no_partition(void) {
    static const char *const numbers[] = {"4294967299", "-4294967293", "-1", "3.5",
                                          "\"3\"",      "null",        "{}", "true",
                                          "1e3",        "18446744069"};
    for (size_t index = 0; index < G_N_ELEMENTS(numbers); index++) {
        g_autofree char *text = g_strdup_printf("{\"generation\":4,\"parts\":[[\"" TOPIC_JOBS
                                                "\",%s,0],7,[],[7,1],[\"" TOPIC_JOBS "\",5,0]]}",
                                                numbers[index]);
        g_autoptr(GByteArray) answer = g_byte_array_new();
        g_autoptr(GArray) partitions = g_array_new(FALSE, FALSE, sizeof(uint32_t));
        uint64_t generation = 0;
        g_byte_array_append(answer, (const guint8 *)text, (guint)strlen(text));
        CU_ASSERT_TRUE(hs_platform_read_join_response(answer, &generation, partitions));
        CU_ASSERT_EQUAL(generation, 4);
        CU_ASSERT_EQUAL(partitions->len, 1);
        CU_ASSERT_EQUAL(g_array_index(partitions, uint32_t, partitions->len - 1), 5);
    }
}

const test_case foreign_record_tests[] = {
    {"a_feed_goes_on_after_records_without_a_valid_key",
     a_feed_goes_on_after_records_without_a_valid_key},
    {"a_key_with_a_nul_byte_does_not_replace_another",
     a_key_with_a_nul_byte_does_not_replace_another},
    {"a_page_is_read_without_the_entries_that_are_malformed",
     a_page_is_read_without_the_entries_that_are_malformed},
    {"a_listing_goes_on_after_a_page_without_valid_entries",
     a_listing_goes_on_after_a_page_without_valid_entries},
    {"a_listing_fails_if_its_next_page_is_the_same", a_listing_fails_if_its_next_page_is_the_same},
    {"large_numbers_of_a_configuration_stay_large", large_numbers_of_a_configuration_stay_large},
    {"negative_numbers_of_a_configuration_are_replaced_by_defaults",
     negative_numbers_of_a_configuration_are_replaced_by_defaults},
    {"configurations_with_large_versions_stay_distinct",
     configurations_with_large_versions_stay_distinct},
    {"odd_rows_of_a_group_answer_assign_no_partition",
     odd_rows_of_a_group_answer_assign_no_partition},
    {"machines_get_no_port_out_of_range", machines_get_no_port_out_of_range},
    {"nested_bodies_fit_the_stacks_of_listeners", nested_bodies_fit_the_stacks_of_listeners},
    {NULL, NULL}};
