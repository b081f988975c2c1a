/** @file test_quota.c  Tests the limit on a route's unfinished tokens across several daemons. */
#include "base/clock.h"
#include "jobs/job_quota.h"
#include "jobs/quota_fold.h"
#include "platform/config_codec.h"
#include "standin/log_store/log_store.h"
#include "tests/unit/unit_tests.h"

#include <arpa/inet.h>
#include <string.h>

#define PARTITION_COUNT 4
#define LIMIT 1000
#define JOB_TOKENS 90

static void apply_reservation(hs_quota_fold *fold, const char *job, uint64_t submission,
                              uint64_t tokens) {
    Hs__QuotaReservation reservation = HS__QUOTA_RESERVATION__INIT;
    reservation.job_id = (char *)job;
    reservation.submission = submission;
    reservation.route = "r";
    reservation.tokens = tokens;
    Hs__QuotaRecord record = HS__QUOTA_RECORD__INIT;
    record.kind_case = HS__QUOTA_RECORD__KIND_RESERVATION;
    record.reservation = &reservation;
    uint8_t bytes[256];
    size_t length = hs__quota_record__pack(&record, bytes);
    CU_ASSERT_TRUE(hs_quota_fold_apply(fold, hs_quota_fold_next(fold), bytes, length, 1));
}

static void apply_release(hs_quota_fold *fold, uint64_t submission) {
    Hs__QuotaRelease release = HS__QUOTA_RELEASE__INIT;
    release.submission = submission;
    Hs__QuotaRecord record = HS__QUOTA_RECORD__INIT;
    record.kind_case = HS__QUOTA_RECORD__KIND_RELEASE;
    record.release = &release;
    uint8_t bytes[64];
    size_t length = hs__quota_record__pack(&record, bytes);
    CU_ASSERT_TRUE(hs_quota_fold_apply(fold, hs_quota_fold_next(fold), bytes, length, 1));
}

/** Only earlier reservations count, each job once, and released ones do not. */
static void reservations_count_in_log_order(void) {
    hs_quota_fold *fold = hs_quota_fold_new(PARTITION_COUNT);
    apply_reservation(fold, "a", 1, 100);
    apply_reservation(fold, "b", 2, 200);
    apply_reservation(fold, "a", 3, 100);
    apply_reservation(fold, "c", 4, 400);
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "r", "c", 3), 300);
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "r", "b", 1), 100);
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "r", "a", 4), 600);
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "other", "c", 9), 0);
    apply_release(fold, 2);
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "r", "x", 9), 500);
    apply_release(fold, 1); /* The job's second reservation still counts. */
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "r", "x", 9), 500);
    hs_quota_fold_free(fold);
}

/** A retried append may store a reservation after its release. */
static void a_late_copy_of_a_released_reservation_is_ignored(void) {
    hs_quota_fold *fold = hs_quota_fold_new(PARTITION_COUNT);
    apply_release(fold, 7);
    apply_reservation(fold, "a", 7, 100);
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "r", "x", 9), 0);
    static const uint8_t garbage[] = {0xff, 0xff, 0xff};
    CU_ASSERT_FALSE(hs_quota_fold_apply(fold, hs_quota_fold_next(fold), garbage, 3, 1));
    CU_ASSERT_EQUAL(hs_quota_fold_next(fold), 3);
    hs_quota_fold_free(fold);
}

/** A daemon: client, partitions and quota on the shared store. */
typedef struct {
    hs_store_client *client;
    GPtrArray *partitions;
    hs_job_quota *quota;
} test_daemon;

static void free_partition(gpointer data) {
    hs_job_partition_free(data);
}

static void start_daemon(test_daemon *started, const log_store *store) {
    started->client = hs_store_client_new(INADDR_LOOPBACK, log_store_port(store));
    started->partitions = g_ptr_array_new_with_free_func(free_partition);
    hs_job_store_settings settings = {.store = started->client,
                                      .part_count = PARTITION_COUNT,
                                      .record_bytes = 4096,
                                      .call_bytes = 65536,
                                      .status_ms = 60000};
    for (uint32_t part = 0; part < PARTITION_COUNT; part++)
        g_ptr_array_add(started->partitions, hs_job_partition_new(&settings, part));
    started->quota = hs_job_quota_new(started->client, PARTITION_COUNT);
}

