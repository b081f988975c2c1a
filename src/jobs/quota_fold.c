/** @file quota_fold.c  See quota_fold.h. */
#include "jobs/quota_fold.h"

#include "gen/job.pb-c.h"

#include <math.h>
#include <string.h>

/** Releases are kept because a retried append may store a reservation after its release. */
#define MAX_REMEMBERED_RELEASES 4096

/**
 * A reserved job that no level of its partition includes after this time is not stored any more:
 * the submission and all of its appends have reached their deadlines.
 */
#define RESERVATION_EXPIRY_MS 12000

/** Time constant of the decay of drains; several times the interval between levels. */
#define DRAIN_DECAY_MS 8000.0

/** Jobs with more tokens count as of so many, so that sums don't wrap. */
#define MAX_JOB_TOKENS (1ULL << 40)

/** Tokens of a route that levels show as finished. */
typedef struct {
    double tokens; /**< Decayed up to at_ms. */
    uint64_t first_ms;
    uint64_t at_ms;
} route_drain;

/** The latest level of a partition. */
typedef struct {
    uint32_t partition;
    uint64_t fold_offset;
    uint64_t read_ms;   /**< Monotonic time at which this daemon read it. */
    GHashTable *tokens; /**< route -> uint64_t* */
} partition_level;

struct hs_quota_fold {
    uint32_t partition_count;
    GHashTable *levels;      /**< partition -> partition_level* */
    GPtrArray *reservations; /**< of hs_quota_reservation*, by offset. */
    GHashTable *drains;      /**< route -> route_drain* */
    GHashTable *released;    /**< Set of submissions. */
    GQueue released_order;   /**< Keys of the set, the oldest first. */
    uint64_t next;
};

static void free_level(gpointer data) {
    partition_level *level = data;
    g_hash_table_destroy(level->tokens);
    g_free(level);
}

static void free_reservation(gpointer data) {
    hs_quota_reservation *reservation = data;
    g_free(reservation->job_id);
    g_free(reservation->route);
    g_free(reservation);
}

hs_quota_fold *hs_quota_fold_new(uint32_t partition_count) {
    hs_quota_fold *fold = g_new0(hs_quota_fold, 1);
    fold->partition_count = partition_count;
    fold->reservations = g_ptr_array_new_with_free_func(free_reservation);
    fold->levels = g_hash_table_new_full(NULL, NULL, NULL, free_level);
    fold->released = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    fold->drains = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&fold->released_order);
    return fold;
}

void hs_quota_fold_free(hs_quota_fold *fold) {
    if (fold == NULL)
        return;
    g_queue_clear(&fold->released_order);
    g_hash_table_destroy(fold->released);
    g_hash_table_destroy(fold->levels);
    g_hash_table_destroy(fold->drains);
    g_ptr_array_free(fold->reservations, TRUE);
    g_free(fold);
}

static void apply_reservation(hs_quota_fold *fold, uint64_t offset,
                              const Hs__QuotaReservation *reported, uint64_t now_ms) {
    if (g_hash_table_contains(fold->released, &reported->submission))
        return;
    hs_quota_reservation *reservation = g_new0(hs_quota_reservation, 1);
    reservation->job_id = g_strdup(reported->job_id);
    reservation->route = g_strdup(reported->route);
    reservation->submission = reported->submission;
    reservation->tokens = MIN(reported->tokens, MAX_JOB_TOKENS);
    reservation->partition = reported->partition;
    reservation->offset = offset;
    reservation->read_ms = now_ms;
    g_ptr_array_add(fold->reservations, reservation);
}

typedef bool (*reservation_predicate)(const hs_quota_reservation *reservation, const void *data);

/** Removes the reservations for which @p predicate holds. */
static void remove_reservations(hs_quota_fold *fold, reservation_predicate predicate,
                                const void *data) {
    for (guint index = fold->reservations->len; index > 0; index--)
        if (predicate(fold->reservations->pdata[index - 1], data))
            g_ptr_array_remove_index(fold->reservations, index - 1);
}

