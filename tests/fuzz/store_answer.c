/** @file store_answer.c  Fuzz target: answers of the store. The first byte selects the call. */
#include "platform/store_codec.h"
#include "tests/fuzz/fuzz.h"

typedef enum { READ_PLAIN, READ_KEYED, NEWEST, JOINED, APPENDED, FIRST_OFFSET, CALLS } call;

static void read_records(const GByteArray *answer, bool keyed) {
    hs_store_record record;
    uint64_t end = 0;
    uint64_t first = 0;
    size_t position = 0;
    hs_platform_read_bounds(answer, &end, &first);
    while (hs_platform_read_next_record(answer, keyed, &position, &record)) {
        FUZZ_CHECK(position <= answer->len);
        FUZZ_CHECK(record.value_length == 0 ||
                   (record.value >= answer->data &&
                    record.value + record.value_length <= answer->data + answer->len));
    }
}

static void read_newest(const GByteArray *answer) {
    GArray *entries = hs_newest_entries_new();
    hs_newest_page page;
    hs_platform_read_newest(answer, entries, &page);
    for (guint index = 0; index < entries->len; index++)
        FUZZ_CHECK(g_array_index(entries, hs_newest_entry, index).key != NULL);
    g_array_free(entries, TRUE);
    hs_newest_page_clear(&page);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
    if (size == 0)
        return 0;
    GByteArray *answer = g_byte_array_new();
    g_byte_array_append(answer, data + 1, (guint)(size - 1));
    GArray *parts = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    uint64_t number = 0;
    switch ((call)(data[0] % CALLS)) {
    case READ_PLAIN:
    case READ_KEYED:
        read_records(answer, data[0] % CALLS == READ_KEYED);
        break;
    case NEWEST:
        read_newest(answer);
        break;
    case JOINED:
        hs_platform_read_join_response(answer, &number, parts);
        break;
    case APPENDED:
        hs_platform_read_appended_offset(answer, &number);
        break;
    default:
        hs_platform_read_first_offset(answer, &number);
        break;
    }
    g_array_free(parts, TRUE);
    g_byte_array_free(answer, TRUE);
    return 0;
}
