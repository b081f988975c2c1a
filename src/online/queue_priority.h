/**
 * @file queue_priority.h
 * Order in which requests get slots, or are refused, while a service is short of slots. Pure
 * functions.
 *
 * The order is max-min fair in slots, not in requests: a request of a tenant that uses few of the
 * engines' slots goes before one of a tenant that uses many. Requests are compared by these, in
 * turn: can still be in time, urgency rank, slots used by the tenant (in coarse bands), deadline,
 * arrival. Rank comes before use, so a less urgent kind never gets ahead of a more urgent one.
 */
#ifndef HS_ONLINE_QUEUE_PRIORITY_H
#define HS_ONLINE_QUEUE_PRIORITY_H

#include <stdbool.h>
#include <stdint.h>

/** Priority key of one request that waits for a slot. */
typedef struct {
    double used_slots;   /**< Slots its tenant recently requested at all daemons; 0: unknown. */
    uint32_t rank;       /**< Urgency of its kind; 0 is the most urgent. */
    bool is_in_time;     /**< The request can still meet its objective. */
    uint64_t arrived_ms; /**< Monotonic time. */
    uint64_t deadline_ms;
} hs_queue_priority;

/**
 * Whether @p other sorts after @p priority whatever their arrival times, and so does not lengthen
 * its wait: @p other is no more urgent, and its tenant is known to use clearly more slots. Both are
 * taken to be in time.
 */
bool hs_queue_priority_is_behind(const hs_queue_priority *other, const hs_queue_priority *priority);

/** Returns a value below 0 if @p one goes first, above 0 if @p other does. */
int hs_queue_priority_compare(const hs_queue_priority *one, const hs_queue_priority *other);

#endif
