/**
 * @file limit_book.h
 * What a daemon that is the home of tenants' limits knows: a bucket a tenant. Pure.
 *
 * Each request of a limited tenant asks its home, the live daemon that ranks first for the tenant.
 * Invariant: of what all daemons let pass no more than the limit comes out, whoever is lost, cut
 * off or new:
 * - A home lets pass only the part of the limit that belongs to the daemons it reaches. A daemon
 *   that is cut off is its own home, of its own part; where all are reached it is the whole.
 * - A bucket begins with what came in since the daemons that this one reaches changed last. What a
 *   home before let pass is not known, so a tenant's new home begins empty.
 * - A daemon that is asked though another is the home, as far as it knows, lets pass one daemon's
 *   part alone: whoever asks it may know better, or be the only one that does not reach the home.
 *   It saves nothing up between such times.
 * The price is that a tenant which is at its limit may be refused some for a second after its home
 * changed (figures: docs/design/0011-tenants.md).
 */
#ifndef HS_TENANTS_LIMIT_BOOK_H
#define HS_TENANTS_LIMIT_BOOK_H

#include "tenants/rate_bucket.h"

#include <stddef.h>

typedef struct hs_limit_book hs_limit_book;

/** This daemon's place among those that ask it. */
typedef struct {
    bool is_home;     /**< It ranks first for the tenant, as far as it knows. */
    uint32_t reached; /**< Daemons that answer, this one included. */
    uint32_t known;   /**< Those and the ones that may live and do not answer. */
} hs_limit_reach;

/** A request that asks to pass. */
typedef struct {
    const char *tenant;
    hs_rate_limit limit; /**< The tenant's, for all daemons together. */
    uint64_t version;    /**< Of the configuration that says so; the newest one heard counts. */
    hs_limit_reach reach;
} hs_limit_question;

typedef struct {
    bool passes;
    uint64_t return_ms; /**< Where it does not: when its caller should return, from now. */
    double part;        /**< Of the limit, which is let pass by who decided. */
    double used_slots;  /**< Engines' slots that the tenant asks for of late, by who decided; the
                           book does not know it. 0: not known. */
} hs_limit_verdict;

/** @p now_ms: this daemon cannot have been a home before. */
hs_limit_book *hs_limit_book_new(uint64_t now_ms);
void hs_limit_book_free(hs_limit_book *book);

hs_limit_verdict hs_limit_book_ask(hs_limit_book *book, const hs_limit_question *question,
                                   uint64_t now_ms);

/**
 * The daemons that this one reaches changed. Tenants for which @p is_home says no now are
 * forgotten: another home lets them pass from here on, and what it does is not known here.
 */
void hs_limit_book_note_change(hs_limit_book *book,
                               bool (*is_home)(const char *tenant, void *user_data),
                               void *user_data, uint64_t now_ms);

/**
 * All daemons were lost and started together: no home of before lets pass anything, and none did
 * for the time that they need to start. Buckets are full once. That is kept within the limit by
 * that time: of a window of 5 s with all down for half a second, 5.5 rates and the burst twice,
 * which is within an overage of a tenth where the burst is a rate's second.
 */
void hs_limit_book_fill(hs_limit_book *book, uint64_t now_ms);

/** Forget tenants whose buckets are full: they cost memory and say nothing. */
void hs_limit_book_expire(hs_limit_book *book, uint64_t now_ms);

/**
 * The tenant's home answered, which is not this daemon: what was saved up here while it did not is
 * not to be let pass when it is silent the next time.
 */
void hs_limit_book_forget(hs_limit_book *book, const char *tenant);

/** Tenants that it knows of. */
size_t hs_limit_book_size(const hs_limit_book *book);

#endif
