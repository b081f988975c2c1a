/** @file test_jobs.c  The fold of batch jobs, and a partition over the stand-in store. */
#include "base/clock.h"
#include "jobs/job_owner_state.h"
#include "jobs/job_partition.h"
#include "standin/log_store/log_store.h"
#include "tests/unit/unit_tests.h"

#include <arpa/inet.h>
#include <string.h>

static bool apply(hs_job_state *state, const Hs__JobRecord *record) {
    size_t length = hs__job_record__get_packed_size(record);
    g_autofree uint8_t *bytes = g_malloc(length);
    hs__job_record__pack(record, bytes);
    return hs_job_state_apply(state, hs_job_state_next(state), bytes, length);
}

/** A manifest of three items; @p host tells copies apart. */
static Hs__JobManifest *manifest_of(const char *host) {
    static Hs__JobItem items[3];
    static Hs__JobItem *list[3];
    static char *const ids[] = {"a", "b", "c"};
    static Hs__JobManifest manifest;
    hs__job_manifest__init(&manifest);
    for (int index = 0; index < 3; index++) {
        hs__job_item__init(&items[index]);
        items[index].id = ids[index];
        items[index].content_offset = (uint64_t)index + 10;
        list[index] = &items[index];
    }
    manifest.job_id = "job";
    manifest.host = (char *)host;
    manifest.target = "/p/";
    manifest.submitted_ms = 1000;
    manifest.n_items = 3;
    manifest.items = list;
    return &manifest;
}

static void add_manifest(hs_job_state *state, const char *host) {
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_MANIFEST;
    record.manifest = manifest_of(host);
    apply(state, &record);
}

/** One part of a result. */
typedef struct {
    uint32_t item;
    uint32_t part;
    uint32_t parts;
    const char *text;
} result_part;

static void add_result(hs_job_state *state, const result_part *part) {
    Hs__JobResult result = HS__JOB_RESULT__INIT;
    result.job_id = "job";
    result.item = part->item;
    result.part = part->part;
    result.parts = part->parts;
    result.text.data = (uint8_t *)part->text;
    result.text.len = strlen(part->text);
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_RESULT;
    record.result = &result;
    apply(state, &record);
}

static const hs_job_result *result_at(const hs_job_state *state, guint position) {
    const hs_job *job = hs_job_state_find(state, "job");
    return position < job->results->len ? job->results->pdata[position] : NULL;
}

static void repeated_records_change_nothing(void) {
    hs_job_state *state = hs_job_state_new();
    add_result(state, &(result_part){0, 0, 1, "before its manifest"});
    add_manifest(state, "first");
    add_manifest(state, "second");
    add_result(state, &(result_part){2, 0, 1, "c1"});
    add_result(state, &(result_part){0, 0, 1, "a1"});
    add_result(state, &(result_part){2, 0, 1, "c2"});
    add_result(state, &(result_part){7, 0, 1, "no such item"});
    const hs_job *job = hs_job_state_find(state, "job");
    CU_ASSERT_STRING_EQUAL(job->host, "first");
    CU_ASSERT_EQUAL(job->results->len, 2);
    CU_ASSERT_EQUAL(result_at(state, 0)->item, 2);
    CU_ASSERT(memcmp(result_at(state, 0)->text, "c1", 2) == 0);
    CU_ASSERT_EQUAL(result_at(state, 1)->item, 0);
    CU_ASSERT_EQUAL(hs_job_find_item(job, "b"), 1);
    CU_ASSERT_EQUAL(hs_job_find_item(job, "z"), -1);
    hs_job_state_free(state);
}

static void long_results_count_only_whole(void) {
    hs_job_state *state = hs_job_state_new();
    add_manifest(state, "h");
    add_result(state, &(result_part){0, 0, 2, "one "});
    add_result(state,
               &(result_part){1, 0, 1, "between"}); /* Another record: parts do not follow. */
    add_result(state, &(result_part){0, 1, 2, "two"});
    CU_ASSERT_EQUAL(((hs_job *)hs_job_state_find(state, "job"))->results->len, 1);
    add_result(state, &(result_part){0, 0, 2, "one "});
    add_result(state, &(result_part){0, 1, 2, "two"});
    CU_ASSERT_EQUAL(result_at(state, 1)->length, 7);
    CU_ASSERT(memcmp(result_at(state, 1)->text, "one two", 7) == 0);
    hs_job_state_free(state);
}

