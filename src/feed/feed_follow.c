/** @file feed_follow.c  Reads from another daemon; see hs_state_feed_read_parent. */
#include "feed/state_feed_internal.h"

#include "base/clock.h"
#include "base/log.h"

/** Time for which a parent holds a request while there is no change. */
#define HOLD_MS 500
/** The same while this daemon is cut off: it is to learn soon that its parent is not any more. */
#define CUT_OFF_HOLD_MS 100
/** Age above which a parent's records are stale; several hops and holds are below it. */
#define STALE_AGE_MS 1500
/** Pause after an answer that is not fresh, and that of a reader which is cut off. */
#define RETRY_PAUSE_MS 50
#define SEARCH_PAUSE_MS 20
/** Differences of ages that do not show which of two records was confirmed later. */
#define AGE_TOLERANCE_MS 1000
#define HTTP_OK 200

/** Returns the offset from which on changes are to be asked for. The caller holds the lock. */
static uint64_t get_cursor(const hs_state_feed *feed) {
    return feed->is_peer_listing ? feed->listed_below : hs_feed_log_next(feed->log);
}

/** Begins to ask for all records; gives up a listing of the store. The caller holds the lock. */
static void begin_listing(hs_state_feed *feed, hs_feed_batch *batch) {
    g_bytes_unref(feed->page_after);
    feed->page_after = NULL;
    hs_feed_log_begin_listing(feed->log);
    feed->is_peer_listing = true;
    feed->listing_floor = 0;
    feed->listed_below = 0;
    batch->has_more = true;
}

/**
 * Returns whether the answer's position belongs to another log than this feed's: it is lower though
 * the store confirmed it later. The caller holds the lock.
 */
static bool is_of_another_log(const hs_state_feed *feed, const hs_feed_answer *answer,
                              uint64_t as_of_ms) {
    return hs_feed_log_is_complete(feed->log) && answer->next < hs_feed_log_next(feed->log) &&
           answer->as_of_ms > as_of_ms + AGE_TOLERANCE_MS;
}

/** Merges an answer to a request from @p from on. The caller holds the lock. */
static void merge(hs_state_feed *feed, const hs_feed_answer *answer, uint64_t from,
                  hs_feed_batch *batch) {
    bool is_behind = answer->next < hs_feed_log_next(feed->log);
    if (is_behind)
        return;
    if (!feed->is_peer_listing && (!hs_feed_log_is_complete(feed->log) || from < answer->floor)) {
        begin_listing(feed, batch);
        if (from > 0)
            return;
    }
    feed->listing_floor = MAX(feed->listing_floor, answer->floor);
    for (guint index = 0; index < answer->records->len; index++)
        hs_state_feed_put(feed, answer->records->pdata[index], batch);
    uint64_t end = answer->next;
    if (answer->has_more && answer->records->len > 0) {
        const hs_feed_record *last = answer->records->pdata[answer->records->len - 1];
        end = last->offset + 1;
    }
    batch->has_more = answer->has_more;
    if (!feed->is_peer_listing) {
        hs_feed_log_advance(feed->log, end);
    } else if (answer->has_more) {
        feed->listed_below = end;
    } else {
        hs_feed_log_end_listing(feed->log, answer->next, feed->listing_floor);
        feed->is_peer_listing = false;
        feed->must_list = false;
        batch->is_listed = true;
    }
    if (!answer->has_more) {
        if (answer->as_of_ms > hs_state_feed_as_of_locked_ms(feed))
            feed->source = answer->source;
        feed->peer_as_of_ms = MAX(feed->peer_as_of_ms, answer->as_of_ms);
        feed->hops = answer->hops + 1;
    }
}

/** Merges the answer and returns whether it was recent enough. */
static hs_feed_ask_result apply(hs_state_feed *feed, const hs_feed_answer *answer, uint64_t from,
                                uint64_t now_ms, hs_feed_batch *batch) {
    uint64_t as_of_ms = hs_state_feed_as_of_ms(feed);
    g_mutex_lock(&feed->lock);
    if (is_of_another_log(feed, answer, as_of_ms)) {
        hs_log_warning("feed_position_wrong",
                       "topic=%s position=%" G_GUINT64_FORMAT " end=%" G_GUINT64_FORMAT, feed->name,
                       (guint64)hs_feed_log_next(feed->log), (guint64)answer->next);
        hs_feed_log_reset(feed->log);
        begin_listing(feed, batch);
    } else {
        merge(feed, answer, from, batch);
    }
    g_mutex_unlock(&feed->lock);
    if (answer->is_cut_off)
        return HS_FEED_ASK_CUT_OFF;
    bool is_recent = answer->as_of_ms + STALE_AGE_MS >= now_ms &&
                     answer->as_of_ms + AGE_TOLERANCE_MS >= as_of_ms;
    return is_recent || answer->has_more ? HS_FEED_ASK_FRESH : HS_FEED_ASK_STALE;
}

