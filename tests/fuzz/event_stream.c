/**
 * @file event_stream.c
 * Fuzz target: a stream gives the same events however it is cut into pieces. The first byte says
 * how long the pieces are.
 */
#include "online/event_stream.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

/** Take @p data in pieces; whether all were taken. */
static bool take(const uint8_t *data, size_t size, size_t piece, hs_event_stream *stream,
                 GByteArray *events) {
    GByteArray *input = g_byte_array_new();
    bool sound = true;
    for (size_t position = 0; position < size && sound; position += piece) {
        g_byte_array_append(input, data + position, (guint)MIN(piece, size - position));
        sound = hs_event_stream_take(stream, input, events, NULL);
    }
    g_byte_array_free(input, TRUE);
    return sound;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
    if (size < 2)
        return 0;
    hs_event_stream whole_stream = {0};
    hs_event_stream cut_stream = {0};
    GByteArray *whole = g_byte_array_new();
    GByteArray *cut = g_byte_array_new();
    bool whole_sound = take(data + 1, size - 1, size, &whole_stream, whole);
    bool cut_sound = take(data + 1, size - 1, data[0] % 16 + 1, &cut_stream, cut);
    FUZZ_CHECK(whole_sound == cut_sound);
    FUZZ_CHECK(!whole_sound ||
               (whole->len == cut->len && whole_stream.last_id == cut_stream.last_id &&
                (whole->len == 0 || memcmp(whole->data, cut->data, cut->len) == 0)));
    g_byte_array_free(whole, TRUE);
    g_byte_array_free(cut, TRUE);
    return 0;
}
