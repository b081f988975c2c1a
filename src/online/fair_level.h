/**
 * @file fair_level.h
 * How many places of a service a group of callers (a tenant) may hold while the service is short of
 * places. Pure; times in ms of one monotonic clock.
 *
 * Max-min fair: whoever asks for less than the level is not touched, of the others' requests the
 * part of them passes that fills the level (as in core-stateless fair queueing). No daemon works
 * the level out for all: each finds its own, begun at the same place, lowered while the service is
 * short, raised while places stand free, and not applied at all where nothing was short of late.
 */
#ifndef HS_ONLINE_FAIR_LEVEL_H
#define HS_ONLINE_FAIR_LEVEL_H

#include "fleet/service_pressure.h"

/** Zero-initialise. */
typedef struct {
    double slots;        /**< 0: none is applied. */
    uint64_t adapted_ms; /**< 0: never. */
} hs_fair_level;

/** Follow the service's pressure at this moment; @p slots: of its sound engines. */
void hs_fair_level_adapt(hs_fair_level *level, const hs_service_pressure *pressure, uint32_t slots,
                         uint64_t now_ms);

/**
 * Whether a request of a group that asks for @p used_slots is over the level, by @p draw (0 to 1,
 * even over requests): of a group at twice the level each second one is.
 */
bool hs_fair_level_is_over(const hs_fair_level *level, double used_slots, double draw,
                           const hs_service_pressure *pressure);

/**
 * A request's draw: the same each time that it comes, by its id. Without one (NULL, empty) it is by
 * @p otherwise, which is to be another for each request.
 */
double hs_fair_level_draw(const char *request_id, uint64_t otherwise);

/** Time in ms until the group's use has faded to the level, where it asks for nothing more. */
uint64_t hs_fair_level_return_ms(const hs_fair_level *level, double used_slots);

#endif
