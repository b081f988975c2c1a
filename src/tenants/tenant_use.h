/**
 * @file tenant_use.h
 * Estimates the engine slots that tenants recently requested, from the reports of all daemons.
 * Pure; not thread-safe.
 *
 * Each daemon reports the total slot time that its requests of a tenant have needed since its
 * start. Since the total only grows, the next report makes up for a lost one. An increase counts
 * immediately and then decays exponentially. The first report of a daemon or of a new incarnation
 * sets the baseline and adds nothing.
 */
#ifndef HS_TENANTS_TENANT_USE_H
#define HS_TENANTS_TENANT_USE_H

#include <stddef.h>
#include <stdint.h>

/** Decay time constant, in ms; long enough to cover the report intervals of the daemons. */
#define HS_TENANT_USE_DECAY_MS 1500
/** Time constant of a second, faster average; the greater of the two averages counts, so that a
 * sudden increase is detected soon. */
#define HS_TENANT_USE_FAST_DECAY_MS 500

typedef struct hs_tenant_uses hs_tenant_uses;

/** A daemon's report of the use of a tenant. Borrowed. */
typedef struct {
    const char *tenant;
    const char *daemon;
    uint64_t incarnation; /**< Incarnation of the daemon. */
    uint64_t used_ms;     /**< Slot time in that incarnation; see tenant_runs.h. 0: unknown. */
} hs_tenant_use_report;

/**
 * Convert slot time and slots (in thousandths) to and from message fields. Older versions send 0 in
 * these fields, so encoded values are never 0.
 */
uint64_t hs_tenant_use_encode_count(uint64_t used_ms);
uint32_t hs_tenant_use_encode_slots(double slots);
double hs_tenant_use_decode_slots(uint32_t permille);

/** A tenant and the slots that it recently requested, for metrics. */
typedef struct {
    const char *tenant; /**< Borrowed from the hs_tenant_uses. */
    double slots;
} hs_tenant_slot_use;

hs_tenant_uses *hs_tenant_uses_new(void);
void hs_tenant_uses_free(hs_tenant_uses *uses);

/** Adds a daemon's report. */
void hs_tenant_uses_put_report(hs_tenant_uses *uses, const hs_tenant_use_report *report,
                               uint64_t now_ms);

/** Returns the slots that the tenant recently requested; 0 if unknown. */
double hs_tenant_uses_slots(const hs_tenant_uses *uses, const char *tenant, uint64_t now_ms);

/**
 * Writes the tenants with the most requested slots to @p shares in descending order, at most
 * @p max_count, and returns their number. Sets @p remainder to the slots of all other tenants.
 */
size_t hs_tenant_uses_top(const hs_tenant_uses *uses, hs_tenant_slot_use *shares, size_t max_count,
                          double *remainder, uint64_t now_ms);

/** Removes daemons without a recent report, and tenants without such daemons. */
void hs_tenant_uses_expire(hs_tenant_uses *uses, uint64_t now_ms);

/** Returns the number of tenants. */
size_t hs_tenant_uses_size(const hs_tenant_uses *uses);

#endif
