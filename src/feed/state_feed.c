/** @file state_feed.c  See state_feed.h. */
#include "feed/state_feed_internal.h"

#include "base/clock.h"
#include "base/log.h"

/** Pause when there is no source yet. */
#define NO_SOURCE_PAUSE_MS 20
/** First delay before a store that failed is read again while others can be asked; doubles. */
#define MIN_STORE_DELAY_MS 100
#define MAX_STORE_DELAY_MS 2000

hs_state_feed *hs_state_feed_new(hs_store_client *store, hs_topic topic, const char *name) {
    hs_state_feed *feed = g_new0(hs_state_feed, 1);
    feed->store = store;
    feed->topic = topic;
    feed->name = name;
    feed->log = hs_feed_log_new();
    feed->response = g_byte_array_new();
    feed->listings = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    feed->must_list = true;
    hs_store_contact_init(&feed->contact, name);
    hs_interrupt_init(&feed->stop);
    g_mutex_init(&feed->lock);
    g_cond_init(&feed->changed);
    return feed;
}

void hs_state_feed_set_members(hs_state_feed *feed, const hs_feed_members *members) {
    feed->members = *members;
}

void hs_state_feed_close(hs_state_feed *feed) {
    g_mutex_lock(&feed->lock);
    feed->is_closed = true;
    g_cond_broadcast(&feed->changed);
    g_mutex_unlock(&feed->lock);
}

void hs_state_feed_stop(hs_state_feed *feed) {
    hs_interrupt_raise(&feed->stop, HS_INTERRUPT_STOP);
    hs_state_feed_close(feed);
}

void hs_state_feed_free(hs_state_feed *feed) {
    if (feed == NULL)
        return;
    hs_feed_parent_clear(&feed->parent);
    hs_feed_log_free(feed->log);
    g_byte_array_free(feed->response, TRUE);
    g_hash_table_destroy(feed->listings);
    g_bytes_unref(feed->page_after);
    hs_store_contact_clear(&feed->contact);
    hs_interrupt_clear(&feed->stop);
    g_cond_clear(&feed->changed);
    g_mutex_clear(&feed->lock);
    g_free(feed);
}

void hs_state_feed_put(hs_state_feed *feed, hs_feed_record *record, hs_feed_batch *batch) {
    bool is_unseen = hs_feed_log_is_complete(feed->log) && hs_feed_record_is_removal(record) &&
                     !hs_feed_log_has(feed->log, record->key);
    if (!hs_feed_log_put(feed->log, record))
        return;
    g_ptr_array_add(batch->changes, hs_feed_record_ref(record));
    batch->has_unseen |= is_unseen;
}

uint64_t hs_state_feed_store_received_ms(hs_state_feed *feed) {
    return hs_store_contact_last_received_ms(&feed->contact);
}

uint64_t hs_state_feed_as_of_locked_ms(hs_state_feed *feed) {
    return MAX(hs_store_contact_as_of_ms(&feed->contact), feed->peer_as_of_ms);
}

uint64_t hs_state_feed_as_of_ms(hs_state_feed *feed) {
    g_mutex_lock(&feed->lock);
    uint64_t as_of_ms = hs_state_feed_as_of_locked_ms(feed);
    g_mutex_unlock(&feed->lock);
    return as_of_ms;
}

bool hs_state_feed_is_complete(hs_state_feed *feed) {
    g_mutex_lock(&feed->lock);
    bool is_complete = hs_feed_log_is_complete(feed->log);
    g_mutex_unlock(&feed->lock);
    return is_complete;
}

bool hs_state_feed_is_disconnected(hs_state_feed *feed) {
    g_mutex_lock(&feed->lock);
    bool is_disconnected = hs_store_contact_is_disconnected(&feed->contact) &&
                           feed->peer_as_of_ms <= hs_store_contact_as_of_ms(&feed->contact);
    g_mutex_unlock(&feed->lock);
    return is_disconnected;
}

bool hs_state_feed_is_awaiting(hs_state_feed *feed) {
    g_mutex_lock(&feed->lock);
    bool is_awaiting = feed->is_awaiting;
    g_mutex_unlock(&feed->lock);
    return is_awaiting;
}

