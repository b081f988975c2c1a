/**
 * @file store_contact.h
 * Tracks when a component last received a successful response from the store. Logs once when calls
 * begin to fail and once when they succeed again, with the time since the last successful response.
 * All functions but init and clear may be called from any thread.
 */
#ifndef HS_STORE_STORE_CONTACT_H
#define HS_STORE_STORE_CONTACT_H

#include "store/store_client.h"

#include <glib.h>
#include <stdbool.h>

typedef struct {
    const char *duty; /**< Name of the component in log lines; a literal. */
    GMutex lock;
    uint64_t last_success_ms; /**< Monotonic time of the last success; 0: none yet. */
    uint64_t read_began_ms;   /**< When the first call of the current read was sent. */
    uint64_t as_of_ms;        /**< When the last complete read began; 0: none yet. */
    bool is_disconnected;
} hs_store_contact;

/** Initializes @p contact; clear with hs_store_contact_clear. @p duty is borrowed. */
void hs_store_contact_init(hs_store_contact *contact, const char *duty);
void hs_store_contact_clear(hs_store_contact *contact);

/** Records that a read begins; its first call is about to be sent. */
void hs_store_contact_note_read(hs_store_contact *contact);

/**
 * Records how a read ended. HS_STORE_DONE and HS_STORE_GONE count as successes, but the second does
 * not confirm what was read before.
 */
void hs_store_contact_note_outcome(hs_store_contact *contact, hs_store_outcome outcome);

/** Returns the monotonic time of the last successful response in ms; 0: none yet. */
uint64_t hs_store_contact_last_received_ms(hs_store_contact *contact);

/**
 * Returns the monotonic time in ms at which the last complete read began: what was read reflects
 * the store at that time or later. 0: none yet.
 */
uint64_t hs_store_contact_as_of_ms(hs_store_contact *contact);

/** Returns whether the last call failed. */
bool hs_store_contact_is_disconnected(hs_store_contact *contact);

#endif