static void stop_daemon(test_daemon *stopped) {
    hs_job_quota_free(stopped->quota);
    g_ptr_array_free(stopped->partitions, TRUE);
    hs_store_client_free(stopped->client);
}

/** A configuration of one batch route with a limit. */
static hs_fleet_config *config_of(uint64_t version, uint64_t limit) {
    hs_error error = {0};
    g_autofree char *text = g_strdup_printf(
        "{\"version\":%u,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path-prefix\":\"/p/\","
        "\"kind\":\"batch\",\"service\":\"s\",\"max-queued-tokens\":%u}],\"services\":[]}",
        (unsigned)version, (unsigned)limit);
    return hs_platform_read_config(text, strlen(text), &error);
}

static hs_quota_verdict reserve(test_daemon *daemon, const hs_fleet_config *config, const char *job,
                                hs_quota_decision *decision) {
    hs_quota_request request = {.job_id = job,
                                .partition = hs_job_partition_number_for_job(job, PARTITION_COUNT),
                                .tokens = JOB_TOKENS,
                                .config = config,
                                .route = config->routes->pdata[0],
                                .tenant = "",
                                .deadline = hs_clock_monotonic_ms() + 3000};
    return hs_job_quota_reserve(daemon->quota, &request, decision);
}

/** Append a record to the partition of @p job. */
static void append_record(test_daemon *daemon, const char *job, const Hs__JobRecord *record) {
    hs_job_partition *partition =
        daemon->partitions->pdata[hs_job_partition_number_for_job(job, PARTITION_COUNT)];
    CU_ASSERT_EQUAL(hs_job_partition_append(partition, record, hs_clock_monotonic_ms() + 1000),
                    HS_STORE_DONE);
}

static void store_job(test_daemon *daemon, const char *job) {
    Hs__JobItem item = HS__JOB_ITEM__INIT;
    Hs__JobItem *items[] = {&item};
    item.id = "i";
    item.tokens = JOB_TOKENS;
    Hs__JobManifest manifest = HS__JOB_MANIFEST__INIT;
    manifest.job_id = (char *)job;
    manifest.host = "h";
    manifest.target = "/p/";
    manifest.submitted_ms = 1;
    manifest.n_items = 1;
    manifest.items = items;
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_MANIFEST;
    record.manifest = &manifest;
    append_record(daemon, job, &record);
}

static void end_job(test_daemon *daemon, const char *job) {
    Hs__JobEnd end = HS__JOB_END__INIT;
    end.job_id = (char *)job;
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_END;
    record.end = &end;
    append_record(daemon, job, &record);
}

/** Reads all partitions and reports their levels, as their owner does. */
static void report_levels(test_daemon *daemon, const hs_fleet_config *config) {
    for (guint part = 0; part < daemon->partitions->len; part++) {
        hs_job_partition *partition = daemon->partitions->pdata[part];
        hs_quota_reported reported = {0};
        hs_deadline deadline = hs_clock_monotonic_ms() + 1000;
        CU_ASSERT_TRUE(hs_job_partition_catch_up(partition, deadline));
        hs_job_quota_report(daemon->quota, partition, config, &reported, deadline);
        CU_ASSERT(reported.reported_ms != 0);
    }
}

/** A thread that submits jobs to one daemon. */
typedef struct {
    test_daemon *daemon;
    const hs_fleet_config *config;
    int number;
    int accepted;
} submitter;

#define JOBS_PER_SUBMITTER 8
#define RELEASES_TIMEOUT_MS 5000

/** Waits until the background thread has stored @p count releases. */
static void wait_for_releases(test_daemon *daemon, uint64_t count) {
    hs_deadline limit = hs_clock_monotonic_ms() + RELEASES_TIMEOUT_MS;
    while (hs_job_quota_counters(daemon->quota).released < count && hs_clock_monotonic_ms() < limit)
        hs_clock_sleep_ms(5);
    CU_ASSERT_EQUAL(hs_job_quota_counters(daemon->quota).released, count);
}

