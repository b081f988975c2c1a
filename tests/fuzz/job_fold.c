/**
 * @file job_fold.c
 * Fuzz target: the fold of a partition. The input is records, each behind its length in one byte.
 * Any record may come again and changes nothing then; what is listed keeps its place and text.
 */
#include "jobs/job_state.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

/** A number that changes with all that callers can see. */
static uint64_t seen_by_callers(const hs_job_state *state) {
    g_autoptr(GPtrArray) jobs = hs_job_state_list(state);
    uint64_t sum = jobs->len;
    for (guint index = 0; index < jobs->len; index++) {
        const hs_job *job = jobs->pdata[index];
        uint64_t seen = g_str_hash(job->id) + job->items->len * 31 + job->ended * 7;
        for (guint position = 0; position < job->results->len; position++) {
            const hs_job_result *result = job->results->pdata[position];
            FUZZ_CHECK(result->item < job->items->len);
            FUZZ_CHECK(g_array_index(job->items, hs_job_item, result->item).listed);
            seen = seen * 31 + result->item * 3 + result->outcome + result->length;
        }
        FUZZ_CHECK(job->results->len <= job->items->len);
        sum += seen; /* The list has no order. */
    }
    return sum;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
    hs_job_state *state = hs_job_state_new();
    uint64_t offset = 0;
    for (size_t position = 0; position < size;) {
        size_t length = MIN((size_t)data[position], size - position - 1);
        const uint8_t *record = data + position + 1;
        hs_job_state_apply(state, offset++, record, length);
        uint64_t once = seen_by_callers(state);
        hs_job_state_apply(state, offset++, record, length);
        FUZZ_CHECK(seen_by_callers(state) == once);
        position += length + 1;
    }
    hs_job_state_first_needed_content(state);
    hs_job_state_expire(state, 1);
    hs_job_state_free(state);
    return 0;
}
