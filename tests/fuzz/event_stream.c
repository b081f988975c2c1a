/**
 * @file event_stream.c
 * Fuzz target: an event stream must produce the same events whatever pieces it arrives in. The
 * first byte of the input selects the length of the pieces.
 */
#include "online/event_stream.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

/** Feeds @p data to the parser in pieces. Returns false if the parser rejects one. */
static bool feed_in_pieces(const uint8_t *data, size_t size, size_t piece, hs_event_stream *stream,
                           GByteArray *events) {
    GByteArray *input = g_byte_array_new();
    bool is_stream_valid = true;
    for (size_t position = 0; position < size && is_stream_valid; position += piece) {
        g_byte_array_append(input, data + position, (guint)MIN(piece, size - position));
        is_stream_valid = hs_event_stream_take(stream, input, events, NULL);
    }
    g_byte_array_free(input, TRUE);
    return is_stream_valid;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
    if (size < 2)
        return 0;
    hs_event_stream whole_stream = {0};
    hs_event_stream cut_stream = {0};
    GByteArray *whole = g_byte_array_new();
    GByteArray *cut = g_byte_array_new();
    bool is_whole_valid = feed_in_pieces(data + 1, size - 1, size, &whole_stream, whole);
    bool is_cut_valid = feed_in_pieces(data + 1, size - 1, data[0] % 16 + 1, &cut_stream, cut);
    FUZZ_CHECK(is_whole_valid == is_cut_valid);
    FUZZ_CHECK(!is_whole_valid ||
               (whole->len == cut->len && whole_stream.last_id == cut_stream.last_id &&
                (whole->len == 0 || memcmp(whole->data, cut->data, cut->len) == 0)));
    g_byte_array_free(whole, TRUE);
    g_byte_array_free(cut, TRUE);
    return 0;
}
