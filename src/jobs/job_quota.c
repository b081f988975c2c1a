/** @file job_quota.c  See job_quota.h. */
#include "jobs/job_quota.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "gen/job.pb-c.h"
#include "jobs/quota_fold.h"
#include "online/retry_after.h"

#include <string.h>

#define QUOTA_PARTITION 0
#define MAX_READ_KB 1024
#define RETRY_PAUSE_MS 40
#define RELEASE_TIMEOUT_MS 3000
/** Minimum interval between two levels of a partition. */
#define LEVEL_INTERVAL_MS 700
/** An unchanged level is reported again after this time, before the log's retention drops it. */
#define LEVEL_REPEAT_MS 60000

struct hs_job_quota {
    hs_store_client *store;
    GMutex lock; /**< Guards fold and counters. */
    hs_quota_fold *fold;
    hs_quota_counters counters;
    GThreadPool *releases; /**< One thread that appends releases in the background. */
};

static void run_release(gpointer submission, gpointer data);

hs_job_quota *hs_job_quota_new(hs_store_client *store, uint32_t partition_count) {
    hs_job_quota *quota = g_new0(hs_job_quota, 1);
    quota->store = store;
    quota->fold = hs_quota_fold_new(partition_count);
    g_mutex_init(&quota->lock);
    quota->releases = g_thread_pool_new(run_release, quota, 1, FALSE, NULL);
    return quota;
}

void hs_job_quota_free(hs_job_quota *quota) {
    if (quota == NULL)
        return;
    g_thread_pool_free(quota->releases, TRUE, TRUE);
    hs_quota_fold_free(quota->fold);
    g_mutex_clear(&quota->lock);
    g_free(quota);
}

static hs_store_outcome append(hs_job_quota *quota, const Hs__QuotaRecord *record,
                               hs_deadline deadline, uint64_t *offset) {
    size_t length = hs__quota_record__get_packed_size(record);
    g_autofree uint8_t *bytes = g_malloc(length);
    hs__quota_record__pack(record, bytes);
    GByteArray *records = g_byte_array_new();
    hs_platform_frame_record(records, bytes, length);
    hs_store_call call = hs_platform_build_append_call(HS_TOPIC_QUOTA, QUOTA_PARTITION, records);
    GByteArray *answer = g_byte_array_new();
    hs_store_outcome outcome = hs_store_client_send(quota->store, &call, deadline, NULL, answer);
    if (outcome == HS_STORE_DONE && !hs_platform_read_appended_offset(answer, offset))
        outcome = HS_STORE_UNKNOWN;
    g_byte_array_free(records, TRUE);
    g_byte_array_free(answer, TRUE);
    return outcome;
}

/** Appends the record until the store confirms it. Retries may store the record twice. */
static bool append_until_stored(hs_job_quota *quota, const Hs__QuotaRecord *record,
                                hs_deadline deadline, uint64_t *offset) {
    uint64_t stored_offset = 0;
    uint32_t attempt = 0;
    while (hs_clock_monotonic_ms() < deadline) {
        uint64_t timeout_ms = hs_store_client_write_timeout_ms(quota->store, attempt++, 0);
        hs_deadline attempt_deadline = MIN(deadline, hs_clock_monotonic_ms() + timeout_ms);
        hs_store_outcome outcome = append(quota, record, attempt_deadline, &stored_offset);
        if (outcome == HS_STORE_DONE && offset != NULL)
            *offset = stored_offset;
        if (outcome == HS_STORE_DONE)
            return true;
        hs_clock_sleep_ms(RETRY_PAUSE_MS);
    }
    return false;
}

/** Returns the key under which the tokens of a tenant on a route are summed. Free with g_free. */
static char *quota_key(const char *route, const char *tenant) {
    return *tenant != '\0' ? g_strdup_printf("%s\n%s", route, tenant) : g_strdup(route);
}