static gpointer submit_jobs(gpointer data) {
    submitter *self = data;
    for (int job = 0; job < JOBS_PER_SUBMITTER; job++) {
        g_autofree char *id = g_strdup_printf("job-%d-%d", self->number, job);
        hs_quota_decision decision;
        hs_quota_verdict verdict = reserve(self->daemon, self->config, id, &decision);
        if (verdict == HS_QUOTA_FITS) {
            store_job(self->daemon, id);
            self->accepted++;
        } else {
            hs_job_quota_release(self->daemon->quota, decision.submission);
        }
    }
    return NULL;
}

/** Concurrent submissions never exceed the limit, and a restarted daemon counts accepted jobs. */
static void daemons_jointly_enforce_the_limit(void) {
    log_store *store = log_store_start(0);
    hs_fleet_config *config = config_of(1, LIMIT);
    test_daemon daemons[3];
    submitter submitters[3];
    GThread *threads[3];
    for (int index = 0; index < 3; index++) {
        start_daemon(&daemons[index], store);
        submitters[index] = (submitter){&daemons[index], config, index, 0};
    }
    for (int index = 0; index < 3; index++)
        threads[index] = g_thread_new("submit", submit_jobs, &submitters[index]);
    int accepted = 0;
    for (int index = 0; index < 3; index++) {
        g_thread_join(threads[index]);
        accepted += submitters[index].accepted;
        wait_for_releases(&daemons[index],
                          JOBS_PER_SUBMITTER - (uint64_t)submitters[index].accepted);
        stop_daemon(&daemons[index]);
    }
    CU_ASSERT(accepted * JOB_TOKENS <= LIMIT);
    CU_ASSERT(accepted > 0);
    test_daemon restarted;
    start_daemon(&restarted, store);
    hs_quota_decision decision;
    bool fits = true;
    while (fits) {
        g_autofree char *id = g_strdup_printf("more-%d", accepted);
        fits = reserve(&restarted, config, id, &decision) == HS_QUOTA_FITS;
        if (fits)
            store_job(&restarted, id);
        accepted += fits;
    }
    /* Released tokens are available again. */
    CU_ASSERT_EQUAL(accepted, LIMIT / JOB_TOKENS);
    /* Levels replace reservations. */
    report_levels(&restarted, config);
    CU_ASSERT_EQUAL(reserve(&restarted, config, "last", &decision), HS_QUOTA_FULL);
    CU_ASSERT_EQUAL(decision.unfinished, (uint64_t)accepted * JOB_TOKENS);
    /* The reservation of the job refused above, which is not released. */
    CU_ASSERT_EQUAL(decision.reserved, JOB_TOKENS);
    stop_daemon(&restarted);
    hs_fleet_config_unref(config);
    log_store_stop(store);
}

/** A lowered limit applies at once; ended jobs free capacity. */
static void a_lowered_limit_applies_until_jobs_end(void) {
    log_store *store = log_store_start(0);
    hs_fleet_config *wide = config_of(1, LIMIT);
    hs_fleet_config *narrow = config_of(2, JOB_TOKENS + 1);
    test_daemon daemon;
    start_daemon(&daemon, store);
    hs_quota_decision decision;
    static const char *const jobs[] = {"a", "b"};
    for (int index = 0; index < 2; index++) {
        CU_ASSERT_EQUAL(reserve(&daemon, wide, jobs[index], &decision), HS_QUOTA_FITS);
        store_job(&daemon, jobs[index]);
    }
    CU_ASSERT_EQUAL(reserve(&daemon, narrow, "c", &decision), HS_QUOTA_FULL);
    hs_job_quota_release(daemon.quota, decision.submission);
    report_levels(&daemon, narrow);
    end_job(&daemon, "a");
    end_job(&daemon, "b");
    /* The end of the jobs is not reported yet. */
    CU_ASSERT_EQUAL(reserve(&daemon, narrow, "d", &decision), HS_QUOTA_FULL);
    hs_job_quota_release(daemon.quota, decision.submission);
    wait_for_releases(&daemon, 2);
    report_levels(&daemon, narrow);
    CU_ASSERT_EQUAL(reserve(&daemon, narrow, "e", &decision), HS_QUOTA_FITS);
    stop_daemon(&daemon);
    hs_fleet_config_unref(wide);
    hs_fleet_config_unref(narrow);
    log_store_stop(store);
}

