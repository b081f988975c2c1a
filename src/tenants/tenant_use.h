/**
 * @file tenant_use.h
 * Engines' slots that tenants ask for of late, by what daemons tell of themselves. Pure.
 *
 * Each daemon tells how much of slots its requests of a tenant have asked for in its life: a count
 * that grows, so that a word that was lost is made up for by the next one. What it grew by counts
 * at once and fades. A daemon's first word, and the first one of a new life, says where its count
 * begins and adds nothing.
 */
#ifndef HS_TENANTS_TENANT_USE_H
#define HS_TENANTS_TENANT_USE_H

#include <stddef.h>
#include <stdint.h>

/** Use fades by a factor of e in this time, in ms: long enough for some tens of daemons to tell. */
#define HS_TENANT_USE_FADES_MS 1500
/** The same of a second, faster account; the greater of the two counts, so that a tenant that
 * begins to ask for much is known soon. */
#define HS_TENANT_USE_FADES_FAST_MS 500

typedef struct hs_tenant_uses hs_tenant_uses;

/** What a daemon tells. Borrowed. */
typedef struct {
    const char *tenant;
    const char *daemon;
    uint64_t incarnation; /**< Of the daemon's life. */
    uint64_t used_ms;     /**< Of slots, in that life; see tenant_runs.h. 0: it does not know. */
} hs_tenant_use_word;

/**
 * How use goes into messages, in which 0 is an older build's, that knows of none: a daemon's count,
 * and slots in thousandths, and back.
 */
uint64_t hs_tenant_use_write_count(uint64_t used_ms);
uint32_t hs_tenant_use_write_slots(double slots);
double hs_tenant_use_read_slots(uint32_t permille);

/** A tenant and its use, for metrics. */
typedef struct {
    const char *tenant; /**< Borrowed from the account. */
    double slots;
} hs_tenant_share;

hs_tenant_uses *hs_tenant_uses_new(void);
void hs_tenant_uses_free(hs_tenant_uses *uses);

/** Note what a daemon told. */
void hs_tenant_uses_note(hs_tenant_uses *uses, const hs_tenant_use_word *word, uint64_t now_ms);

/** Slots that the tenant asks for of late; 0 where nothing is known of it. */
double hs_tenant_uses_slots(const hs_tenant_uses *uses, const char *tenant, uint64_t now_ms);

/**
 * The tenants that ask for most, the most first: at most @p most, into @p shares. Answers how many
 * there are; @p rest is what all others ask for.
 */
size_t hs_tenant_uses_top(const hs_tenant_uses *uses, hs_tenant_share *shares, size_t most,
                          double *rest, uint64_t now_ms);

/** Forget daemons and tenants of which nothing was told for long. */
void hs_tenant_uses_expire(hs_tenant_uses *uses, uint64_t now_ms);

/** Tenants that it knows of. */
size_t hs_tenant_uses_size(const hs_tenant_uses *uses);

#endif
