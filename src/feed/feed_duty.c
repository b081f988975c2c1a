/** @file feed_duty.c  See feed_duty.h. */
#include "feed/feed_duty.h"

/** Time without a confirmation after which a daemon is cut off if its source says that it is. */
#define CUT_OFF_AFTER_MS 250
/** The same if its source only gives no recent records. */
#define UNCONFIRMED_AFTER_MS 1000
/** Interval in which a stand-in asks whether it is still needed. */
#define CHECK_INTERVAL_MS 1000

static void note_confirmed(hs_feed_duty *duty, uint64_t now_ms) {
    duty->confirmed_ms = now_ms;
    duty->cut_off_since_ms = 0;
}

void hs_feed_duty_note_store(hs_feed_duty *duty, bool is_answered, bool is_reader,
                             uint64_t now_ms) {
    bool was_standing_in = duty->is_standing_in;
    duty->is_standing_in = is_answered && !is_reader;
    if (is_answered)
        note_confirmed(duty, now_ms);
    if (duty->is_standing_in && !was_standing_in)
        duty->checked_ms = now_ms;
}

void hs_feed_duty_note_answer(hs_feed_duty *duty, const hs_feed_tree *tree,
                              hs_feed_ask_result result, uint64_t source, uint64_t now_ms) {
    bool is_own = source == hs_feed_tree_self(tree);
    bool is_confirmed = result == HS_FEED_ASK_FRESH && !is_own;
    if (duty->is_standing_in) {
        duty->checked_ms = now_ms;
        duty->is_standing_in = !is_confirmed || !hs_feed_tree_yields_to(tree, source);
        return;
    }
    if (is_confirmed) {
        note_confirmed(duty, now_ms);
        return;
    }
    bool is_refused = result == HS_FEED_ASK_REFUSED; /* Such a daemon is starting, or busy. */
    bool is_told = result == HS_FEED_ASK_CUT_OFF || is_own;
    uint64_t limit_ms = is_told ? CUT_OFF_AFTER_MS : UNCONFIRMED_AFTER_MS;
    bool is_due = duty->confirmed_ms != 0 ? now_ms >= duty->confirmed_ms + limit_ms : is_told;
    if (duty->cut_off_since_ms == 0 && is_due && !is_refused)
        duty->cut_off_since_ms = now_ms;
}

bool hs_feed_duty_is_cut_off(const hs_feed_duty *duty) {
    return duty->cut_off_since_ms != 0;
}

bool hs_feed_duty_is_check_due(const hs_feed_duty *duty, uint64_t now_ms) {
    return duty->is_standing_in && now_ms >= duty->checked_ms + CHECK_INTERVAL_MS;
}
