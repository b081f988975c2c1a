/** @file submission.c  Fuzz target: submissions of batch jobs. */
#include "platform/job_codec.h"
#include "tests/fuzz/fuzz.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
    hs_error error = {0};
    GArray *items = hs_platform_read_submission(data, size, &error);
    if (items == NULL) {
        FUZZ_CHECK(error.code != 0);
        return 0;
    }
    FUZZ_CHECK(items->len > 0);
    for (guint index = 0; index < items->len; index++) {
        const hs_submitted_item *item = &g_array_index(items, hs_submitted_item, index);
        FUZZ_CHECK(item->id != NULL && *item->id != '\0' && item->path != NULL);
    }
    g_array_free(items, TRUE);
    return 0;
}
