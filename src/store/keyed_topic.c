/** @file keyed_topic.c  See keyed_topic.h. */
#include "store/keyed_topic.h"

#include "base/clock.h"

/** One page of records after the key @p after, which is replaced by the last one read. */
static bool read_page(hs_store_client *store, hs_topic topic, uint32_t call_limit_ms, char **after,
                      GArray *entries, bool *has_more) {
    hs_store_call call = hs_platform_build_newest_call(topic, *after);
    hs_deadline deadline = hs_clock_monotonic_ms() + call_limit_ms;
    GByteArray *answer = g_byte_array_new();
    uint64_t end = 0;
    bool is_read = hs_store_client_send(store, &call, deadline, NULL, answer) == HS_STORE_DONE &&
                   hs_platform_read_newest(answer, entries, has_more, &end);
    g_byte_array_free(answer, TRUE);
    *has_more = is_read && *has_more && entries->len > 0;
    if (is_read && entries->len > 0) {
        g_free(*after);
        *after = g_strdup(g_array_index(entries, hs_newest_entry, entries->len - 1).key);
    }
    return is_read;
}

bool hs_keyed_topic_read(hs_store_client *store, hs_topic topic, uint32_t call_limit_ms,
                         hs_keyed_taker take, void *user_data) {
    g_autofree char *after = NULL;
    bool has_more = true;
    bool is_read = true;
    while (has_more && is_read) {
        GArray *entries = hs_newest_entries_new();
        is_read = read_page(store, topic, call_limit_ms, &after, entries, &has_more);
        for (guint index = 0; is_read && index < entries->len; index++)
            take(&g_array_index(entries, hs_newest_entry, index), user_data);
        g_array_free(entries, TRUE);
    }
    return is_read;
}

hs_store_outcome hs_keyed_topic_write(hs_store_client *store, hs_topic topic, const char *key,
                                      const void *value, size_t length, uint32_t call_limit_ms) {
    GByteArray *records = g_byte_array_new();
    hs_platform_frame_keyed_record(records, key, value, length);
    hs_store_call call = hs_platform_build_append_call(topic, 0, records);
    GByteArray *answer = g_byte_array_new();
    hs_store_outcome outcome =
        hs_store_client_send(store, &call, hs_clock_monotonic_ms() + call_limit_ms, NULL, answer);
    g_byte_array_free(records, TRUE);
    g_byte_array_free(answer, TRUE);
    return outcome;
}
