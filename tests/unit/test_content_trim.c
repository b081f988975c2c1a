/** @file test_content_trim.c  Tests which contents an owner may trim. */
#include "jobs/content_trim.h"
#include "tests/unit/unit_tests.h"

#define READ_STEP_MS 500

/** Keeps the fold complete for @p duration_ms from @p from_ms on. */
static uint64_t read_for(hs_content_trim *trim, uint64_t from_ms, uint64_t duration_ms) {
    for (uint64_t passed_ms = 0; passed_ms < duration_ms; passed_ms += READ_STEP_MS)
        hs_content_trim_add_read_time(trim, from_ms + passed_ms,
                                      from_ms + passed_ms + READ_STEP_MS);
    return from_ms + duration_ms;
}

/** Otherwise contents whose manifest is still under way would be trimmed. */
static void contents_are_trimmed_a_while_after_they_were_noted(void) {
    hs_content_trim trim = {0};
    CU_ASSERT_EQUAL(hs_content_trim_next(&trim, 8), 0);
    uint64_t now_ms = read_for(&trim, 1000, HS_CONTENT_TRIM_AGE_MS - READ_STEP_MS);
    CU_ASSERT_EQUAL(hs_content_trim_next(&trim, 20), 0);
    read_for(&trim, now_ms, READ_STEP_MS);
    CU_ASSERT_EQUAL(hs_content_trim_next(&trim, 20), 8);
    CU_ASSERT_EQUAL(hs_content_trim_next(&trim, 30), 0);
}

/** Guards against a trim past a job that became known after the note. */
static void contents_that_are_needed_by_now_are_kept(void) {
    hs_content_trim trim = {0};
    hs_content_trim_next(&trim, 8);
    read_for(&trim, 1000, HS_CONTENT_TRIM_AGE_MS);
    CU_ASSERT_EQUAL(hs_content_trim_next(&trim, 3), 3);
    hs_content_trim_confirm(&trim, 3);
    read_for(&trim, 50000, HS_CONTENT_TRIM_AGE_MS);
    CU_ASSERT_EQUAL(hs_content_trim_next(&trim, 3), 0);
}

/** Guards against a trim right after an absence of the store, which may hold appends back. */
static void time_without_reads_does_not_count(void) {
    hs_content_trim trim = {0};
    hs_content_trim_next(&trim, 8);
    hs_content_trim_add_read_time(&trim, 1000, 1000 + 2 * HS_CONTENT_TRIM_AGE_MS);
    CU_ASSERT_EQUAL(hs_content_trim_next(&trim, 8), 0);
    read_for(&trim, 100000, HS_CONTENT_TRIM_AGE_MS);
    CU_ASSERT_EQUAL(hs_content_trim_next(&trim, 8), 8);
}

/** Guards against a job whose contents are trimmed because no job was open when it came. */
static void a_job_that_comes_while_no_job_is_open_keeps_its_contents(void) {
    hs_content_trim trim = {0};
    hs_content_trim_next(&trim, 8);
    uint64_t now_ms = read_for(&trim, 1000, HS_CONTENT_TRIM_AGE_MS);
    CU_ASSERT_EQUAL(hs_content_trim_next(&trim, UINT64_MAX), 8);
    hs_content_trim_confirm(&trim, 8);
    now_ms = read_for(&trim, now_ms, 2 * HS_CONTENT_TRIM_AGE_MS);
    CU_ASSERT_EQUAL(hs_content_trim_next(&trim, UINT64_MAX), 0);
    CU_ASSERT_EQUAL(hs_content_trim_next(&trim, 40), 0);
    /* Another one that came at the same time, with earlier contents. */
    read_for(&trim, now_ms, HS_CONTENT_TRIM_AGE_MS);
    CU_ASSERT_EQUAL(hs_content_trim_next(&trim, 32), 32);
}

/** Otherwise a trim whose answer was lost would not be repeated. */
static void an_unconfirmed_trim_is_repeated(void) {
    hs_content_trim trim = {0};
    hs_content_trim_next(&trim, 8);
    uint64_t now_ms = read_for(&trim, 1000, HS_CONTENT_TRIM_AGE_MS);
    CU_ASSERT_EQUAL(hs_content_trim_next(&trim, 8), 8);
    read_for(&trim, now_ms, HS_CONTENT_TRIM_AGE_MS);
    CU_ASSERT_EQUAL(hs_content_trim_next(&trim, 8), 8);
}

const test_case content_trim_tests[] = {
    {"contents_are_trimmed_a_while_after_they_were_noted",
     contents_are_trimmed_a_while_after_they_were_noted},
    {"contents_that_are_needed_by_now_are_kept", contents_that_are_needed_by_now_are_kept},
    {"time_without_reads_does_not_count", time_without_reads_does_not_count},
    {"a_job_that_comes_while_no_job_is_open_keeps_its_contents",
     a_job_that_comes_while_no_job_is_open_keeps_its_contents},
    {"an_unconfirmed_trim_is_repeated", an_unconfirmed_trim_is_repeated},
    {NULL, NULL}};
