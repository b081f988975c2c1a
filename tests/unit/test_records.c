/**
 * @file test_records.c
 * Tests that this build reads stored records of earlier builds, and records with fields or kinds
 * that a later build may add.
 *
 * tests/upgrade/records/COMMIT/ holds records that daemons of that build wrote in the suite
 * fleet_upgrade, each after its length in four bytes (big-endian): a job's manifest, progress and
 * results, the contents of two items, and a keyed record of a quarantined content.
 */
#include "directory/crash_codec.h"
#include "gen/job.pb-c.h"
#include "jobs/job_state.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

#define RECORDS_FOLDER "tests/upgrade/records"
/** Number of items of the job in each folder. */
#define JOB_ITEMS 4
/** A field that no build defines: number 15, a varint. */
static const uint8_t unknown_field[] = {0x78, 0x01};
/** A kind of record that no build defines: number 15, a message. */
static const uint8_t unknown_kind[] = {0x7a, 0x02, 0x08, 0x01};

/** Reads a file of records (GBytes*). */
static GPtrArray *read_records(const char *commit, const char *file) {
    g_autofree char *path = g_build_filename(RECORDS_FOLDER, commit, file, NULL);
    GPtrArray *records = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    g_autofree char *bytes = NULL;
    gsize length = 0;
    CU_ASSERT_TRUE_FATAL(g_file_get_contents(path, &bytes, &length, NULL));
    guint32 size = 0;
    for (gsize position = 0; position + sizeof size <= length; position += size) {
        memcpy(&size, bytes + position, sizeof size);
        size = GUINT32_FROM_BE(size);
        position += sizeof size;
        CU_ASSERT_FATAL(position + size <= length);
        g_ptr_array_add(records, g_bytes_new(bytes + position, size));
    }
    return records;
}

/** Applies a record with bytes appended, at the state's next offset. */
static bool apply_with_suffix(hs_job_state *state, GBytes *record, const uint8_t *suffix,
                              size_t suffix_length) {
    gsize length = 0;
    const uint8_t *bytes = g_bytes_get_data(record, &length);
    g_autoptr(GByteArray) extended_record = g_byte_array_new();
    g_byte_array_append(extended_record, bytes, (guint)length);
    g_byte_array_append(extended_record, suffix, (guint)suffix_length);
    return hs_job_state_apply(state, hs_job_state_next_offset(state), extended_record->data,
                              extended_record->len);
}

static void check_complete_job(const hs_job_state *state) {
    g_autoptr(GPtrArray) jobs = hs_job_state_list(state);
    CU_ASSERT_EQUAL_FATAL(jobs->len, 1);
    const hs_job *job = jobs->pdata[0];
    CU_ASSERT_EQUAL(job->items->len, JOB_ITEMS);
    CU_ASSERT_EQUAL(job->results->len, JOB_ITEMS);
    for (guint position = 0; position < job->results->len; position++) {
        const hs_job_result *result = job->results->pdata[position];
        CU_ASSERT_EQUAL(result->outcome, HS_ITEM_COMPLETED);
        CU_ASSERT_TRUE(g_str_has_prefix(result->text, "token 1 of "));
    }
}

static void check_jobs(const char *commit) {
    g_autoptr(GPtrArray) records = read_records(commit, "jobs.bin");
    hs_job_state *unchanged = hs_job_state_new();
    hs_job_state *extended = hs_job_state_new();
    for (guint index = 0; index < records->len; index++) {
        GBytes *record = records->pdata[index];
        gsize length = g_bytes_get_size(record);
        g_autoptr(GBytes) half = g_bytes_new_from_bytes(record, 0, length / 2);
        CU_ASSERT_TRUE(apply_with_suffix(unchanged, record, NULL, 0));
        CU_ASSERT_FALSE(apply_with_suffix(extended, half, NULL, 0));
        CU_ASSERT_TRUE(apply_with_suffix(extended, record, unknown_field, sizeof unknown_field));
        hs_job_state_apply(extended, hs_job_state_next_offset(extended), unknown_kind,
                           sizeof unknown_kind);
    }
    check_complete_job(unchanged);
    check_complete_job(extended);
    hs_job_state_free(unchanged);
    hs_job_state_free(extended);
}

static void check_contents(const char *commit) {
    g_autoptr(GPtrArray) records = read_records(commit, "bodies.bin");
    CU_ASSERT(records->len > 0);
    for (guint index = 0; index < records->len; index++) {
        gsize length = 0;
        const uint8_t *bytes = g_bytes_get_data(records->pdata[index], &length);
        Hs__JobItemContent *content = hs__job_item_content__unpack(NULL, length, bytes);
        CU_ASSERT_PTR_NOT_NULL_FATAL(content);
        if (content == NULL)
            return;
        CU_ASSERT_STRING_EQUAL(content->path, "/jobs/run");
        CU_ASSERT_EQUAL(content->body.len, strlen("hello"));
        hs__job_item_content__free_unpacked(content, NULL);
    }
}

/** A keyed record holds the length of its key in one byte, the key and the value. */
static void check_crashes(const char *commit) {
    g_autoptr(GPtrArray) records = read_records(commit, "crashes.bin");
    CU_ASSERT_EQUAL_FATAL(records->len, 1);
    gsize length = 0;
    const uint8_t *bytes = g_bytes_get_data(records->pdata[0], &length);
    size_t header_length = 1 + (size_t)bytes[0];
    Hs__CrashEvidence *message =
        hs__crash_evidence__unpack(NULL, length - header_length, bytes + header_length);
    CU_ASSERT_PTR_NOT_NULL_FATAL(message);
    if (message == NULL)
        return;
    hs_crash_evidence evidence = hs_crash_codec_read(message, G_GUINT64_CONSTANT(1000000));
    CU_ASSERT(evidence.engine_count >= HS_MIN_CRASHES_TO_QUARANTINE);
    CU_ASSERT(hs_crash_evidence_suspect_since_ms(&evidence) > 0);
    CU_ASSERT_FALSE(hs_crash_evidence_has_long_run(&evidence)); /* No durations. */
    hs__crash_evidence__free_unpacked(message, NULL);
}

static void records_of_earlier_builds_are_read(void) {
    g_autoptr(GDir) folder = g_dir_open(RECORDS_FOLDER, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(folder);
    uint32_t builds = 0;
    for (const char *commit = g_dir_read_name(folder); commit != NULL;
         commit = g_dir_read_name(folder)) {
        check_jobs(commit);
        check_contents(commit);
        check_crashes(commit);
        builds++;
    }
    CU_ASSERT(builds > 0);
}

const test_case record_tests[] = {
    {"records_of_earlier_builds_are_read", records_of_earlier_builds_are_read},
    {NULL, NULL},
};
