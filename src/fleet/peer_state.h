/**
 * @file peer_state.h
 * State of the store that one daemon gives to another which starts while the store does not answer,
 * and its encoding. Pure functions.
 *
 * An encoded state is a sequence of sections, each with its kind and length. A reader skips the
 * kinds that it does not know, so that later builds can add sections.
 */
#ifndef HS_FLEET_PEER_STATE_H
#define HS_FLEET_PEER_STATE_H

#include <glib.h>
#include <stdint.h>

/** Entry of an engine as it stands in the store. */
typedef struct {
    char *id;
    GBytes *value;
    uint64_t age_ms; /**< Time since the entry was read from the store. */
} hs_peer_entry;

/** State that a daemon has from the store; ages are those at the time of the answer. */
typedef struct {
    GBytes *config;          /**< Value of the configuration's record; NULL: none is known. */
    uint64_t config_offset;  /**< Of that record. */
    uint64_t config_age_ms;  /**< Time since the read that confirmed the configuration was sent. */
    GPtrArray *entries;      /**< Of hs_peer_entry*; NULL: the list is not known. */
    uint64_t entries_age_ms; /**< Time since the last answered read of the list was sent. */
    GBytes *evacuations;     /**< Encoded evacuations (Evacuations); NULL: not known. */
} hs_peer_state;

/** Creates an empty state; free with hs_peer_state_free. */
hs_peer_state *hs_peer_state_new(void);

/** Frees the state and all it refers to. NULL is allowed. */
void hs_peer_state_free(hs_peer_state *state);

/** Returns an empty list of entries that owns them. Free with g_ptr_array_unref. */
GPtrArray *hs_peer_entries_new(void);

/** Appends a copy of an entry to a list of entries. */
void hs_peer_entries_add(GPtrArray *entries, const char *id, GBytes *value, uint64_t age_ms);

/** Encodes a state. Free with g_byte_array_unref. */
GByteArray *hs_peer_state_encode(const hs_peer_state *state);

/** Decodes a state. Returns NULL if the bytes are malformed. Free with hs_peer_state_free. */
hs_peer_state *hs_peer_state_decode(const void *bytes, size_t length);

#endif