static bool append_reservation(hs_job_quota *quota, const hs_quota_request *request,
                               hs_quota_decision *decision) {
    Hs__QuotaReservation reservation = HS__QUOTA_RESERVATION__INIT;
    g_autofree char *name = quota_key(request->route->name, request->tenant);
    reservation.job_id = (char *)request->job_id;
    reservation.submission = decision->submission;
    reservation.route = name;
    reservation.tokens = request->tokens;
    reservation.partition = request->partition;
    Hs__QuotaRecord record = HS__QUOTA_RECORD__INIT;
    record.kind_case = HS__QUOTA_RECORD__KIND_RESERVATION;
    record.reservation = &reservation;
    return append_until_stored(quota, &record, request->deadline, &decision->offset);
}

/** Applies the records of a read that began at @p from. The caller holds the lock. */
static void apply_records(hs_job_quota *quota, const GByteArray *answer, uint64_t from) {
    size_t position = 0;
    hs_store_record record;
    uint64_t offset = from;
    uint64_t now_ms = hs_clock_monotonic_ms();
    while (hs_platform_read_next_record(answer, false, &position, &record)) {
        /* Another thread may have read the same records. */
        if (offset == hs_quota_fold_next(quota->fold) &&
            !hs_quota_fold_apply(quota->fold, offset, record.value, record.value_length, now_ms))
            hs_log_warning("reservation_record_unreadable", "offset=%" G_GUINT64_FORMAT,
                           (guint64)offset);
        offset++;
    }
}

/** Reads the log until the record at @p offset is applied. False: the deadline passed first. */
static bool read_past(hs_job_quota *quota, uint64_t offset, hs_deadline deadline) {
    GByteArray *answer = g_byte_array_new();
    bool has_read = false;
    while (!has_read) {
        g_mutex_lock(&quota->lock);
        uint64_t from = hs_quota_fold_next(quota->fold);
        g_mutex_unlock(&quota->lock);
        has_read = from > offset;
        if (has_read || hs_clock_monotonic_ms() >= deadline)
            break;
        hs_store_call call =
            hs_platform_build_read_call(HS_TOPIC_QUOTA, QUOTA_PARTITION, from, MAX_READ_KB, 0);
        hs_store_outcome outcome =
            hs_store_client_send(quota->store, &call, deadline, NULL, answer);
        uint64_t first = 0;
        g_mutex_lock(&quota->lock);
        if (outcome == HS_STORE_DONE)
            apply_records(quota, answer, from);
        else if (outcome == HS_STORE_GONE && hs_platform_read_first_offset(answer, &first))
            hs_quota_fold_skip_to(quota->fold, first);
        g_mutex_unlock(&quota->lock);
        if (outcome != HS_STORE_DONE && outcome != HS_STORE_GONE)
            hs_clock_sleep_ms(RETRY_PAUSE_MS);
    }
    g_byte_array_free(answer, TRUE);
    return has_read;
}

static uint64_t unfinished_tokens(const hs_job *job) {
    uint64_t tokens = 0;
    for (guint index = 0; index < job->items->len; index++) {
        const hs_job_item *item = &g_array_index(job->items, hs_job_item, index);
        tokens += item->listed ? 0 : item->tokens;
    }
    return tokens;
}

/** Decides by the log up to the request's own reservation. */
static hs_quota_verdict decide(hs_job_quota *quota, const hs_quota_request *request,
                               hs_quota_decision *decision) {
    g_autofree char *route = quota_key(request->route->name, request->tenant);
    g_mutex_lock(&quota->lock);
    decision->unfinished = hs_quota_fold_unfinished(quota->fold, route);
    decision->reserved =
        hs_quota_fold_reserved(quota->fold, route, request->job_id, decision->offset);
    decision->drain = hs_quota_fold_drain(quota->fold, route, hs_clock_monotonic_ms());
    g_mutex_unlock(&quota->lock);
    uint64_t all = decision->unfinished + decision->reserved + request->tokens;
    uint64_t excess = all - MIN(all, request->route->max_queued_tokens);
    decision->available_in_ms = hs_retry_after_drain_ms(
        excess, decision->drain.tokens, decision->drain.observed_ms, LEVEL_INTERVAL_MS);
    return all <= request->route->max_queued_tokens ? HS_QUOTA_FITS : HS_QUOTA_FULL;
}

