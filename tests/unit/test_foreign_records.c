/** @file test_foreign_records.c  Records and bodies of other writers that no daemon would write. */
#include "platform/config_codec.h"
#include "platform/job_codec.h"
#include "tests/unit/unit_tests.h"

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

const test_case foreign_record_tests[] = {
    {"nested_bodies_fit_the_stacks_of_listeners", nested_bodies_fit_the_stacks_of_listeners},
    {NULL, NULL}};
