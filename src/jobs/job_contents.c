/** @file job_contents.c  See job_contents.h. */
#include "jobs/job_contents.h"

#include "platform/store_codec.h"

hs_job_contents *hs_job_contents_new(size_t record_bytes, size_t call_bytes) {
    hs_job_contents *contents = g_new0(hs_job_contents, 1);
    contents->calls = g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
    contents->places = g_array_new(FALSE, FALSE, sizeof(hs_content_place));
    contents->record_bytes = record_bytes;
    contents->call_bytes = call_bytes;
    return contents;
}

void hs_job_contents_free(hs_job_contents *contents) {
    if (contents == NULL)
        return;
    g_ptr_array_free(contents->calls, TRUE);
    g_array_free(contents->places, TRUE);
    g_free(contents);
}

/** Receives a message as it is packed, and frames it as records. */
typedef struct {
    ProtobufCBuffer base;
    GByteArray *call;
    size_t record_bytes;
    size_t message_left; /**< Bytes of the message that were not received yet. */
    size_t record_left;  /**< Bytes missing in the last record. */
    uint64_t records;
} framing_buffer;

static void append_framed(ProtobufCBuffer *base, size_t length, const uint8_t *bytes) {
    framing_buffer *buffer = (framing_buffer *)base;
    while (length > 0) {
        if (buffer->record_left == 0) {
            buffer->record_left = MIN(buffer->record_bytes, buffer->message_left);
            hs_platform_begin_record(buffer->call, buffer->record_left);
            buffer->records++;
        }
        size_t taken = MIN(length, buffer->record_left);
        g_byte_array_append(buffer->call, bytes, (guint)taken);
        buffer->record_left -= taken;
        buffer->message_left -= taken;
        bytes += taken;
        length -= taken;
    }
}

/** Returns the call for @p needed more bytes: the last one, or a new one if they don't fit. */
static GByteArray *select_call(hs_job_contents *contents, size_t needed) {
    GByteArray *last =
        contents->calls->len > 0 ? contents->calls->pdata[contents->calls->len - 1] : NULL;
    if (last != NULL && last->len + needed <= contents->call_bytes)
        return last;
    GByteArray *call = g_byte_array_new();
    g_ptr_array_add(contents->calls, call);
    contents->records = 0;
    return call;
}

void hs_job_contents_add(hs_job_contents *contents, const Hs__JobItemContent *content) {
    size_t length = hs__job_item_content__get_packed_size(content);
    size_t records = length / contents->record_bytes + 1;
    GByteArray *call = select_call(contents, length + records * HS_STORE_FRAME_BYTES);
    hs_content_place place = {
        .call = contents->calls->len - 1, .position = contents->records, .bytes = (uint32_t)length};
    framing_buffer buffer = {.base = {.append = append_framed},
                             .call = call,
                             .record_bytes = contents->record_bytes,
                             .message_left = length};
    hs__job_item_content__pack_to_buffer(content, &buffer.base);
    contents->records += buffer.records;
    g_array_append_val(contents->places, place);
}

size_t hs_job_contents_size(const hs_job_contents *contents) {
    size_t bytes = 0;
    for (guint index = 0; index < contents->calls->len; index++)
        bytes += ((const GByteArray *)contents->calls->pdata[index])->len;
    return bytes;
}