static void ends_and_needs(void) {
    hs_job_state *state = hs_job_state_new();
    CU_ASSERT_EQUAL(hs_job_state_first_needed_content(state), UINT64_MAX);
    add_manifest(state, "h");
    CU_ASSERT_TRUE(hs_job_is_open(hs_job_state_find(state, "job")));
    CU_ASSERT_EQUAL(hs_job_state_first_needed_content(state), 10);
    hs_job_state_forget(state, 5000); /* Open jobs stay. */
    CU_ASSERT_PTR_NOT_NULL(hs_job_state_find(state, "job"));
    Hs__JobEnd end = HS__JOB_END__INIT;
    end.job_id = "job";
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_END;
    record.end = &end;
    apply(state, &record);
    CU_ASSERT_FALSE(hs_job_is_open(hs_job_state_find(state, "job")));
    hs_job_state_forget(state, 500);
    CU_ASSERT_PTR_NOT_NULL(hs_job_state_find(state, "job"));
    hs_job_state_forget(state, 5000);
    CU_ASSERT_PTR_NULL(hs_job_state_find(state, "job"));
    hs_job_state_free(state);
}

/** One record of an owner's progress. */
typedef struct {
    uint32_t item;
    uint64_t writer;
    uint64_t base;
    uint64_t from;
    uint64_t last;
    const char *text;
} progress_step;

static void add_progress(hs_job_state *state, const progress_step *step) {
    Hs__JobProgress progress = HS__JOB_PROGRESS__INIT;
    progress.job_id = "job";
    progress.item = step->item;
    progress.writer = step->writer;
    progress.base_event = step->base;
    progress.from_event = step->from;
    progress.last_event = step->last;
    progress.text.data = (uint8_t *)step->text;
    progress.text.len = strlen(step->text);
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_PROGRESS;
    record.progress = &progress;
    apply(state, &record);
}

/** Progress that follows an event counts where the fold stands at that event, and once. */
static void progress_is_put_together(void) {
    static const progress_step steps[] = {{2, 0, 0, 0, 3, "a\nb\nc"}, {2, 0, 0, 3, 5, "d\ne"},
                                          {2, 0, 0, 3, 5, "d\ne"},    {2, 0, 0, 4, 6, "x\ny"},
                                          {2, 0, 0, 3, 9, "no"},      {2, 0, 0, 5, 6, ""},
                                          {2, 0, 0, 0, 5, "old"},     {2, 0, 0, 6, 7, "g"}};
    hs_job_state *state = hs_job_state_new();
    add_manifest(state, "h");
    for (size_t index = 0; index < G_N_ELEMENTS(steps); index++)
        add_progress(state, &steps[index]);
    const hs_job *job = hs_job_state_find(state, "job");
    const hs_job_item *item = &g_array_index(job->items, hs_job_item, 2);
    static const char wanted[] = "a\nb\nc\nd\ne\n\ng";
    CU_ASSERT_EQUAL(item->progress_event, 7);
    CU_ASSERT_EQUAL(item->progress_length, strlen(wanted));
    CU_ASSERT(memcmp(item->progress, wanted, strlen(wanted)) == 0);
    hs_job_state_free(state);
}

static bool has_progress(const hs_job_state *state, const char *wanted) {
    const hs_job *job = hs_job_state_find(state, "job");
    const hs_job_item *item = &g_array_index(job->items, hs_job_item, 0);
    return item->progress_length == strlen(wanted) &&
           memcmp(item->progress, wanted, strlen(wanted)) == 0;
}

/**
 * Two owners run an item at one time and come to stand at the same event: the text of one is not
 * continued by the other's runs, unless they were asked to go on there.
 */
static void texts_of_two_owners_are_not_mixed(void) {
    hs_job_state *state = hs_job_state_new();
    add_manifest(state, "h");
    add_progress(state, &(progress_step){0, 1, 0, 0, 5, "one to five"});
    add_progress(state, &(progress_step){0, 2, 0, 0, 10, "other to ten"});
    add_progress(state, &(progress_step){0, 1, 0, 5, 10, "one to ten"}); /* Too late. */
    add_progress(state, &(progress_step){0, 1, 0, 10, 15, "one to fifteen"});
    CU_ASSERT_TRUE(has_progress(state, "other to ten"));
    add_progress(state, &(progress_step){0, 3, 10, 10, 12, "asked"});
    CU_ASSERT_TRUE(has_progress(state, "other to ten\nasked"));
    add_progress(state, &(progress_step){0, 2, 0, 10, 20, "other to twenty"});
    CU_ASSERT_TRUE(has_progress(state, "other to ten\nasked"));
    add_progress(state, &(progress_step){0, 2, 0, 0, 20, "other to twenty"});
    CU_ASSERT_TRUE(has_progress(state, "other to twenty"));
    hs_job_state_free(state);
}

