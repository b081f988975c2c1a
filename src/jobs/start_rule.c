/** @file start_rule.c  See start_rule.h. */
#include "jobs/start_rule.h"

#include <glib.h>

/** Part of cancel_ms, and its maximum in ms, that is left for sending an item. */
#define SEND_TIME_DIVISOR 6
#define MAX_SEND_TIME_MS 500

uint64_t hs_start_rule_send_time_ms(uint32_t cancel_ms) {
    return MIN(cancel_ms / SEND_TIME_DIVISOR, MAX_SEND_TIME_MS);
}

uint64_t hs_start_rule_max_age_ms(uint32_t cancel_ms) {
    /* As much time again as for sending is left for the request to arrive. */
    return cancel_ms - 2 * hs_start_rule_send_time_ms(cancel_ms);
}

bool hs_start_rule_may_start(const hs_ends_knowledge *knowledge) {
    if (knowledge->fold_age_ms > knowledge->now_ms)
        return false;
    return knowledge->fold_age_ms <= hs_start_rule_max_age_ms(knowledge->cancel_ms) ||
           knowledge->now_ms - knowledge->fold_age_ms >= knowledge->reported_since_ms;
}
