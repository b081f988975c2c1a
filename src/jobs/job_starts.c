/** @file job_starts.c  See job_starts.h. */
#include "jobs/job_starts.h"

#include "base/clock.h"
#include "base/log.h"
#include "jobs/job_capacity.h"

/** A forecast that failed is logged this often, in ms. */
#define FAILED_LOG_INTERVAL_MS 1000

hs_service_starts *hs_job_starts_of(hs_job_owner *owner, const char *service) {
    hs_service_starts *starts = g_hash_table_lookup(owner->services, service);
    if (starts == NULL) {
        starts = g_new0(hs_service_starts, 1);
        g_hash_table_insert(owner->services, (gpointer)service, starts);
    }
    return starts;
}

/** A start was seen to reach an engine, or not to. */
static void note_send(hs_service_starts *starts, hs_owned_item *item, bool did_well) {
    if (item->is_sent_noted)
        return;
    item->is_sent_noted = true;
    hs_start_pace_note(&starts->sends, did_well);
}

/** A start was seen to be worth it. */
static void note_piece(hs_service_starts *starts, hs_owned_item *item) {
    if (!item->is_piece_noted)
        hs_start_pace_note(&starts->pieces, true);
    item->is_piece_noted = true;
}

void hs_job_starts_note_end(hs_job_owner *owner, const hs_item_order *order, hs_item_try end) {
    hs_owned_item *item = order->item;
    uint64_t ran_ms = hs_clock_monotonic_ms() - item->started_ms;
    bool is_cut = end == HS_ITEM_TRY_YIELDED && item->run->was_sent;
    bool is_sent_back = end == HS_ITEM_TRY_NO_ROOM || (end == HS_ITEM_TRY_YIELDED && !is_cut);
    owner->sent_back += is_sent_back;
    owner->cut_soon += is_cut && ran_ms < HS_ITEM_PIECE_MS;
    owner->cut_later += is_cut && ran_ms >= HS_ITEM_PIECE_MS;
    if (order->service == NULL)
        return;
    hs_service_starts *starts = hs_job_starts_of(owner, order->service);
    if (is_sent_back)
        note_send(starts, item, false);
    if (is_cut) /* However long it ran: engines fill up, and the next start would be cut sooner. */
        hs_start_pace_note(&starts->pieces, false);
}

/** What runs for a while was sent, and was worth it. */
static void note_running(hs_job_owner *owner, const GArray *open) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    for (guint index = 0; index < open->len; index++) {
        const hs_open_item *entry = &g_array_index(open, hs_open_item, index);
        if (entry->item->stage != HS_ITEM_RUNNING || entry->service == NULL)
            continue;
        hs_service_starts *starts = hs_job_starts_of(owner, entry->service);
        uint64_t ran_ms = now_ms - entry->item->started_ms;
        if (ran_ms >= HS_JOB_PASS_MS)
            note_send(starts, entry->item, true);
        if (ran_ms >= HS_ITEM_PIECE_MS)
            note_piece(starts, entry->item);
    }
}

void hs_job_owner_write_metrics(hs_job_owner *owner, GString *text) {
    GHashTableIter iterator;
    gpointer service = NULL;
    gpointer value = NULL;
    g_mutex_lock(&owner->lock);
    g_string_append_printf(text,
                           "heathsail_job_item_cuts{cause=\"soon\"} %" G_GUINT64_FORMAT "\n"
                           "heathsail_job_item_cuts{cause=\"later\"} %" G_GUINT64_FORMAT "\n"
                           "heathsail_job_item_cuts{cause=\"not_sent\"} %" G_GUINT64_FORMAT "\n",
                           (guint64)owner->cut_soon, (guint64)owner->cut_later,
                           (guint64)owner->sent_back);
    g_hash_table_iter_init(&iterator, owner->services);
    while (g_hash_table_iter_next(&iterator, &service, &value)) {
        const hs_service_starts *starts = value;
        g_string_append_printf(text,
                               "heathsail_demand_forecast_slots{service=\"%s\"} %.1f\n"
                               "heathsail_demand_came_slots{service=\"%s\"} %.1f\n"
                               "heathsail_job_starts_tried_share{service=\"%s\"} %.2f\n",
                               (const char *)service, starts->expected_online,
                               (const char *)service, starts->outlook.now, (const char *)service,
                               1 - starts->pieces.held_back);
    }
    g_mutex_unlock(&owner->lock);
}

static void log_failed_forecast(hs_service_starts *starts, const char *service, uint64_t now_ms) {
    if (!starts->outlook.has_failed || now_ms < starts->failed_logged_ms + FAILED_LOG_INTERVAL_MS)
        return;
    starts->failed_logged_ms = now_ms;
    hs_log_info("demand_forecast_failed",
                "service=%s online=%.1f expected=%.1f away_ms=%" G_GUINT64_FORMAT
                " longest_ms=%" G_GUINT64_FORMAT " outcome=what_is_held_now",
                service, starts->outlook.now, starts->outlook.level,
                (guint64)starts->outlook.below_ms, (guint64)starts->outlook.longest_gap_ms);
}

/** Take what online requests hold now, of each service that had items here. */
static void note_demand(hs_job_owner *owner) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    GHashTableIter iterator;
    gpointer service = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, owner->services);
    while (g_hash_table_iter_next(&iterator, &service, &value)) {
        hs_service_starts *starts = value;
        hs_service_room room = hs_fleet_engines_room(owner->settings.engines, service);
        hs_demand_forecast_note(&starts->demand, room.online, now_ms);
        starts->outlook = hs_demand_forecast_read(&starts->demand);
        starts->expected_online = hs_demand_outlook_expect(&starts->outlook, HS_ITEM_PIECE_MS);
        log_failed_forecast(starts, service, now_ms);
    }
}

void hs_job_starts_observe(hs_job_owner *owner, const GArray *open) {
    note_demand(owner);
    note_running(owner, open);
}
