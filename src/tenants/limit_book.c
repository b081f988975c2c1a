/** @file limit_book.c  See limit_book.h. */
#include "tenants/limit_book.h"

#include <glib.h>

/** Longest pause in ms between two questions to a daemon that is not the home, in one such time. */
#define SILENCE_GAP_MS 1000

typedef struct {
    hs_rate_bucket bucket;
    uint64_t asked_ms;   /**< Last. */
    hs_rate_limit limit; /**< By the newest version heard. */
    uint64_t version;
    double part; /**< Of the limit that was let pass here last. */
} tenant_entry;

struct hs_limit_book {
    GHashTable *tenants; /**< name -> tenant_entry* */
    uint64_t changed_ms; /**< When the daemons that are reached changed last. */
};

hs_limit_book *hs_limit_book_new(uint64_t now_ms) {
    hs_limit_book *book = g_new0(hs_limit_book, 1);
    book->tenants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    book->changed_ms = now_ms;
    return book;
}

void hs_limit_book_free(hs_limit_book *book) {
    if (book == NULL)
        return;
    g_hash_table_destroy(book->tenants);
    g_free(book);
}

static double part_of(const hs_limit_reach *reach) {
    uint32_t known = MAX(MAX(reach->known, reach->reached), 1U);
    return (reach->is_home ? (double)reach->reached : 1.0) / known;
}

/** The part of a limit that is let pass here. The smallest bucket holds one, or nothing passes. */
static hs_rate_limit part_of_limit(const hs_rate_limit *limit, double part) {
    return (hs_rate_limit){.rate_per_s = limit->rate_per_s * part,
                           .capacity = MAX(limit->capacity * part, 1.0)};
}

static tenant_entry *entry_of(hs_limit_book *book, const hs_limit_question *question,
                              uint64_t now_ms) {
    double part = part_of(&question->reach);
    tenant_entry *entry = g_hash_table_lookup(book->tenants, question->tenant);
    if (entry != NULL && !question->reach.is_home && now_ms > entry->asked_ms + SILENCE_GAP_MS)
        entry->bucket = (hs_rate_bucket){.at_ms = now_ms};
    if (entry == NULL) {
        entry = g_new0(tenant_entry, 1);
        hs_rate_limit limit = part_of_limit(&question->limit, part);
        uint64_t age_ms = question->reach.is_home ? now_ms - book->changed_ms : 0;
        entry->bucket = hs_rate_bucket_new(&limit, age_ms, now_ms);
        entry->limit = question->limit;
        g_hash_table_insert(book->tenants, g_strdup(question->tenant), entry);
    }
    if (question->version > entry->version) {
        entry->version = question->version;
        entry->limit = question->limit;
    }
    entry->part = part;
    entry->asked_ms = now_ms;
    return entry;
}

hs_limit_verdict hs_limit_book_ask(hs_limit_book *book, const hs_limit_question *question,
                                   uint64_t now_ms) {
    tenant_entry *entry = entry_of(book, question, now_ms);
    hs_rate_limit limit = part_of_limit(&entry->limit, entry->part);
    hs_limit_verdict verdict = {.part = entry->part,
                                .passes = hs_rate_bucket_take(&entry->bucket, &limit, now_ms)};
    if (!verdict.passes)
        verdict.return_ms = hs_rate_bucket_promise(&entry->bucket, &limit, now_ms);
    return verdict;
}

/** A question whether another daemon is the home of a tenant. */
typedef struct {
    bool (*is_home)(const char *tenant, void *user_data);
    void *user_data;
} home_question;

static gboolean has_moved(gpointer tenant, gpointer entry, gpointer data) {
    (void)entry;
    const home_question *question = data;
    return !question->is_home(tenant, question->user_data);
}

void hs_limit_book_note_change(hs_limit_book *book,
                               bool (*is_home)(const char *tenant, void *user_data),
                               void *user_data, uint64_t now_ms) {
    home_question question = {.is_home = is_home, .user_data = user_data};
    book->changed_ms = now_ms;
    g_hash_table_foreach_remove(book->tenants, has_moved, &question);
}

void hs_limit_book_forget(hs_limit_book *book, const char *tenant) {
    g_hash_table_remove(book->tenants, tenant);
}

void hs_limit_book_fill(hs_limit_book *book, uint64_t now_ms) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, book->tenants);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        tenant_entry *entry = value;
        entry->bucket = (hs_rate_bucket){.tokens = entry->limit.capacity * entry->part,
                                         .at_ms = now_ms,
                                         .promised_ms = entry->bucket.promised_ms};
    }
    book->changed_ms = 0;
}

static gboolean says_nothing(gpointer tenant, gpointer value, gpointer now_ms) {
    (void)tenant;
    const tenant_entry *entry = value;
    hs_rate_limit limit = part_of_limit(&entry->limit, entry->part);
    return hs_rate_bucket_is_full(&entry->bucket, &limit, *(const uint64_t *)now_ms);
}

void hs_limit_book_expire(hs_limit_book *book, uint64_t now_ms) {
    g_hash_table_foreach_remove(book->tenants, says_nothing, &now_ms);
}

size_t hs_limit_book_size(const hs_limit_book *book) {
    return g_hash_table_size(book->tenants);
}
