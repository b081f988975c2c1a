/** @file job_quota.c  Reservations, and the sum they are decided by; see job_quota.h. */
#include "jobs/job_quota.h"

#include "base/clock.h"
#include "base/log.h"
#include "gen/job.pb-c.h"
#include "jobs/quota_fold.h"

#include <string.h>

#define QUOTA_PART 0
#define READ_MAX_KB 1024
#define RETRY_PAUSE_MS 40
#define RELEASE_LIMIT_MS 3000
/** A sum over the partitions that is younger than this is not made anew. */
#define SUM_VALID_MS 150
/** Longest wait for one partition while the sum is made. */
#define PARTITION_LIMIT_MS 400
/**
 * A reserved job that is not in its partition after this long will not come: its daemon gave up
 * (a submission's call limit) and an append without an answer was done by then, if ever.
 */
#define NEVER_STORED_MS 12000

struct hs_job_quota {
    hs_store_client *store;
    const GPtrArray *partitions;
    GMutex lock; /**< Guards what follows. */
    hs_quota_fold *fold;
    GHashTable *unfinished; /**< route -> uint64_t*, tokens at the last sum. */
    uint64_t summed_ms;     /**< When the last sum was begun; 0: none yet. */
    uint64_t summed_version;
    uint64_t *read_ms; /**< By partition: begin of the last read to its end; 0: none. */
    hs_quota_counters counters;
    GMutex summing;        /**< Held by the one thread that makes the sum. */
    GThreadPool *releases; /**< One thread; answers to callers do not wait for it. */
};

static void run_release(gpointer submission, gpointer data);

hs_job_quota *hs_job_quota_new(hs_store_client *store, const GPtrArray *partitions) {
    hs_job_quota *quota = g_new0(hs_job_quota, 1);
    quota->store = store;
    quota->partitions = partitions;
    quota->fold = hs_quota_fold_new();
    quota->unfinished = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    quota->read_ms = g_new0(uint64_t, partitions->len);
    g_mutex_init(&quota->lock);
    g_mutex_init(&quota->summing);
    quota->releases = g_thread_pool_new(run_release, quota, 1, FALSE, NULL);
    return quota;
}

void hs_job_quota_free(hs_job_quota *quota) {
    if (quota == NULL)
        return;
    g_thread_pool_free(quota->releases, TRUE, TRUE);
    hs_quota_fold_free(quota->fold);
    g_hash_table_destroy(quota->unfinished);
    g_free(quota->read_ms);
    g_mutex_clear(&quota->lock);
    g_mutex_clear(&quota->summing);
    g_free(quota);
}

static hs_store_outcome append(hs_job_quota *quota, const Hs__QuotaRecord *record,
                               hs_deadline deadline, uint64_t *offset) {
    size_t length = hs__quota_record__get_packed_size(record);
    g_autofree uint8_t *bytes = g_malloc(length);
    hs__quota_record__pack(record, bytes);
    GByteArray *records = g_byte_array_new();
    hs_platform_frame_record(records, bytes, length);
    hs_store_call call = hs_platform_append(HS_TOPIC_QUOTA, QUOTA_PART, records);
    GByteArray *answer = g_byte_array_new();
    hs_store_outcome outcome = hs_store_client_send(quota->store, &call, deadline, NULL, answer);
    if (outcome == HS_STORE_DONE && !hs_platform_read_appended(answer, offset))
        outcome = HS_STORE_UNKNOWN;
    g_byte_array_free(records, TRUE);
    g_byte_array_free(answer, TRUE);
    return outcome;
}

/** Append until the record is known to stand in the log; it may then stand there twice. */
static bool append_until_stored(hs_job_quota *quota, const Hs__QuotaRecord *record,
                                hs_deadline deadline, uint64_t *offset) {
    uint64_t stored_at = 0;
    uint32_t attempt = 0;
    while (hs_clock_monotonic_ms() < deadline) {
        uint64_t patience_ms = hs_store_client_patience_ms(quota->store, attempt++, 0);
        hs_deadline until = MIN(deadline, hs_clock_monotonic_ms() + patience_ms);
        hs_store_outcome outcome = append(quota, record, until, &stored_at);
        if (outcome == HS_STORE_DONE && offset != NULL)
            *offset = stored_at;
        if (outcome == HS_STORE_DONE)
            return true;
        hs_clock_sleep_ms(RETRY_PAUSE_MS);
    }
    return false;
}

static bool reserve(hs_job_quota *quota, const hs_quota_claim *claim, hs_quota_account *account) {
    Hs__QuotaReservation reservation = HS__QUOTA_RESERVATION__INIT;
    reservation.job_id = (char *)claim->job_id;
    reservation.submission = account->submission;
    reservation.route = claim->route->name;
    reservation.tokens = claim->tokens;
    reservation.partition = claim->partition;
    Hs__QuotaRecord record = HS__QUOTA_RECORD__INIT;
    record.kind_case = HS__QUOTA_RECORD__KIND_RESERVATION;
    record.reservation = &reservation;
    return append_until_stored(quota, &record, claim->deadline, &account->offset);
}

