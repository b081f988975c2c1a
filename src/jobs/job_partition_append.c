/**
 * @file job_partition_append.c
 * Appends records, results, progress and contents to a partition; see job_partition.h.
 */
#include "jobs/job_partition_state.h"

#include "base/clock.h"

#define RECORD_OVERHEAD_BYTES 512

static void frame(GByteArray *records, const Hs__JobRecord *record) {
    size_t length = hs__job_record__get_packed_size(record);
    hs_platform_begin_record(records, length);
    guint start = records->len;
    g_byte_array_set_size(records, start + (guint)length);
    hs__job_record__pack(record, records->data + start);
}

static hs_store_outcome append_records(hs_job_partition *partition, hs_topic topic,
                                       GByteArray *records, const hs_body_regions *regions,
                                       hs_deadline deadline, uint64_t *offset) {
    hs_store_outcome outcome = HS_STORE_REFUSED;
    if (hs_clock_monotonic_ms() >= deadline) /* The daemon may have been suspended. */
        return outcome;
    if (partition->settings.relay != NULL)
        outcome = hs_job_relay_append(partition->settings.relay, topic, partition->number, records,
                                      regions, deadline, offset);
    if (outcome != HS_STORE_REFUSED)
        return outcome;
    hs_store_call call = hs_platform_build_append_call(topic, partition->number, records);
    GByteArray *answer = g_byte_array_new();
    outcome = hs_store_client_send(partition->settings.store, &call, deadline, NULL, answer);
    if (outcome == HS_STORE_DONE && !hs_platform_read_appended_offset(answer, offset))
        outcome = HS_STORE_UNKNOWN;
    g_byte_array_free(answer, TRUE);
    return outcome;
}

static hs_store_outcome append_record(hs_job_partition *partition, const Hs__JobRecord *record,
                                      hs_deadline deadline, uint64_t *offset) {
    GByteArray *records = g_byte_array_new();
    frame(records, record);
    hs_store_outcome outcome = HS_STORE_INVALID;
    if (records->len <= partition->settings.record_bytes)
        outcome = append_records(partition, HS_TOPIC_JOBS, records, NULL, deadline, offset);
    g_byte_array_free(records, TRUE);
    return outcome;
}

hs_store_outcome hs_job_partition_append(hs_job_partition *partition, const Hs__JobRecord *record,
                                         hs_deadline deadline) {
    uint64_t offset = 0;
    return append_record(partition, record, deadline, &offset);
}

hs_store_outcome hs_job_partition_append_end(hs_job_partition *partition, const char *job_id,
                                             hs_deadline deadline, uint64_t *offset) {
    Hs__JobEnd end = HS__JOB_END__INIT;
    end.job_id = (char *)job_id;
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_END;
    record.end = &end;
    return append_record(partition, &record, deadline, offset);
}

hs_store_outcome hs_job_partition_append_result(hs_job_partition *partition, const char *job_id,
                                                uint32_t item, hs_item_outcome outcome,
                                                const GString *text, const hs_body_regions *regions,
                                                hs_deadline deadline) {
    size_t piece = partition->settings.record_bytes - RECORD_OVERHEAD_BYTES;
    uint32_t parts = (uint32_t)MAX((text->len + piece - 1) / piece, 1);
    GByteArray *records = g_byte_array_new();
    for (uint32_t part = 0; part < parts; part++) {
        size_t start = (size_t)part * piece;
        Hs__JobResult result = HS__JOB_RESULT__INIT;
        result.job_id = (char *)job_id;
        result.item = item;
        result.state = outcome == HS_ITEM_COMPLETED ? HS__JOB_ITEM_STATE__JOB_ITEM_COMPLETED
                                                    : HS__JOB_ITEM_STATE__JOB_ITEM_DEAD;
        result.part = part;
        result.parts = parts;
        result.text.data = (uint8_t *)text->str + start;
        result.text.len = MIN(piece, text->len - start);
        Hs__JobRecord record = HS__JOB_RECORD__INIT;
        record.kind_case = HS__JOB_RECORD__KIND_RESULT;
        record.result = &result;
        frame(records, &record);
    }
    uint64_t offset = 0;
    hs_store_outcome stored =
        append_records(partition, HS_TOPIC_JOBS, records, regions, deadline, &offset);
    g_byte_array_free(records, TRUE);
    return stored;
}

bool hs_job_partition_frame_progress(const hs_job_partition *partition,
                                     const hs_job_progress *progress, GByteArray *records) {
    if (progress->text->len + RECORD_OVERHEAD_BYTES > partition->settings.record_bytes)
        return false;
    Hs__JobProgress message = HS__JOB_PROGRESS__INIT;
    message.job_id = (char *)progress->job_id;
    message.item = progress->item;
    message.from_event = progress->from_event;
    message.last_event = progress->last_event;
    message.writer = progress->writer;
    message.base_event = progress->base_event;
    message.software = progress->software;
    message.text.data = (uint8_t *)progress->text->str;
    message.text.len = progress->text->len;
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_PROGRESS;
    record.progress = &message;
    frame(records, &record);
    return true;
}

hs_store_outcome hs_job_partition_append_framed(hs_job_partition *partition, GByteArray *records,
                                                const hs_body_regions *regions,
                                                hs_deadline deadline) {
    uint64_t offset = 0;
    return append_records(partition, HS_TOPIC_JOBS, records, regions, deadline, &offset);
}

hs_store_outcome hs_job_partition_append_contents(hs_job_partition *partition,
                                                  const hs_job_contents *contents, GArray *offsets,
                                                  const hs_body_regions *regions,
                                                  hs_deadline deadline) {
    g_autoptr(GArray) bases = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    hs_store_outcome outcome = HS_STORE_DONE;
    for (guint call = 0; call < contents->calls->len && outcome == HS_STORE_DONE; call++) {
        uint64_t base = 0;
        outcome = append_records(partition, HS_TOPIC_BODIES, contents->calls->pdata[call], regions,
                                 deadline, &base);
        g_array_append_val(bases, base);
    }
    for (guint index = 0; index < contents->places->len && outcome == HS_STORE_DONE; index++) {
        const hs_content_place *place = &g_array_index(contents->places, hs_content_place, index);
        uint64_t offset = g_array_index(bases, uint64_t, place->call) + place->position;
        g_array_append_val(offsets, offset);
    }
    return outcome;
}

hs_job_contents *hs_job_partition_new_contents(const hs_job_partition *partition) {
    return hs_job_contents_new(partition->settings.record_bytes, partition->settings.call_bytes);
}
