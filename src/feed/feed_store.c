/** @file feed_store.c  Reads of the store; see hs_state_feed_read_store. */
#include "feed/state_feed_internal.h"

#include "base/clock.h"
#include "base/log.h"

#define MAX_READ_KB 1024
/** Maximum of a timeout that follows the store's response times: other daemons may have a copy. */
#define MAX_STORE_TIMEOUT_MS 1500
/** Timeout of a read of changes of a fast store, if other daemons can be asked. */
#define FOLLOW_TIMEOUT_MS 600
/** Timeout of a read after a failed one, and its maximum: other daemons are asked in between. */
#define PROBE_TIMEOUT_MS 300
#define MAX_PROBE_TIMEOUT_MS 600

/** Sends a call, and counts it and the bytes of the response. */
static hs_store_outcome send_call(hs_state_feed *feed, hs_store_call *call, uint64_t limit_ms) {
    hs_store_outcome outcome = hs_store_client_send(
        feed->store, call, hs_clock_monotonic_ms() + limit_ms, NULL, feed->response);
    g_mutex_lock(&feed->lock);
    feed->counters.store_reads++;
    feed->counters.store_bytes += feed->response->len;
    g_mutex_unlock(&feed->lock);
    return outcome;
}

/** Whether the last read failed, and other daemons can be asked for recent records. */
static bool is_probe(hs_state_feed *feed) {
    return feed->store_failures > 0 && hs_state_feed_is_awaiting(feed);
}

/**
 * Returns the timeout of the next read beyond its hold time. It grows with failed attempts only if
 * no other daemon can be asked instead.
 */
static uint64_t get_timeout_ms(hs_state_feed *feed, const hs_feed_limits *limits) {
    if (is_probe(feed))
        return MIN(hs_store_client_read_limit_ms(feed->store, PROBE_TIMEOUT_MS, 0),
                   MAX_PROBE_TIMEOUT_MS);
    uint32_t attempt = hs_state_feed_is_awaiting(feed) ? 0 : feed->store_failures;
    uint64_t timeout_ms =
        hs_store_client_read_limit_ms(feed->store, limits->store_timeout_ms, attempt);
    return MIN(timeout_ms, MAX(limits->store_timeout_ms, MAX_STORE_TIMEOUT_MS));
}

/** Puts the entries of a page. The caller holds the lock. */
static void put_entries(hs_state_feed *feed, const GArray *entries, hs_feed_batch *batch) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    for (guint index = 0; index < entries->len; index++) {
        const hs_newest_entry *entry = &g_array_index(entries, hs_newest_entry, index);
        g_autoptr(GBytes) value = g_bytes_new(entry->value, entry->value_length);
        hs_feed_record *record = hs_feed_record_new(entry->key, value, entry->offset, now_ms);
        hs_state_feed_put(feed, record, batch);
        hs_feed_record_unref(record);
    }
}

/** Merges a page; the last one ends the listing. The caller holds the lock. */
static void merge_page(hs_state_feed *feed, const GArray *entries, const hs_newest_page *page,
                       hs_feed_batch *batch) {
    if (feed->page_after == NULL) {
        /* The position is beyond the end: the log has begun anew, or a daemon's was wrong. */
        if (hs_feed_log_next(feed->log) > page->end)
            hs_feed_log_reset(feed->log);
        hs_feed_log_begin_listing(feed->log);
        feed->is_peer_listing = false;
        feed->page_end = page->end;
    }
    put_entries(feed, entries, batch);
    batch->has_more = page->has_more;
    g_bytes_unref(feed->page_after);
    feed->page_after = NULL;
    if (batch->has_more) {
        feed->page_after = g_bytes_ref(page->last_key);
        return;
    }
    /* Keys may change between two pages: what follows the first page is read again. */
    hs_feed_log_end_listing(feed->log, feed->page_end, feed->page_end);
    feed->must_list = false;
    feed->hops = 0;
    batch->is_listed = true;
}

