/** @file test_jobs.c  Tests the fold of batch jobs and a partition over the stand-in store. */
#include "base/clock.h"
#include "jobs/content_trim.h"
#include "jobs/item_run.h"
#include "jobs/job_end.h"
#include "jobs/job_owner_state.h"
#include "jobs/job_partition.h"
#include "jobs/log_read_limit.h"
#include "jobs/start_rule.h"
#include "platform/names.h"
#include "standin/log_store/log_store.h"
#include "tests/unit/unit_tests.h"

#include <arpa/inet.h>
#include <string.h>

static bool apply(hs_job_state *state, const Hs__JobRecord *record) {
    size_t length = hs__job_record__get_packed_size(record);
    g_autofree uint8_t *bytes = g_malloc(length);
    hs__job_record__pack(record, bytes);
    return hs_job_state_apply(state, hs_job_state_next_offset(state), bytes, length);
}

/** Returns a manifest of three items; @p host distinguishes copies. */
static Hs__JobManifest *make_manifest(const char *host) {
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
    record.manifest = make_manifest(host);
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

static void split_results_count_only_if_complete(void) {
    hs_job_state *state = hs_job_state_new();
    add_manifest(state, "h");
    add_result(state, &(result_part){0, 0, 2, "one "});
    add_result(state, &(result_part){1, 0, 1, "between"}); /* Interrupts the sequence of parts. */
    add_result(state, &(result_part){0, 1, 2, "two"});
    CU_ASSERT_EQUAL(((hs_job *)hs_job_state_find(state, "job"))->results->len, 1);
    add_result(state, &(result_part){0, 0, 2, "one "});
    add_result(state, &(result_part){0, 1, 2, "two"});
    CU_ASSERT_EQUAL(result_at(state, 1)->length, 7);
    CU_ASSERT(memcmp(result_at(state, 1)->text, "one two", 7) == 0);
    hs_job_state_free(state);
}

static void add_end(hs_job_state *state) {
    Hs__JobEnd end = HS__JOB_END__INIT;
    end.job_id = "job";
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_END;
    record.end = &end;
    apply(state, &record);
}

/** Otherwise two daemons would list the results of one job in different orders. */
static void an_end_applied_before_its_record_changes_no_result(void) {
    hs_job_state *state = hs_job_state_new();
    add_manifest(state, "h");
    add_result(state, &(result_part){2, 0, 1, "c"});
    CU_ASSERT_TRUE(hs_job_state_end_early(state, "job", 1000));
    CU_ASSERT_FALSE(hs_job_state_end_early(state, "job", 1000));
    CU_ASSERT_FALSE(hs_job_is_open(hs_job_state_find(state, "job")));
    add_result(state, &(result_part){0, 0, 1, "a"});
    add_end(state);
    CU_ASSERT_PTR_NULL(hs_job_state_last_ended(state));
    CU_ASSERT_EQUAL(result_at(state, 0)->item, 2);
    CU_ASSERT_EQUAL(result_at(state, 1)->item, 0);
    CU_ASSERT_EQUAL(hs_job_state_next_offset(state), 4);
    hs_job_state_free(state);
}

/** Otherwise a fold that lacks the manifest would forget the end and run the job. */
static void an_end_applied_before_the_manifest_is_kept(void) {
    hs_job_state *state = hs_job_state_new();
    CU_ASSERT_TRUE(hs_job_state_end_early(state, "job", 1000));
    CU_ASSERT_PTR_NULL(hs_job_state_find(state, "job"));
    add_manifest(state, "h");
    CU_ASSERT_FALSE(hs_job_is_open(hs_job_state_find(state, "job")));
    add_end(state);
    CU_ASSERT_FALSE(hs_job_is_open(hs_job_state_find(state, "job")));
    hs_job_state_free(state);
}

/** Otherwise ends of jobs that are gone would be kept for good. */
static void an_end_without_a_manifest_expires(void) {
    hs_job_state *state = hs_job_state_new();
    CU_ASSERT_TRUE(hs_job_state_end_early(state, "job", 1000));
    hs_job_state_expire(state, 1000);
    CU_ASSERT_FALSE(hs_job_state_end_early(state, "job", 1000));
    hs_job_state_expire(state, 1001);
    CU_ASSERT_TRUE(hs_job_state_end_early(state, "job", 2000));
    hs_job_state_free(state);
}

static void ended_jobs_expire_and_need_no_content(void) {
    hs_job_state *state = hs_job_state_new();
    CU_ASSERT_EQUAL(hs_job_state_first_needed_content(state), UINT64_MAX);
    add_manifest(state, "h");
    CU_ASSERT_TRUE(hs_job_is_open(hs_job_state_find(state, "job")));
    CU_ASSERT_EQUAL(hs_job_state_first_needed_content(state), 10);
    hs_job_state_expire(state, 5000); /* Open jobs are not removed. */
    CU_ASSERT_PTR_NOT_NULL(hs_job_state_find(state, "job"));
    add_end(state);
    CU_ASSERT_FALSE(hs_job_is_open(hs_job_state_find(state, "job")));
    hs_job_state_expire(state, 500);
    CU_ASSERT_PTR_NOT_NULL(hs_job_state_find(state, "job"));
    hs_job_state_expire(state, 5000);
    CU_ASSERT_PTR_NULL(hs_job_state_find(state, "job"));
    hs_job_state_free(state);
}

/** One progress record. */
typedef struct {
    uint32_t item;
    uint64_t writer;
    uint64_t base;
    uint64_t from;
    uint64_t last;
    const char *text;
} progress_step;

static void add_progress_of(hs_job_state *state, const progress_step *step, uint64_t software) {
    Hs__JobProgress progress = HS__JOB_PROGRESS__INIT;
    progress.job_id = "job";
    progress.item = step->item;
    progress.writer = step->writer;
    progress.base_event = step->base;
    progress.from_event = step->from;
    progress.last_event = step->last;
    progress.software = software;
    progress.text.data = (uint8_t *)step->text;
    progress.text.len = strlen(step->text);
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_PROGRESS;
    record.progress = &progress;
    apply(state, &record);
}

static void add_progress(hs_job_state *state, const progress_step *step) {
    add_progress_of(state, step, 0);
}

/** Progress that follows an event applies only if the fold is at that event, and only once. */
static void progress_records_are_joined(void) {
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
 * Two owners run an item concurrently and reach the same event: the output of one is not continued
 * by the other, unless the other resumed after it.
 */
static void outputs_of_two_owners_are_not_mixed(void) {
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

/** Guards against an item's text with events of two software versions. */
static void output_of_other_software_is_not_continued(void) {
    hs_job_state *state = hs_job_state_new();
    add_manifest(state, "h");
    const hs_job *job = hs_job_state_find(state, "job");
    const hs_job_item *item = &g_array_index(job->items, hs_job_item, 0);
    add_progress_of(state, &(progress_step){0, 1, 0, 0, 5, "to five"}, 7);
    add_progress_of(state, &(progress_step){0, 2, 5, 5, 9, "other to nine"}, 8);
    CU_ASSERT_TRUE(has_progress(state, "to five"));
    hs_item_run *run = hs_item_run_new(job, 0);
    CU_ASSERT_EQUAL(run->software, 7);
    CU_ASSERT_EQUAL(run->events.last_id, 5);
    hs_item_run_free(run);
    add_progress_of(state, &(progress_step){0, 3, 5, 5, 8, "older build to eight"}, 0);
    CU_ASSERT_EQUAL(item->progress_event, 8);
    CU_ASSERT_EQUAL(item->progress_software, 0);
    run = hs_item_run_new(job, 0);
    CU_ASSERT_FALSE(run->events.has_last_id);
    CU_ASSERT_EQUAL(run->texts->len, 0);
    CU_ASSERT_EQUAL(run->base_event, 0);
    hs_item_run_free(run);
    hs_job_state_free(state);
}

static void latest_progress_event_wins(void) {
    hs_job_state *state = hs_job_state_new();
    add_manifest(state, "h");
    static const uint64_t events[] = {4, 9, 6};
    for (size_t index = 0; index < G_N_ELEMENTS(events); index++)
        add_progress(state, &(progress_step){.item = 1, .last = events[index], .text = ""});
    const hs_job *job = hs_job_state_find(state, "job");
    CU_ASSERT_EQUAL(g_array_index(job->items, hs_job_item, 1).progress_event, 9);
    hs_job_state_free(state);
}

static void unreadable_records_are_skipped(void) {
    hs_job_state *state = hs_job_state_new();
    static const uint8_t garbage[] = {0xff, 0xff, 0xff};
    CU_ASSERT_FALSE(hs_job_state_apply(state, 0, garbage, sizeof garbage));
    CU_ASSERT_EQUAL(hs_job_state_next_offset(state), 1);
    add_manifest(state, "h");
    CU_ASSERT_PTR_NOT_NULL(hs_job_state_find(state, "job"));
    hs_job_state_free(state);
}

/** Guards against jobs that expire at once, or never, since a sum of their times wraps. */
static void times_of_a_manifest_do_not_wrap(void) {
    hs_job_state *state = hs_job_state_new();
    Hs__JobManifest *manifest = make_manifest("h");
    manifest->submitted_ms = UINT64_MAX;
    manifest->due_ms = UINT64_MAX;
    manifest->retention_ms = UINT64_MAX;
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_MANIFEST;
    record.manifest = manifest;
    CU_ASSERT_TRUE(apply(state, &record));
    const hs_job *job = hs_job_state_find(state, "job");
    CU_ASSERT_PTR_NOT_NULL(job);
    if (job != NULL) {
        CU_ASSERT(job->submitted_ms > 0 && job->submitted_ms < INT64_MAX / 4);
        CU_ASSERT(job->due_ms > 0 && job->due_ms < INT64_MAX / 4);
        CU_ASSERT(job->retention_ms > 0 && job->retention_ms < INT64_MAX / 4);
    }
    hs_job_state_free(state);
}

/** A partition over a stand-in store. */
typedef struct {
    log_store *store;
    hs_store_client *client;
    hs_job_partition *partition;
} partition_fixture;

static void open_fixture(partition_fixture *fixture) {
    fixture->store = log_store_start(0);
    fixture->client = hs_store_client_new(INADDR_LOOPBACK, log_store_port(fixture->store));
    hs_job_store_settings settings = {.store = fixture->client,
                                      .part_count = 12,
                                      .record_bytes = 4096,
                                      .call_bytes = 65536,
                                      .status_ms = 1000};
    fixture->partition = hs_job_partition_new(&settings, 3);
}

static void close_fixture(partition_fixture *fixture) {
    hs_job_partition_free(fixture->partition);
    hs_store_client_free(fixture->client);
    log_store_stop(fixture->store);
}

static hs_store_outcome append_manifest(partition_fixture *fixture) {
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_MANIFEST;
    record.manifest = make_manifest("h");
    return hs_job_partition_append(fixture->partition, &record, hs_clock_monotonic_ms() + 500);
}

static bool catch_up(partition_fixture *fixture) {
    return hs_job_partition_catch_up(fixture->partition, hs_clock_monotonic_ms() + 500);
}

static bool is_known(partition_fixture *fixture) {
    bool known = hs_job_state_find(hs_job_partition_lock(fixture->partition), "job") != NULL;
    hs_job_partition_unlock(fixture->partition);
    return known;
}

/** The outcome of an append matches what is in the log after each fault of the store. */
static void append_outcomes_match_store_faults(void) {
    static const struct {
        log_store_mode mode;
        hs_store_outcome outcome;
        bool done;
    } cases[] = {{LOG_STORE_HEALTHY, HS_STORE_DONE, true},
                 {LOG_STORE_REFUSES, HS_STORE_REFUSED, false},
                 {LOG_STORE_THROTTLES, HS_STORE_REFUSED, false},
                 {LOG_STORE_LOSES_ANSWER, HS_STORE_UNKNOWN, true},
                 {LOG_STORE_DROPS_CALLS, HS_STORE_UNKNOWN, false},
                 {LOG_STORE_UNRESPONSIVE, HS_STORE_UNKNOWN, false}};
    for (size_t index = 0; index < G_N_ELEMENTS(cases); index++) {
        partition_fixture fixture;
        open_fixture(&fixture);
        log_store_set_mode(fixture.store, cases[index].mode, "/log-append", 1);
        CU_ASSERT_EQUAL(append_manifest(&fixture), cases[index].outcome);
        CU_ASSERT_TRUE(catch_up(&fixture));
        CU_ASSERT_EQUAL(is_known(&fixture), cases[index].done);
        close_fixture(&fixture);
    }
}

/** Guards against a manifest that a suspended daemon sends long after its contents. */
static void an_append_after_its_deadline_is_not_sent(void) {
    partition_fixture fixture;
    open_fixture(&fixture);
    CU_ASSERT_TRUE(catch_up(&fixture)); /* Leaves an open connection. */
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_MANIFEST;
    record.manifest = make_manifest("h");
    CU_ASSERT_EQUAL(
        hs_job_partition_append(fixture.partition, &record, hs_clock_monotonic_ms() - 1),
        HS_STORE_REFUSED);
    CU_ASSERT_TRUE(catch_up(&fixture));
    CU_ASSERT_FALSE(is_known(&fixture));
    close_fixture(&fixture);
}

/** Time in ms for an end's appends: more than the store client makes while all fail. */
#define END_APPENDS_MS 1500

/** Guards against a refusal of an end that one of several appends may have stored. */
static void an_end_that_may_be_stored_is_not_refused(void) {
    partition_fixture fixture;
    open_fixture(&fixture);
    append_manifest(&fixture);
    log_store_set_mode(fixture.store, LOG_STORE_LOSES_ANSWER, "/log-append", G_MAXUINT32);
    uint64_t now_ms = hs_clock_monotonic_ms();
    CU_ASSERT_EQUAL(hs_job_end_store(fixture.partition, "job", now_ms, now_ms + END_APPENDS_MS),
                    HS_STORE_UNKNOWN);
    log_store_set_mode(fixture.store, LOG_STORE_HEALTHY, NULL, 0);
    CU_ASSERT_TRUE(catch_up(&fixture));
    CU_ASSERT_TRUE(hs_job_state_find(hs_job_partition_lock(fixture.partition), "job")->ended);
    hs_job_partition_unlock(fixture.partition);
    log_store_set_mode(fixture.store, LOG_STORE_REFUSES, "/log-append", G_MAXUINT32);
    now_ms = hs_clock_monotonic_ms();
    CU_ASSERT_EQUAL(hs_job_end_store(fixture.partition, "job", now_ms, now_ms + END_APPENDS_MS),
                    HS_STORE_REFUSED);
    close_fixture(&fixture);
}

/**
 * The time allowed for an append doubles with each attempt, grows with observed write times and is
 * bounded by the caller's limit.
 */
static void append_time_grows_up_to_the_limit(void) {
    partition_fixture fixture;
    open_fixture(&fixture);
    uint64_t first = hs_store_client_write_timeout_ms(fixture.client, 0, 0);
    CU_ASSERT_EQUAL(hs_store_client_write_timeout_ms(fixture.client, 1, 0), 2 * first);
    CU_ASSERT_EQUAL(hs_store_client_write_timeout_ms(fixture.client, 2, 0), 4 * first);
    CU_ASSERT(hs_store_client_write_timeout_ms(fixture.client, 0, 4000000) > first);
    CU_ASSERT(hs_store_client_write_timeout_ms(fixture.client, 60, 0) <= 2000);
    uint64_t now_ms = hs_clock_monotonic_ms();
    CU_ASSERT_EQUAL(hs_job_partition_append_deadline(fixture.partition, 9, 0, now_ms + 5),
                    now_ms + 5);
    log_store_set_delay(fixture.store, 80);
    for (int write = 0; write < 8; write++)
        append_manifest(&fixture);
    CU_ASSERT(hs_store_client_write_timeout_ms(fixture.client, 0, 0) > 2 * first);
    close_fixture(&fixture);
}

static void reads_are_retried_on_a_new_connection(void) {
    partition_fixture fixture;
    open_fixture(&fixture);
    CU_ASSERT_TRUE(catch_up(&fixture));
    log_store_set_mode(fixture.store, LOG_STORE_DROPS_CALLS, "/log-read", 1);
    CU_ASSERT_TRUE(catch_up(&fixture));
    log_store_set_mode(fixture.store, LOG_STORE_REFUSES, "/log-read", 100);
    CU_ASSERT_FALSE(catch_up(&fixture));
    close_fixture(&fixture);
}

static void lost_log_records_are_skipped(void) {
    partition_fixture fixture;
    open_fixture(&fixture);
    append_manifest(&fixture);
    log_store_discard_records(fixture.store, "jobs");
    CU_ASSERT_TRUE(catch_up(&fixture));
    CU_ASSERT_FALSE(is_known(&fixture));
    append_manifest(&fixture);
    CU_ASSERT_TRUE(catch_up(&fixture));
    CU_ASSERT_TRUE(is_known(&fixture));
    close_fixture(&fixture);
}

/**
 * Trimmed records are reported as gone to readers, and the stand-in store accepts the trim call.
 */
static void trimmed_records_are_gone(void) {
    partition_fixture fixture;
    open_fixture(&fixture);
    append_manifest(&fixture);
    append_manifest(&fixture);
    hs_store_call call = hs_platform_build_trim_call(HS_TOPIC_JOBS, 3, 1);
    GByteArray *answer = g_byte_array_new();
    hs_deadline deadline = hs_clock_monotonic_ms() + 500;
    CU_ASSERT_EQUAL(hs_store_client_send(fixture.client, &call, deadline, NULL, answer),
                    HS_STORE_DONE);
    call = hs_platform_build_read_call(HS_TOPIC_JOBS, 3, 0, 64, 0);
    CU_ASSERT_EQUAL(hs_store_client_send(fixture.client, &call, deadline, NULL, answer),
                    HS_STORE_GONE);
    uint64_t first = 0;
    CU_ASSERT_TRUE(hs_platform_read_first_offset(answer, &first));
    CU_ASSERT_EQUAL(first, 1);
    g_byte_array_free(answer, TRUE);
    close_fixture(&fixture);
}

/** Time in ms until an owner trims contents that were not needed once; see content_trim.h. */
#define TRIM_DUE_MS 31000
/** Interval in ms at which the tests trim and follow a partition. */
#define TRIM_STEP_MS 500

/** Stores one content in one record; returns its offset. */
static uint64_t append_content(partition_fixture *fixture, const char *path) {
    Hs__JobItemContent content = HS__JOB_ITEM_CONTENT__INIT;
    content.path = (char *)path;
    hs_job_contents *contents = hs_job_partition_new_contents(fixture->partition);
    hs_job_contents_add(contents, &content);
    g_autoptr(GArray) offsets = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    CU_ASSERT_EQUAL(hs_job_partition_append_contents(fixture->partition, contents, offsets, NULL,
                                                     hs_clock_monotonic_ms() + 500),
                    HS_STORE_DONE);
    hs_job_contents_free(contents);
    return g_array_index(offsets, uint64_t, 0);
}

static hs_store_outcome read_content_at(partition_fixture *fixture, uint64_t offset) {
    hs_store_outcome outcome = HS_STORE_UNKNOWN;
    Hs__JobItemContent *content = hs_job_partition_read_content(
        fixture->partition, offset, 1, hs_clock_monotonic_ms() + 500, &outcome);
    if (content != NULL)
        hs__job_item_content__free_unpacked(content, NULL);
    return outcome;
}

/** Stores the manifest of a job with one item, whose content is at @p offset. */
static void append_job(partition_fixture *fixture, const char *job_id, uint64_t offset) {
    Hs__JobManifest *manifest = make_manifest("h");
    manifest->job_id = (char *)job_id;
    manifest->submitted_ms = hs_clock_wall_ms();
    manifest->n_items = 1;
    manifest->items[0]->content_offset = offset;
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_MANIFEST;
    record.manifest = manifest;
    CU_ASSERT_EQUAL(
        hs_job_partition_append(fixture->partition, &record, hs_clock_monotonic_ms() + 500),
        HS_STORE_DONE);
}

/** Follows and trims the partition as its owner does, for @p duration_ms. */
static void follow_and_trim(partition_fixture *fixture, uint64_t duration_ms) {
    uint64_t until_ms = hs_clock_monotonic_ms() + duration_ms;
    while (hs_clock_monotonic_ms() < until_ms) {
        uint64_t next = hs_job_state_next_offset(hs_job_partition_lock(fixture->partition));
        hs_job_partition_unlock(fixture->partition);
        uint64_t now_ms = hs_clock_monotonic_ms();
        hs_job_partition_follow(fixture->partition, next, now_ms + TRIM_STEP_MS);
        hs_job_partition_trim(fixture->partition, hs_clock_monotonic_ms() + TRIM_STEP_MS);
    }
}

/** Guards against a trim of contents whose manifest came after a note of what was needed. */
static void contents_of_a_late_manifest_are_not_trimmed(void) {
    partition_fixture fixture;
    open_fixture(&fixture);
    append_content(&fixture, "/unused");
    uint64_t early = append_content(&fixture, "/early");
    uint64_t late = append_content(&fixture, "/late");
    append_job(&fixture, "late", late);
    CU_ASSERT_TRUE(catch_up(&fixture));
    hs_job_partition_trim(fixture.partition, hs_clock_monotonic_ms() + 500);
    append_job(&fixture, "early", early);
    follow_and_trim(&fixture, TRIM_DUE_MS);
    CU_ASSERT_EQUAL(read_content_at(&fixture, early), HS_STORE_DONE);
    CU_ASSERT_EQUAL(read_content_at(&fixture, late), HS_STORE_DONE);
    CU_ASSERT_EQUAL(read_content_at(&fixture, 0), HS_STORE_GONE);
    close_fixture(&fixture);
}

/** Guards against a trim up to an offset that a manifest claims, of contents whose job is new. */
static void contents_of_new_jobs_are_not_trimmed_by_a_claimed_offset(void) {
    partition_fixture fixture;
    open_fixture(&fixture);
    uint64_t unused = append_content(&fixture, "/unused");
    uint64_t own = append_content(&fixture, "/own");
    append_job(&fixture, "odd", UINT64_MAX / 4);
    CU_ASSERT_TRUE(catch_up(&fixture));
    hs_job_partition_trim(fixture.partition, hs_clock_monotonic_ms() + 500);
    append_job(&fixture, "own", own);
    follow_and_trim(&fixture, HS_CONTENT_TRIM_AGE_MS - 4 * TRIM_STEP_MS);
    uint64_t late = append_content(&fixture, "/late");
    hs_job_partition_apply_end(fixture.partition, "own", "test");
    follow_and_trim(&fixture, 8 * TRIM_STEP_MS);
    CU_ASSERT_EQUAL(read_content_at(&fixture, unused), HS_STORE_GONE);
    CU_ASSERT_EQUAL(read_content_at(&fixture, late), HS_STORE_DONE);
    close_fixture(&fixture);
}

/** Guards against a read of all contents that follow one whose claimed length is too large. */
static void a_content_of_a_false_length_is_not_read_beyond_its_end(void) {
    partition_fixture fixture;
    open_fixture(&fixture);
    g_autofree char *path = g_strnfill(60000, 'p');
    uint64_t first = append_content(&fixture, path);
    for (int count = 0; count < 80; count++)
        append_content(&fixture, path);
    uint32_t reads = log_store_call_count(fixture.store, CALL_READ);
    hs_store_outcome outcome = HS_STORE_UNKNOWN;
    Hs__JobItemContent *content = hs_job_partition_read_content(
        fixture.partition, first, UINT32_MAX, hs_clock_monotonic_ms() + 5000, &outcome);
    CU_ASSERT_PTR_NULL(content);
    CU_ASSERT_EQUAL(outcome, HS_STORE_INVALID);
    CU_ASSERT_EQUAL(log_store_call_count(fixture.store, CALL_READ) - reads, 1);
    close_fixture(&fixture);
}

static void contents_are_read_back_unchanged(void) {
    partition_fixture fixture;
    open_fixture(&fixture);
    hs_job_contents *contents = hs_job_partition_new_contents(fixture.partition);
    GArray *offsets = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    for (uint32_t index = 0; index < 8; index++) {
        Hs__JobItemContent content = HS__JOB_ITEM_CONTENT__INIT;
        uint32_t length = index * 5000; /* Above the limits of a record and of a call. */
        g_autofree uint8_t *body = g_malloc(length + 1);
        memset(body, (int)index + 1, length);
        content.path = "/p/q";
        content.body.data = body;
        content.body.len = length;
        hs_job_contents_add(contents, &content);
    }
    hs_deadline deadline = hs_clock_monotonic_ms() + 2000;
    CU_ASSERT_EQUAL(
        hs_job_partition_append_contents(fixture.partition, contents, offsets, NULL, deadline),
        HS_STORE_DONE);
    for (uint32_t index = 0; index < 8; index++) {
        hs_store_outcome outcome = HS_STORE_UNKNOWN;
        uint32_t bytes = g_array_index(contents->places, hs_content_place, index).bytes;
        Hs__JobItemContent *read = hs_job_partition_read_content(
            fixture.partition, g_array_index(offsets, uint64_t, index), bytes, deadline, &outcome);
        CU_ASSERT_PTR_NOT_NULL_FATAL(read);
        CU_ASSERT_EQUAL(read->body.len, (size_t)index * 5000);
        CU_ASSERT(read->body.len == 0 || read->body.data[read->body.len - 1] == index + 1);
        hs__job_item_content__free_unpacked(read, NULL);
    }
    hs_job_contents_free(contents);
    g_array_free(offsets, TRUE);
    close_fixture(&fixture);
}

static void split_results_are_read_back_unchanged(void) {
    partition_fixture fixture;
    open_fixture(&fixture);
    append_manifest(&fixture);
    GString *text = g_string_new(NULL);
    while (text->len < 20000)
        g_string_append_printf(text, "%zu ", text->len);
    hs_store_outcome outcome = hs_job_partition_append_result(
        fixture.partition, "job", 1, HS_ITEM_COMPLETED, text, NULL, hs_clock_monotonic_ms() + 500);
    CU_ASSERT_EQUAL(outcome, HS_STORE_DONE);
    CU_ASSERT_TRUE(catch_up(&fixture));
    const hs_job *job = hs_job_state_find(hs_job_partition_lock(fixture.partition), "job");
    const hs_job_result *result = job->results->pdata[0];
    CU_ASSERT(result->length == text->len && memcmp(result->text, text->str, text->len) == 0);
    hs_job_partition_unlock(fixture.partition);
    g_string_free(text, TRUE);
    close_fixture(&fixture);
}

static void waiting_ends_with_the_next_record(void) {
    partition_fixture fixture;
    open_fixture(&fixture);
    CU_ASSERT_TRUE(catch_up(&fixture));
    uint64_t began = hs_clock_monotonic_ms();
    hs_job_partition_wait(fixture.partition, 0, began + 150);
    CU_ASSERT(hs_clock_monotonic_ms() - began >= 145);
    append_manifest(&fixture);
    began = hs_clock_monotonic_ms();
    hs_job_partition_wait(fixture.partition, 0, began + 2000);
    CU_ASSERT(hs_clock_monotonic_ms() - began < 1000);
    CU_ASSERT_TRUE(is_known(&fixture));
    close_fixture(&fixture);
}

/** A fold that holds only a part of the log may show finished items as open. */
static void items_wait_for_a_complete_log_read(void) {
    partition_fixture fixture;
    open_fixture(&fixture);
    append_manifest(&fixture);
    GString *text = g_string_new(NULL);
    while (text->len < 300 * 1024) /* More than one page of the log. */
        g_string_append_c(text, 'x');
    for (uint32_t item = 0; item < 2; item++)
        hs_job_partition_append_result(fixture.partition, "job", item, HS_ITEM_COMPLETED, text,
                                       NULL, hs_clock_monotonic_ms() + 2000);
    g_string_free(text, TRUE);
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_owned_job_partition owned = {.partition = fixture.partition,
                                    .is_owned = true,
                                    .acquired_ms = now_ms,
                                    .earliest_start_ms = now_ms};
    hs_job_partition_wait(fixture.partition, 0, now_ms + 500);
    CU_ASSERT_TRUE(is_known(&fixture));
    CU_ASSERT_FALSE(hs_job_owner_may_run(&owned, hs_clock_monotonic_ms()));
    CU_ASSERT_TRUE(catch_up(&fixture));
    CU_ASSERT_TRUE(hs_job_owner_may_run(&owned, hs_clock_monotonic_ms()));
    owned.acquired_ms = hs_clock_monotonic_ms() + 1; /* Assigned again. */
    CU_ASSERT_FALSE(hs_job_owner_may_run(&owned, hs_clock_monotonic_ms()));
    close_fixture(&fixture);
}

/** Guards against long polls during which a followed fold gets too old to answer. */
/** Otherwise an item of a job that ended unnoticed would reach an engine after the limit. */
static void items_start_only_from_folds_that_leave_time_to_send_them(void) {
    hs_ends_knowledge knowledge = {
        .now_ms = 50000, .reported_since_ms = UINT64_MAX, .cancel_ms = 3000};
    CU_ASSERT_EQUAL(hs_start_rule_send_time_ms(3000), 500);
    knowledge.fold_age_ms = 2000;
    CU_ASSERT_TRUE(hs_start_rule_may_start(&knowledge));
    knowledge.fold_age_ms = 2001;
    CU_ASSERT_FALSE(hs_start_rule_may_start(&knowledge));
    knowledge.cancel_ms = 300;
    knowledge.fold_age_ms = 201;
    CU_ASSERT_FALSE(hs_start_rule_may_start(&knowledge));
    knowledge.cancel_ms = 10000;
    knowledge.fold_age_ms = 9000;
    CU_ASSERT_TRUE(hs_start_rule_may_start(&knowledge));
    knowledge.fold_age_ms = UINT64_MAX;
    CU_ASSERT_FALSE(hs_start_rule_may_start(&knowledge));
}

/** Otherwise an absence of the store would stop all jobs, or let unreported ends pass. */
static void items_start_from_an_old_fold_only_if_all_ends_since_were_reported(void) {
    hs_ends_knowledge knowledge = {.now_ms = 50000, .fold_age_ms = 8000, .cancel_ms = 3000};
    knowledge.reported_since_ms = 42000;
    CU_ASSERT_TRUE(hs_start_rule_may_start(&knowledge));
    knowledge.reported_since_ms = 42001; /* An end in between may have been missed. */
    CU_ASSERT_FALSE(hs_start_rule_may_start(&knowledge));
    knowledge.fold_age_ms = UINT64_MAX;
    knowledge.reported_since_ms = 0;
    CU_ASSERT_FALSE(hs_start_rule_may_start(&knowledge));
}

/** Otherwise all daemons read whole logs when the store returns, and owners cannot read. */
static void logs_are_not_read_for_callers_right_after_a_failure(void) {
    hs_log_read_limit limit = {0};
    CU_ASSERT_TRUE(hs_log_read_limit_begin(&limit, 10000, 0));
    CU_ASSERT_TRUE(hs_log_read_limit_begin(&limit, 10000, 8000));
    CU_ASSERT_FALSE(hs_log_read_limit_begin(&limit, 10000, 0)); /* Two are open. */
    hs_log_read_limit_end(&limit);
    CU_ASSERT_FALSE(hs_log_read_limit_begin(&limit, 10000, 8001));
    CU_ASSERT_TRUE(hs_log_read_limit_begin(&limit, 10001, 8001));
}

static void long_polls_end_before_the_fold_is_too_old(void) {
    CU_ASSERT_EQUAL(hs_job_poll_wait_ms(10000, 10000, 10500), 500);
    CU_ASSERT_EQUAL(hs_job_poll_wait_ms(10000, 10000, 15000), 700); /* A caller waits for long. */
    CU_ASSERT_EQUAL(hs_job_poll_wait_ms(10000, 10490, 10990), 210); /* Records came late. */
    CU_ASSERT_EQUAL(hs_job_poll_wait_ms(10000, 11000, 11500), 50);
    CU_ASSERT_EQUAL(hs_job_poll_wait_ms(0, 11000, 11020), 20);
    for (uint64_t now_ms = 10000; now_ms < 10650; now_ms++)
        CU_ASSERT(now_ms + hs_job_poll_wait_ms(10000, now_ms, now_ms + 5000) <
                  10000 + HS_JOB_MAX_FOLD_AGE_MS);
}

/** Delay in ms of a slow store's answers, and for how long the fold is followed. */
#define SLOW_STORE_MS 800
#define FOLLOWED_MS 4000
/** Time in ms for the first polls of a store that has become slow. */
#define FIRST_POLLS_MS 3000

/** Guards against long polls that give up before a slow store answers. */
static void a_followed_fold_stays_young_enough_to_start_items_while_the_store_is_slow(void) {
    partition_fixture fixture;
    open_fixture(&fixture);
    CU_ASSERT_TRUE(catch_up(&fixture));
    log_store_set_delay(fixture.store, SLOW_STORE_MS);
    uint64_t slow_ms = hs_clock_monotonic_ms();
    uint64_t oldest_ms = 0;
    while (hs_clock_monotonic_ms() < slow_ms + FIRST_POLLS_MS + FOLLOWED_MS) {
        uint64_t began_ms = hs_clock_monotonic_ms();
        uint64_t age_ms = hs_job_partition_age_ms(fixture.partition);
        hs_job_partition_follow(fixture.partition, 0, began_ms + 500);
        if (began_ms > slow_ms + FIRST_POLLS_MS)
            oldest_ms = MAX(oldest_ms, age_ms + hs_clock_monotonic_ms() - began_ms);
    }
    CU_ASSERT(oldest_ms < hs_start_rule_max_age_ms(3000));
    close_fixture(&fixture);
}

/** Time in ms that a caller's read of the log may take, and the time between two callers. */
#define CALLER_READ_MS 1200
#define CALLER_STEP_MS 100
#define CALLERS 6

static gpointer catch_up_for_caller(gpointer data) {
    partition_fixture *fixture = data;
    bool is_read =
        hs_job_partition_catch_up(fixture->partition, hs_clock_monotonic_ms() + CALLER_READ_MS);
    return GINT_TO_POINTER(is_read);
}

/** Guards against callers that wait for another's read before their own starts. */
static void callers_in_a_row_read_a_slow_log_in_time(void) {
    partition_fixture fixture;
    open_fixture(&fixture);
    append_manifest(&fixture);
    log_store_set_delay(fixture.store, SLOW_STORE_MS);
    GThread *threads[CALLERS];
    for (int caller = 0; caller < CALLERS; caller++) {
        threads[caller] = g_thread_new("caller", catch_up_for_caller, &fixture);
        hs_clock_sleep_ms(CALLER_STEP_MS);
    }
    for (int caller = 0; caller < CALLERS; caller++)
        CU_ASSERT_TRUE(GPOINTER_TO_INT(g_thread_join(threads[caller])));
    CU_ASSERT_TRUE(is_known(&fixture));
    CU_ASSERT_EQUAL(hs_job_state_next_offset(hs_job_partition_lock(fixture.partition)), 1);
    hs_job_partition_unlock(fixture.partition);
    close_fixture(&fixture);
}

/** Appends of another thread, and when the last one was stored. */
typedef struct {
    partition_fixture *fixture;
    gint is_stopping;
    GMutex lock;
    uint64_t stored; /**< Number of records stored. */
    uint64_t stored_ms;
} record_writer;

/** Appends records while the store is slow, silent and healthy in turn. */
static gpointer write_records(gpointer data) {
    record_writer *writer = data;
    for (int round = 0; g_atomic_int_get(&writer->is_stopping) == 0; round++) {
        log_store_set_delay(writer->fixture->store, round % 4 == 1 ? 300 : 0);
        log_store_set_mode(writer->fixture->store,
                           round % 4 == 3 ? LOG_STORE_UNRESPONSIVE : LOG_STORE_HEALTHY, "/log-read",
                           G_MAXUINT32);
        hs_clock_sleep_ms(400);
        if (append_manifest(writer->fixture) != HS_STORE_DONE)
            continue;
        g_mutex_lock(&writer->lock);
        writer->stored++;
        writer->stored_ms = hs_clock_monotonic_ms();
        g_mutex_unlock(&writer->lock);
    }
    return NULL;
}

/** Guards against a poll that counts as showing the log later than the store served it. */
static void a_fold_never_counts_as_current_without_a_stored_record(void) {
    partition_fixture fixture;
    open_fixture(&fixture);
    CU_ASSERT_TRUE(catch_up(&fixture));
    record_writer writer = {.fixture = &fixture};
    g_mutex_init(&writer.lock);
    GThread *thread = g_thread_new("write-records", write_records, &writer);
    uint64_t until_ms = hs_clock_monotonic_ms() + 2 * FOLLOWED_MS;
    while (hs_clock_monotonic_ms() < until_ms) {
        uint64_t next = hs_job_state_next_offset(hs_job_partition_lock(fixture.partition));
        hs_job_partition_unlock(fixture.partition);
        hs_job_partition_follow(fixture.partition, next, hs_clock_monotonic_ms() + 500);
        g_mutex_lock(&writer.lock);
        uint64_t stored = writer.stored;
        uint64_t stored_ms = writer.stored_ms;
        g_mutex_unlock(&writer.lock);
        bool is_current = hs_job_partition_is_current(fixture.partition, stored_ms);
        next = hs_job_state_next_offset(hs_job_partition_lock(fixture.partition));
        hs_job_partition_unlock(fixture.partition);
        CU_ASSERT(!is_current || next >= stored);
    }
    g_atomic_int_set(&writer.is_stopping, 1);
    g_thread_join(thread);
    CU_ASSERT(writer.stored > 0);
    g_mutex_clear(&writer.lock);
    close_fixture(&fixture);
}

/** Guards against a completed text that begins with output which can't be written as JSON. */
static void stored_progress_that_is_no_text_is_run_again(void) {
    hs_job_item item = {.id = "a",
                        .progress = "\xf7ord",
                        .progress_length = 4,
                        .progress_event = 3,
                        .progress_software = 5};
    hs_job job = {.id = "job",
                  .host = "h",
                  .target = "/p/",
                  .tenant = "",
                  .items = g_array_new(FALSE, FALSE, sizeof(hs_job_item))};
    g_array_append_val(job.items, item);
    hs_item_run *run = hs_item_run_new(&job, 0);
    CU_ASSERT_FALSE(run->events.has_last_id);
    GString *text = hs_item_run_text(run);
    CU_ASSERT_EQUAL(text->len, 0);
    g_string_free(text, TRUE);
    hs_item_run_free(run);
    g_array_index(job.items, hs_job_item, 0).progress = "word";
    run = hs_item_run_new(&job, 0);
    CU_ASSERT_EQUAL(run->events.last_id, 3);
    hs_item_run_free(run);
    g_array_free(job.items, TRUE);
}

const test_case job_tests[] = {
    {"stored_progress_that_is_no_text_is_run_again", stored_progress_that_is_no_text_is_run_again},
    {"a_followed_fold_stays_young_enough_to_start_items_while_the_store_is_slow",
     a_followed_fold_stays_young_enough_to_start_items_while_the_store_is_slow},
    {"callers_in_a_row_read_a_slow_log_in_time", callers_in_a_row_read_a_slow_log_in_time},
    {"a_fold_never_counts_as_current_without_a_stored_record",
     a_fold_never_counts_as_current_without_a_stored_record},
    {"long_polls_end_before_the_fold_is_too_old", long_polls_end_before_the_fold_is_too_old},
    {"logs_are_not_read_for_callers_right_after_a_failure",
     logs_are_not_read_for_callers_right_after_a_failure},
    {"items_start_only_from_folds_that_leave_time_to_send_them",
     items_start_only_from_folds_that_leave_time_to_send_them},
    {"items_start_from_an_old_fold_only_if_all_ends_since_were_reported",
     items_start_from_an_old_fold_only_if_all_ends_since_were_reported},
    {"repeated_records_change_nothing", repeated_records_change_nothing},
    {"split_results_count_only_if_complete", split_results_count_only_if_complete},
    {"an_end_applied_before_its_record_changes_no_result",
     an_end_applied_before_its_record_changes_no_result},
    {"an_end_applied_before_the_manifest_is_kept", an_end_applied_before_the_manifest_is_kept},
    {"an_end_without_a_manifest_expires", an_end_without_a_manifest_expires},
    {"ended_jobs_expire_and_need_no_content", ended_jobs_expire_and_need_no_content},
    {"progress_records_are_joined", progress_records_are_joined},
    {"latest_progress_event_wins", latest_progress_event_wins},
    {"outputs_of_two_owners_are_not_mixed", outputs_of_two_owners_are_not_mixed},
    {"output_of_other_software_is_not_continued", output_of_other_software_is_not_continued},
    {"unreadable_records_are_skipped", unreadable_records_are_skipped},
    {"times_of_a_manifest_do_not_wrap", times_of_a_manifest_do_not_wrap},
    {"append_outcomes_match_store_faults", append_outcomes_match_store_faults},
    {"append_time_grows_up_to_the_limit", append_time_grows_up_to_the_limit},
    {"an_append_after_its_deadline_is_not_sent", an_append_after_its_deadline_is_not_sent},
    {"an_end_that_may_be_stored_is_not_refused", an_end_that_may_be_stored_is_not_refused},
    {"reads_are_retried_on_a_new_connection", reads_are_retried_on_a_new_connection},
    {"lost_log_records_are_skipped", lost_log_records_are_skipped},
    {"trimmed_records_are_gone", trimmed_records_are_gone},
    {"a_content_of_a_false_length_is_not_read_beyond_its_end",
     a_content_of_a_false_length_is_not_read_beyond_its_end},
    {"contents_of_new_jobs_are_not_trimmed_by_a_claimed_offset",
     contents_of_new_jobs_are_not_trimmed_by_a_claimed_offset},
    {"contents_of_a_late_manifest_are_not_trimmed", contents_of_a_late_manifest_are_not_trimmed},
    {"contents_are_read_back_unchanged", contents_are_read_back_unchanged},
    {"split_results_are_read_back_unchanged", split_results_are_read_back_unchanged},
    {"items_wait_for_a_complete_log_read", items_wait_for_a_complete_log_read},
    {"waiting_ends_with_the_next_record", waiting_ends_with_the_next_record},
    {NULL, NULL}};
