/**
 * @file admission.h
 * Whether a request is tried, held or refused while its service is short of places. Pure.
 *
 * What can be answered within its objective is tried and held; what cannot is refused at once, with
 * the time after which a place is expected, since a late answer takes the room of one that would be
 * in time. A caller that came back after a refusal is not sent away again while a place before its
 * deadline is expected: it stands by for places that nothing in time wants.
 */
#ifndef HS_ONLINE_ADMISSION_H
#define HS_ONLINE_ADMISSION_H

#include "fleet/service_pressure.h"

/** What is known at the moment of the choice. */
typedef struct {
    hs_service_pressure pressure;
    uint64_t head_waited_ms;  /**< How long the request held longest here has waited; 0: none is. */
    uint64_t ahead_waited_ms; /**< The same of those that do not go after this one for certain. */
    uint64_t need_ms;         /**< Shortest time to a first byte of late; 0: not known. */
    uint64_t target_ms;       /**< The route's objective; 0: none. */
    uint64_t waited_ms;       /**< Since it came. */
    uint64_t age_ms;          /**< Since its caller first asked, until it came. */
    bool was_tried;           /**< Engines were asked before, and none took it. */
    bool has_run;             /**< It may have run: it is repeated, or ends as broken. */
    bool is_less_urgent;      /**< See hs_fleet_config_is_less_urgent: it takes free places only. */
} hs_admission_view;

typedef enum {
    HS_ADMISSION_OPEN, /**< Not short, or not known: tried, and held as hs_refusal_choose says. */
    HS_ADMISSION_IN_TIME,  /**< Short: tried, and held for hold_most_ms at most. */
    HS_ADMISSION_STAND_BY, /**< Short: held, and tried where a place is left over. */
    HS_ADMISSION_REFUSE,   /**< Short: tried while it can be in time, and refused where no engine
                                takes it. */
} hs_admission_verdict;

typedef struct {
    hs_admission_verdict verdict;
    bool may_try;          /**< Engines may be asked for a place now. */
    uint64_t expected_ms;  /**< Until a place is expected for it. */
    uint64_t hold_most_ms; /**< From now, while it can be in time. */
    uint64_t begin_ms;     /**< An engine must begin with it in this time, to be in time. */
} hs_admission_choice;

hs_admission_choice hs_admission_choose(const hs_admission_view *view);

/** Name of a verdict, for logs. */
const char *hs_admission_verdict_name(hs_admission_verdict verdict);

#endif
