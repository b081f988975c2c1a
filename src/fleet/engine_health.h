/**
 * @file engine_health.h
 * What all daemons together have seen of an engine: the state machine of its arbiter. Pure.
 *
 * Among hundreds of daemons each sends an engine a request only now and then. Were each to find out
 * by itself that an engine fails, most requests of the fleet would be lost on the way there. So
 * daemons tell the arbiter how their requests ended, and hear from it before they send.
 *
 * SOUND -> DOWN when too many of the last requests failed. DOWN -> TRIAL when its time is over: one
 * request at a time may go. TRIAL -> SOUND when a few were served; TRIAL -> DOWN, for twice as
 * long, when one failed. Only the arbiter moves it, and only by what engines answered to real
 * requests. The failures of one daemon alone, whose own path may be bad, never take an engine down.
 */
#ifndef HS_FLEET_ENGINE_HEALTH_H
#define HS_FLEET_ENGINE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    HS_HEALTH_SOUND, /**< Anybody may send. */
    HS_HEALTH_DOWN,  /**< Nobody should. */
    HS_HEALTH_TRIAL, /**< One request at a time may go. */
} hs_health_state;

/** Zero-initialised: sound. */
typedef struct {
    hs_health_state state;
    double failure_rate;      /**< Of the latest ends, 0 to 1. */
    uint64_t failing_daemon;  /**< Who told of the latest failure that counted, as a hash. */
    uint64_t failure_told_ms; /**< And when. */
    uint64_t down_until_ms;
    uint32_t downs;          /**< Times it went down since it was sound. */
    uint32_t trials_served;  /**< In a row, since the trial began. */
    uint64_t trial_until_ms; /**< Until then the request on trial is waited for; 0: none is. */
} hs_engine_health;

/** A daemon tells that so many of its requests were served and failed since its last word. */
void hs_engine_health_note(hs_engine_health *health, uint64_t daemon, uint32_t served,
                           uint32_t failed, uint64_t now_ms);

/** Whether a request may be sent; @p starts: one wants to, and is the one on trial if it may. */
bool hs_engine_health_admit(hs_engine_health *health, bool starts, uint64_t now_ms);

/**
 * Whether others should be told to keep away: it is down, or its one request is on trial. False as
 * soon as the next may go, since whoever hears that it fails doesn't ask any more.
 */
bool hs_engine_health_is_avoided(const hs_engine_health *health, uint64_t now_ms);

/** Name of a state, for logs. */
const char *hs_health_state_name(hs_health_state state);

#endif
