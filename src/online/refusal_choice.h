/**
 * @file refusal_choice.h
 * Decides whether a request that no engine accepted is held or refused. Pure functions.
 *
 * A request is held while an engine is expected to accept it before its deadline, and refused as
 * soon as none is.
 */
#ifndef HS_ONLINE_REFUSAL_CHOICE_H
#define HS_ONLINE_REFUSAL_CHOICE_H

#include "fleet/fleet_engines.h"

/** Input of the decision. */
typedef struct {
    hs_service_outlook service;
    uint64_t left_ms;   /**< Time until the request's deadline. */
    uint64_t drain_ms;  /**< See hs_hold_queue_expected_ms; 0: unknown. */
    uint64_t waited_ms; /**< Time since the request arrived. */
    bool may_have_run;  /**< An engine may have run the request, which is repeatable. */
} hs_refusal_view;

typedef enum {
    HS_REFUSAL_HOLD,      /**< Hold the request and try again after pause_ms. */
    HS_REFUSAL_NO_ENGINE, /**< The service has no engine; none is expected in time. */
    HS_REFUSAL_SUSPECTED, /**< All engines failed; none is expected back in time. */
    HS_REFUSAL_QUEUE,     /**< No slot is expected to become free in time. */
    HS_REFUSAL_OVER,      /**< The deadline is too close for another attempt. */
    HS_REFUSAL_EVACUATED, /**< All engines of the service are in evacuated zones. */
    HS_REFUSAL_SHORT,     /**< The request would miss its objective; see admission.h. */
    HS_REFUSAL_VERDICT_COUNT,
} hs_refusal_verdict;

typedef struct {
    hs_refusal_verdict verdict;
    uint64_t expected_ms; /**< Expected time until an engine can accept the request. */
    uint64_t pause_ms;    /**< Time until the next attempt. */
} hs_refusal_choice;

hs_refusal_choice hs_refusal_choose(const hs_refusal_view *view);

/** Returns the name of a verdict, for logs and metrics. */
const char *hs_refusal_verdict_name(hs_refusal_verdict verdict);

#endif
