/**
 * @file admission.h
 * Admission control: decides whether a request is sent, held or refused while a service is short of
 * slots. Pure functions.
 *
 * A request that can be answered within its latency objective is sent or held. A request that
 * cannot is refused at once, with the time after which a slot is expected: a late answer would
 * take a slot from a request that can still be answered in time. A caller that returns after a
 * refusal is not refused again while a slot is expected before its deadline: its request is
 * served on a best-effort basis, from slots that no request in time needs.
 */
#ifndef HS_ONLINE_ADMISSION_H
#define HS_ONLINE_ADMISSION_H

#include "fleet/service_pressure.h"

/** Input of an admission decision. */
typedef struct {
    hs_service_pressure pressure;
    /** How long the oldest held request that can be in time has waited; 0: none is held. */
    uint64_t head_waited_ms;
    /** Like head_waited_ms, but without requests that always sort after this one. */
    uint64_t ahead_waited_ms;
    uint64_t min_first_byte_ms; /**< Shortest recent time to a first byte; 0: unknown. */
    uint64_t target_ms;         /**< The route's latency objective; 0: none. */
    uint64_t waited_ms;         /**< Time since the request arrived. */
    uint64_t age_ms;     /**< Time from the caller's first attempt to this request's arrival. */
    bool was_tried;      /**< An earlier search for an engine found none. */
    bool may_have_run;   /**< An engine may have run the request: it is repeated, or ends broken. */
    bool is_less_urgent; /**< See hs_fleet_config_is_less_urgent: it gets only free slots. */
} hs_admission_view;

typedef enum {
    HS_ADMISSION_OPEN,    /**< No known shortage: sent, and held as hs_refusal_choose decides. */
    HS_ADMISSION_IN_TIME, /**< Shortage: sent, and held for max_hold_ms at most. */
    HS_ADMISSION_BEST_EFFORT, /**< Shortage: held, and sent if a slot is left over. */
    /** Shortage: sent while it can be in time, and refused if no engine accepts it. */
    HS_ADMISSION_REFUSE,
} hs_admission_verdict;

typedef struct {
    hs_admission_verdict verdict;
    bool may_try;         /**< An attempt at engines may be made now. */
    uint64_t expected_ms; /**< Expected time until a slot is free for the request. */
    uint64_t max_hold_ms; /**< How long from now the request can be held and still be in time. */
    uint64_t begin_ms;    /**< Time within which an engine must start it to be in time. */
} hs_admission_choice;

hs_admission_choice hs_admission_choose(const hs_admission_view *view);

/** Returns the name of a verdict, for logs. */
const char *hs_admission_verdict_name(hs_admission_verdict verdict);

#endif