static void the_furthest_progress_counts(void) {
    hs_job_state *state = hs_job_state_new();
    add_manifest(state, "h");
    static const uint64_t events[] = {4, 9, 6};
    for (size_t index = 0; index < G_N_ELEMENTS(events); index++)
        add_progress(state, &(progress_step){.item = 1, .last = events[index], .text = ""});
    const hs_job *job = hs_job_state_find(state, "job");
    CU_ASSERT_EQUAL(g_array_index(job->items, hs_job_item, 1).progress_event, 9);
    hs_job_state_free(state);
}

static void unreadable_records_are_passed_over(void) {
    hs_job_state *state = hs_job_state_new();
    static const uint8_t garbage[] = {0xff, 0xff, 0xff};
    CU_ASSERT_FALSE(hs_job_state_apply(state, 0, garbage, sizeof garbage));
    CU_ASSERT_EQUAL(hs_job_state_next(state), 1);
    add_manifest(state, "h");
    CU_ASSERT_PTR_NOT_NULL(hs_job_state_find(state, "job"));
    hs_job_state_free(state);
}

/** A partition over a stand-in store. */
typedef struct {
    log_store *store;
    hs_store_client *client;
    hs_job_partition *partition;
} shop;

static void open_shop(shop *opened) {
    opened->store = log_store_start(0);
    opened->client = hs_store_client_new(INADDR_LOOPBACK, log_store_port(opened->store));
    hs_job_store_settings settings = {.store = opened->client,
                                      .part_count = 12,
                                      .record_bytes = 4096,
                                      .call_bytes = 65536,
                                      .status_ms = 1000};
    opened->partition = hs_job_partition_new(&settings, 3);
}

static void close_shop(shop *opened) {
    hs_job_partition_free(opened->partition);
    hs_store_client_free(opened->client);
    log_store_stop(opened->store);
}

static hs_store_outcome append_manifest(shop *opened) {
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_MANIFEST;
    record.manifest = manifest_of("h");
    return hs_job_partition_append(opened->partition, &record, hs_clock_monotonic_ms() + 500);
}

static bool catch_up(shop *opened) {
    return hs_job_partition_catch_up(opened->partition, hs_clock_monotonic_ms() + 500);
}

static bool is_known(shop *opened) {
    bool known = hs_job_state_find(hs_job_partition_lock(opened->partition), "job") != NULL;
    hs_job_partition_unlock(opened->partition);
    return known;
}

/** What an append's outcome says, by the store's fault. */
static void outcomes_tell_what_is_known(void) {
    static const struct {
        log_store_mode mode;
        hs_store_outcome outcome;
        bool done;
    } cases[] = {{LOG_STORE_SOUND, HS_STORE_DONE, true},
                 {LOG_STORE_REFUSES, HS_STORE_REFUSED, false},
                 {LOG_STORE_THROTTLES, HS_STORE_REFUSED, false},
                 {LOG_STORE_LOSES_ANSWER, HS_STORE_UNKNOWN, true},
                 {LOG_STORE_DROPS, HS_STORE_UNKNOWN, false},
                 {LOG_STORE_SILENT, HS_STORE_UNKNOWN, false}};
    for (size_t index = 0; index < G_N_ELEMENTS(cases); index++) {
        shop opened;
        open_shop(&opened);
        log_store_set_mode(opened.store, cases[index].mode, "/log-append", 1);
        CU_ASSERT_EQUAL(append_manifest(&opened), cases[index].outcome);
        CU_ASSERT_TRUE(catch_up(&opened));
        CU_ASSERT_EQUAL(is_known(&opened), cases[index].done);
        close_shop(&opened);
    }
}

/** Patience doubles with each try, whatever writes took, and ends at the caller's limit. */
static void patience_grows_up_to_the_limit(void) {
    shop opened;
    open_shop(&opened);
    uint64_t first = hs_store_client_patience_ms(opened.client, 0, 0);
    CU_ASSERT_EQUAL(hs_store_client_patience_ms(opened.client, 1, 0), 2 * first);
    CU_ASSERT_EQUAL(hs_store_client_patience_ms(opened.client, 2, 0), 4 * first);
    CU_ASSERT(hs_store_client_patience_ms(opened.client, 0, 4000000) > first);
    CU_ASSERT(hs_store_client_patience_ms(opened.client, 60, 0) <= 2000);
    uint64_t now_ms = hs_clock_monotonic_ms();
    CU_ASSERT_EQUAL(hs_job_partition_patience(opened.partition, 9, 0, now_ms + 5), now_ms + 5);
    log_store_set_delay(opened.store, 80);
    for (int write = 0; write < 8; write++)
        append_manifest(&opened);
    CU_ASSERT(hs_store_client_patience_ms(opened.client, 0, 0) > 2 * first);
    close_shop(&opened);
}

