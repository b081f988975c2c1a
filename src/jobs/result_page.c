/** @file result_page.c  See result_page.h. */
#include "jobs/result_page.h"

#include "platform/job_codec.h"

/** Maximum size of one page of results; callers accept up to one megabyte. */
#define MAX_PAGE_BYTES (1000U * 1000)
/** Upper bound of the JSON added to each result of a page. */
#define ITEM_OVERHEAD_BYTES 256
/** Upper bound of a page without results. */
#define MAX_EMPTY_PAGE_BYTES 128
/** Forms of the results that exist at once: first the tree and its text, then that and the reply.
 */
#define PAGE_FORMS 2

/**
 * Returns the size of a page with the results from @p position on, up to the maximum size or with
 * one result. Sets @p end to the position after the last of them.
 */
static size_t select_results(const hs_job *job, uint64_t position, uint64_t *end) {
    size_t size = 0;
    *end = position;
    for (uint64_t index = position; index < job->results->len; index++) {
        const hs_job_result *result = job->results->pdata[index];
        size_t added = result->length + ITEM_OVERHEAD_BYTES;
        if (index > position && size + added > MAX_PAGE_BYTES)
            break;
        size += added;
        *end = index + 1;
    }
    return size;
}

uint64_t hs_result_page_measure(const hs_job *job, uint64_t position) {
    uint64_t end = 0;
    return job != NULL ? PAGE_FORMS * (uint64_t)select_results(job, position, &end) : 0;
}

hs_result_page hs_result_page_build(const hs_job *job, uint64_t position) {
    if (job == NULL)
        return (hs_result_page){0};
    g_autofree hs_result_view *views = g_new0(hs_result_view, job->results->len + 1);
    size_t count = 0;
    uint64_t end = 0;
    bool is_unreadable = false;
    select_results(job, position, &end);
    for (uint64_t index = position; index < end; index++) {
        const hs_job_result *result = job->results->pdata[index];
        hs_result_view view = {.item_id = g_array_index(job->items, hs_job_item, result->item).id,
                               .completed = result->outcome == HS_ITEM_COMPLETED,
                               .text = result->text,
                               .length = result->length};
        is_unreadable = !hs_platform_can_write_result(&view);
        if (is_unreadable)
            break;
        views[count++] = view;
    }
    if (is_unreadable && count == 0)
        return (hs_result_page){.is_unreadable = true};
    return (hs_result_page){
        .text = hs_platform_write_results(job->items->len, position + count, views, count),
        .count = count,
        .is_final = job->results->len >= job->items->len,
        .is_ended = job->ended,
        .is_beyond = position > job->results->len};
}

bool hs_result_page_is_definite(const hs_result_page *page, hs_fold_knowledge fold) {
    if (page->text == NULL)
        return false;
    if (page->is_beyond)
        return fold == HS_FOLD_COMPLETE;
    return fold != HS_FOLD_STALE || page->count > 0 || page->is_final;
}

bool hs_result_page_is_ready(const hs_result_page *page) {
    return page->count > 0 || page->is_final || page->is_ended;
}

bool hs_owner_page_is_definite(const hs_owner_page *page) {
    if (page->length > MAX_EMPTY_PAGE_BYTES)
        return true;
    uint64_t total = 0;
    uint64_t next = 0;
    if (!hs_platform_read_page_bounds(page->bytes, page->length, &total, &next))
        return false;
    bool is_final = next >= total;
    if (next > page->position || is_final)
        return true;
    return page->known_results <= page->position && (page->states_fold_age || page->was_held);
}
