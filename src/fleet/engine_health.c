/** @file engine_health.c  See engine_health.h. */
#include "fleet/engine_health.h"

#include <glib.h>

/** Weight of the latest result in the failure rate: a mean over some five results. */
#define RATE_WEIGHT 0.2
/** Failure rate at which an engine goes down: three failures in a row give 0.49, two give 0.36. */
#define DOWN_FAILURE_RATE 0.45
/**
 * Failures that one daemon reports within this time count once, unless another daemon reports a
 * failure in between: requests lost together on one network path are one failure.
 */
#define SAME_DAEMON_MS 500
/** Bound of the failure rate that one daemon's failures can cause; below DOWN_FAILURE_RATE. */
#define MAX_SINGLE_DAEMON_RATE 0.4
/** Duration of the first time down; doubles with each failed probe request, up to a maximum that is
 * longer than most crashes last and short beside an engine's life. */
#define MIN_DOWN_MS 1000
#define MAX_DOWN_MS 8000
/** Time-out of a probe request; longer than the time limit for a silent engine. */
#define PROBE_TIMEOUT_MS 1500
/** Probe requests that have to be served in a row until an engine is healthy again. */
#define REQUIRED_PROBES 2

static void set_down(hs_engine_health *health, uint64_t now_ms) {
    uint64_t duration_ms = MIN((uint64_t)MIN_DOWN_MS << MIN(health->down_count, 8), MAX_DOWN_MS);
    health->state = HS_HEALTH_DOWN;
    health->down_count++;
    health->down_until_ms = now_ms + duration_ms;
}

static void set_healthy(hs_engine_health *health) {
    *health = (hs_engine_health){.state = HS_HEALTH_HEALTHY};
}

static void note_served(hs_engine_health *health) {
    health->failure_rate -= health->failure_rate * RATE_WEIGHT;
    if (health->state != HS_HEALTH_PROBING)
        return;
    health->probe_until_ms = 0;
    if (++health->probes_served >= REQUIRED_PROBES)
        set_healthy(health);
}

static void note_failed(hs_engine_health *health, uint64_t daemon, uint64_t now_ms) {
    if (health->state == HS_HEALTH_PROBING) {
        set_down(health, now_ms);
        return;
    }
    bool is_same = daemon == health->failing_daemon;
    if (is_same && now_ms < health->failure_counted_ms + SAME_DAEMON_MS)
        return;
    double rate = health->failure_rate + (1.0 - health->failure_rate) * RATE_WEIGHT;
    health->failure_rate =
        is_same ? MIN(rate, MAX(health->failure_rate, MAX_SINGLE_DAEMON_RATE)) : rate;
    health->failing_daemon = daemon;
    health->failure_counted_ms = now_ms;
    if (health->state == HS_HEALTH_HEALTHY && health->failure_rate >= DOWN_FAILURE_RATE)
        set_down(health, now_ms);
}

void hs_engine_health_note(hs_engine_health *health, uint64_t daemon, uint32_t served,
                           uint32_t failed, uint64_t now_ms) {
    for (uint32_t count = 0; count < served; count++)
        note_served(health);
    for (uint32_t count = 0; count < failed; count++)
        note_failed(health, daemon, now_ms);
}

bool hs_engine_health_admit(hs_engine_health *health, bool starts, uint64_t now_ms) {
    if (health->state == HS_HEALTH_HEALTHY)
        return true;
    if (health->state == HS_HEALTH_DOWN && now_ms >= health->down_until_ms) {
        health->state = HS_HEALTH_PROBING;
        health->probes_served = 0;
        health->probe_until_ms = 0;
    }
    if (health->state == HS_HEALTH_DOWN || !starts || now_ms < health->probe_until_ms)
        return false;
    health->probe_until_ms = now_ms + PROBE_TIMEOUT_MS;
    return true;
}

bool hs_engine_health_is_avoided(const hs_engine_health *health, uint64_t now_ms) {
    if (health->state == HS_HEALTH_DOWN)
        return now_ms < health->down_until_ms;
    return health->state == HS_HEALTH_PROBING && now_ms < health->probe_until_ms;
}

const char *hs_health_state_name(hs_health_state state) {
    static const char *const names[] = {
        [HS_HEALTH_HEALTHY] = "sound", [HS_HEALTH_DOWN] = "down", [HS_HEALTH_PROBING] = "trial"};
    return names[state];
}
