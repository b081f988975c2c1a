/** @file fair_levels.c  See fair_shares.h. */
#include "online/fair_levels.h"

#include <glib.h>

/** Returning callers are refused only if their tenant uses more than this many times the share. */
#define RETURNING_CALLER_FACTOR 2

struct hs_fair_shares {
    GMutex lock;
    GHashTable *by_service; /**< name -> hs_fair_share* */
};

hs_fair_shares *hs_fair_shares_new(void) {
    hs_fair_shares *shares = g_new0(hs_fair_shares, 1);
    g_mutex_init(&shares->lock);
    shares->by_service = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return shares;
}

void hs_fair_shares_free(hs_fair_shares *shares) {
    if (shares == NULL)
        return;
    g_hash_table_destroy(shares->by_service);
    g_mutex_clear(&shares->lock);
    g_free(shares);
}

/** Returns the service's share, added if missing. The caller holds the lock. */
static hs_fair_share *find_share(hs_fair_shares *shares, const char *service) {
    hs_fair_share *share = g_hash_table_lookup(shares->by_service, service);
    if (share != NULL)
        return share;
    share = g_new0(hs_fair_share, 1);
    g_hash_table_insert(shares->by_service, g_strdup(service), share);
    return share;
}

hs_fair_share_verdict hs_fair_shares_decide(hs_fair_shares *shares,
                                            const hs_fair_share_request *request,
                                            const hs_service_pressure *pressure, uint32_t slots,
                                            uint64_t now_ms) {
    g_mutex_lock(&shares->lock);
    hs_fair_share *share = find_share(shares, request->service);
    hs_fair_share_update(share, pressure, slots, now_ms);
    hs_fair_share_verdict verdict = {
        .is_over = hs_fair_share_is_exceeded(share, request->used_slots, request->sample, pressure),
        .share_slots = share->slots,
        .retry_after_ms = hs_fair_share_retry_after_ms(share, request->used_slots)};
    g_mutex_unlock(&shares->lock);
    bool is_far_over = request->used_slots > RETURNING_CALLER_FACTOR * verdict.share_slots;
    if (request->was_refused && !is_far_over)
        verdict.is_over = false;
    return verdict;
}

char *hs_fair_shares_describe(hs_fair_shares *shares) {
    GString *text = g_string_new(NULL);
    GHashTableIter iterator;
    gpointer service = NULL;
    gpointer share = NULL;
    g_mutex_lock(&shares->lock);
    g_hash_table_iter_init(&iterator, shares->by_service);
    while (g_hash_table_iter_next(&iterator, &service, &share))
        g_string_append_printf(text, "heathsail_fair_level_slots{service=\"%s\"} %.2f\n",
                               (const char *)service, ((const hs_fair_share *)share)->slots);
    g_mutex_unlock(&shares->lock);
    return g_string_free(text, FALSE);
}
