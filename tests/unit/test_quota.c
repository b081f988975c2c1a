/** @file test_quota.c  The limit of a route's unfinished tokens, over several daemons. */
#include "base/clock.h"
#include "jobs/job_quota.h"
#include "jobs/quota_fold.h"
#include "platform/config_codec.h"
#include "standin/log_store/log_store.h"
#include "tests/unit/unit_tests.h"

#include <arpa/inet.h>
#include <string.h>

#define PARTS 4
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

/** Only what stands before counts, each job once, and nothing that was released. */
static void reservations_count_in_the_logs_order(void) {
    hs_quota_fold *fold = hs_quota_fold_new();
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
    apply_release(fold, 1); /* The job's second submission still holds. */
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "r", "x", 9), 500);
    hs_quota_fold_free(fold);
}

/** A reservation whose answer was lost may reach the log after its release. */
static void a_late_copy_of_a_released_reservation_is_void(void) {
    hs_quota_fold *fold = hs_quota_fold_new();
    apply_release(fold, 7);
    apply_reservation(fold, "a", 7, 100);
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "r", "x", 9), 0);
    static const uint8_t garbage[] = {0xff, 0xff, 0xff};
    CU_ASSERT_FALSE(hs_quota_fold_apply(fold, hs_quota_fold_next(fold), garbage, 3, 1));
    CU_ASSERT_EQUAL(hs_quota_fold_next(fold), 3);
    hs_quota_fold_free(fold);
}

/** One daemon's view: its own client, partitions and quota over the shared store. */
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
                                      .part_count = PARTS,
                                      .record_bytes = 4096,
                                      .call_bytes = 65536,
                                      .status_ms = 60000};
    for (uint32_t part = 0; part < PARTS; part++)
        g_ptr_array_add(started->partitions, hs_job_partition_new(&settings, part));
    started->quota = hs_job_quota_new(started->client);
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

static hs_quota_verdict claim(test_daemon *daemon, const hs_fleet_config *config, const char *job,
                              hs_quota_account *account) {
    hs_quota_claim asked = {.job_id = job,
                            .partition = hs_job_partition_of(job, PARTS),
                            .tokens = JOB_TOKENS,
                            .config = config,
                            .route = config->routes->pdata[0],
                            .tenant = "",
                            .deadline = hs_clock_monotonic_ms() + 3000};
    return hs_job_quota_claim(daemon->quota, &asked, account);
}