GPtrArray *hs_state_feed_list(hs_state_feed *feed) {
    bool has_more = false;
    g_mutex_lock(&feed->lock);
    GPtrArray *records = hs_feed_log_changes(feed->log, 0, UINT64_MAX, SIZE_MAX, &has_more);
    g_mutex_unlock(&feed->lock);
    return records;
}

/** Chooses the source of the next read. @p tree: NULL without other daemons. */
static hs_feed_source choose_source(hs_state_feed *feed, const hs_feed_tree *tree) {
    if (tree == NULL)
        return HS_FEED_STORE;
    const hs_feed_members *members = &feed->members;
    uint64_t now_ms = hs_clock_monotonic_ms();
    const hs_feed_duty *duty = &feed->duty;
    hs_feed_status status = {.started_ms = feed->started_ms,
                             .as_of_ms = MAX(hs_state_feed_as_of_ms(feed), feed->progress_ms),
                             .store_allowed_ms = feed->store_allowed_ms,
                             .knows_other_addresses = members->knows_others(members->user_data),
                             .cut_off_since_ms = duty->cut_off_since_ms,
                             .is_standing_in =
                                 duty->is_standing_in && !hs_feed_duty_is_check_due(duty, now_ms)};
    return hs_feed_choose_source(tree, &status, now_ms);
}

/** Delays the next read of the store after a failure, so that other daemons are asked meanwhile. */
static void note_store_outcome(hs_state_feed *feed, const hs_feed_tree *tree,
                               hs_store_outcome outcome) {
    bool is_answered = outcome == HS_STORE_DONE || outcome == HS_STORE_GONE;
    /* A daemon that lists all records in a reader's place is no stand-in yet. */
    if (tree != NULL)
        hs_feed_duty_note_store(&feed->duty, is_answered,
                                hs_feed_tree_is_reader(tree) || !hs_state_feed_is_complete(feed),
                                hs_clock_monotonic_ms());
    if (tree != NULL && is_answered) {
        g_mutex_lock(&feed->lock);
        feed->source = hs_feed_tree_self(tree);
        g_mutex_unlock(&feed->lock);
    }
    feed->store_failures = is_answered ? 0 : feed->store_failures + 1;
    bool has_others = tree != NULL && !hs_feed_tree_is_direct(tree);
    uint64_t delay_ms = (uint64_t)MIN_STORE_DELAY_MS << MIN(feed->store_failures, 8);
    feed->store_allowed_ms = is_answered || !has_others
                                 ? 0
                                 : hs_clock_monotonic_ms() + MIN(delay_ms, MAX_STORE_DELAY_MS);
}

static void log_source(hs_state_feed *feed, hs_feed_source source, const hs_feed_tree *tree) {
    static const char *const names[] = {
        [HS_FEED_WAIT] = "none", [HS_FEED_STORE] = "store", [HS_FEED_PARENT] = "daemon"};
    if (source == feed->last_source || source == HS_FEED_WAIT)
        return;
    uint64_t as_of_ms = hs_state_feed_as_of_ms(feed);
    hs_log_info("feed_source_changed",
                "topic=%s source=%s before=%s rank=%d live=%u age_ms=%" G_GINT64_FORMAT, feed->name,
                names[source], names[feed->last_source],
                tree != NULL ? (int)hs_feed_tree_rank(tree) : 0,
                tree != NULL ? hs_feed_tree_live_count(tree) : 1,
                as_of_ms != 0 ? (gint64)(hs_clock_monotonic_ms() - as_of_ms) : -1);
    feed->last_source = source;
}