static void reads_are_tried_again_after_a_kept_connection(void) {
    shop opened;
    open_shop(&opened);
    CU_ASSERT_TRUE(catch_up(&opened));
    log_store_set_mode(opened.store, LOG_STORE_DROPS, "/log-read", 1);
    CU_ASSERT_TRUE(catch_up(&opened));
    log_store_set_mode(opened.store, LOG_STORE_REFUSES, "/log-read", 100);
    CU_ASSERT_FALSE(catch_up(&opened));
    close_shop(&opened);
}

static void a_forgotten_history_is_passed_over(void) {
    shop opened;
    open_shop(&opened);
    append_manifest(&opened);
    log_store_forget(opened.store, "jobs");
    CU_ASSERT_TRUE(catch_up(&opened));
    CU_ASSERT_FALSE(is_known(&opened));
    append_manifest(&opened);
    CU_ASSERT_TRUE(catch_up(&opened));
    CU_ASSERT_TRUE(is_known(&opened));
    close_shop(&opened);
}

/** What was trimmed is gone for readers, and the call is one that the store understands. */
static void a_trim_drops_records(void) {
    shop opened;
    open_shop(&opened);
    append_manifest(&opened);
    append_manifest(&opened);
    hs_store_call call = hs_platform_trim(HS_TOPIC_JOBS, 3, 1);
    GByteArray *answer = g_byte_array_new();
    hs_deadline deadline = hs_clock_monotonic_ms() + 500;
    CU_ASSERT_EQUAL(hs_store_client_send(opened.client, &call, deadline, NULL, answer),
                    HS_STORE_DONE);
    call = hs_platform_read(HS_TOPIC_JOBS, 3, 0, 64, 0);
    CU_ASSERT_EQUAL(hs_store_client_send(opened.client, &call, deadline, NULL, answer),
                    HS_STORE_GONE);
    uint64_t first = 0;
    CU_ASSERT_TRUE(hs_platform_read_first_kept(answer, &first));
    CU_ASSERT_EQUAL(first, 1);
    g_byte_array_free(answer, TRUE);
    close_shop(&opened);
}

static void contents_come_back_byte_for_byte(void) {
    shop opened;
    open_shop(&opened);
    GPtrArray *contents = g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
    GArray *offsets = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    for (uint32_t index = 0; index < 8; index++) {
        Hs__JobItemContent content = HS__JOB_ITEM_CONTENT__INIT;
        uint32_t length = index * 5000; /* Above a record, and in sum above a call. */
        g_autofree uint8_t *body = g_malloc(length + 1);
        memset(body, (int)index + 1, length);
        content.path = "/p/q";
        content.body.data = body;
        content.body.len = length;
        GByteArray *packed = g_byte_array_new();
        g_byte_array_set_size(packed, (guint)hs__job_item_content__get_packed_size(&content));
        hs__job_item_content__pack(&content, packed->data);
        g_ptr_array_add(contents, packed);
    }
    hs_deadline deadline = hs_clock_monotonic_ms() + 2000;
    CU_ASSERT_EQUAL(hs_job_partition_append_contents(opened.partition, contents, offsets, deadline),
                    HS_STORE_DONE);
    for (uint32_t index = 0; index < 8; index++) {
        hs_store_outcome outcome = HS_STORE_UNKNOWN;
        const GByteArray *packed = contents->pdata[index];
        Hs__JobItemContent *read =
            hs_job_partition_read_content(opened.partition, g_array_index(offsets, uint64_t, index),
                                          packed->len, deadline, &outcome);
        CU_ASSERT_PTR_NOT_NULL_FATAL(read);
        CU_ASSERT_EQUAL(read->body.len, (size_t)index * 5000);
        CU_ASSERT(read->body.len == 0 || read->body.data[read->body.len - 1] == index + 1);
        hs__job_item_content__free_unpacked(read, NULL);
    }
    g_ptr_array_free(contents, TRUE);
    g_array_free(offsets, TRUE);
    close_shop(&opened);
}

