/** @file quota_fold.c  The fold of the admission log; see quota_fold.h. */
#include "jobs/quota_fold.h"

#include "gen/job.pb-c.h"

#include <math.h>
#include <string.h>

/** Releases are remembered, since a reservation whose answer was lost may come after its own. */
#define RELEASES_MOST 4096

/**
 * A reserved job that is in no level of its partition after this long will not come: its daemon
 * gave up (a submission's call limit) and an append without an answer was done by then, if ever.
 */
#define NEVER_STORED_MS 12000

/** What was finished fades with this time, several times that between two levels of a partition. */
#define DRAIN_FADE_MS 8000.0

/** What levels showed to be finished on a route. */
typedef struct {
    double tokens; /**< Faded, as of at_ms. */
    uint64_t first_ms;
    uint64_t at_ms;
} route_drain;

/** What a partition's owner told last. */
typedef struct {
    uint32_t partition;
    uint64_t fold_offset;
    uint64_t read_ms;   /**< When the level told last was read. */
    GHashTable *tokens; /**< route -> uint64_t* */
} partition_level;

struct hs_quota_fold {
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

hs_quota_fold *hs_quota_fold_new(void) {
    hs_quota_fold *fold = g_new0(hs_quota_fold, 1);
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
                              const Hs__QuotaReservation *told, uint64_t now_ms) {
    if (g_hash_table_contains(fold->released, &told->submission))
        return;
    hs_quota_reservation *reservation = g_new0(hs_quota_reservation, 1);
    reservation->job_id = g_strdup(told->job_id);
    reservation->route = g_strdup(told->route);
    reservation->submission = told->submission;
    reservation->tokens = told->tokens;
    reservation->partition = told->partition;
    reservation->offset = offset;
    reservation->seen_ms = now_ms;
    g_ptr_array_add(fold->reservations, reservation);
}

/** Tells whether a reservation counts no longer. */
typedef bool (*reservation_is_settled)(const hs_quota_reservation *reservation, const void *data);

/** Forget the reservations that @p is_settled names. */
static void settle(hs_quota_fold *fold, reservation_is_settled is_settled, const void *data) {
    for (guint index = fold->reservations->len; index > 0; index--)
        if (is_settled(fold->reservations->pdata[index - 1], data))
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
    if (g_queue_get_length(&fold->released_order) > RELEASES_MOST)
        g_hash_table_remove(fold->released, g_queue_pop_head(&fold->released_order));
    settle(fold, is_of_submission, &submission);
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

/** A level that was just told, and when it was read. */
typedef struct {
    const Hs__QuotaLevel *told;
    GHashTable *jobs; /**< Set of its jobs' ids. */
    uint64_t now_ms;
} read_level;

static bool is_settled_by(const hs_quota_reservation *reservation, const void *data) {
    const read_level *level = data;
    return reservation->partition == level->told->partition &&
           (g_hash_table_contains(level->jobs, reservation->job_id) ||
            level->now_ms > reservation->seen_ms + NEVER_STORED_MS);
}

static double faded(const route_drain *drain, uint64_t now_ms) {
    return drain->tokens * exp(-(double)(now_ms - MIN(drain->at_ms, now_ms)) / DRAIN_FADE_MS);
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

/** What @p before had and the level has no longer. */
static void note_drains(hs_quota_fold *fold, GHashTable *before, const partition_level *level,
                        uint64_t now_ms) {
    GHashTableIter iterator;
    gpointer route = NULL;
    gpointer had = NULL;
    g_hash_table_iter_init(&iterator, before);
    while (g_hash_table_iter_next(&iterator, &route, &had)) {
        const uint64_t *has = g_hash_table_lookup(level->tokens, route);
        uint64_t left = has != NULL ? *has : 0;
        uint64_t was = *(const uint64_t *)had;
        route_drain *drain = drain_of(fold, route, level->read_ms);
        drain->tokens = faded(drain, now_ms) + (double)(was - MIN(was, left));
        drain->at_ms = now_ms;
    }
}

hs_quota_drain hs_quota_fold_drain(const hs_quota_fold *fold, const char *route, uint64_t now_ms) {
    const route_drain *drain = g_hash_table_lookup(fold->drains, route);
    if (drain == NULL)
        return (hs_quota_drain){0};
    double observed_ms = fmin((double)(now_ms - MIN(drain->first_ms, now_ms)), DRAIN_FADE_MS);
    return (hs_quota_drain){.tokens = (uint64_t)faded(drain, now_ms),
                            .observed_ms = (uint64_t)observed_ms};
}

static void apply_level(hs_quota_fold *fold, const Hs__QuotaLevel *told, uint64_t now_ms) {
    partition_level *level = level_of(fold, told->partition);
    if (told->fold_offset < level->fold_offset)
        return; /* Of an owner that was paused or cut off. */
    level->fold_offset = told->fold_offset;
    g_autoptr(GHashTable) before = level->tokens;
    level->tokens = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_autoptr(GHashTable) jobs = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t index = 0; index < told->n_jobs; index++) {
        const Hs__QuotaJob *job = told->jobs[index];
        *tokens_of(level, job->route) += job->tokens;
        g_hash_table_add(jobs, job->job_id);
    }
    note_drains(fold, before, level, now_ms);
    level->read_ms = now_ms;
    read_level read = {.told = told, .jobs = jobs, .now_ms = now_ms};
    settle(fold, is_settled_by, &read);
}

bool hs_quota_fold_apply(hs_quota_fold *fold, uint64_t offset, const uint8_t *bytes, size_t length,
                         uint64_t now_ms) {
    fold->next = offset + 1;
    Hs__QuotaRecord *record = hs__quota_record__unpack(NULL, length, bytes);
    if (record == NULL)
        return false;
    bool known = true;
    if (record->kind_case == HS__QUOTA_RECORD__KIND_RESERVATION)
        apply_reservation(fold, offset, record->reservation, now_ms);
    else if (record->kind_case == HS__QUOTA_RECORD__KIND_RELEASE)
        apply_release(fold, record->release->submission);
    else if (record->kind_case == HS__QUOTA_RECORD__KIND_LEVEL)
        apply_level(fold, record->level, now_ms);
    else
        known = false;
    hs__quota_record__free_unpacked(record, NULL);
    return known;
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
