/** @file warmup_budget.c  See warmup_budget.h. */
#include "fleet/warmup_budget.h"

#include <math.h>

#define MS_PER_S 1000.0
/**
 * Most permits available at a time. One can be granted at once; the part above one keeps what
 * accrues until the next daemon requests a permit.
 */
#define MAX_PERMITS 1.5
/**
 * Daemons that are told to request the same permit again. Some have no request left by then, and a
 * permit that nobody requests is lost.
 */
#define DAEMONS_PER_PERMIT 4
/**
 * Time in ms before the next permit at which the first daemons are told to request it. Without
 * others before them, delayed requests would get it, and their answers come too late to be used.
 */
#define RETRY_LEAD_MS 40
/** Longest time in ms after the next permit at which a daemon is told to request again. */
#define MAX_RETRY_SPREAD_MS 1000
/** Bound of a retry time, for limits far below one request per second. */
#define MAX_RETRY_MS 5000

static void fill(hs_warmup_budget *budget, double per_s, uint64_t open_ms, uint64_t now_ms) {
    bool is_new = budget->filled_ms == 0 || budget->filled_ms < open_ms;
    if (is_new) {
        budget->permits = 0;
        budget->filled_ms = now_ms > open_ms ? now_ms : open_ms;
        return;
    }
    if (now_ms <= budget->filled_ms)
        return;
    double accrued = per_s * (double)(now_ms - budget->filled_ms) / MS_PER_S;
    budget->permits = fmin(budget->permits + accrued, MAX_PERMITS);
    budget->filled_ms = now_ms;
}

/** Time in ms until the next permit. */
static double next_permit_ms(const hs_warmup_budget *budget, double per_s, uint64_t now_ms) {
    double from_ms = budget->filled_ms > now_ms ? (double)(budget->filled_ms - now_ms) : 0;
    return per_s > 0 ? from_ms + (1 - budget->permits) * MS_PER_S / per_s : (double)MAX_RETRY_MS;
}

/** Returns when a daemon that is denied now requests again. */
static uint32_t schedule_retry(hs_warmup_budget *budget, double per_s, uint64_t now_ms) {
    double next_ms = next_permit_ms(budget, per_s, now_ms);
    if (next_ms <= RETRY_LEAD_MS) /* This daemon is one of the first. */
        return (uint32_t)fmax(ceil(next_ms), 1);
    double first_ms = next_ms - RETRY_LEAD_MS;
    double spread_ms = MS_PER_S / fmax(per_s, 1e-3) / DAEMONS_PER_PERMIT;
    double queued_ms =
        budget->last_retry_ms > now_ms ? (double)(budget->last_retry_ms - now_ms) + spread_ms : 0;
    double retry_ms = fmax(first_ms, queued_ms);
    if (retry_ms > next_ms + MAX_RETRY_SPREAD_MS)
        retry_ms = first_ms; /* Begins anew, so that requests stay spread over the time. */
    uint32_t rounded_ms = (uint32_t)fmax(ceil(fmin(retry_ms, MAX_RETRY_MS)), 1);
    budget->last_retry_ms = now_ms + rounded_ms;
    return rounded_ms;
}

hs_warmup_verdict hs_warmup_budget_request(hs_warmup_budget *budget, double per_s, uint64_t open_ms,
                                           uint64_t now_ms) {
    fill(budget, per_s, open_ms, now_ms);
    if (now_ms >= open_ms && budget->permits >= 1) {
        budget->permits--;
        return (hs_warmup_verdict){.is_granted = true};
    }
    return (hs_warmup_verdict){.retry_ms = schedule_retry(budget, per_s, now_ms)};
}

double hs_warmup_share_update(hs_warmup_share *share, const hs_warmup_members *members,
                              uint64_t now_ms) {
    double ratio = members->known > 0 ? fmin((double)members->live / members->known, 1) : 0;
    if (!share->is_known || ratio <= share->share) {
        *share = (hs_warmup_share){.share = ratio, .is_known = true};
        return share->share;
    }
    if (share->higher_ms == 0) {
        share->higher_ms = now_ms;
        share->lowest = ratio;
    }
    share->lowest = fmin(share->lowest, ratio);
    if (now_ms >= share->higher_ms + HS_WARMUP_SETTLE_MS)
        *share = (hs_warmup_share){.share = share->lowest, .is_known = true};
    return share->share;
}

void hs_warmup_clock_restart(hs_warmup_clock *clock, uint64_t now_ms) {
    clock->open_ms = now_ms + HS_WARMUP_SETTLE_MS;
}

void hs_warmup_clock_note(hs_warmup_clock *clock, uint64_t now_ms) {
    if (clock->running_ms == 0 || now_ms > clock->running_ms + HS_WARMUP_MAX_PAUSE_MS)
        hs_warmup_clock_restart(clock, now_ms);
    clock->running_ms = now_ms;
}
