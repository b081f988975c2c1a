/**
 * @file demand.h
 * Request counts by engine group and model, with exponential decay. Each daemon counts the requests
 * that it receives; the group's controller sums the reported counts. Thread-safe.
 */
#ifndef HS_PLACEMENT_DEMAND_H
#define HS_PLACEMENT_DEMAND_H

#include <glib.h>
#include <stdint.h>

typedef struct hs_demand hs_demand;

/** Free with hs_demand_free. */
hs_demand *hs_demand_new(void);
void hs_demand_free(hs_demand *demand);

/** Adds @p count requests for the model of the group. */
void hs_demand_add(hs_demand *demand, const char *group, const char *model, double count);

/** Returns the decayed count at @p now_ms (monotonic); 0 if nothing was counted. */
double hs_demand_read(hs_demand *demand, const char *group, const char *model, uint64_t now_ms);

/**
 * Calls @p visit for each count greater than 0 and resets all counts. The lock is held meanwhile:
 * @p visit must not use @p demand.
 */
void hs_demand_drain(hs_demand *demand,
                     void (*visit)(const char *group, const char *model, double count,
                                   void *user_data),
                     void *user_data);

#endif
