/**
 * @file held_requests.h
 * The requests that a daemon holds, by service: each waits for a place in an order, and a place
 * that frees wakes the first. Shared by threads.
 *
 * A place is heard of by chance, and another daemon may take it: whoever waits tries again after
 * its pause in any case.
 */
#ifndef HS_ONLINE_HELD_REQUESTS_H
#define HS_ONLINE_HELD_REQUESTS_H

#include "online/fair_claim.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct hs_held_requests hs_held_requests;

/** One held request. */
typedef struct hs_held_request hs_held_request;

/** What is known of a service's held requests. */
typedef struct {
    uint32_t held;
    uint64_t expected_ms;     /**< See hs_hold_queue_expected_ms. */
    uint64_t head_waited_ms;  /**< Since the first of those came that can be in time; 0: none. */
    uint64_t ahead_waited_ms; /**< The same of those that are not behind a claim. */
} hs_held_view;

/** Counts over all services, for metrics. */
typedef struct {
    uint32_t held;     /**< Now. */
    uint64_t woken;    /**< By a place, so far. */
    uint64_t timeouts; /**< Pauses that ended without one. */
} hs_held_counters;

hs_held_requests *hs_held_requests_new(void);
void hs_held_requests_free(hs_held_requests *held);

/** A request of the service is held from now on; end it with hs_held_requests_leave. */
hs_held_request *hs_held_requests_enter(hs_held_requests *held, const char *service,
                                        const hs_fair_claim *claim);

/** It is held no longer, and is freed; @p is_placed: since an engine took it. */
void hs_held_requests_leave(hs_held_requests *held, hs_held_request *request, bool is_placed);

/**
 * Wait for a place, @p most_ms at most, by the request's claim now. True: it was woken. It ends
 * within HS_HELD_LOOK_MS when the peer of @p watched leaves; -1: nobody is looked at. A request
 * that was woken and waits again, no longer in time, passes its place to one that is.
 */
bool hs_held_requests_wait(hs_held_requests *held, hs_held_request *request,
                           const hs_fair_claim *claim, int watched, uint64_t most_ms);

/**
 * A place of the service may be free: wake the first in order of those that wait. None is woken
 * again within HS_HELD_TRY_LEAST_MS. False: nobody was woken.
 */
bool hs_held_requests_wake(hs_held_requests *held, const char *service);

/** @p claim: see hs_fair_claim_is_behind; NULL: nobody is behind. */
hs_held_view hs_held_requests_view(hs_held_requests *held, const char *service,
                                   const hs_fair_claim *claim);

hs_held_counters hs_held_requests_count(hs_held_requests *held);

/** Least time in ms between two wakes of a request: a try asks up to three arbiters. */
#define HS_HELD_TRY_LEAST_MS 15

/** A held request's caller is looked at this often, in ms. */
#define HS_HELD_LOOK_MS 50

#endif
