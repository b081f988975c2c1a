/**
 * @file retry_budget.h
 * Retries as a share of requests, so that an outage is not doubled by them. Pure.
 */
#ifndef HS_ROUTING_RETRY_BUDGET_H
#define HS_ROUTING_RETRY_BUDGET_H

#include <stdbool.h>

/** Tokens: each request adds its share, each retry takes one. */
typedef struct {
    double share;
    double tokens;
    double maximum;
} hs_retry_budget;

/** @p percent retries for each 100 requests. */
void hs_retry_budget_init(hs_retry_budget *budget, double percent);

void hs_retry_budget_request(hs_retry_budget *budget);

/** True when a retry is allowed; it is then counted. */
bool hs_retry_budget_take(hs_retry_budget *budget);

#endif