static bool is_of_submission(const hs_quota_reservation *reservation, const void *submission) {
    return reservation->submission == *(const uint64_t *)submission;
}

static void apply_release(hs_quota_fold *fold, uint64_t submission) {
    if (g_hash_table_contains(fold->released, &submission))
        return;
    uint64_t *key = g_memdup2(&submission, sizeof submission);
    g_hash_table_add(fold->released, key);
    g_queue_push_tail(&fold->released_order, key);
    if (g_queue_get_length(&fold->released_order) > MAX_REMEMBERED_RELEASES)
        g_hash_table_remove(fold->released, g_queue_pop_head(&fold->released_order));
    remove_reservations(fold, is_of_submission, &submission);
}

static uint64_t *tokens_of(partition_level *level, const char *route) {
    uint64_t *tokens = g_hash_table_lookup(level->tokens, route);
    if (tokens != NULL)
        return tokens;
    tokens = g_new0(uint64_t, 1);
    g_hash_table_insert(level->tokens, g_strdup(route), tokens);
    return tokens;
}

static partition_level *level_of(hs_quota_fold *fold, uint32_t partition) {
    partition_level *level = g_hash_table_lookup(fold->levels, GUINT_TO_POINTER(partition));
    if (level != NULL)
        return level;
    level = g_new0(partition_level, 1);
    level->partition = partition;
    level->tokens = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_hash_table_insert(fold->levels, GUINT_TO_POINTER(partition), level);
    return level;
}

/** A level being applied, and when it was read. */
typedef struct {
    const Hs__QuotaLevel *reported;
    GHashTable *jobs; /**< Set of its jobs' ids. */
    uint64_t now_ms;
} read_level;

static bool is_settled_by_level(const hs_quota_reservation *reservation, const void *data) {
    const read_level *level = data;
    return reservation->partition == level->reported->partition &&
           (g_hash_table_contains(level->jobs, reservation->job_id) ||
            level->now_ms > reservation->read_ms + RESERVATION_EXPIRY_MS);
}

static double decayed_tokens(const route_drain *drain, uint64_t now_ms) {
    return drain->tokens * exp(-(double)(now_ms - MIN(drain->at_ms, now_ms)) / DRAIN_DECAY_MS);
}

static route_drain *drain_of(hs_quota_fold *fold, const char *route, uint64_t since_ms) {
    route_drain *drain = g_hash_table_lookup(fold->drains, route);
    if (drain != NULL)
        return drain;
    drain = g_new0(route_drain, 1);
    drain->first_ms = since_ms;
    g_hash_table_insert(fold->drains, g_strdup(route), drain);
    return drain;
}

/** Adds to the drains the tokens of @p before that the level no longer includes. */
static void note_drains(hs_quota_fold *fold, GHashTable *before, const partition_level *level,
                        uint64_t now_ms) {
    GHashTableIter iterator;
    gpointer route = NULL;
    gpointer previous = NULL;
    g_hash_table_iter_init(&iterator, before);
    while (g_hash_table_iter_next(&iterator, &route, &previous)) {
        const uint64_t *remaining = g_hash_table_lookup(level->tokens, route);
        uint64_t remaining_tokens = remaining != NULL ? *remaining : 0;
        uint64_t previous_tokens = *(const uint64_t *)previous;
        route_drain *drain = drain_of(fold, route, level->read_ms);
        drain->tokens = decayed_tokens(drain, now_ms) +
                        (double)(previous_tokens - MIN(previous_tokens, remaining_tokens));
        drain->at_ms = now_ms;
    }
}

hs_quota_drain hs_quota_fold_drain(const hs_quota_fold *fold, const char *route, uint64_t now_ms) {
    const route_drain *drain = g_hash_table_lookup(fold->drains, route);
    if (drain == NULL)
        return (hs_quota_drain){0};
    double observed_ms = fmin((double)(now_ms - MIN(drain->first_ms, now_ms)), DRAIN_DECAY_MS);
    return (hs_quota_drain){.tokens = (uint64_t)decayed_tokens(drain, now_ms),
                            .observed_ms = (uint64_t)observed_ms};
}

