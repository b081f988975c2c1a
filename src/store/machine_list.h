/**
 * @file machine_list.h
 * Port to the platform's lagging list of machines: daemons and engines, live and leaving.
 * The list only proposes; what a machine itself says goes before it.
 */
#ifndef HS_PLATFORM_MACHINE_LIST_H
#define HS_PLATFORM_MACHINE_LIST_H

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
    char *url;           /**< Engines: http://address:port. */
    json_t *labels;      /**< Engines: object of strings. */
    uint32_t address;    /**< Daemons: IPv4 number in host order. */
    uint16_t peer_port;  /**< Daemons. */
    uint16_t admin_port; /**< Daemons. */
} hs_machine;

/**
 * Read the list if it changed since the answer that @p etag names (owned; replaced on change).
 * The caller frees @p machines (of hs_machine*) with g_ptr_array_unref; NULL: unchanged.
 */
int hs_machine_list_read(const char *platform_url, uint32_t timeout_s, char **etag,
                         GPtrArray **machines, hs_error *error);

#endif
