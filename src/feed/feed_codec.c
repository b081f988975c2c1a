/** @file feed_codec.c  See feed_codec.h. */
#include "feed/feed_codec.h"

#include "gen/feed.pb-c.h"

#include <string.h>

/** Longest time for which a request is held; a longer wait in a request is cut to it. */
#define MAX_WAIT_MS 2000
/** Marks a part of a listing. */
#define LISTING_PARAMETER "&listing=1"

char *hs_feed_request_write(const char *name, const hs_feed_request *request) {
    return g_strdup_printf(HS_FEED_TARGET_PREFIX "%s?from=%" G_GUINT64_FORMAT "&wait=%u%s", name,
                           (guint64)request->from, request->wait_ms,
                           request->is_listing ? LISTING_PARAMETER : "");
}

/** Skips @p text at the start of @p rest. Returns whether it was there. */
static bool skip(const char **rest, const char *text) {
    if (!g_str_has_prefix(*rest, text))
        return false;
    *rest += strlen(text);
    return true;
}

/** Reads a decimal number at the start of @p rest and skips it. */
static bool take_number(const char **rest, uint64_t *number) {
    char *end = NULL;
    if (!g_ascii_isdigit(**rest))
        return false;
    *number = g_ascii_strtoull(*rest, &end, 10);
    *rest = end;
    return true;
}

bool hs_feed_request_read(const char *target, const char *name, hs_feed_request *request) {
    uint64_t wait_ms = 0;
    const char *rest = target;
    bool is_valid = skip(&rest, HS_FEED_TARGET_PREFIX) && skip(&rest, name) &&
                    skip(&rest, "?from=") && take_number(&rest, &request->from) &&
                    skip(&rest, "&wait=") && take_number(&rest, &wait_ms) &&
                    (*rest == '\0' || *rest == '&');
    request->wait_ms = (uint32_t)MIN(wait_ms, MAX_WAIT_MS);
    request->is_listing = is_valid && g_str_has_prefix(rest, LISTING_PARAMETER);
    return is_valid;
}

static Hs__FeedRecord *encode_record(const hs_feed_record *record, uint64_t now_ms) {
    gsize length = 0;
    const void *value = g_bytes_get_data(record->value, &length);
    Hs__FeedRecord *encoded = g_new(Hs__FeedRecord, 1);
    hs__feed_record__init(encoded);
    encoded->key =
        (ProtobufCBinaryData){.data = (uint8_t *)record->key, .len = strlen(record->key)};
    encoded->value = (ProtobufCBinaryData){.data = (uint8_t *)value, .len = length};
    encoded->offset = record->offset;
    encoded->age_ms = now_ms - MIN(now_ms, record->read_ms);
    return encoded;
}

GByteArray *hs_feed_answer_encode(const hs_feed_log *log, uint64_t from, size_t max_bytes,
                                  const hs_feed_answer_terms *terms) {
    bool has_more = false;
    g_autoptr(GPtrArray) records =
        hs_feed_log_changes(log, from, terms->next, max_bytes, &has_more);
    g_autoptr(GPtrArray) encoded = g_ptr_array_new_with_free_func(g_free);
    for (guint index = 0; index < records->len; index++)
        g_ptr_array_add(encoded, encode_record(records->pdata[index], terms->now_ms));
    Hs__FeedAnswer answer = HS__FEED_ANSWER__INIT;
    answer.next = terms->next;
    answer.floor = terms->floor;
    answer.age_ms =
        terms->as_of_ms != 0 ? terms->now_ms - MIN(terms->now_ms, terms->as_of_ms) : UINT64_MAX;
    answer.held_ms = terms->held_ms;
    answer.hops = terms->hops;
    answer.has_more = has_more || terms->is_partial;
    answer.is_cut_off = terms->is_cut_off;
    answer.source = terms->source;
    answer.n_records = encoded->len;
    answer.records = (Hs__FeedRecord **)encoded->pdata;
    GByteArray *bytes = g_byte_array_new();
    g_byte_array_set_size(bytes, (guint)hs__feed_answer__get_packed_size(&answer));
    hs__feed_answer__pack(&answer, bytes->data);
    return bytes;
}

/**
 * Adds a decoded record. Returns false if its key is empty or has a NUL byte, or its offset is
 * below
 * @p minimum or not below the sender's position.
 */
static bool add_record(const Hs__FeedRecord *record, uint64_t minimum, uint64_t asked_ms,
                       hs_feed_answer *answer) {
    if (record->key.len == 0 || memchr(record->key.data, '\0', record->key.len) != NULL ||
        record->offset < minimum || record->offset >= answer->next)
        return false;
    g_autofree char *key = g_strndup((const char *)record->key.data, record->key.len);
    g_autoptr(GBytes) value = g_bytes_new(record->value.data, record->value.len);
    g_ptr_array_add(answer->records, hs_feed_record_new(key, value, record->offset,
                                                        asked_ms - MIN(asked_ms, record->age_ms)));
    return true;
}

bool hs_feed_answer_decode(const GByteArray *bytes, uint64_t from, uint64_t asked_ms,
                           uint64_t received_ms, hs_feed_answer *answer) {
    *answer = (hs_feed_answer){.records = g_ptr_array_new_with_free_func(hs_feed_record_unref)};
    Hs__FeedAnswer *decoded = hs__feed_answer__unpack(NULL, bytes->len, bytes->data);
    bool is_valid = decoded != NULL;
    if (is_valid) {
        /* The records are at least as recent as when the sender began to hold the request. */
        uint64_t answered_ms = asked_ms + MIN(decoded->held_ms, received_ms - asked_ms);
        answer->next = decoded->next;
        answer->floor = decoded->floor;
        answer->has_more = decoded->has_more;
        answer->hops = decoded->hops;
        answer->is_cut_off = decoded->is_cut_off;
        answer->source = decoded->source;
        answer->as_of_ms = answered_ms - MIN(answered_ms, decoded->age_ms);
    }
    uint64_t minimum = from;
    for (size_t index = 0; is_valid && index < decoded->n_records; index++) {
        is_valid = add_record(decoded->records[index], minimum, asked_ms, answer);
        minimum = decoded->records[index]->offset + 1;
    }
    if (decoded != NULL)
        hs__feed_answer__free_unpacked(decoded, NULL);
    if (!is_valid)
        hs_feed_answer_clear(answer);
    return is_valid;
}

void hs_feed_answer_clear(hs_feed_answer *answer) {
    if (answer->records != NULL)
        g_ptr_array_unref(answer->records);
    answer->records = NULL;
}
