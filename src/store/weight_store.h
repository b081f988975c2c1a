/**
 * @file weight_store.h
 * Port to the platform's rate-limited weight store: asked before an engine is told to load.
 */
#ifndef HS_PLATFORM_WEIGHT_STORE_H
#define HS_PLATFORM_WEIGHT_STORE_H

#include "heathsail/error.h"

#include <stdint.h>

/**
 * Take one load of @p model out of the store's rate.
 * @return 0; HS_PLATFORM_REFUSED with @p retry_after_s set when the rate is used up;
 *         HS_PLATFORM_UNKNOWN when there was no answer.
 */
int hs_weight_store_take(const char *platform_url, const char *model, uint32_t timeout_s,
                         uint32_t *retry_after_s, hs_error *error);

#endif