void hs_state_feed_read(hs_state_feed *feed, const hs_feed_limits *limits, hs_feed_batch *batch) {
    *batch = (hs_feed_batch){.outcome = HS_STORE_UNKNOWN,
                             .changes = g_ptr_array_new_with_free_func(hs_feed_record_unref)};
    if (feed->started_ms == 0)
        feed->started_ms = hs_clock_monotonic_ms();
    const hs_feed_members *members = &feed->members;
    hs_feed_tree *tree = members->get_tree != NULL ? members->get_tree(members->user_data) : NULL;
    batch->source = choose_source(feed, tree);
    log_source(feed, batch->source, tree);
    if (batch->source == HS_FEED_STORE) {
        feed->parent.is_fresh = false;
        hs_state_feed_read_store(feed, limits, batch);
        note_store_outcome(feed, tree, batch->outcome);
    } else if (batch->source == HS_FEED_PARENT) {
        hs_state_feed_read_parent(feed, tree, batch);
    } else {
        hs_interrupt_wait(&feed->stop, NO_SOURCE_PAUSE_MS);
    }
    bool is_cut_off = hs_feed_duty_is_cut_off(&feed->duty);
    if (is_cut_off != feed->is_cut_off)
        hs_log_info("feed_cut_off", "topic=%s cut_off=%d stands_in=%d", feed->name, is_cut_off,
                    feed->duty.is_standing_in);
    g_mutex_lock(&feed->lock);
    feed->is_cut_off = is_cut_off;
    batch->is_cut_off = is_cut_off;
    batch->next = hs_feed_log_next(feed->log);
    batch->as_of_ms = hs_state_feed_as_of_locked_ms(feed);
    feed->is_awaiting =
        batch->source == HS_FEED_PARENT || (tree != NULL && !hs_feed_tree_is_direct(tree));
    g_cond_broadcast(&feed->changed);
    g_mutex_unlock(&feed->lock);
    hs_feed_tree_unref(tree);
}

void hs_feed_batch_clear(hs_feed_batch *batch) {
    if (batch->changes != NULL)
        g_ptr_array_unref(batch->changes);
    batch->changes = NULL;
}

char *hs_state_feed_describe(hs_state_feed *feed) {
    g_mutex_lock(&feed->lock);
    hs_feed_counters counters = feed->counters;
    uint64_t as_of_ms = hs_state_feed_as_of_locked_ms(feed);
    uint64_t age_ms = as_of_ms != 0 ? hs_clock_monotonic_ms() - as_of_ms : 0;
    uint32_t keys = hs_feed_log_key_count(feed->log);
    uint32_t hops = feed->hops;
    uint32_t followers = feed->followers;
    g_mutex_unlock(&feed->lock);
    const char *name = feed->name;
    return g_strdup_printf(
        "heathsail_feed_reads_total{topic=\"%s\",source=\"store\"} %" G_GUINT64_FORMAT "\n"
        "heathsail_feed_reads_total{topic=\"%s\",source=\"daemon\"} %" G_GUINT64_FORMAT "\n"
        "heathsail_feed_bytes_total{topic=\"%s\",source=\"store\"} %" G_GUINT64_FORMAT "\n"
        "heathsail_feed_bytes_total{topic=\"%s\",source=\"daemon\"} %" G_GUINT64_FORMAT "\n"
        "heathsail_feed_served_reads_total{topic=\"%s\"} %" G_GUINT64_FORMAT "\n"
        "heathsail_feed_served_bytes_total{topic=\"%s\"} %" G_GUINT64_FORMAT "\n"
        "heathsail_feed_refused_followers_total{topic=\"%s\"} %" G_GUINT64_FORMAT "\n"
        "heathsail_feed_parent_changes_total{topic=\"%s\"} %" G_GUINT64_FORMAT "\n"
        "heathsail_feed_rejected_answers_total{topic=\"%s\"} %" G_GUINT64_FORMAT "\n"
        "heathsail_feed_age_seconds{topic=\"%s\"} %.3f\n"
        "heathsail_feed_keys{topic=\"%s\"} %u\n"
        "heathsail_feed_hops{topic=\"%s\"} %u\n"
        "heathsail_feed_followers{topic=\"%s\"} %u\n",
        name, (guint64)counters.store_reads, name, (guint64)counters.parent_reads, name,
        (guint64)counters.store_bytes, name, (guint64)counters.parent_bytes, name,
        (guint64)counters.served_reads, name, (guint64)counters.served_bytes, name,
        (guint64)counters.refused_followers, name, (guint64)counters.parent_changes, name,
        (guint64)counters.rejected_answers, name, (double)age_ms / 1000.0, name, keys, name, hops,
        name, followers);
}
