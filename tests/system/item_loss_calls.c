/** @file item_loss_calls.c  See item_loss_calls.h. */
#include "tests/system/item_loss_calls.h"

#include "base/clock.h"
#include "base/compare.h"
#include "tests/system/crash_calls.h"
#include "tests/system/system_tests.h"

#include <CUnit/CUnit.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/** Returns the submission of a job; see submit_distinct_bodies. Free with g_free. */
static char *job_of_distinct_bodies(const char *id, int count, const char *first_body) {
    GString *body = g_string_new("{\"requests\":[");
    for (int item = 0; item < count; item++) {
        g_autofree char *text = item == 0 && first_body != NULL
                                    ? g_strdup(first_body)
                                    : g_strdup_printf("own-%s-%d", id, item);
        g_autofree char *encoded = g_base64_encode((const guchar *)text, strlen(text));
        g_string_append_printf(body,
                               "%s{\"id\":\"%s-%d\",\"path\":\"/jobs/run\",\"headers\":{},"
                               "\"body\":\"%s\",\"tokens\":10}",
                               item > 0 ? "," : "", id, item, encoded);
    }
    g_string_append(body, "]}");
    return g_string_free(body, FALSE);
}

void submit_distinct_bodies(const char *id, int count, const char *first_body) {
    g_autofree char *body = job_of_distinct_bodies(id, count, first_body);
    bench_answer answer = send_crash_request(0, "/jobs/x", id, body);
    CU_ASSERT_EQUAL(answer.status, 202);
    bench_answer_clear(&answer);
}

/** Checks that the text has each event once and in order. */
static void check_text(const char *text) {
    g_auto(GStrv) events = g_strsplit(text, "\n", 0);
    guint count = g_strv_length(events);
    CU_ASSERT_EQUAL(count, bench_item_events());
    for (guint index = 0; index < count; index++) {
        char engine_id[TOKEN_ENGINE_ID_BYTES];
        uint32_t event = 0;
        uint32_t run = 0;
        CU_ASSERT_TRUE(token_engine_parse_event(events[index], &event, engine_id, &run));
        CU_ASSERT_EQUAL(event, index + 1);
    }
}

static void check_results(const char *page) {
    json_t *root = json_loads(page, 0, NULL);
    size_t index = 0;
    const json_t *result = NULL;
    json_array_foreach(json_object_get(root, "results"), index, result) {
        CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(result, "state")), "completed");
        check_text(json_string_value(json_object_get(result, "message")));
    }
    json_decref(root);
}

void check_job_completes(const char *id, int count) {
    uint64_t start_ms = hs_clock_monotonic_ms();
    g_autofree char *page = bench_wait_job(0, id, count, FINISH_MS);
    fprintf(stderr, "%s: %s after %u ms\n", id, page != NULL ? "completed" : "not completed",
            (unsigned)(hs_clock_monotonic_ms() - start_ms));
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page != NULL)
        check_results(page);
}

uint32_t check_send_interval(const char *item, uint64_t since_ms, uint64_t min_interval_ms) {
    g_autoptr(GArray) starts = crash_fleet_list_start_times(get_crash_fleet(), item);
    uint32_t sends = 0;
    g_array_sort(starts, hs_compare_uint64);
    for (guint index = 1; index < starts->len; index++) {
        uint64_t start_ms = g_array_index(starts, uint64_t, index);
        if (start_ms < since_ms)
            continue;
        sends++;
        CU_ASSERT(start_ms - g_array_index(starts, uint64_t, index - 1) >= min_interval_ms);
    }
    return sends;
}
