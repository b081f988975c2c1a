/** @file engine_health.c  See engine_health.h. */
#include "fleet/engine_health.h"

#include <glib.h>

/** Weight of the latest end in the failure rate, of 1: a mean over some five ends. */
#define RATE_WEIGHT 0.2
/** Failure rate at which an engine goes down: three failures in a row make 0.49, two 0.36. */
#define RATE_DOWN 0.45
/**
 * Failures of one daemon count once in this time, in ms, unless another daemon's came in between:
 * requests that one bad path lost together are one failure.
 */
#define SAME_DAEMON_MS 500
/** The failures of one daemon alone leave the rate below the limit. */
#define RATE_BY_ONE_MOST 0.4
/** First time down in ms, doubled with each failed trial: engines restart within seconds. */
#define DOWN_FIRST_MS 1000
/** The longest time down in ms: longer than most crashes last, short beside an engine's life. */
#define DOWN_MOST_MS 8000
/** A request on trial is waited for this long: longer than a silent engine is. */
#define TRIAL_MS 1500
/** Requests in a row that a trial takes. */
#define TRIALS_TO_SOUND 2

static void go_down(hs_engine_health *health, uint64_t now_ms) {
    uint64_t time_ms = MIN((uint64_t)DOWN_FIRST_MS << MIN(health->downs, 8), DOWN_MOST_MS);
    health->state = HS_HEALTH_DOWN;
    health->downs++;
    health->down_until_ms = now_ms + time_ms;
}

static void go_sound(hs_engine_health *health) {
    *health = (hs_engine_health){.state = HS_HEALTH_SOUND};
}

static void note_served(hs_engine_health *health) {
    health->failure_rate -= health->failure_rate * RATE_WEIGHT;
    if (health->state != HS_HEALTH_TRIAL)
        return;
    health->trial_until_ms = 0;
    if (++health->trials_served >= TRIALS_TO_SOUND)
        go_sound(health);
}

static void note_failed(hs_engine_health *health, uint64_t daemon, uint64_t now_ms) {
    if (health->state == HS_HEALTH_TRIAL) {
        go_down(health, now_ms);
        return;
    }
    bool is_same = daemon == health->failing_daemon;
    if (is_same && now_ms < health->failure_told_ms + SAME_DAEMON_MS)
        return;
    double rate = health->failure_rate + (1.0 - health->failure_rate) * RATE_WEIGHT;
    health->failure_rate = is_same ? MIN(rate, MAX(health->failure_rate, RATE_BY_ONE_MOST)) : rate;
    health->failing_daemon = daemon;
    health->failure_told_ms = now_ms;
    if (health->state == HS_HEALTH_SOUND && health->failure_rate >= RATE_DOWN)
        go_down(health, now_ms);
}

void hs_engine_health_note(hs_engine_health *health, uint64_t daemon, uint32_t served,
                           uint32_t failed, uint64_t now_ms) {
    for (uint32_t count = 0; count < served; count++)
        note_served(health);
    for (uint32_t count = 0; count < failed; count++)
        note_failed(health, daemon, now_ms);
}

bool hs_engine_health_admit(hs_engine_health *health, bool starts, uint64_t now_ms) {
    if (health->state == HS_HEALTH_SOUND)
        return true;
    if (health->state == HS_HEALTH_DOWN && now_ms >= health->down_until_ms) {
        health->state = HS_HEALTH_TRIAL;
        health->trials_served = 0;
        health->trial_until_ms = 0;
    }
    if (health->state == HS_HEALTH_DOWN || !starts || now_ms < health->trial_until_ms)
        return false;
    health->trial_until_ms = now_ms + TRIAL_MS;
    return true;
}

bool hs_engine_health_is_avoided(const hs_engine_health *health, uint64_t now_ms) {
    if (health->state == HS_HEALTH_DOWN)
        return now_ms < health->down_until_ms;
    return health->state == HS_HEALTH_TRIAL && now_ms < health->trial_until_ms;
}

const char *hs_health_state_name(hs_health_state state) {
    static const char *const names[] = {
        [HS_HEALTH_SOUND] = "sound", [HS_HEALTH_DOWN] = "down", [HS_HEALTH_TRIAL] = "trial"};
    return names[state];
}
