/**
 * @file retry_budget.h
 * Token bucket that limits retries to a share of requests, so that retries don't multiply the load
 * during an outage. Not thread-safe.
 */
#ifndef HS_ROUTING_RETRY_BUDGET_H
#define HS_ROUTING_RETRY_BUDGET_H

#include <stdbool.h>

/** Each request adds @c share tokens, each retry takes one token. */
typedef struct {
    double share;
    double tokens;
    double max_tokens;
} hs_retry_budget;

/** @p percent: retries per 100 requests; 0 allows none. */
void hs_retry_budget_init(hs_retry_budget *budget, double percent);

/** Adds the tokens of one request. */
void hs_retry_budget_note_request(hs_retry_budget *budget);

/** Takes a token for a retry. Returns false if less than one token is left. */
bool hs_retry_budget_take(hs_retry_budget *budget);

#endif