/** If reservations cannot be stored or read, jobs are neither accepted nor refused as full. */
static void an_unavailable_store_gives_no_verdict(void) {
    log_store *store = log_store_start(0);
    hs_fleet_config *config = config_of(1, LIMIT);
    test_daemon daemon;
    start_daemon(&daemon, store);
    hs_quota_decision decision;
    log_store_set_mode(store, LOG_STORE_REFUSES, "/log-read?topic=quota", 100000);
    CU_ASSERT_EQUAL(reserve(&daemon, config, "a", &decision), HS_QUOTA_UNKNOWN);
    log_store_set_mode(store, LOG_STORE_REFUSES, "/log-append?topic=quota", 100000);
    CU_ASSERT_EQUAL(reserve(&daemon, config, "b", &decision), HS_QUOTA_UNKNOWN);
    log_store_set_mode(store, LOG_STORE_HEALTHY, NULL, 1);
    CU_ASSERT_EQUAL(reserve(&daemon, config, "c", &decision), HS_QUOTA_FITS);
    stop_daemon(&daemon);
    hs_fleet_config_unref(config);
    log_store_stop(store);
}

/** A level of partition 0 with one job, or none. */
static void apply_level(hs_quota_fold *fold, uint64_t fold_offset, const char *job,
                        uint64_t now_ms) {
    Hs__QuotaJob entry = HS__QUOTA_JOB__INIT;
    Hs__QuotaJob *jobs[] = {&entry};
    entry.job_id = (char *)job;
    entry.route = "r";
    entry.tokens = 70;
    Hs__QuotaLevel level = HS__QUOTA_LEVEL__INIT;
    level.fold_offset = fold_offset;
    level.n_jobs = job != NULL;
    level.jobs = jobs;
    Hs__QuotaRecord record = HS__QUOTA_RECORD__INIT;
    record.kind_case = HS__QUOTA_RECORD__KIND_LEVEL;
    record.level = &level;
    uint8_t bytes[256];
    size_t length = hs__quota_record__pack(&record, bytes);
    CU_ASSERT_TRUE(hs_quota_fold_apply(fold, hs_quota_fold_next(fold), bytes, length, now_ms));
}

/** Tokens that a level no longer includes are drained, with decay; a growing level drains none. */
static void drains_show_recently_finished_tokens(void) {
    hs_quota_fold *fold = hs_quota_fold_new(PARTITION_COUNT);
    CU_ASSERT_EQUAL(hs_quota_fold_drain(fold, "r", 5).observed_ms, 0);
    apply_level(fold, 1, "a", 1000);
    apply_level(fold, 2, NULL, 2000);
    apply_level(fold, 3, "b", 2500);
    hs_quota_drain drain = hs_quota_fold_drain(fold, "r", 2500);
    CU_ASSERT(drain.tokens >= 60 && drain.tokens <= 70);
    CU_ASSERT_EQUAL(drain.observed_ms, 1500);
    CU_ASSERT_EQUAL(hs_quota_fold_drain(fold, "r", 62500).tokens, 0);
    CU_ASSERT_EQUAL(hs_quota_fold_drain(fold, "other", 2500).tokens, 0);
    hs_quota_fold_free(fold);
}