static void count_verdict(hs_job_quota *quota, hs_quota_verdict verdict) {
    g_mutex_lock(&quota->lock);
    quota->counters.fitted += verdict == HS_QUOTA_FITS;
    quota->counters.refused += verdict == HS_QUOTA_FULL;
    quota->counters.unknown += verdict == HS_QUOTA_UNKNOWN;
    g_mutex_unlock(&quota->lock);
}

static void log_decision(const hs_quota_request *request, const hs_quota_decision *decision,
                         hs_quota_verdict verdict) {
    hs_log_info("job_admission",
                "job=%s route=%s tenant=%s config=%" G_GUINT64_FORMAT
                " verdict=%s tokens=%" G_GUINT64_FORMAT " unfinished=%" G_GUINT64_FORMAT
                " reserved=%" G_GUINT64_FORMAT " limit=%" G_GUINT64_FORMAT
                " offset=%" G_GUINT64_FORMAT " drained=%" G_GUINT64_FORMAT
                " drained_in_ms=%" G_GUINT64_FORMAT " room_ms=%" G_GUINT64_FORMAT,
                request->job_id, request->route->name, request->tenant,
                (guint64)request->config->version, hs_quota_verdict_name(verdict),
                (guint64)request->tokens, (guint64)decision->unfinished,
                (guint64)decision->reserved, (guint64)request->route->max_queued_tokens,
                (guint64)decision->offset, (guint64)decision->drain.tokens,
                (guint64)decision->drain.observed_ms, (guint64)decision->available_in_ms);
}

hs_quota_verdict hs_job_quota_reserve(hs_job_quota *quota, const hs_quota_request *request,
                                      hs_quota_decision *decision) {
    *decision = (hs_quota_decision){0};
    if (request->route->max_queued_tokens == 0)
        return HS_QUOTA_FITS;
    decision->submission = ((uint64_t)g_random_int() << 32) | g_random_int();
    hs_quota_verdict verdict = HS_QUOTA_UNKNOWN;
    if (append_reservation(quota, request, decision) &&
        read_past(quota, decision->offset, request->deadline))
        verdict = decide(quota, request, decision);
    count_verdict(quota, verdict);
    log_decision(request, decision, verdict);
    return verdict;
}

/** Appends a release. If that fails, the reservation counts until it is settled or expires. */
static void run_release(gpointer submission, gpointer data) {
    hs_job_quota *quota = data;
    Hs__QuotaRelease release = HS__QUOTA_RELEASE__INIT;
    release.submission = *(uint64_t *)submission;
    Hs__QuotaRecord record = HS__QUOTA_RECORD__INIT;
    record.kind_case = HS__QUOTA_RECORD__KIND_RELEASE;
    record.release = &release;
    bool is_stored =
        append_until_stored(quota, &record, hs_clock_monotonic_ms() + RELEASE_TIMEOUT_MS, NULL);
    g_mutex_lock(&quota->lock);
    quota->counters.released += is_stored;
    g_mutex_unlock(&quota->lock);
    g_free(submission);
}

void hs_job_quota_release(hs_job_quota *quota, uint64_t submission) {
    if (submission != 0)
        g_thread_pool_push(quota->releases, g_memdup2(&submission, sizeof submission), NULL);
}