/** Apply what a read brought. The caller holds the lock. */
static void apply_answer(hs_job_quota *quota, const GByteArray *answer, uint64_t from) {
    size_t position = 0;
    hs_store_record record;
    uint64_t offset = from;
    uint64_t now_ms = hs_clock_monotonic_ms();
    while (hs_platform_next_record(answer, false, &position, &record)) {
        /* Another thread may have read the same records. */
        if (offset == hs_quota_fold_next(quota->fold) &&
            !hs_quota_fold_apply(quota->fold, offset, record.value, record.value_length, now_ms))
            hs_log_warning("quota_record_unreadable", "offset=%" G_GUINT64_FORMAT, (guint64)offset);
        offset++;
    }
}

/** Read the log beyond @p offset. */
static bool read_beyond(hs_job_quota *quota, uint64_t offset, hs_deadline deadline) {
    GByteArray *answer = g_byte_array_new();
    bool is_read = false;
    while (!is_read) {
        g_mutex_lock(&quota->lock);
        uint64_t from = hs_quota_fold_next(quota->fold);
        g_mutex_unlock(&quota->lock);
        is_read = from > offset;
        if (is_read || hs_clock_monotonic_ms() >= deadline)
            break;
        hs_store_call call = hs_platform_read(HS_TOPIC_QUOTA, QUOTA_PART, from, READ_MAX_KB, 0);
        hs_store_outcome outcome =
            hs_store_client_send(quota->store, &call, deadline, NULL, answer);
        uint64_t first = 0;
        g_mutex_lock(&quota->lock);
        if (outcome == HS_STORE_DONE)
            apply_answer(quota, answer, from);
        else if (outcome == HS_STORE_GONE && hs_platform_read_first_kept(answer, &first))
            hs_quota_fold_skip_to(quota->fold, first);
        g_mutex_unlock(&quota->lock);
        if (outcome != HS_STORE_DONE && outcome != HS_STORE_GONE)
            hs_clock_sleep_ms(RETRY_PAUSE_MS);
    }
    g_byte_array_free(answer, TRUE);
    return is_read;
}

static uint64_t unfinished_tokens(const hs_job *job) {
    uint64_t tokens = 0;
    for (guint index = 0; index < job->items->len; index++) {
        const hs_job_item *item = &g_array_index(job->items, hs_job_item, index);
        tokens += item->listed ? 0 : item->tokens;
    }
    return tokens;
}

/** Add what is unfinished in a partition to the sums by route. */
static void add_partition(hs_job_partition *partition, const hs_fleet_config *config,
                          GHashTable *sums) {
    const hs_job_state *state = hs_job_partition_lock(partition);
    g_autoptr(GPtrArray) jobs = hs_job_state_list(state);
    for (guint index = 0; index < jobs->len; index++) {
        const hs_job *job = jobs->pdata[index];
        const hs_fleet_route *route =
            hs_job_is_open(job) ? hs_fleet_config_find_route(config, job->host, job->target) : NULL;
        if (route == NULL)
            continue;
        uint64_t *sum = g_hash_table_lookup(sums, route->name);
        if (sum == NULL) {
            sum = g_new0(uint64_t, 1);
            g_hash_table_insert(sums, g_strdup(route->name), sum);
        }
        *sum += unfinished_tokens(job);
    }
    hs_job_partition_unlock(partition);
}

/** A reservation is settled when its partition's fold has the job, or will never have it. */
static bool is_settled(const hs_quota_reservation *reservation, void *user_data) {
    const hs_job_quota *quota = user_data;
    if (reservation->partition >= quota->partitions->len)
        return true;
    hs_job_partition *partition = quota->partitions->pdata[reservation->partition];
    const hs_job_state *state = hs_job_partition_lock(partition);
    bool is_stored = hs_job_state_find(state, reservation->job_id) != NULL;
    hs_job_partition_unlock(partition);
    return is_stored ||
           quota->read_ms[reservation->partition] > reservation->seen_ms + NEVER_STORED_MS;
}

/**
 * Sum up the partitions. Reservations are settled before the partitions are added: a job whose
 * manifest arrives in between is counted twice rather than not at all. The caller holds summing.
 */
static void make_sum(hs_job_quota *quota, const hs_quota_claim *claim) {
    uint64_t begun_ms = hs_clock_monotonic_ms();
    for (guint part = 0; part < quota->partitions->len; part++) {
        uint64_t now_ms = hs_clock_monotonic_ms();
        hs_deadline limit = MIN(claim->deadline, now_ms + PARTITION_LIMIT_MS);
        if (hs_job_partition_catch_up(quota->partitions->pdata[part], limit))
            quota->read_ms[part] = now_ms;
    }
    g_mutex_lock(&quota->lock);
    hs_quota_fold_settle(quota->fold, is_settled, quota);
    g_hash_table_remove_all(quota->unfinished);
    for (guint part = 0; part < quota->partitions->len; part++)
        add_partition(quota->partitions->pdata[part], claim->config, quota->unfinished);
    quota->summed_ms = begun_ms;
    quota->summed_version = claim->config->version;
    quota->counters.refreshes++;
    g_mutex_unlock(&quota->lock);
}

