/** @file feed_server.c  Answers to daemons that follow this one; see hs_state_feed_serve. */
#include "feed/state_feed_internal.h"

#include "base/clock.h"
#include "feed/feed_codec.h"
#include "http/http_fields.h"

/**
 * Requests held at once. Views of the members differ for a short time, in which a daemon has more
 * followers than its children.
 */
#define MAX_FOLLOWERS (8 * HS_FEED_CHILDREN)
/**
 * Listings sent at once. More would only end later all together, and the link is then not free for
 * changes. Those who are refused ask again, and find others that have the records by then.
 */
#define MAX_LISTINGS (2 * HS_FEED_CHILDREN)
/** Time after the last part of a listing from which on it counts as given up. */
#define LISTING_IDLE_MS 1000
/** Rise of the time of confirmation that ends the wait of a request. */
#define CONFIRMED_STEP_MS 1000
/** Bytes of an answer: 70 ms on a link of 30 Mbit/s. */
#define MAX_ANSWER_BYTES ((size_t)256 * 1024)

/**
 * Returns the position up to which records are passed on. In its first listing from another daemon
 * a daemon passes on what it has, so that a listing takes hardly longer through several daemons.
 */
static uint64_t get_passable(const hs_state_feed *feed) {
    if (hs_feed_log_is_complete(feed->log))
        return hs_feed_log_next(feed->log);
    return feed->is_peer_listing ? feed->listed_below : 0;
}

static gboolean is_given_up(gpointer address, gpointer last_ms, gpointer now_ms) {
    (void)address;
    return *(const uint64_t *)last_ms + LISTING_IDLE_MS < *(const uint64_t *)now_ms;
}

/** Returns whether a part may be sent to @p follower, and counts its listing. */
static bool admit_listing(hs_state_feed *feed, uint32_t follower, uint64_t now_ms) {
    gpointer key = GUINT_TO_POINTER(follower);
    g_hash_table_foreach_remove(feed->listings, is_given_up, &now_ms);
    if (!g_hash_table_contains(feed->listings, key) &&
        g_hash_table_size(feed->listings) >= MAX_LISTINGS)
        return false;
    g_hash_table_replace(feed->listings, key, g_memdup2(&now_ms, sizeof now_ms));
    return true;
}

/**
 * Waits until there is something to answer, this daemon is cut off or not any more, or the records
 * have been confirmed anew after a time in which they were not. Returns whether there is an answer.
 */
static bool wait_for_changes(hs_state_feed *feed, const hs_feed_request *request,
                             uint64_t until_ms) {
    uint64_t confirmed_ms = hs_state_feed_as_of_locked_ms(feed) + CONFIRMED_STEP_MS;
    bool was_cut_off = feed->is_cut_off;
    while (!feed->is_closed && feed->is_cut_off == was_cut_off &&
           get_passable(feed) <= request->from &&
           hs_state_feed_as_of_locked_ms(feed) <= confirmed_ms &&
           hs_clock_wait_until(until_ms, &feed->changed, &feed->lock))
        continue;
    return !feed->is_closed &&
           (hs_feed_log_is_complete(feed->log) || get_passable(feed) > request->from);
}

/** Returns the encoded answer, or NULL if this daemon has none. The caller holds the lock. */
static GByteArray *make_answer(hs_state_feed *feed, const hs_feed_request *request,
                               uint32_t follower) {
    uint64_t began_ms = hs_clock_monotonic_ms();
    if (feed->is_closed || feed->followers >= MAX_FOLLOWERS) {
        feed->counters.refused_followers++;
        return NULL;
    }
    feed->followers++;
    bool has_answer = wait_for_changes(feed, request, began_ms + request->wait_ms);
    feed->followers--;
    if (!has_answer)
        return NULL;
    uint64_t now_ms = hs_clock_monotonic_ms();
    bool is_complete = hs_feed_log_is_complete(feed->log);
    if (request->is_listing && !admit_listing(feed, follower, now_ms)) {
        feed->counters.refused_followers++;
        return NULL;
    }
    hs_feed_answer_terms terms = {.now_ms = now_ms,
                                  .as_of_ms = hs_state_feed_as_of_locked_ms(feed),
                                  .held_ms = now_ms - began_ms,
                                  .hops = feed->hops,
                                  .next = get_passable(feed),
                                  .floor = is_complete ? hs_feed_log_floor(feed->log)
                                                       : feed->listing_floor,
                                  .is_partial = !is_complete,
                                  .is_cut_off = feed->is_cut_off,
                                  .source = feed->source};
    GByteArray *body = hs_feed_answer_encode(feed->log, request->from, MAX_ANSWER_BYTES, &terms);
    feed->counters.served_reads++;
    feed->counters.served_bytes += body->len;
    return body;
}

bool hs_state_feed_serve(hs_state_feed *feed, hs_inbound *inbound) {
    hs_feed_request request;
    if (!hs_feed_request_read(inbound->target, feed->name, &request))
        return false;
    g_mutex_lock(&feed->lock);
    GByteArray *body = make_answer(feed, &request, inbound->caller_address);
    g_mutex_unlock(&feed->lock);
    if (body == NULL) {
        hs_inbound_reply(inbound, 503, NULL, "", 0);
        return true;
    }
    GArray *fields = hs_http_fields_new();
    hs_http_fields_add(fields, "Content-Type", "application/octet-stream");
    hs_inbound_reply(inbound, 200, fields, body->data, body->len);
    hs_http_fields_free(fields);
    g_byte_array_unref(body);
    return true;
}
