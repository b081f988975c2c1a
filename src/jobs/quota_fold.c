/** @file quota_fold.c  The fold of the admission log; see quota_fold.h. */
#include "jobs/quota_fold.h"

#include "gen/job.pb-c.h"

#include <string.h>

/** Releases are remembered, since a reservation whose answer was lost may come after its own. */
#define RELEASES_MOST 4096

struct hs_quota_fold {
    GPtrArray *reservations; /**< of hs_quota_reservation*, by offset. */
    GHashTable *released;    /**< Set of submissions. */
    GQueue released_order;   /**< Keys of the set, the oldest first. */
    uint64_t next;
    bool has_gap;
};

static void free_reservation(gpointer data) {
    hs_quota_reservation *reservation = data;
    g_free(reservation->job_id);
    g_free(reservation->route);
    g_free(reservation);
}

hs_quota_fold *hs_quota_fold_new(void) {
    hs_quota_fold *fold = g_new0(hs_quota_fold, 1);
    fold->reservations = g_ptr_array_new_with_free_func(free_reservation);
    fold->released = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    g_queue_init(&fold->released_order);
    return fold;
}

void hs_quota_fold_free(hs_quota_fold *fold) {
    if (fold == NULL)
        return;
    g_queue_clear(&fold->released_order);
    g_hash_table_destroy(fold->released);
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

static bool is_of_submission(const hs_quota_reservation *reservation, void *submission) {
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
    hs_quota_fold_settle(fold, is_of_submission, &submission);
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
    else
        known = false;
    hs__quota_record__free_unpacked(record, NULL);
    return known;
}

uint64_t hs_quota_fold_next(const hs_quota_fold *fold) {
    return fold->next;
}

void hs_quota_fold_skip_to(hs_quota_fold *fold, uint64_t offset) {
    fold->has_gap = fold->has_gap || offset > fold->next;
    fold->next = MAX(fold->next, offset);
}

bool hs_quota_fold_has_gap(const hs_quota_fold *fold) {
    return fold->has_gap;
}

void hs_quota_fold_settle(hs_quota_fold *fold, hs_quota_is_settled is_settled, void *user_data) {
    for (guint index = fold->reservations->len; index > 0; index--)
        if (is_settled(fold->reservations->pdata[index - 1], user_data))
            g_ptr_array_remove_index(fold->reservations, index - 1);
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

uint32_t hs_quota_fold_count(const hs_quota_fold *fold) {
    return fold->reservations->len;
}
