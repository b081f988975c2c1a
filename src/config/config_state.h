/**
 * @file config_state.h
 * Encodes a configuration fold as one message, for transfer to a peer with a lower offset.
 */
#ifndef HS_CONFIG_CONFIG_STATE_H
#define HS_CONFIG_CONFIG_STATE_H

#include "config/config_fold.h"

/** Returns the encoded fold; free with g_byte_array_unref. */
GByteArray *hs_config_state_encode(const hs_config_fold *fold);

/** Returns the decoded fold, or NULL if malformed; free with hs_config_fold_free. */
hs_config_fold *hs_config_state_decode(const uint8_t *bytes, size_t length);

#endif