static void apply_level(hs_quota_fold *fold, const Hs__QuotaLevel *reported, uint64_t now_ms) {
    partition_level *level = level_of(fold, reported->partition);
    if (reported->fold_offset < level->fold_offset)
        return; /* Sent by an outdated owner that was paused or disconnected. */
    level->fold_offset = reported->fold_offset;
    g_autoptr(GHashTable) before = level->tokens;
    level->tokens = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_autoptr(GHashTable) jobs = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t index = 0; index < reported->n_jobs; index++) {
        const Hs__QuotaJob *job = reported->jobs[index];
        *tokens_of(level, job->route) += MIN(job->tokens, MAX_JOB_TOKENS);
        g_hash_table_add(jobs, job->job_id);
    }
    note_drains(fold, before, level, now_ms);
    level->read_ms = now_ms;
    read_level read = {.reported = reported, .jobs = jobs, .now_ms = now_ms};
    remove_reservations(fold, is_settled_by_level, &read);
}

/** Returns false if the record names a partition that does not exist. */
static bool has_valid_partition(const hs_quota_fold *fold, const Hs__QuotaRecord *record) {
    if (record->kind_case == HS__QUOTA_RECORD__KIND_RESERVATION)
        return record->reservation->partition < fold->partition_count;
    return record->kind_case != HS__QUOTA_RECORD__KIND_LEVEL ||
           record->level->partition < fold->partition_count;
}

bool hs_quota_fold_apply(hs_quota_fold *fold, uint64_t offset, const uint8_t *bytes, size_t length,
                         uint64_t now_ms) {
    fold->next = offset + 1;
    Hs__QuotaRecord *record = hs__quota_record__unpack(NULL, length, bytes);
    if (record == NULL)
        return false;
    bool is_known = has_valid_partition(fold, record);
    if (is_known && record->kind_case == HS__QUOTA_RECORD__KIND_RESERVATION)
        apply_reservation(fold, offset, record->reservation, now_ms);
    else if (is_known && record->kind_case == HS__QUOTA_RECORD__KIND_RELEASE)
        apply_release(fold, record->release->submission);
    else if (is_known && record->kind_case == HS__QUOTA_RECORD__KIND_LEVEL)
        apply_level(fold, record->level, now_ms);
    else
        is_known = false;
    hs__quota_record__free_unpacked(record, NULL);
    return is_known;
}

uint64_t hs_quota_fold_next(const hs_quota_fold *fold) {
    return fold->next;
}

void hs_quota_fold_skip_to(hs_quota_fold *fold, uint64_t offset) {
    fold->next = MAX(fold->next, offset);
}

uint64_t hs_quota_fold_reserved(const hs_quota_fold *fold, const char *route, const char *job_id,
                                uint64_t offset) {
    g_autoptr(GHashTable) counted = g_hash_table_new(g_str_hash, g_str_equal);
    uint64_t tokens = 0;
    for (guint index = 0; index < fold->reservations->len; index++) {
        const hs_quota_reservation *reservation = fold->reservations->pdata[index];
        if (reservation->offset >= offset)
            break;
        if (strcmp(reservation->route, route) == 0 && strcmp(reservation->job_id, job_id) != 0 &&
            g_hash_table_add(counted, reservation->job_id))
            tokens += reservation->tokens;
    }
    return tokens;
}

uint64_t hs_quota_fold_unfinished(const hs_quota_fold *fold, const char *route) {
    uint64_t sum = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, fold->levels);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const uint64_t *tokens =
            g_hash_table_lookup(((const partition_level *)value)->tokens, route);
        sum += tokens != NULL ? *tokens : 0;
    }
    return sum;
}
