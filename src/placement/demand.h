/**
 * @file demand.h
 * Requests by engine group and model: counted on each edge, summed with decay by the group's
 * controller.
 */
#ifndef HS_PLACEMENT_DEMAND_H
#define HS_PLACEMENT_DEMAND_H

#include <glib.h>
#include <stdint.h>

typedef struct hs_demand hs_demand;

hs_demand *hs_demand_new(void);
void hs_demand_free(hs_demand *demand);

/** Add @p count requests for the model of the group. Any thread. */
void hs_demand_add(hs_demand *demand, const char *group, const char *model, double count);

/** The sum now, after decay. */
double hs_demand_read(hs_demand *demand, const char *group, const char *model, uint64_t now_ms);

/** Run @p visit for each count and set it to 0: an edge hands on what it counted. */
void hs_demand_drain(hs_demand *demand,
                     void (*visit)(const char *group, const char *model, double count,
                                   void *user_data),
                     void *user_data);

#endif
