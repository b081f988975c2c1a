/** @file tenant_use.c  See tenant_use.h. */
#include "tenants/tenant_use.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

/** Longest gap between two reports that counts; the use before that is too old. */
#define MAX_REPORT_GAP_MS 5000
/** The same for the fast average. */
#define MAX_FAST_REPORT_GAP_MS 1000
/** A daemon without a report for this time is removed; its next report sets a new baseline. */
#define REPORT_EXPIRY_MS 60000
/** Further tenants are not counted. */
#define MAX_TENANTS 16384
#define PERMILLE 1000.0

typedef struct {
    uint64_t incarnation;
    uint64_t used_ms;
    uint64_t at_ms;
} last_report;

typedef struct {
    GHashTable *reports; /**< daemon -> last_report* */
    double slots;        /**< Average as of at_ms. */
    double fast_slots;   /**< Fast average as of at_ms. */
    uint64_t at_ms;
} tenant_account;

struct hs_tenant_uses {
    GHashTable *tenants; /**< name -> tenant_account* */
};

static void free_account(gpointer data) {
    tenant_account *account = data;
    g_hash_table_destroy(account->reports);
    g_free(account);
}

hs_tenant_uses *hs_tenant_uses_new(void) {
    hs_tenant_uses *uses = g_new0(hs_tenant_uses, 1);
    uses->tenants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_account);
    return uses;
}

void hs_tenant_uses_free(hs_tenant_uses *uses) {
    if (uses == NULL)
        return;
    g_hash_table_destroy(uses->tenants);
    g_free(uses);
}

uint64_t hs_tenant_use_encode_count(uint64_t used_ms) {
    return used_ms + 1;
}

uint32_t hs_tenant_use_encode_slots(double slots) {
    return (uint32_t)fmin(fmax(slots * PERMILLE, 1), UINT32_MAX);
}

double hs_tenant_use_decode_slots(uint32_t permille) {
    return (double)permille / PERMILLE;
}

static double decayed(double slots, const tenant_account *account, double decay_ms,
                      uint64_t now_ms) {
    double age_ms = now_ms > account->at_ms ? (double)(now_ms - account->at_ms) : 0;
    return slots * exp(-age_ms / decay_ms);
}

static double current_slots(const tenant_account *account, uint64_t now_ms) {
    return fmax(decayed(account->slots, account, HS_TENANT_USE_DECAY_MS, now_ms),
                decayed(account->fast_slots, account, HS_TENANT_USE_FAST_DECAY_MS, now_ms));
}

static tenant_account *find_or_add_account(hs_tenant_uses *uses, const char *tenant) {
    tenant_account *account = g_hash_table_lookup(uses->tenants, tenant);
    if (account != NULL || g_hash_table_size(uses->tenants) >= MAX_TENANTS)
        return account;
    account = g_new0(tenant_account, 1);
    account->reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_hash_table_insert(uses->tenants, g_strdup(tenant), account);
    return account;
}

/** Slot time that a report adds to the last one; of a long gap only @p max_gap_ms counts. */
static double added_ms(const last_report *last, const hs_tenant_use_report *report,
                       double max_gap_ms, uint64_t now_ms) {
    if (last->incarnation != report->incarnation || report->used_ms <= last->used_ms)
        return 0;
    double gap_ms = now_ms > last->at_ms ? (double)(now_ms - last->at_ms) : 0;
    double fraction = gap_ms > max_gap_ms ? max_gap_ms / gap_ms : 1;
    return (double)(report->used_ms - last->used_ms) * fraction;
}

/** Reports whether a newer report was received before this one. */
static bool is_outdated(const last_report *last, const hs_tenant_use_report *report) {
    return report->incarnation < last->incarnation ||
           (report->incarnation == last->incarnation && report->used_ms < last->used_ms);
}

void hs_tenant_uses_put_report(hs_tenant_uses *uses, const hs_tenant_use_report *report,
                               uint64_t now_ms) {
    tenant_account *account =
        report->used_ms > 0 ? find_or_add_account(uses, report->tenant) : NULL;
    if (account == NULL)
        return;
    last_report *last = g_hash_table_lookup(account->reports, report->daemon);
    if (last == NULL) {
        last = g_new0(last_report, 1);
        *last = (last_report){report->incarnation, report->used_ms, now_ms};
        g_hash_table_insert(account->reports, g_strdup(report->daemon), last);
    }
    if (is_outdated(last, report))
        return;
    account->slots = decayed(account->slots, account, HS_TENANT_USE_DECAY_MS, now_ms) +
                     added_ms(last, report, MAX_REPORT_GAP_MS, now_ms) / HS_TENANT_USE_DECAY_MS;
    account->fast_slots =
        decayed(account->fast_slots, account, HS_TENANT_USE_FAST_DECAY_MS, now_ms) +
        added_ms(last, report, MAX_FAST_REPORT_GAP_MS, now_ms) / HS_TENANT_USE_FAST_DECAY_MS;
    account->at_ms = now_ms;
    *last = (last_report){report->incarnation, report->used_ms, now_ms};
}

double hs_tenant_uses_slots(const hs_tenant_uses *uses, const char *tenant, uint64_t now_ms) {
    const tenant_account *account = g_hash_table_lookup(uses->tenants, tenant);
    return account != NULL ? current_slots(account, now_ms) : 0;
}

static int compare_shares(gconstpointer one, gconstpointer other) {
    double one_slots = ((const hs_tenant_slot_use *)one)->slots;
    double other_slots = ((const hs_tenant_slot_use *)other)->slots;
    return (one_slots < other_slots) - (one_slots > other_slots);
}

size_t hs_tenant_uses_top(const hs_tenant_uses *uses, hs_tenant_slot_use *shares, size_t max_count,
                          double *remainder, uint64_t now_ms) {
    g_autoptr(GArray) all = g_array_new(FALSE, FALSE, sizeof(hs_tenant_slot_use));
    GHashTableIter iterator;
    gpointer tenant = NULL;
    gpointer account = NULL;
    g_hash_table_iter_init(&iterator, uses->tenants);
    while (g_hash_table_iter_next(&iterator, &tenant, &account)) {
        hs_tenant_slot_use share = {.tenant = tenant, .slots = current_slots(account, now_ms)};
        g_array_append_val(all, share);
    }
    g_array_sort(all, compare_shares);
    *remainder = 0;
    for (guint index = 0; index < all->len; index++) {
        const hs_tenant_slot_use *share = &g_array_index(all, hs_tenant_slot_use, index);
        if (index < max_count)
            shares[index] = *share;
        else
            *remainder += share->slots;
    }
    return MIN(max_count, all->len);
}

static gboolean is_expired_report(gpointer daemon, gpointer report, gpointer now_ms) {
    (void)daemon;
    return *(const uint64_t *)now_ms > ((const last_report *)report)->at_ms + REPORT_EXPIRY_MS;
}

static gboolean is_idle(gpointer tenant, gpointer value, gpointer now_ms) {
    (void)tenant;
    tenant_account *account = value;
    g_hash_table_foreach_remove(account->reports, is_expired_report, now_ms);
    return g_hash_table_size(account->reports) == 0;
}

void hs_tenant_uses_expire(hs_tenant_uses *uses, uint64_t now_ms) {
    g_hash_table_foreach_remove(uses->tenants, is_idle, &now_ms);
}

size_t hs_tenant_uses_size(const hs_tenant_uses *uses) {
    return g_hash_table_size(uses->tenants);
}
