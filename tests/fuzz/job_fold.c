/**
 * @file job_fold.c
 * Fuzz target: the fold of a job partition. The input is a sequence of records, each preceded by
 * its length in one byte. Applying a record a second time must not change what callers can read.
 */
#include "jobs/job_state.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

/** Checks the listed results, and returns a hash of the state that callers can read. */
static uint64_t hash_visible_results(const hs_job_state *state) {
    g_autoptr(GPtrArray) jobs = hs_job_state_list(state);
    uint64_t sum = jobs->len;
    for (guint index = 0; index < jobs->len; index++) {
        const hs_job *job = jobs->pdata[index];
        uint64_t job_hash = g_str_hash(job->id) + job->items->len * 31 + job->ended * 7;
        for (guint position = 0; position < job->results->len; position++) {
            const hs_job_result *result = job->results->pdata[position];
            FUZZ_CHECK(result->item < job->items->len);
            FUZZ_CHECK(g_array_index(job->items, hs_job_item, result->item).listed);
            job_hash = job_hash * 31 + result->item * 3 + result->outcome + result->length;
        }
        FUZZ_CHECK(job->results->len <= job->items->len);
        sum += job_hash; /* The sum does not depend on the order of the list, which is undefined. */
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
        uint64_t once_hash = hash_visible_results(state);
        hs_job_state_apply(state, offset++, record, length);
        FUZZ_CHECK(hash_visible_results(state) == once_hash);
        position += length + 1;
    }
    hs_job_state_first_needed_content(state);
    hs_job_state_expire(state, 1);
    hs_job_state_free(state);
    return 0;
}
