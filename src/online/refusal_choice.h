/**
 * @file refusal_choice.h
 * Whether a request that no engine has taken is held or refused. Pure.
 *
 * A request is held while the expected wait for an engine ends before its deadline, and refused as
 * soon as it does not: what cannot be served is told at once, and what can is not sent away.
 */
#ifndef HS_ONLINE_REFUSAL_CHOICE_H
#define HS_ONLINE_REFUSAL_CHOICE_H

#include "fleet/fleet_engines.h"

/** What is known at the moment of the choice. */
typedef struct {
    hs_service_outlook service;
    uint64_t left_ms;   /**< Until the request's deadline. */
    uint64_t drain_ms;  /**< Expected until those held and this one have places; 0: not known. */
    uint64_t waited_ms; /**< Since it came. */
    bool has_run;       /**< It may have run: it can be repeated, or it would have ended. */
} hs_refusal_view;

typedef enum {
    HS_REFUSAL_HOLD,      /**< Try again after pause_ms. */
    HS_REFUSAL_NO_ENGINE, /**< The service has no engine, and none is expected in time. */
    HS_REFUSAL_SUSPECTED, /**< All its engines failed, and none is expected back in time. */
    HS_REFUSAL_QUEUE,     /**< No place is expected to be free in time. */
    HS_REFUSAL_OVER,      /**< The deadline is too near for another try. */
    HS_REFUSAL_SHORT,     /**< It would be late, where others can be in time; see admission.h. */
    HS_REFUSAL_VERDICT_COUNT,
} hs_refusal_verdict;

typedef struct {
    hs_refusal_verdict verdict;
    uint64_t expected_ms; /**< Until an engine can take it. */
    uint64_t pause_ms;
} hs_refusal_choice;

hs_refusal_choice hs_refusal_choose(const hs_refusal_view *view);

/** Name of a verdict, for logs. */
const char *hs_refusal_verdict_name(hs_refusal_verdict verdict);

#endif
