/** @file store_contact.c  See store_contact.h. */
#include "store/store_contact.h"

#include "base/clock.h"
#include "base/log.h"

void hs_store_contact_init(hs_store_contact *contact, const char *duty) {
    *contact = (hs_store_contact){.duty = duty};
    g_mutex_init(&contact->lock);
}

void hs_store_contact_clear(hs_store_contact *contact) {
    g_mutex_clear(&contact->lock);
}

void hs_store_contact_note_read(hs_store_contact *contact) {
    g_mutex_lock(&contact->lock);
    contact->read_began_ms = hs_clock_monotonic_ms();
    g_mutex_unlock(&contact->lock);
}

void hs_store_contact_note_outcome(hs_store_contact *contact, hs_store_outcome outcome) {
    bool is_success = outcome == HS_STORE_DONE || outcome == HS_STORE_GONE;
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&contact->lock);
    bool has_changed = contact->is_disconnected == is_success;
    uint64_t silent_ms = contact->last_success_ms != 0 ? now_ms - contact->last_success_ms : 0;
    contact->is_disconnected = !is_success;
    if (is_success)
        contact->last_success_ms = now_ms;
    if (outcome == HS_STORE_DONE)
        contact->as_of_ms = contact->read_began_ms;
    g_mutex_unlock(&contact->lock);
    if (has_changed)
        hs_log_warning(is_success ? "store_regained" : "store_lost",
                       "duty=%s outcome=%s silent_ms=%" G_GUINT64_FORMAT, contact->duty,
                       hs_store_outcome_name(outcome), (guint64)silent_ms);
}

uint64_t hs_store_contact_last_received_ms(hs_store_contact *contact) {
    g_mutex_lock(&contact->lock);
    uint64_t last_success_ms = contact->last_success_ms;
    g_mutex_unlock(&contact->lock);
    return last_success_ms;
}

uint64_t hs_store_contact_as_of_ms(hs_store_contact *contact) {
    g_mutex_lock(&contact->lock);
    uint64_t as_of_ms = contact->as_of_ms;
    g_mutex_unlock(&contact->lock);
    return as_of_ms;
}

bool hs_store_contact_is_disconnected(hs_store_contact *contact) {
    g_mutex_lock(&contact->lock);
    bool is_disconnected = contact->is_disconnected;
    g_mutex_unlock(&contact->lock);
    return is_disconnected;
}
