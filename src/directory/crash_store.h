/**
 * @file crash_store.h
 * Keeps evidence on quarantined contents in the platform's store, so that quarantines survive the
 * end of all daemons at once. Otherwise, each such content would cost three more engines.
 *
 * The store has one record per content. The live daemon that ranks first for the content writes it,
 * and deletes it when the quarantine ends. A daemon reads all records once, after its start.
 * Without a common clock the age of a record is unknown, so its quarantine then restarts.
 *
 * Not thread-safe: one thread calls the functions.
 */
#ifndef HS_DIRECTORY_CRASH_STORE_H
#define HS_DIRECTORY_CRASH_STORE_H

#include "fleet/crash_watch.h"
#include "membership/membership_service.h"
#include "store/store_client.h"

typedef struct hs_crash_store hs_crash_store;

/** Creates the object. The arguments are borrowed. */
hs_crash_store *hs_crash_store_new(hs_crash_watch *watch, hs_membership_service *membership,
                                   hs_store_client *store);

/** Frees the object. NULL is allowed. */
void hs_crash_store_free(hs_crash_store *records);

/** Reads the records into the watch. Does nothing after a call that succeeded. */
void hs_crash_store_read(hs_crash_store *records);

/** Writes the records of quarantined contents and deletes those of others. Makes no call to the
 * store if nothing changed. */
void hs_crash_store_update(hs_crash_store *records);

#endif
