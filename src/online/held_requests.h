/**
 * @file held_requests.h
 * Requests that a daemon holds until an engine has a free slot, by service and allowed regions. A
 * slot that becomes free wakes the first request in the order of hs_queue_priority. Thread-safe.
 *
 * A daemon does not learn of every free slot, and another daemon may use the slot first. Each held
 * request also tries again after a pause.
 */
#ifndef HS_ONLINE_HELD_REQUESTS_H
#define HS_ONLINE_HELD_REQUESTS_H

#include "online/queue_priority.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct hs_held_requests hs_held_requests;

/** One held request. Created by hs_held_requests_enter, freed by hs_held_requests_leave. */
typedef struct hs_held_request hs_held_request;

/** State of a service's held requests. */
typedef struct {
    uint32_t held;
    uint64_t expected_ms;     /**< See hs_hold_queue_expected_ms. */
    uint64_t head_waited_ms;  /**< Wait of the oldest that can be in time; 0: none. */
    uint64_t ahead_waited_ms; /**< The same without those behind a priority. */
} hs_held_view;

/** Totals over all services, for metrics. */
typedef struct {
    uint32_t held;     /**< Currently held. */
    uint64_t woken;    /**< Wake-ups by a free slot. */
    uint64_t timeouts; /**< Waits that ended without a wake-up. */
} hs_held_counters;

hs_held_requests *hs_held_requests_new(void);
void hs_held_requests_free(hs_held_requests *held);

/**
 * Adds a held request of the service, or of its group if it is restricted to regions; see
 * hs_region_policy_group. Free it with hs_held_requests_leave.
 */
hs_held_request *hs_held_requests_enter(hs_held_requests *held, const char *service,
                                        const hs_queue_priority *priority);

/**
 * Removes and frees a held request. @p is_placed: an engine accepted it. A request that was woken
 * and leaves without being placed wakes the next one.
 */
void hs_held_requests_leave(hs_held_requests *held, hs_held_request *request, bool is_placed);

/**
 * Waits up to @p max_wait_ms for a free slot, with the request's current priority. Returns true if
 * the request was woken, false on a timeout or within HS_HELD_CALLER_CHECK_INTERVAL_MS after the
 * peer of the socket @p watched closes it (-1: no socket is checked). If the request was woken
 * before and is no longer in time, it first wakes the next request that is.
 */
bool hs_held_requests_wait(hs_held_requests *held, hs_held_request *request,
                           const hs_queue_priority *priority, int watched, uint64_t max_wait_ms);

/**
 * Wakes the first waiting request, and the first of each group that is restricted to regions, since
 * a slot of the service may be free. Skips requests that
 * were woken less than HS_HELD_MIN_WAKE_INTERVAL_MS ago. Returns false if none was woken.
 */
bool hs_held_requests_wake(hs_held_requests *held, const char *service);

/** Wakes all waiting requests. */
void hs_held_requests_wake_all(hs_held_requests *held);

/**
 * Returns the state of the service's held requests. @p priority: for ahead_waited_ms, see
 * hs_queue_priority_is_behind; NULL counts no request as behind.
 */
hs_held_view hs_held_requests_view(hs_held_requests *held, const char *service,
                                   const hs_queue_priority *priority);

hs_held_counters hs_held_requests_get_counters(hs_held_requests *held);

/** Minimum time between two wake-ups of a request: each attempt queries up to three arbiters. */
#define HS_HELD_MIN_WAKE_INTERVAL_MS 15

/** How often a held request's connection to its caller is checked. */
#define HS_HELD_CALLER_CHECK_INTERVAL_MS 50

#endif
