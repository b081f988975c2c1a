/** @file peer_state.c  See peer_state.h. */
#include "fleet/peer_state.h"

#include <stdbool.h>
#include <string.h>

/** First bytes of an encoded state. */
#define MAGIC "HSSTATE1"
#define MAGIC_BYTES 8

/** Kinds of sections. A number keeps its meaning for good. */
enum { SECTION_CONFIG = 1, SECTION_ENTRIES = 2, SECTION_EVACUATIONS = 3 };

hs_peer_state *hs_peer_state_new(void) {
    return g_new0(hs_peer_state, 1);
}

void hs_peer_state_free(hs_peer_state *state) {
    if (state == NULL)
        return;
    if (state->config != NULL)
        g_bytes_unref(state->config);
    if (state->entries != NULL)
        g_ptr_array_unref(state->entries);
    if (state->evacuations != NULL)
        g_bytes_unref(state->evacuations);
    g_free(state);
}

static void free_entry(gpointer data) {
    hs_peer_entry *entry = data;
    g_free(entry->id);
    g_bytes_unref(entry->value);
    g_free(entry);
}

GPtrArray *hs_peer_entries_new(void) {
    return g_ptr_array_new_with_free_func(free_entry);
}

void hs_peer_entries_add(GPtrArray *entries, const char *id, GBytes *value, uint64_t age_ms) {
    hs_peer_entry *entry = g_new0(hs_peer_entry, 1);
    *entry = (hs_peer_entry){.id = g_strdup(id), .value = g_bytes_ref(value), .age_ms = age_ms};
    g_ptr_array_add(entries, entry);
}

static void add_u32(GByteArray *out, uint32_t number) {
    uint32_t encoded = GUINT32_TO_BE(number);
    g_byte_array_append(out, (const guint8 *)&encoded, sizeof encoded);
}

static void add_u64(GByteArray *out, uint64_t number) {
    uint64_t encoded = GUINT64_TO_BE(number);
    g_byte_array_append(out, (const guint8 *)&encoded, sizeof encoded);
}

static void add_bytes(GByteArray *out, GBytes *bytes) {
    gsize length = 0;
    const guint8 *data = g_bytes_get_data(bytes, &length);
    if (length > 0)
        g_byte_array_append(out, data, (guint)length);
}

/** Appends a section and empties @p body. */
static void add_section(GByteArray *out, uint32_t kind, GByteArray *body) {
    add_u32(out, kind);
    add_u32(out, body->len);
    if (body->len > 0)
        g_byte_array_append(out, body->data, body->len);
    g_byte_array_set_size(body, 0);
}

static void encode_entries(const hs_peer_state *state, GByteArray *body) {
    add_u64(body, state->entries_age_ms);
    for (guint index = 0; index < state->entries->len; index++) {
        const hs_peer_entry *entry = state->entries->pdata[index];
        size_t id_length = strlen(entry->id);
        add_u32(body, (uint32_t)id_length);
        g_byte_array_append(body, (const guint8 *)entry->id, (guint)id_length);
        add_u64(body, entry->age_ms);
        add_u32(body, (uint32_t)g_bytes_get_size(entry->value));
        add_bytes(body, entry->value);
    }
}

GByteArray *hs_peer_state_encode(const hs_peer_state *state) {
    GByteArray *out = g_byte_array_new();
    g_autoptr(GByteArray) body = g_byte_array_new();
    g_byte_array_append(out, (const guint8 *)MAGIC, MAGIC_BYTES);
    if (state->config != NULL) {
        add_u64(body, state->config_offset);
        add_u64(body, state->config_age_ms);
        add_bytes(body, state->config);
        add_section(out, SECTION_CONFIG, body);
    }
    if (state->entries != NULL) {
        encode_entries(state, body);
        add_section(out, SECTION_ENTRIES, body);
    }
    if (state->evacuations != NULL) {
        add_bytes(body, state->evacuations);
        add_section(out, SECTION_EVACUATIONS, body);
    }
    return out;
}

/** Bytes that are not read yet. */
typedef struct {
    const uint8_t *data;
    size_t left;
} reader;

static bool take(reader *in, size_t length, const uint8_t **data) {
    if (in->left < length)
        return false;
    *data = in->data;
    in->data += length;
    in->left -= length;
    return true;
}

static bool take_u32(reader *in, uint32_t *number) {
    const uint8_t *data = NULL;
    if (!take(in, sizeof *number, &data))
        return false;
    memcpy(number, data, sizeof *number);
    *number = GUINT32_FROM_BE(*number);
    return true;
}

static bool take_u64(reader *in, uint64_t *number) {
    const uint8_t *data = NULL;
    if (!take(in, sizeof *number, &data))
        return false;
    memcpy(number, data, sizeof *number);
    *number = GUINT64_FROM_BE(*number);
    return true;
}

static bool decode_entry(reader *in, GPtrArray *entries) {
    uint32_t id_length = 0;
    uint32_t value_length = 0;
    uint64_t age_ms = 0;
    const uint8_t *id = NULL;
    const uint8_t *data = NULL;
    if (!take_u32(in, &id_length) || !take(in, id_length, &id) || !take_u64(in, &age_ms) ||
        !take_u32(in, &value_length) || !take(in, value_length, &data))
        return false;
    g_autofree char *text = g_strndup((const char *)id, id_length);
    g_autoptr(GBytes) value = g_bytes_new(data, value_length);
    hs_peer_entries_add(entries, text, value, age_ms);
    return true;
}

static bool decode_entries(reader *in, hs_peer_state *state) {
    if (state->entries != NULL || !take_u64(in, &state->entries_age_ms))
        return false;
    state->entries = hs_peer_entries_new();
    bool is_valid = true;
    while (is_valid && in->left > 0)
        is_valid = decode_entry(in, state->entries);
    return is_valid;
}

static bool decode_section(uint32_t kind, reader *in, hs_peer_state *state) {
    switch (kind) {
    case SECTION_CONFIG:
        if (state->config != NULL || !take_u64(in, &state->config_offset) ||
            !take_u64(in, &state->config_age_ms))
            return false;
        state->config = g_bytes_new(in->data, in->left);
        return true;
    case SECTION_ENTRIES:
        return decode_entries(in, state);
    case SECTION_EVACUATIONS:
        if (state->evacuations != NULL)
            return false;
        state->evacuations = g_bytes_new(in->data, in->left);
        return true;
    default:
        return true;
    }
}

hs_peer_state *hs_peer_state_decode(const void *bytes, size_t length) {
    reader in = {.data = bytes, .left = length};
    const uint8_t *data = NULL;
    hs_peer_state *state = hs_peer_state_new();
    bool is_valid = take(&in, MAGIC_BYTES, &data) && memcmp(data, MAGIC, MAGIC_BYTES) == 0;
    while (is_valid && in.left > 0) {
        uint32_t kind = 0;
        uint32_t section_length = 0;
        is_valid = take_u32(&in, &kind) && take_u32(&in, &section_length) &&
                   take(&in, section_length, &data);
        reader section = {.data = data, .left = section_length};
        is_valid = is_valid && decode_section(kind, &section, state);
    }
    if (is_valid)
        return state;
    hs_peer_state_free(state);
    return NULL;
}