/** Asks @p node once and merges the answer. */
static hs_feed_ask_result ask(hs_state_feed *feed, const hs_feed_node *node, uint32_t wait_ms,
                              hs_feed_batch *batch, uint64_t *answer_source) {
    uint64_t asked_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&feed->lock);
    hs_feed_request request = {.from = get_cursor(feed),
                               .wait_ms = wait_ms,
                               .is_listing =
                                   feed->is_peer_listing || !hs_feed_log_is_complete(feed->log)};
    g_mutex_unlock(&feed->lock);
    uint32_t status =
        hs_feed_parent_ask(&feed->parent, node, feed->name, &request, &feed->stop, feed->response);
    g_mutex_lock(&feed->lock);
    feed->counters.parent_reads++;
    feed->counters.parent_bytes += feed->response->len;
    g_mutex_unlock(&feed->lock);
    if (status == 0)
        return HS_FEED_ASK_FAILED;
    if (status != HTTP_OK)
        return HS_FEED_ASK_REFUSED;
    hs_feed_answer answer;
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (!hs_feed_answer_decode(feed->response, request.from, asked_ms, now_ms, &answer))
        return HS_FEED_ASK_REJECTED;
    hs_feed_ask_result result = apply(feed, &answer, request.from, now_ms, batch);
    *answer_source = answer.source;
    batch->outcome = HS_STORE_DONE;
    hs_feed_answer_clear(&answer);
    return result;
}

/** Logs and counts a change to another daemon after a result. */
static void note_change(hs_state_feed *feed, const hs_feed_node *node, hs_feed_ask_result result) {
    g_mutex_lock(&feed->lock);
    feed->counters.parent_changes++;
    g_mutex_unlock(&feed->lock);
    hs_log_info("feed_parent_changed", "topic=%s parent=%u.%u.%u.%u:%u reason=%s attempt=%u",
                feed->name, node->address >> 24, node->address >> 16 & 0xff,
                node->address >> 8 & 0xff, node->address & 0xff, node->port,
                hs_feed_ask_result_name(result), feed->parent.attempt);
}

/**
 * Returns the time for which a request is to be held. A stand-in, and a reader without the store
 * until it has found recent records, look for these rather than wait for changes.
 */
static uint32_t get_hold_ms(const hs_state_feed *feed, bool is_reader) {
    if (feed->duty.is_standing_in || (is_reader && !feed->parent.is_fresh))
        return 0;
    return hs_feed_duty_is_cut_off(&feed->duty) ? CUT_OFF_HOLD_MS : HOLD_MS;
}

void hs_state_feed_read_parent(hs_state_feed *feed, const hs_feed_tree *tree,
                               hs_feed_batch *batch) {
    const hs_feed_node *node = hs_feed_tree_parent(tree, feed->parent.attempt);
    bool is_reader = hs_feed_tree_is_reader(tree);
    uint64_t source = 0;
    hs_feed_ask_result result = ask(feed, node, get_hold_ms(feed, is_reader), batch, &source);
    if (result == HS_FEED_ASK_REJECTED) {
        g_mutex_lock(&feed->lock);
        feed->counters.rejected_answers++;
        g_mutex_unlock(&feed->lock);
        hs_log_warning("feed_answer_rejected", "topic=%s bytes=%u", feed->name,
                       feed->response->len);
    }
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_feed_duty_note_answer(&feed->duty, tree, result, source, now_ms);
    if (batch->has_more && result == HS_FEED_ASK_FRESH)
        feed->progress_ms = now_ms; /* A listing goes on where it was begun. */
    else if (hs_feed_parent_note(&feed->parent, result, is_reader, now_ms))
        note_change(feed, node, result);
    if (result != HS_FEED_ASK_FRESH)
        hs_interrupt_wait(&feed->stop, is_reader ? SEARCH_PAUSE_MS : RETRY_PAUSE_MS);
}
