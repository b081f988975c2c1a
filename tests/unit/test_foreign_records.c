/** @file test_foreign_records.c  Records and bodies of other writers that no daemon would write. */
#include "base/clock.h"
#include "feed/state_feed.h"
#include "platform/config_codec.h"
#include "platform/job_codec.h"
#include "platform/names.h"
#include "platform/store_codec.h"
#include "standin/log_store/log_store.h"
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
        for (guint entry = 0; entry < read->len && read->len == 2; entry++)
            CU_ASSERT_STRING_EQUAL(g_array_index(read, hs_newest_entry, entry).key,
                                   entry == 0 ? "a" : "b");
        g_array_free(read, TRUE);
    }
}

const test_case foreign_record_tests[] = {
    {"a_feed_goes_on_after_records_without_a_valid_key",
     a_feed_goes_on_after_records_without_a_valid_key},
    {"a_key_with_a_nul_byte_does_not_replace_another",
     a_key_with_a_nul_byte_does_not_replace_another},
    {"a_page_is_read_without_the_entries_that_are_malformed",
     a_page_is_read_without_the_entries_that_are_malformed},
    {"nested_bodies_fit_the_stacks_of_listeners", nested_bodies_fit_the_stacks_of_listeners},
    {NULL, NULL}};
