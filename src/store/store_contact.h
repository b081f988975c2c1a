/**
 * @file store_contact.h
 * When a duty last heard from the store. A loss and a return are logged once each, so that an
 * operator sees from one line how old the duty's knowledge was.
 */
#ifndef HS_STORE_STORE_CONTACT_H
#define HS_STORE_STORE_CONTACT_H

#include "store/store_client.h"

#include <glib.h>
#include <stdbool.h>

/** One duty's contact. */
typedef struct {
    const char *duty; /**< Name for logs; a literal. */
    GMutex lock;
    uint64_t heard_ms; /**< Monotonic; 0: never. */
    uint64_t asked_ms; /**< When the call under way was sent. */
    uint64_t as_of_ms; /**< When the last call that was answered was sent; 0: none was. */
    bool lost;
} hs_store_contact;

void hs_store_contact_init(hs_store_contact *contact, const char *duty);
void hs_store_contact_clear(hs_store_contact *contact);

/** A call is about to be sent. */
void hs_store_contact_ask(hs_store_contact *contact);

/** Note how a call ended. */
void hs_store_contact_note(hs_store_contact *contact, hs_store_outcome outcome);

/** When the store was heard last; 0: never. */
uint64_t hs_store_contact_heard_ms(hs_store_contact *contact);

/** What was heard is as of this time or later: when the call that got it was sent. 0: never. */
uint64_t hs_store_contact_as_of_ms(hs_store_contact *contact);

/** Whether the last call got no answer that says it was done. */
bool hs_store_contact_is_lost(hs_store_contact *contact);

#endif