/** A level settles the reservations of its jobs; stale levels are ignored; reservations expire. */
static void levels_replace_reservations(void) {
    hs_quota_fold *fold = hs_quota_fold_new(PARTITION_COUNT);
    apply_reservation(fold, "a", 1, 100);
    apply_reservation(fold, "b", 2, 200);
    apply_level(fold, 5, "a", 10);
    CU_ASSERT_EQUAL(hs_quota_fold_unfinished(fold, "r"), 70);
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "r", "x", 9), 200);
    apply_level(fold, 4, NULL, 20); /* From an outdated owner that was paused. */
    CU_ASSERT_EQUAL(hs_quota_fold_unfinished(fold, "r"), 70);
    apply_level(fold, 6, NULL, 30);
    CU_ASSERT_EQUAL(hs_quota_fold_unfinished(fold, "r"), 0);
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "r", "x", 9), 200);
    apply_level(fold, 7, NULL, 11000); /* The job may still be stored. */
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "r", "x", 9), 200);
    apply_level(fold, 8, NULL, 13000);
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "r", "x", 9), 0);
    hs_quota_fold_free(fold);
}

static bool apply_record(hs_quota_fold *fold, const Hs__QuotaRecord *record, uint64_t now_ms) {
    uint8_t bytes[256];
    size_t length = hs__quota_record__pack(record, bytes);
    return hs_quota_fold_apply(fold, hs_quota_fold_next(fold), bytes, length, now_ms);
}

/** Guards against a route that stays full by records that no level of a partition replaces. */
static void records_of_no_partition_fill_no_route(void) {
    hs_quota_fold *fold = hs_quota_fold_new(PARTITION_COUNT);
    Hs__QuotaReservation reservation = HS__QUOTA_RESERVATION__INIT;
    reservation.job_id = "a";
    reservation.route = "r";
    reservation.tokens = 100;
    reservation.partition = PARTITION_COUNT;
    Hs__QuotaRecord record = HS__QUOTA_RECORD__INIT;
    record.kind_case = HS__QUOTA_RECORD__KIND_RESERVATION;
    record.reservation = &reservation;
    CU_ASSERT_FALSE(apply_record(fold, &record, 1));
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "r", "x", 9), 0);
    Hs__QuotaJob job = HS__QUOTA_JOB__INIT;
    Hs__QuotaJob *jobs[] = {&job};
    job.job_id = "b";
    job.route = "r";
    job.tokens = 70;
    Hs__QuotaLevel level = HS__QUOTA_LEVEL__INIT;
    level.partition = UINT32_MAX;
    level.n_jobs = 1;
    level.jobs = jobs;
    record.kind_case = HS__QUOTA_RECORD__KIND_LEVEL;
    record.level = &level;
    CU_ASSERT_FALSE(apply_record(fold, &record, 1));
    CU_ASSERT_EQUAL(hs_quota_fold_unfinished(fold, "r"), 0);
    CU_ASSERT_EQUAL(hs_quota_fold_next(fold), 2);
    hs_quota_fold_free(fold);
}

/** Guards against a sum that wraps to a small one, with which more jobs are accepted. */
static void huge_reservations_do_not_wrap(void) {
    hs_quota_fold *fold = hs_quota_fold_new(PARTITION_COUNT);
    apply_reservation(fold, "a", 1, UINT64_MAX);
    apply_reservation(fold, "b", 2, 2);
    uint64_t reserved = hs_quota_fold_reserved(fold, "r", "x", 9);
    CU_ASSERT(reserved > LIMIT && reserved < INT64_MAX);
    hs_quota_fold_free(fold);
}

const test_case quota_tests[] = {
    {"reservations_count_in_log_order", reservations_count_in_log_order},
    {"a_late_copy_of_a_released_reservation_is_ignored",
     a_late_copy_of_a_released_reservation_is_ignored},
    {"daemons_jointly_enforce_the_limit", daemons_jointly_enforce_the_limit},
    {"a_lowered_limit_applies_until_jobs_end", a_lowered_limit_applies_until_jobs_end},
    {"an_unavailable_store_gives_no_verdict", an_unavailable_store_gives_no_verdict},
    {"drains_show_recently_finished_tokens", drains_show_recently_finished_tokens},
    {"levels_replace_reservations", levels_replace_reservations},
    {"records_of_no_partition_fill_no_route", records_of_no_partition_fill_no_route},
    {"huge_reservations_do_not_wrap", huge_reservations_do_not_wrap},
    {NULL, NULL},
};
