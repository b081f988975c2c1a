/**
 * @file engine_health.h
 * Health of an engine as its arbiter determines it from the requests of all daemons. Pure state
 * machine; the caller synchronises access.
 *
 * Among hundreds of daemons, each one sends requests to a given engine only rarely. If each daemon
 * had to detect a failing engine itself, many requests would be lost first. Daemons therefore
 * report the results of their requests to the engine's arbiter and receive its health.
 *
 * Healthy -> down: too many of the latest requests failed. Down -> probing: the time down is over;
 * one request at a time may be sent. Probing -> healthy: several requests in a row were served.
 * Probing -> down, for twice as long: a request failed. Only the arbiter changes the state, and
 * only by the results of real requests. Failures that a single daemon reports never take an engine
 * down, as that daemon's network path may be the cause.
 */
#ifndef HS_FLEET_ENGINE_HEALTH_H
#define HS_FLEET_ENGINE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    HS_HEALTH_HEALTHY, /**< All daemons may send requests. */
    HS_HEALTH_DOWN,    /**< No daemon should send requests. */
    HS_HEALTH_PROBING, /**< One request at a time may be sent. */
} hs_health_state;

/** Zero-initialise for a healthy engine. All times are monotonic. */
typedef struct {
    hs_health_state state;
    double failure_rate;         /**< Moving average over the latest results, 0 to 1. */
    uint64_t failing_daemon;     /**< Hash of the daemon of the latest failure that counted. */
    uint64_t failure_counted_ms; /**< Time of that failure's report. */
    uint64_t down_until_ms;
    uint32_t down_count;     /**< Transitions to down since the engine was last healthy. */
    uint32_t probes_served;  /**< Requests served since probing started. */
    uint64_t probe_until_ms; /**< Time-out of the current probe request; 0: there is none. */
} hs_engine_health;

/**
 * Notes that @p daemon reported @p served served and @p failed failed requests since its previous
 * report.
 */
void hs_engine_health_note(hs_engine_health *health, uint64_t daemon, uint32_t served,
                           uint32_t failed, uint64_t now_ms);

/**
 * Reports whether a request may be sent. @p starts: the daemon has a request to send, which becomes
 * the probe request if the engine is being probed.
 */
bool hs_engine_health_admit(hs_engine_health *health, bool starts, uint64_t now_ms);

/**
 * Reports whether other daemons should avoid the engine: it is down, or a probe request is under
 * way. Returns false as soon as the next probe request may be sent, since daemons that avoid the
 * engine don't ask its arbiter again.
 */
bool hs_engine_health_is_avoided(const hs_engine_health *health, uint64_t now_ms);

/** Returns the static name of @p state for logs. */
const char *hs_health_state_name(hs_health_state state);

#endif
