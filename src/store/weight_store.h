/**
 * @file weight_store.h
 * Client of the platform's weight store, which limits the rate of model loads. A load must be
 * granted before an engine is ordered to load a model.
 */
#ifndef HS_STORE_WEIGHT_STORE_H
#define HS_STORE_WEIGHT_STORE_H

#include "heathsail/error.h"

#include <stdint.h>

/**
 * Requests permission for one load of @p model.
 * @return 0: granted; HS_PLATFORM_REFUSED: the rate limit is reached, retry after @p retry_after_s;
 *         HS_PLATFORM_UNKNOWN: no response or an unexpected one.
 */
int hs_weight_store_request_load(const char *platform_url, const char *model, uint32_t timeout_s,
                                 uint32_t *retry_after_s, hs_error *error);

#endif
