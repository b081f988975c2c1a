/** @file tenant_use.c  See tenant_use.h. */
#include "tenants/tenant_use.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

/** Of a longer silence before a word only this time counts, in ms: the rest was asked for too long
 * ago. */
#define SILENCE_MOST_MS 5000
/** The same in the account that fades fast. */
#define SILENCE_MOST_FAST_MS 1000
/** A daemon that told nothing for so long, in ms, is forgotten: its next word is a first one. */
#define FORGET_MS 60000
/** Tenants beyond this are not counted. */
#define TENANTS_MOST 16384
#define PERMILLE 1000.0

/** What a daemon told last. */
typedef struct {
    uint64_t incarnation;
    uint64_t used_ms;
    uint64_t at_ms;
} last_word;

typedef struct {
    GHashTable *words; /**< daemon -> last_word* */
    double slots;      /**< As of at_ms, */
    double fast_slots; /**< and by the account that fades fast. */
    uint64_t at_ms;
} tenant_account;

struct hs_tenant_uses {
    GHashTable *tenants; /**< name -> tenant_account* */
};

static void free_account(gpointer data) {
    tenant_account *account = data;
    g_hash_table_destroy(account->words);
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

uint64_t hs_tenant_use_write_count(uint64_t used_ms) {
    return used_ms + 1;
}

uint32_t hs_tenant_use_write_slots(double slots) {
    return (uint32_t)fmin(fmax(slots * PERMILLE, 1), UINT32_MAX);
}

double hs_tenant_use_read_slots(uint32_t permille) {
    return (double)permille / PERMILLE;
}

static double faded(double slots, const tenant_account *account, double fades_ms, uint64_t now_ms) {
    double age_ms = now_ms > account->at_ms ? (double)(now_ms - account->at_ms) : 0;
    return slots * exp(-age_ms / fades_ms);
}

static double slots_of(const tenant_account *account, uint64_t now_ms) {
    return fmax(faded(account->slots, account, HS_TENANT_USE_FADES_MS, now_ms),
                faded(account->fast_slots, account, HS_TENANT_USE_FADES_FAST_MS, now_ms));
}

static tenant_account *account_of(hs_tenant_uses *uses, const char *tenant) {
    tenant_account *account = g_hash_table_lookup(uses->tenants, tenant);
    if (account != NULL || g_hash_table_size(uses->tenants) >= TENANTS_MOST)
        return account;
    account = g_new0(tenant_account, 1);
    account->words = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_hash_table_insert(uses->tenants, g_strdup(tenant), account);
    return account;
}

/** Time in ms of slots that a word adds to the one before, of a silence of @p most_ms at most. */
static double grown_ms(const last_word *before, const hs_tenant_use_word *word, double most_ms,
                       uint64_t now_ms) {
    if (before->incarnation != word->incarnation || word->used_ms <= before->used_ms)
        return 0;
    double silent_ms = now_ms > before->at_ms ? (double)(now_ms - before->at_ms) : 0;
    double part = silent_ms > most_ms ? most_ms / silent_ms : 1;
    return (double)(word->used_ms - before->used_ms) * part;
}

/** A word that came late, after a newer one. */
static bool is_overtaken(const last_word *before, const hs_tenant_use_word *word) {
    return word->incarnation < before->incarnation ||
           (word->incarnation == before->incarnation && word->used_ms < before->used_ms);
}

void hs_tenant_uses_note(hs_tenant_uses *uses, const hs_tenant_use_word *word, uint64_t now_ms) {
    tenant_account *account = word->used_ms > 0 ? account_of(uses, word->tenant) : NULL;
    if (account == NULL)
        return;
    last_word *before = g_hash_table_lookup(account->words, word->daemon);
    if (before == NULL) {
        before = g_new0(last_word, 1);
        *before = (last_word){word->incarnation, word->used_ms, now_ms};
        g_hash_table_insert(account->words, g_strdup(word->daemon), before);
    }
    if (is_overtaken(before, word))
        return;
    account->slots = faded(account->slots, account, HS_TENANT_USE_FADES_MS, now_ms) +
                     grown_ms(before, word, SILENCE_MOST_MS, now_ms) / HS_TENANT_USE_FADES_MS;
    account->fast_slots =
        faded(account->fast_slots, account, HS_TENANT_USE_FADES_FAST_MS, now_ms) +
        grown_ms(before, word, SILENCE_MOST_FAST_MS, now_ms) / HS_TENANT_USE_FADES_FAST_MS;
    account->at_ms = now_ms;
    *before = (last_word){word->incarnation, word->used_ms, now_ms};
}

double hs_tenant_uses_slots(const hs_tenant_uses *uses, const char *tenant, uint64_t now_ms) {
    const tenant_account *account = g_hash_table_lookup(uses->tenants, tenant);
    return account != NULL ? slots_of(account, now_ms) : 0;
}

static int compare_shares(gconstpointer one, gconstpointer other) {
    double one_slots = ((const hs_tenant_share *)one)->slots;
    double other_slots = ((const hs_tenant_share *)other)->slots;
    return (one_slots < other_slots) - (one_slots > other_slots);
}

size_t hs_tenant_uses_top(const hs_tenant_uses *uses, hs_tenant_share *shares, size_t most,
                          double *rest, uint64_t now_ms) {
    g_autoptr(GArray) all = g_array_new(FALSE, FALSE, sizeof(hs_tenant_share));
    GHashTableIter iterator;
    gpointer tenant = NULL;
    gpointer account = NULL;
    g_hash_table_iter_init(&iterator, uses->tenants);
    while (g_hash_table_iter_next(&iterator, &tenant, &account)) {
        hs_tenant_share share = {.tenant = tenant, .slots = slots_of(account, now_ms)};
        g_array_append_val(all, share);
    }
    g_array_sort(all, compare_shares);
    *rest = 0;
    for (guint index = 0; index < all->len; index++) {
        const hs_tenant_share *share = &g_array_index(all, hs_tenant_share, index);
        if (index < most)
            shares[index] = *share;
        else
            *rest += share->slots;
    }
    return MIN(most, all->len);
}

static gboolean is_old(gpointer daemon, gpointer word, gpointer now_ms) {
    (void)daemon;
    return *(const uint64_t *)now_ms > ((const last_word *)word)->at_ms + FORGET_MS;
}

static gboolean is_idle(gpointer tenant, gpointer value, gpointer now_ms) {
    (void)tenant;
    tenant_account *account = value;
    g_hash_table_foreach_remove(account->words, is_old, now_ms);
    return g_hash_table_size(account->words) == 0;
}

void hs_tenant_uses_expire(hs_tenant_uses *uses, uint64_t now_ms) {
    g_hash_table_foreach_remove(uses->tenants, is_idle, &now_ms);
}

size_t hs_tenant_uses_size(const hs_tenant_uses *uses) {
    return g_hash_table_size(uses->tenants);
}
