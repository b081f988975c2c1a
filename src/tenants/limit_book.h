/**
 * @file limit_book.h
 * Rate limit state of tenants at one daemon: a token bucket per tenant. Pure; not thread-safe.
 *
 * Each request of a limited tenant is checked by the limit owner, the live daemon that ranks first
 * for the tenant. Invariant: the daemons together never admit more than the limit, also when
 * daemons fail, are disconnected or start:
 * - A limit owner admits an allowance, the share of the limit that belongs to the daemons it
 *   reaches. A disconnected daemon is the limit owner of its own allowance; a daemon that reaches
 *   all others admits the whole limit.
 * - A bucket starts with the tokens accrued since the set of reached daemons last changed. A new
 *   limit owner doesn't know what the previous one admitted, so its buckets start empty.
 * - A daemon that receives a query although it considers another daemon the limit owner admits one
 *   daemon's allowance only, and saves no tokens between such periods: either daemon may be wrong
 *   about which daemons are reachable.
 * In consequence, a tenant at its limit may see more refusals for about a second after its limit
 * owner changes.
 */
#ifndef HS_TENANTS_LIMIT_BOOK_H
#define HS_TENANTS_LIMIT_BOOK_H

#include "tenants/rate_bucket.h"

#include <stddef.h>

typedef struct hs_limit_book hs_limit_book;

/** Which daemons this daemon reaches, for one tenant. */
typedef struct {
    bool is_limit_owner; /**< This daemon ranks first for the tenant, by its own view. */
    uint32_t reached;    /**< Daemons that respond, including this one. */
    uint32_t known;      /**< Reached daemons and those that may be alive but don't respond. */
} hs_limit_reachability;

/** A request to check against the tenant's limit. */
typedef struct {
    const char *tenant;
    hs_rate_limit limit; /**< Limit of the tenant over all daemons. */
    uint64_t version;    /**< Configuration version of the limit; the newest received applies. */
    hs_limit_reachability reach;
} hs_limit_request;

typedef struct {
    bool passes;
    uint64_t retry_after_ms; /**< If refused: time from now after which the caller should retry. */
    double allowance;        /**< The deciding daemon's allowance, as a fraction of the limit. */
    /** Engine slots recently requested by the tenant, as known to the deciding daemon; not set by
     * this module. 0: unknown. */
    double used_slots;
} hs_limit_verdict;

/** Creates an empty book. Tokens accrue from @p now_ms, since this daemon was no owner before. */
hs_limit_book *hs_limit_book_new(uint64_t now_ms);
void hs_limit_book_free(hs_limit_book *book);

/** Takes a token of the tenant's bucket, or refuses the request. */
hs_limit_verdict hs_limit_book_check(hs_limit_book *book, const hs_limit_request *request,
                                     uint64_t now_ms);

/**
 * The set of reached daemons has changed. Removes the tenants for which @p is_limit_owner returns
 * false, since another limit owner admits their requests from now on.
 */
void hs_limit_book_note_reach_change(hs_limit_book *book,
                                     bool (*is_limit_owner)(const char *tenant, void *user_data),
                                     void *user_data, uint64_t now_ms);

/**
 * Fills all buckets, and those created until the next change, once after all daemons have
 * restarted together: no previous limit owner admits anything, and none did during the restart.
 * Tokens that no daemon used during the restart offset the additional burst.
 */
void hs_limit_book_fill(hs_limit_book *book, uint64_t now_ms);

/** Removes tenants whose buckets are full; a new bucket would be full too. */
void hs_limit_book_expire(hs_limit_book *book, uint64_t now_ms);

/**
 * Removes a tenant, since its limit owner, another daemon, responded: tokens saved here while the
 * owner didn't respond must not be used the next time.
 */
void hs_limit_book_remove(hs_limit_book *book, const char *tenant);

/** Returns the number of tenants. */
size_t hs_limit_book_size(const hs_limit_book *book);

#endif