/** Reads the next page of a listing. A page that fails is read again, not the listing. */
static hs_store_outcome list(hs_state_feed *feed, const hs_feed_limits *limits,
                             hs_feed_batch *batch) {
    hs_store_call call = hs_platform_build_newest_call(feed->topic, feed->page_after);
    /* A key may change after the page on which it was listed. */
    if (feed->page_after == NULL)
        hs_store_contact_note_read(&feed->contact);
    hs_store_outcome outcome = send_call(feed, &call, get_timeout_ms(feed, limits));
    if (outcome != HS_STORE_DONE)
        return outcome;
    GArray *entries = hs_newest_entries_new();
    hs_newest_page page;
    bool is_read = hs_platform_read_newest(feed->response, entries, &page);
    if (page.rejected > 0)
        hs_log_warning("feed_entries_rejected", "topic=%s rejected=%u entries=%u", feed->name,
                       page.rejected, entries->len);
    if (is_read && !hs_newest_page_is_repeated(&page, feed->page_after)) {
        g_mutex_lock(&feed->lock);
        merge_page(feed, entries, &page, batch);
        g_mutex_unlock(&feed->lock);
    } else {
        outcome = HS_STORE_UNKNOWN;
    }
    g_array_free(entries, TRUE);
    hs_newest_page_clear(&page);
    return outcome;
}

/** Puts a record that was read from the store. The caller holds the lock. */
static void put_record(hs_state_feed *feed, const hs_store_record *found, uint64_t offset,
                       uint64_t now_ms, hs_feed_batch *batch) {
    g_autofree char *key = g_strndup(found->key, found->key_length);
    g_autoptr(GBytes) value = g_bytes_new(found->value, found->value_length);
    hs_feed_record *record = hs_feed_record_new(key, value, offset, now_ms);
    hs_state_feed_put(feed, record, batch);
    hs_feed_record_unref(record);
}

/**
 * Puts the records of a response that begins at @p next, of a log that ends at @p end. The caller
 * holds the lock.
 */
static void put_records(hs_state_feed *feed, uint64_t next, uint64_t end, hs_feed_batch *batch) {
    uint64_t from = next;
    uint64_t now_ms = hs_clock_monotonic_ms();
    size_t position = 0;
    hs_store_record found;
    while (hs_platform_read_next_record(feed->response, true, &position, &found)) {
        if (found.key != NULL)
            put_record(feed, &found, next, now_ms, batch);
        else
            hs_log_warning("feed_record_rejected",
                           "topic=%s offset=%" G_GUINT64_FORMAT " reason=bad_key", feed->name,
                           (guint64)next);
        next++;
    }
    hs_feed_log_advance(feed->log, next);
    batch->has_more = next > from && next < end;
    feed->hops = 0;
}

/** Reads the records from the position on. */
static hs_store_outcome follow(hs_state_feed *feed, const hs_feed_limits *limits,
                               hs_feed_batch *batch) {
    g_mutex_lock(&feed->lock);
    uint64_t next = hs_feed_log_next(feed->log);
    g_mutex_unlock(&feed->lock);
    uint32_t wait_ms = is_probe(feed) ? 0 : limits->store_wait_ms;
    hs_store_call call = hs_platform_build_read_call(feed->topic, 0, next, MAX_READ_KB, wait_ms);
    hs_feed_limits follow_limits = *limits;
    if (hs_state_feed_is_awaiting(feed))
        follow_limits.store_timeout_ms = MIN(limits->store_timeout_ms, FOLLOW_TIMEOUT_MS);
    uint64_t limit_ms = (uint64_t)wait_ms + get_timeout_ms(feed, &follow_limits);
    hs_store_contact_note_read(&feed->contact);
    hs_store_outcome outcome = send_call(feed, &call, limit_ms);
    uint64_t end = 0;
    uint64_t first = 0;
    if (outcome == HS_STORE_DONE && hs_platform_read_bounds(feed->response, &end, &first) &&
        end < next)
        outcome = HS_STORE_GONE;
    if (outcome == HS_STORE_DONE) {
        g_mutex_lock(&feed->lock);
        put_records(feed, next, end, batch);
        g_mutex_unlock(&feed->lock);
    }
    return outcome;
}

void hs_state_feed_read_store(hs_state_feed *feed, const hs_feed_limits *limits,
                              hs_feed_batch *batch) {
    bool is_listing = feed->must_list || !hs_state_feed_is_complete(feed);
    batch->outcome = is_listing ? list(feed, limits, batch) : follow(feed, limits, batch);
    /* Until the last part, the store has not confirmed the records as a whole. */
    if (!batch->has_more)
        hs_store_contact_note_outcome(&feed->contact, batch->outcome);
    if (batch->outcome == HS_STORE_GONE)
        feed->must_list = true;
}
