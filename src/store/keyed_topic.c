/** @file keyed_topic.c  See keyed_topic.h. */
#include "store/keyed_topic.h"

#include "base/clock.h"

/** Reads the page of records after the key @p after, and sets @p after to the last key read. */
static bool read_page(hs_store_client *store, hs_topic topic, uint32_t timeout_ms, GBytes **after,
                      GArray *entries, bool *has_more) {
    hs_store_call call = hs_platform_build_newest_call(topic, *after);
    hs_deadline deadline = hs_clock_monotonic_ms() + timeout_ms;
    GByteArray *response = g_byte_array_new();
    hs_newest_page page = {0};
    bool is_read = hs_store_client_send(store, &call, deadline, NULL, response) == HS_STORE_DONE &&
                   hs_platform_read_newest(response, entries, &page) &&
                   !hs_newest_page_is_repeated(&page, *after);
    g_byte_array_free(response, TRUE);
    *has_more = is_read && page.has_more;
    if (*has_more) {
        g_bytes_unref(*after);
        *after = g_steal_pointer(&page.last_key);
    }
    hs_newest_page_clear(&page);
    return is_read;
}

bool hs_keyed_topic_read(hs_store_client *store, hs_topic topic, uint32_t timeout_ms,
                         hs_keyed_topic_callback on_record, void *user_data) {
    g_autoptr(GBytes) after = NULL;
    bool has_more = true;
    bool is_read = true;
    while (has_more && is_read) {
        GArray *entries = hs_newest_entries_new();
        is_read = read_page(store, topic, timeout_ms, &after, entries, &has_more);
        for (guint index = 0; is_read && index < entries->len; index++)
            on_record(&g_array_index(entries, hs_newest_entry, index), user_data);
        g_array_free(entries, TRUE);
    }
    return is_read;
}

hs_store_outcome hs_keyed_topic_write(hs_store_client *store, hs_topic topic, const char *key,
                                      const void *value, size_t length, uint32_t timeout_ms) {
    GByteArray *records = g_byte_array_new();
    hs_platform_frame_keyed_record(records, key, value, length);
    hs_store_call call = hs_platform_build_append_call(topic, 0, records);
    GByteArray *response = g_byte_array_new();
    hs_store_outcome outcome =
        hs_store_client_send(store, &call, hs_clock_monotonic_ms() + timeout_ms, NULL, response);
    g_byte_array_free(records, TRUE);
    g_byte_array_free(response, TRUE);
    return outcome;
}
