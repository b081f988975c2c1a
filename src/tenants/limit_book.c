/** @file limit_book.c  See limit_book.h. */
#include "tenants/limit_book.h"

#include <glib.h>

/**
 * Longest gap between two requests checked by a daemon that is not the limit owner; after a longer
 * gap the bucket starts empty again.
 */
#define MAX_SUBSTITUTE_GAP_MS 1000

typedef struct {
    hs_rate_bucket bucket;
    uint64_t last_request_ms;
    hs_rate_limit limit; /**< From the newest configuration version received. */
    uint64_t version;
    double allowance; /**< Fraction of the limit that applied to the last request. */
} tenant_entry;

struct hs_limit_book {
    GHashTable *tenants;       /**< name -> tenant_entry* */
    uint64_t reach_changed_ms; /**< Last change of the set of reached daemons. */
};

hs_limit_book *hs_limit_book_new(uint64_t now_ms) {
    hs_limit_book *book = g_new0(hs_limit_book, 1);
    book->tenants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    book->reach_changed_ms = now_ms;
    return book;
}

void hs_limit_book_free(hs_limit_book *book) {
    if (book == NULL)
        return;
    g_hash_table_destroy(book->tenants);
    g_free(book);
}

static double allowance_fraction(const hs_limit_reachability *reach) {
    uint32_t known = MAX(MAX(reach->known, reach->reached), 1U);
    return (reach->is_limit_owner ? (double)reach->reached : 1.0) / known;
}

/** Scales a limit. The capacity is at least one token; a smaller bucket would admit nothing. */
static hs_rate_limit scale_limit(const hs_rate_limit *limit, double allowance) {
    return (hs_rate_limit){.rate_per_s = limit->rate_per_s * allowance,
                           .capacity = MAX(limit->capacity * allowance, 1.0)};
}

static tenant_entry *find_or_add_entry(hs_limit_book *book, const hs_limit_request *request,
                                       uint64_t now_ms) {
    double allowance = allowance_fraction(&request->reach);
    tenant_entry *entry = g_hash_table_lookup(book->tenants, request->tenant);
    if (entry != NULL && !request->reach.is_limit_owner &&
        now_ms > entry->last_request_ms + MAX_SUBSTITUTE_GAP_MS)
        entry->bucket = (hs_rate_bucket){.at_ms = now_ms};
    if (entry == NULL) {
        entry = g_new0(tenant_entry, 1);
        hs_rate_limit limit = scale_limit(&request->limit, allowance);
        uint64_t age_ms = request->reach.is_limit_owner ? now_ms - book->reach_changed_ms : 0;
        entry->bucket = hs_rate_bucket_new(&limit, age_ms, now_ms);
        entry->limit = request->limit;
        g_hash_table_insert(book->tenants, g_strdup(request->tenant), entry);
    }
    if (request->version > entry->version) {
        entry->version = request->version;
        entry->limit = request->limit;
    }
    entry->allowance = allowance;
    entry->last_request_ms = now_ms;
    return entry;
}

hs_limit_verdict hs_limit_book_check(hs_limit_book *book, const hs_limit_request *request,
                                     uint64_t now_ms) {
    tenant_entry *entry = find_or_add_entry(book, request, now_ms);
    hs_rate_limit limit = scale_limit(&entry->limit, entry->allowance);
    hs_limit_verdict verdict = {.allowance = entry->allowance,
                                .passes = hs_rate_bucket_take(&entry->bucket, &limit, now_ms)};
    if (!verdict.passes)
        verdict.retry_after_ms = hs_rate_bucket_schedule_retry(&entry->bucket, &limit, now_ms);
    return verdict;
}

typedef struct {
    bool (*is_limit_owner)(const char *tenant, void *user_data);
    void *user_data;
} owner_filter;

static gboolean is_owned_elsewhere(gpointer tenant, gpointer entry, gpointer data) {
    (void)entry;
    const owner_filter *filter = data;
    return !filter->is_limit_owner(tenant, filter->user_data);
}

void hs_limit_book_note_reach_change(hs_limit_book *book,
                                     bool (*is_limit_owner)(const char *tenant, void *user_data),
                                     void *user_data, uint64_t now_ms) {
    owner_filter filter = {.is_limit_owner = is_limit_owner, .user_data = user_data};
    book->reach_changed_ms = now_ms;
    g_hash_table_foreach_remove(book->tenants, is_owned_elsewhere, &filter);
}

void hs_limit_book_remove(hs_limit_book *book, const char *tenant) {
    g_hash_table_remove(book->tenants, tenant);
}

void hs_limit_book_fill(hs_limit_book *book, uint64_t now_ms) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, book->tenants);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        tenant_entry *entry = value;
        entry->bucket = (hs_rate_bucket){.tokens = entry->limit.capacity * entry->allowance,
                                         .at_ms = now_ms,
                                         .last_retry_ms = entry->bucket.last_retry_ms};
    }
    book->reach_changed_ms = 0;
}

static gboolean is_idle(gpointer tenant, gpointer value, gpointer now_ms) {
    (void)tenant;
    const tenant_entry *entry = value;
    hs_rate_limit limit = scale_limit(&entry->limit, entry->allowance);
    return hs_rate_bucket_is_full(&entry->bucket, &limit, *(const uint64_t *)now_ms);
}

void hs_limit_book_expire(hs_limit_book *book, uint64_t now_ms) {
    g_hash_table_foreach_remove(book->tenants, is_idle, &now_ms);
}

size_t hs_limit_book_size(const hs_limit_book *book) {
    return g_hash_table_size(book->tenants);
}
