/** @file config_state.h  The folded configuration as one message, for a peer that is behind. */
#ifndef HS_CONFIG_CONFIG_STATE_H
#define HS_CONFIG_CONFIG_STATE_H

#include "config/config_fold.h"

/** Encode the whole fold. Free with g_byte_array_unref. */
GByteArray *hs_config_state_encode(const hs_config_fold *fold);

/** A fold from an encoded state; NULL when malformed. Free with hs_config_fold_free. */
hs_config_fold *hs_config_state_decode(const uint8_t *bytes, size_t length);

#endif
