/** @file retry_budget.c  See retry_budget.h. */
#include "routing/retry_budget.h"

#define INITIAL_TOKENS 10.0
#define MAX_TOKENS 50.0
#define PERCENT 100.0

void hs_retry_budget_init(hs_retry_budget *budget, double percent) {
    budget->share = percent / PERCENT;
    budget->tokens = percent > 0 ? INITIAL_TOKENS : 0;
    budget->max_tokens = MAX_TOKENS;
}

void hs_retry_budget_note_request(hs_retry_budget *budget) {
    budget->tokens += budget->share;
    if (budget->tokens > budget->max_tokens)
        budget->tokens = budget->max_tokens;
}

bool hs_retry_budget_take(hs_retry_budget *budget) {
    if (budget->tokens < 1.0)
        return false;
    budget->tokens -= 1.0;
    return true;
}