/** Append a record to the partition of @p job. */
static void append_record(test_daemon *daemon, const char *job, const Hs__JobRecord *record) {
    hs_job_partition *partition = daemon->partitions->pdata[hs_job_partition_of(job, PARTS)];
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

/** As the owner of all partitions: read them and tell what is open. */
static void tell_levels(test_daemon *daemon, const hs_fleet_config *config) {
    for (guint part = 0; part < daemon->partitions->len; part++) {
        hs_job_partition *partition = daemon->partitions->pdata[part];
        hs_quota_told told = {0};
        hs_deadline deadline = hs_clock_monotonic_ms() + 1000;
        CU_ASSERT_TRUE(hs_job_partition_catch_up(partition, deadline));
        hs_job_quota_tell(daemon->quota, partition, config, &told, deadline);
        CU_ASSERT(told.told_ms != 0);
    }
}

/** A thread that submits jobs at one daemon. */
typedef struct {
    test_daemon *daemon;
    const hs_fleet_config *config;
    int number;
    int taken;
} submitter;

#define JOBS_EACH 8
#define RELEASES_LIMIT_MS 5000

/** Releases go to the log beside; wait until @p count are there. */
static void wait_for_releases(test_daemon *daemon, uint64_t count) {
    hs_deadline limit = hs_clock_monotonic_ms() + RELEASES_LIMIT_MS;
    while (hs_job_quota_counters(daemon->quota).released < count && hs_clock_monotonic_ms() < limit)
        hs_clock_sleep_ms(5);
    CU_ASSERT_EQUAL(hs_job_quota_counters(daemon->quota).released, count);
}

static gpointer submit_jobs(gpointer data) {
    submitter *self = data;
    for (int job = 0; job < JOBS_EACH; job++) {
        g_autofree char *id = g_strdup_printf("job-%d-%d", self->number, job);
        hs_quota_account account;
        hs_quota_verdict verdict = claim(self->daemon, self->config, id, &account);
        if (verdict == HS_QUOTA_FITS) {
            store_job(self->daemon, id);
            self->taken++;
        } else {
            hs_job_quota_release(self->daemon->quota, account.submission);
        }
    }
    return NULL;
}

/** Daemons that submit at once never take more than fits; restarted ones know what was taken. */
static void daemons_together_keep_the_limit(void) {
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
    int taken = 0;
    for (int index = 0; index < 3; index++) {
        g_thread_join(threads[index]);
        taken += submitters[index].taken;
        wait_for_releases(&daemons[index], JOBS_EACH - (uint64_t)submitters[index].taken);
        stop_daemon(&daemons[index]);
    }
    CU_ASSERT(taken * JOB_TOKENS <= LIMIT);
    CU_ASSERT(taken > 0);
    test_daemon restarted;
    start_daemon(&restarted, store);
    hs_quota_account account;
    bool fits = true;
    while (fits) {
        g_autofree char *id = g_strdup_printf("more-%d", taken);
        fits = claim(&restarted, config, id, &account) == HS_QUOTA_FITS;
        if (fits)
            store_job(&restarted, id);
        taken += fits;
    }
    CU_ASSERT_EQUAL(taken, LIMIT / JOB_TOKENS); /* Released room can be taken again. */
    tell_levels(&restarted, config); /* What owners tell takes the place of reservations. */
    CU_ASSERT_EQUAL(claim(&restarted, config, "last", &account), HS_QUOTA_FULL);
    CU_ASSERT_EQUAL(account.unfinished, (uint64_t)taken * JOB_TOKENS);
    CU_ASSERT_EQUAL(account.reserved, JOB_TOKENS); /* The refused one before, not released here. */
    stop_daemon(&restarted);
    hs_fleet_config_unref(config);
    log_store_stop(store);
}

/** A lowered limit holds at once; ended jobs make room. */
static void a_lowered_limit_holds_until_jobs_end(void) {
    log_store *store = log_store_start(0);
    hs_fleet_config *wide = config_of(1, LIMIT);
    hs_fleet_config *narrow = config_of(2, JOB_TOKENS + 1);
    test_daemon daemon;
    start_daemon(&daemon, store);
    hs_quota_account account;
    static const char *const jobs[] = {"a", "b"};
    for (int index = 0; index < 2; index++) {
        CU_ASSERT_EQUAL(claim(&daemon, wide, jobs[index], &account), HS_QUOTA_FITS);
        store_job(&daemon, jobs[index]);
    }
    CU_ASSERT_EQUAL(claim(&daemon, narrow, "c", &account), HS_QUOTA_FULL);
    hs_job_quota_release(daemon.quota, account.submission);
    tell_levels(&daemon, narrow);
    end_job(&daemon, "a");
    end_job(&daemon, "b");
    CU_ASSERT_EQUAL(claim(&daemon, narrow, "d", &account), HS_QUOTA_FULL); /* Not told yet. */
    hs_job_quota_release(daemon.quota, account.submission);
    wait_for_releases(&daemon, 2);
    tell_levels(&daemon, narrow);
    CU_ASSERT_EQUAL(claim(&daemon, narrow, "e", &account), HS_QUOTA_FITS);
    stop_daemon(&daemon);
    hs_fleet_config_unref(wide);
    hs_fleet_config_unref(narrow);
    log_store_stop(store);
}

/** Where the store does not take or tell reservations, nothing is taken and nothing called full. */
static void an_unread_store_gives_no_verdict(void) {
    log_store *store = log_store_start(0);
    hs_fleet_config *config = config_of(1, LIMIT);
    test_daemon daemon;
    start_daemon(&daemon, store);
    hs_quota_account account;
    log_store_set_mode(store, LOG_STORE_REFUSES, "/log-read?topic=quota", 100000);
    CU_ASSERT_EQUAL(claim(&daemon, config, "a", &account), HS_QUOTA_UNKNOWN);
    log_store_set_mode(store, LOG_STORE_REFUSES, "/log-append?topic=quota", 100000);
    CU_ASSERT_EQUAL(claim(&daemon, config, "b", &account), HS_QUOTA_UNKNOWN);
    log_store_set_mode(store, LOG_STORE_SOUND, NULL, 1);
    CU_ASSERT_EQUAL(claim(&daemon, config, "c", &account), HS_QUOTA_FITS);
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

/** What levels no longer have was finished; it fades, and a level that grew shows nothing. */
static void what_was_finished_of_late_is_known(void) {
    hs_quota_fold *fold = hs_quota_fold_new();
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

/** A level settles its jobs' reservations; a stale one counts for nothing; the dead are forgotten.
 */
static void levels_take_the_place_of_reservations(void) {
    hs_quota_fold *fold = hs_quota_fold_new();
    apply_reservation(fold, "a", 1, 100);
    apply_reservation(fold, "b", 2, 200);
    apply_level(fold, 5, "a", 10);
    CU_ASSERT_EQUAL(hs_quota_fold_unfinished(fold, "r"), 70);
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "r", "x", 9), 200);
    apply_level(fold, 4, NULL, 20); /* Of an owner that was paused. */
    CU_ASSERT_EQUAL(hs_quota_fold_unfinished(fold, "r"), 70);
    apply_level(fold, 6, NULL, 30);
    CU_ASSERT_EQUAL(hs_quota_fold_unfinished(fold, "r"), 0);
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "r", "x", 9), 200);
    apply_level(fold, 7, NULL, 11000); /* The job may still be on its way. */
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "r", "x", 9), 200);
    apply_level(fold, 8, NULL, 13000);
    CU_ASSERT_EQUAL(hs_quota_fold_reserved(fold, "r", "x", 9), 0);
    hs_quota_fold_free(fold);
}

const test_case quota_tests[] = {
    {"reservations_count_in_the_logs_order", reservations_count_in_the_logs_order},
    {"a_late_copy_of_a_released_reservation_is_void",
     a_late_copy_of_a_released_reservation_is_void},
    {"daemons_together_keep_the_limit", daemons_together_keep_the_limit},
    {"a_lowered_limit_holds_until_jobs_end", a_lowered_limit_holds_until_jobs_end},
    {"an_unread_store_gives_no_verdict", an_unread_store_gives_no_verdict},
    {"what_was_finished_of_late_is_known", what_was_finished_of_late_is_known},
    {"levels_take_the_place_of_reservations", levels_take_the_place_of_reservations},
    {NULL, NULL},
};