static void long_results_survive_the_log(void) {
    shop opened;
    open_shop(&opened);
    append_manifest(&opened);
    GString *text = g_string_new(NULL);
    while (text->len < 20000)
        g_string_append_printf(text, "%zu ", text->len);
    hs_store_outcome outcome = hs_job_partition_append_result(
        opened.partition, "job", 1, HS_ITEM_COMPLETED, text, hs_clock_monotonic_ms() + 500);
    CU_ASSERT_EQUAL(outcome, HS_STORE_DONE);
    CU_ASSERT_TRUE(catch_up(&opened));
    const hs_job *job = hs_job_state_find(hs_job_partition_lock(opened.partition), "job");
    const hs_job_result *result = job->results->pdata[0];
    CU_ASSERT(result->length == text->len && memcmp(result->text, text->str, text->len) == 0);
    hs_job_partition_unlock(opened.partition);
    g_string_free(text, TRUE);
    close_shop(&opened);
}

static void a_held_read_ends_with_news(void) {
    shop opened;
    open_shop(&opened);
    CU_ASSERT_TRUE(catch_up(&opened));
    uint64_t began = hs_clock_monotonic_ms();
    hs_job_partition_hold(opened.partition, 0, began + 150);
    CU_ASSERT(hs_clock_monotonic_ms() - began >= 145);
    append_manifest(&opened);
    began = hs_clock_monotonic_ms();
    hs_job_partition_hold(opened.partition, 0, began + 2000);
    CU_ASSERT(hs_clock_monotonic_ms() - began < 1000);
    CU_ASSERT_TRUE(is_known(&opened));
    close_shop(&opened);
}

/** A fold that shows a part of the log only: what it shows as open may be over. */
static void items_wait_until_the_log_was_read_to_its_end(void) {
    shop opened;
    open_shop(&opened);
    append_manifest(&opened);
    GString *text = g_string_new(NULL);
    while (text->len < 300 * 1024) /* More than one page of the log. */
        g_string_append_c(text, 'x');
    for (uint32_t item = 0; item < 2; item++)
        hs_job_partition_append_result(opened.partition, "job", item, HS_ITEM_COMPLETED, text,
                                       hs_clock_monotonic_ms() + 2000);
    g_string_free(text, TRUE);
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_owned_partition_state home = {
        .partition = opened.partition, .owned = true, .taken_ms = now_ms, .start_ms = now_ms};
    hs_job_partition_hold(opened.partition, 0, now_ms + 500);
    CU_ASSERT_TRUE(is_known(&opened));
    CU_ASSERT_FALSE(hs_job_owner_may_run(&home, hs_clock_monotonic_ms()));
    CU_ASSERT_TRUE(catch_up(&opened));
    CU_ASSERT_TRUE(hs_job_owner_may_run(&home, hs_clock_monotonic_ms()));
    home.taken_ms = hs_clock_monotonic_ms() + 1; /* Dealt again: another owner ran in between. */
    CU_ASSERT_FALSE(hs_job_owner_may_run(&home, hs_clock_monotonic_ms()));
    close_shop(&opened);
}

const test_case job_tests[] = {
    {"repeated_records_change_nothing", repeated_records_change_nothing},
    {"long_results_count_only_whole", long_results_count_only_whole},
    {"ends_and_needs", ends_and_needs},
    {"progress_is_put_together", progress_is_put_together},
    {"the_furthest_progress_counts", the_furthest_progress_counts},
    {"texts_of_two_owners_are_not_mixed", texts_of_two_owners_are_not_mixed},
    {"unreadable_records_are_passed_over", unreadable_records_are_passed_over},
    {"outcomes_tell_what_is_known", outcomes_tell_what_is_known},
    {"patience_grows_up_to_the_limit", patience_grows_up_to_the_limit},
    {"reads_are_tried_again_after_a_kept_connection",
     reads_are_tried_again_after_a_kept_connection},
    {"a_forgotten_history_is_passed_over", a_forgotten_history_is_passed_over},
    {"a_trim_drops_records", a_trim_drops_records},
    {"contents_come_back_byte_for_byte", contents_come_back_byte_for_byte},
    {"long_results_survive_the_log", long_results_survive_the_log},
    {"items_wait_until_the_log_was_read_to_its_end", items_wait_until_the_log_was_read_to_its_end},
    {"a_held_read_ends_with_news", a_held_read_ends_with_news},
    {NULL, NULL}};
