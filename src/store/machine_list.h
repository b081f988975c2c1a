/**
 * @file machine_list.h
 * Client of the platform's list of machines: daemons and engines, live and leaving. The list may be
 * outdated; the state that a machine itself reports takes precedence.
 */
#ifndef HS_STORE_MACHINE_LIST_H
#define HS_STORE_MACHINE_LIST_H

#include "heathsail/error.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum { HS_MACHINE_DAEMON, HS_MACHINE_ENGINE } hs_machine_kind;

typedef struct {
    hs_machine_kind kind;
    char *id;
    char *zone;
    bool leaving;
    char *url;           /**< Engines only: http://address:port. */
    json_t *labels;      /**< Engines only: JSON object of strings. */
    uint32_t address;    /**< Daemons only: IPv4 address in host byte order. */
    uint16_t peer_port;  /**< Daemons only. */
    uint16_t admin_port; /**< Daemons only. */
} hs_machine;

/**
 * Reads the list if its ETag differs from @p etag, which is owned by the caller, NULL at first, and
 * replaced by the new ETag. Sets @p machines (of hs_machine*; free with g_ptr_array_unref), or NULL
 * if the list is unchanged or could not be read.
 * @return 0; HS_PLATFORM_UNKNOWN: no response; HS_PLATFORM_REFUSED: the response has no list.
 */
int hs_machine_list_read(const char *platform_url, uint32_t timeout_s, char **etag,
                         GPtrArray **machines, hs_error *error);

#endif