/**
 * Whether nothing that counts is missing: each partition was read to its end at least once for a sum
 * under this configuration; or there was no sum yet, and all reservations ever made are in the fold.
 */
static bool counts_all(const hs_job_quota *quota, const hs_quota_claim *claim) {
    if (quota->summed_ms == 0)
        return !hs_quota_fold_has_gap(quota->fold);
    for (guint part = 0; part < quota->partitions->len; part++)
        if (quota->read_ms[part] == 0)
            return false;
    return quota->summed_version == claim->config->version;
}

/** Decide by the sum at hand. */
static hs_quota_verdict judge(hs_job_quota *quota, const hs_quota_claim *claim,
                              hs_quota_account *account) {
    g_mutex_lock(&quota->lock);
    const uint64_t *unfinished = g_hash_table_lookup(quota->unfinished, claim->route->name);
    account->unfinished = unfinished != NULL ? *unfinished : 0;
    account->reserved =
        hs_quota_fold_reserved(quota->fold, claim->route->name, claim->job_id, account->offset);
    account->read_age_ms = hs_clock_monotonic_ms() - quota->summed_ms;
    bool is_complete = counts_all(quota, claim);
    uint64_t all = account->unfinished + account->reserved + claim->tokens;
    g_mutex_unlock(&quota->lock);
    if (!is_complete)
        return HS_QUOTA_UNKNOWN;
    return all <= claim->route->waiting_tokens_most ? HS_QUOTA_FITS : HS_QUOTA_FULL;
}

/** Decide by the last sum where that is enough, else by one that is made now. */
static hs_quota_verdict decide(hs_job_quota *quota, const hs_quota_claim *claim,
                               hs_quota_account *account) {
    hs_quota_verdict verdict = judge(quota, claim, account);
    if (verdict == HS_QUOTA_FITS)
        return verdict;
    g_mutex_lock(&quota->summing);
    verdict = judge(quota, claim, account);
    if (verdict != HS_QUOTA_FITS &&
        (verdict == HS_QUOTA_UNKNOWN || account->read_age_ms > SUM_VALID_MS)) {
        make_sum(quota, claim);
        verdict = judge(quota, claim, account);
    }
    account->own_partition_read = quota->read_ms[claim->partition] >= quota->summed_ms;
    g_mutex_unlock(&quota->summing);
    return verdict;
}

static void count(hs_job_quota *quota, hs_quota_verdict verdict) {
    g_mutex_lock(&quota->lock);
    quota->counters.fitted += verdict == HS_QUOTA_FITS;
    quota->counters.refused += verdict == HS_QUOTA_FULL;
    quota->counters.unknown += verdict == HS_QUOTA_UNKNOWN;
    g_mutex_unlock(&quota->lock);
}

static void log_verdict(const hs_quota_claim *claim, const hs_quota_account *account,
                        hs_quota_verdict verdict) {
    hs_log_info(
        "job_admission",
        "job=%s route=%s config=%" G_GUINT64_FORMAT " verdict=%s tokens=%" G_GUINT64_FORMAT
        " unfinished=%" G_GUINT64_FORMAT " reserved=%" G_GUINT64_FORMAT " limit=%" G_GUINT64_FORMAT
        " offset=%" G_GUINT64_FORMAT " read_age_ms=%" G_GUINT64_FORMAT,
        claim->job_id, claim->route->name, (guint64)claim->config->version,
        hs_quota_verdict_name(verdict), (guint64)claim->tokens, (guint64)account->unfinished,
        (guint64)account->reserved, (guint64)claim->route->waiting_tokens_most,
        (guint64)account->offset, (guint64)account->read_age_ms);
}

hs_quota_verdict hs_job_quota_claim(hs_job_quota *quota, const hs_quota_claim *claim,
                                    hs_quota_account *account) {
    *account = (hs_quota_account){0};
    if (claim->route->waiting_tokens_most == 0)
        return HS_QUOTA_FITS;
    account->submission = ((uint64_t)g_random_int() << 32) | g_random_int();
    hs_quota_verdict verdict = HS_QUOTA_UNKNOWN;
    if (reserve(quota, claim, account) && read_beyond(quota, account->offset, claim->deadline))
        verdict = decide(quota, claim, account);
    count(quota, verdict);
    log_verdict(claim, account, verdict);
    return verdict;
}

/** Tell the log; where that fails the reservation counts until it is settled. */
static void run_release(gpointer submission, gpointer data) {
    hs_job_quota *quota = data;
    Hs__QuotaRelease release = HS__QUOTA_RELEASE__INIT;
    release.submission = *(uint64_t *)submission;
    Hs__QuotaRecord record = HS__QUOTA_RECORD__INIT;
    record.kind_case = HS__QUOTA_RECORD__KIND_RELEASE;
    record.release = &release;
    append_until_stored(quota, &record, hs_clock_monotonic_ms() + RELEASE_LIMIT_MS, NULL);
    g_free(submission);
}

void hs_job_quota_release(hs_job_quota *quota, uint64_t submission) {
    if (submission != 0)
        g_thread_pool_push(quota->releases, g_memdup2(&submission, sizeof submission), NULL);
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
