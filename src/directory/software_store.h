/**
 * @file software_store.h
 * Keeps in the platform's store which software the engines of each service have had recently, so
 * that daemons that all start anew know whether a stream can only have begun at one version.
 *
 * The store has one record per service. The live daemon that ranks first for the service writes it
 * when the set changes; if it does not, as it may be cut off from the store, the next ones do. Only
 * a daemon that ranks first and knows all recent software drops software from a record. A daemon
 * reads all records after its start.
 *
 * Not thread-safe: one thread calls the functions.
 */
#ifndef HS_DIRECTORY_SOFTWARE_STORE_H
#define HS_DIRECTORY_SOFTWARE_STORE_H

#include "fleet/fleet_engines.h"
#include "membership/membership_service.h"
#include "store/store_client.h"

typedef struct hs_software_store hs_software_store;

/** Creates the object. The arguments are borrowed. */
hs_software_store *hs_software_store_new(hs_fleet_engines *engines,
                                         hs_membership_service *membership, hs_store_client *store);

/** Frees the object. NULL is allowed. */
void hs_software_store_free(hs_software_store *records);

/** Reads the records into the engine table. Does nothing after a call that succeeded. */
void hs_software_store_read(hs_software_store *records);

/** Writes the records that changed. Makes no call to the store if none did. */
void hs_software_store_update(hs_software_store *records);

#endif
