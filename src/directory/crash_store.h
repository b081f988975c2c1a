/**
 * @file crash_store.h
 * What is held back is kept in the platform's store, so that it is known after all daemons were
 * killed at once; otherwise each such request would cost three engines more.
 *
 * One record a content, written by the live daemon that ranks first for it and dropped by that
 * daemon as the hold ends. A daemon reads the records once, as it starts. How old one is cannot be
 * told without a common clock: its hold begins anew then.
 */
#ifndef HS_DIRECTORY_CRASH_STORE_H
#define HS_DIRECTORY_CRASH_STORE_H

#include "fleet/crash_watch.h"
#include "membership/membership_service.h"
#include "store/store_client.h"

typedef struct hs_crash_store hs_crash_store;

/** All are borrowed. */
hs_crash_store *hs_crash_store_new(hs_crash_watch *watch, hs_membership_service *membership,
                                   hs_store_client *store);
void hs_crash_store_free(hs_crash_store *records);

/** Read the records, until that was done once; by one thread, as below. */
void hs_crash_store_read(hs_crash_store *records);

/** Write what is held back now, drop what is no longer. No call where nothing changed. */
void hs_crash_store_update(hs_crash_store *records);

#endif
