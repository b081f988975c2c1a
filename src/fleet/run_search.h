/**
 * @file run_search.h
 * Asks engines which of them runs a request, for a stream that no daemon knows: its first daemon
 * may be of an older build. Engines report their runs some hundred ms late, so that a run which
 * ended with its daemon is still found for a moment. Thread-safe.
 */
#ifndef HS_FLEET_RUN_SEARCH_H
#define HS_FLEET_RUN_SEARCH_H

#include "fleet/fleet_engines.h"

/** Services with more engines are not searched. */
#define HS_MAX_SEARCHED_ENGINES 64

/**
 * Returns the software of the engine of the service that reports a run of the request; 0: none does
 * by @p deadline, or several with different software do.
 */
uint64_t hs_run_search_find(hs_fleet_engines *engines, const char *service, const char *request_id,
                            hs_deadline deadline);

#endif
