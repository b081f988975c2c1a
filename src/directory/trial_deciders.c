/** @file trial_deciders.c  See trial_deciders.h. */
#include "directory/trial_deciders.h"

#include <glib.h>

/** Maximum number of daemon incarnations remembered. */
#define MAX_RECORDS 1024
/** Time in ms without a response after which a daemon is skipped. Longer than the detection of a
 * dead daemon, which removes it from the order. */
#define UNRESPONSIVE_AFTER_MS 4000
/** Time in ms for which it is then skipped. A network partition may have ended by then. */
#define SKIP_MS 30000

typedef struct {
    bool is_earlier_version;
    uint64_t unanswered_since_ms; /**< 0: it responded to the last query. */
} decider_record;

struct hs_trial_deciders {
    GHashTable *records; /**< uint64_t* incarnation hash -> decider_record* */
};

hs_trial_deciders *hs_trial_deciders_new(void) {
    hs_trial_deciders *deciders = g_new0(hs_trial_deciders, 1);
    deciders->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return deciders;
}

void hs_trial_deciders_free(hs_trial_deciders *deciders) {
    g_hash_table_destroy(deciders->records);
    g_free(deciders);
}

/** Returns the record of an incarnation. Clears the table first if it is full. */
static decider_record *get_or_create_record(hs_trial_deciders *deciders,
                                            uint64_t incarnation_hash) {
    decider_record *record = g_hash_table_lookup(deciders->records, &incarnation_hash);
    if (record != NULL)
        return record;
    if (g_hash_table_size(deciders->records) >= MAX_RECORDS)
        g_hash_table_remove_all(deciders->records);
    record = g_new0(decider_record, 1);
    uint64_t *key = g_new(uint64_t, 1);
    *key = incarnation_hash;
    g_hash_table_insert(deciders->records, key, record);
    return record;
}

bool hs_trial_deciders_is_skipped(const hs_trial_deciders *deciders, uint64_t incarnation_hash,
                                  uint64_t now_ms) {
    const decider_record *record = g_hash_table_lookup(deciders->records, &incarnation_hash);
    if (record == NULL)
        return false;
    bool is_unresponsive = record->unanswered_since_ms != 0 &&
                           now_ms >= record->unanswered_since_ms + UNRESPONSIVE_AFTER_MS &&
                           now_ms < record->unanswered_since_ms + UNRESPONSIVE_AFTER_MS + SKIP_MS;
    return record->is_earlier_version || is_unresponsive;
}

static void note_unanswered(decider_record *record, uint64_t now_ms) {
    uint64_t since_ms = record->unanswered_since_ms;
    if (since_ms == 0 || now_ms >= since_ms + UNRESPONSIVE_AFTER_MS + SKIP_MS)
        record->unanswered_since_ms = MAX(now_ms, 1);
}

static void note_answered(hs_trial_deciders *deciders, uint64_t incarnation_hash) {
    decider_record *record = g_hash_table_lookup(deciders->records, &incarnation_hash);
    if (record != NULL)
        record->unanswered_since_ms = 0;
}

void hs_trial_deciders_note_verdict(hs_trial_deciders *deciders, uint64_t incarnation_hash,
                                    hs_trial_verdict verdict, uint64_t now_ms) {
    if (verdict == HS_TRIAL_UNANSWERED)
        note_unanswered(get_or_create_record(deciders, incarnation_hash), now_ms);
    else
        note_answered(deciders, incarnation_hash);
    if (hs_trial_deciders_is_earlier_refusal(verdict))
        get_or_create_record(deciders, incarnation_hash)->is_earlier_version = true;
}

bool hs_trial_deciders_is_earlier_refusal(hs_trial_verdict verdict) {
    return verdict == HS_TRIAL_NO_REASON || verdict == HS_TRIAL_EXHAUSTED ||
           verdict == HS_TRIAL_TABLE_FULL;
}
