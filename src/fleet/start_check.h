/**
 * @file start_check.h
 * Checks whether the process behind a connection is the start of the engine that its entry names.
 *
 * An engine may start again under its former id and address, with other software, and does not know
 * what ran before. Its entry says when it started, as do its reports. Until a newer entry arrives,
 * the known one names the old software, so that a stream might be joined from two versions.
 */
#ifndef HS_FLEET_START_CHECK_H
#define HS_FLEET_START_CHECK_H

#include "fleet/fleet_engines.h"

typedef enum {
    HS_START_KNOWN,   /**< It is that start, so that the engine's software is known. */
    HS_START_UNKNOWN, /**< It may be another one. */
    HS_START_CLOSED,  /**< The connection can't be used any more. */
} hs_start_check;

/**
 * Checks a connection to the leased engine on which no request is under way. @p may_ask: the engine
 * is asked for a report on it if the start is not known otherwise.
 */
hs_start_check hs_start_check_run(hs_engine_lease *lease, hs_client_connection *connection,
                                  bool may_ask, const hs_wait *wait);

#endif