/** Returns a level's entry for an open job of a limited route, else NULL. Free with free_entry. */
static Hs__QuotaJob *make_entry(const hs_job *job, const hs_fleet_config *config) {
    const hs_fleet_route *route =
        hs_job_is_open(job) ? hs_fleet_config_find_route(config, job->host, job->target) : NULL;
    if (route == NULL || route->max_queued_tokens == 0)
        return NULL;
    Hs__QuotaJob *entry = g_new(Hs__QuotaJob, 1);
    hs__quota_job__init(entry);
    entry->job_id = g_strdup(job->id);
    entry->route = quota_key(route->name, job->tenant);
    entry->tokens = unfinished_tokens(job);
    return entry;
}

static void free_entry(gpointer data) {
    Hs__QuotaJob *entry = data;
    g_free(entry->job_id);
    g_free(entry->route);
    g_free(entry);
}

static bool has_limit(const hs_fleet_config *config) {
    for (guint index = 0; index < config->routes->len; index++)
        if (((const hs_fleet_route *)config->routes->pdata[index])->max_queued_tokens > 0)
            return true;
    return false;
}

/** Returns the open jobs of limited routes (Hs__QuotaJob*), and the partition's next offset. */
static GPtrArray *collect_entries(hs_job_partition *partition, const hs_fleet_config *config,
                                  uint64_t *fold_offset) {
    GPtrArray *entries = g_ptr_array_new_with_free_func(free_entry);
    const hs_job_state *state = hs_job_partition_lock(partition);
    g_autoptr(GPtrArray) jobs = hs_job_state_list(state);
    *fold_offset = hs_job_state_next_offset(state);
    for (guint index = 0; index < jobs->len; index++) {
        Hs__QuotaJob *entry = make_entry(jobs->pdata[index], config);
        if (entry != NULL)
            g_ptr_array_add(entries, entry);
    }
    hs_job_partition_unlock(partition);
    return entries;
}

static uint64_t hash_entries(const GPtrArray *entries) {
    uint64_t hash = entries->len;
    for (guint index = 0; index < entries->len; index++) {
        const Hs__QuotaJob *entry = entries->pdata[index];
        hash ^= hs_hash_pair(entry->job_id, entry->route) + entry->tokens;
    }
    return hash;
}

void hs_job_quota_report(hs_job_quota *quota, hs_job_partition *partition,
                         const hs_fleet_config *config, hs_quota_reported *reported,
                         hs_deadline deadline) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (!has_limit(config) ||
        (reported->reported_ms != 0 && now_ms < reported->reported_ms + LEVEL_INTERVAL_MS))
        return;
    Hs__QuotaLevel level = HS__QUOTA_LEVEL__INIT;
    level.partition = hs_job_partition_number(partition);
    g_autoptr(GPtrArray) entries = collect_entries(partition, config, &level.fold_offset);
    level.n_jobs = entries->len;
    level.jobs = (Hs__QuotaJob **)entries->pdata;
    uint64_t content = hash_entries(entries);
    bool must_report =
        content != reported->content || now_ms > reported->reported_ms + LEVEL_REPEAT_MS;
    if (!must_report)
        return;
    Hs__QuotaRecord record = HS__QUOTA_RECORD__INIT;
    record.kind_case = HS__QUOTA_RECORD__KIND_LEVEL;
    record.level = &level;
    uint64_t offset = 0;
    if (append(quota, &record, deadline, &offset) != HS_STORE_DONE)
        return;
    *reported = (hs_quota_reported){.content = content, .reported_ms = now_ms};
    g_mutex_lock(&quota->lock);
    quota->counters.levels++;
    g_mutex_unlock(&quota->lock);
}

hs_quota_counters hs_job_quota_counters(hs_job_quota *quota) {
    g_mutex_lock(&quota->lock);
    hs_quota_counters counters = quota->counters;
    g_mutex_unlock(&quota->lock);
    return counters;
}

const char *hs_quota_verdict_name(hs_quota_verdict verdict) {
    static const char *const names[] = {
        [HS_QUOTA_FITS] = "fits", [HS_QUOTA_FULL] = "full", [HS_QUOTA_UNKNOWN] = "unknown"};
    return names[verdict];
}
