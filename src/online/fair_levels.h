/** @file fair_levels.h  The fair levels of a daemon's services; shared by threads. */
#ifndef HS_ONLINE_FAIR_LEVELS_H
#define HS_ONLINE_FAIR_LEVELS_H

#include "online/fair_level.h"

typedef struct hs_fair_levels hs_fair_levels;

hs_fair_levels *hs_fair_levels_new(void);
void hs_fair_levels_free(hs_fair_levels *levels);

/** A request that wants a place of a service. Borrowed. */
typedef struct {
    const char *service;
    double used_slots; /**< See hs_online_access. */
    double draw;       /**< See hs_fair_level_is_over. */
    bool returns;      /**< Its caller was refused before. */
} hs_fair_request;

/** What was decided of it, and by what. */
typedef struct {
    bool is_over;
    double level_slots; /**< 0: none is applied. */
    uint64_t return_ms; /**< Until its share has room. */
} hs_fair_verdict;

/**
 * Follow the pressure, and decide; @p slots: of the service's sound engines. One
 * that returns is over its share only where its tenant asks for more than twice the level: to be
 * refused again costs its caller more than another's first refusal.
 */
hs_fair_verdict hs_fair_levels_judge(hs_fair_levels *levels, const hs_fair_request *request,
                                     const hs_service_pressure *pressure, uint32_t slots,
                                     uint64_t now_ms);

/** The levels as metrics. Free with g_free. */
char *hs_fair_levels_describe(hs_fair_levels *levels);

#endif
