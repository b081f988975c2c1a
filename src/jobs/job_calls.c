/**
 * @file job_calls.c
 * Callers' calls about jobs that were submitted: results, an item's body, the end; see
 * job_service.h.
 *
 * A call reaches any daemon, but only the partition's owner keeps its fold at the log's end. So a
 * call is answered from this daemon's fold where that is recent, else passed on to the owner, and
 * only where the owner is unknown or unsure does this daemon read the partition's log itself. With
 * hundreds of daemons the log would else be read by each of them from its beginning.
 */
#include "jobs/job_peer.h"
#include "jobs/job_service_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "platform/job_codec.h"

#include <string.h>

/** Most text in one page of results, in bytes; callers take a megabyte at most. */
#define PAGE_BYTES (1000U * 1000)
/** What names and quotes add to each result of a page, in bytes, at most. */
#define PAGE_ITEM_OVERHEAD 256
/** Longest that an answer without news is held, in ms. */
#define WAIT_MOST_MS 5000
/**
 * How old a fold may be, in ms, that answers without a look at the log. Callers expect to find what
 * they were told a second ago at every daemon.
 */
#define FOLD_AGE_MOST_MS 900
/**
 * What an owner may need beyond the time for which it holds the answer, in ms. With one read of the
 * log after it, a call ends before callers give up, 1.5 s after their own wait.
 */
#define OWNER_ANSWER_MS 400

/** How well a fold is known to show what is in the log. */
typedef enum {
    FOLD_LAGS,     /**< What it shows is true; what it lacks may be there. */
    FOLD_FRESH,    /**< It lacks at most what came in the last moment. */
    FOLD_COMPLETE, /**< The log was read to its end for this call. */
} fold_state;

/** One call. All borrowed. */
typedef struct {
    hs_job_service *service;
    hs_job_partition *partition;
    hs_inbound *inbound;
    const hs_caller_terms *terms;
    const char *tenant;
    hs_call_kind kind;
    const char *job_id;
    hs_deadline deadline;
} job_call;

/** A page of results. */
typedef struct {
    char *text;     /**< NULL: the job is unknown. Free with g_free. */
    bool has_news;  /**< It holds a result, or no further one will come. */
    bool is_beyond; /**< The position asked for is not reached yet. */
} result_page;

/** @p answered_by: whose view of the job decided. */
static void log_call(const job_call *call, const char *answered_by, bool is_answered) {
    static const char *const names[] = {[HS_CALL_REQUEST] = "request",
                                        [HS_CALL_JOB_READ] = "read",
                                        [HS_CALL_JOB_END] = "end",
                                        [HS_CALL_ITEM_READ] = "item"};
    hs_log_info("job_call", "job=%s call=%s part=%u by=%s answered=%d took_ms=%u", call->job_id,
                names[call->kind], hs_job_partition_number(call->partition), answered_by,
                is_answered, (unsigned)(hs_clock_monotonic_ms() - call->inbound->received_ms));
}

/** The call's job where its caller may know of it, else NULL. The caller has locked the fold. */
static const hs_job *find_job(const job_call *call, const hs_job_state *state) {
    const hs_job *job = hs_job_state_find(state, call->job_id);
    return job != NULL && hs_job_is_visible(job, call->tenant) ? job : NULL;
}

static result_page write_page(const hs_job *job, uint64_t position) {
    if (job == NULL)
        return (result_page){0};
    g_autofree hs_result_view *views = g_new0(hs_result_view, job->results->len + 1);
    size_t count = 0;
    size_t bytes = 0;
    for (uint64_t index = position; index < job->results->len; index++) {
        const hs_job_result *result = job->results->pdata[index];
        bytes += result->length + PAGE_ITEM_OVERHEAD;
        if (count > 0 && bytes > PAGE_BYTES)
            break;
        views[count++] =
            (hs_result_view){.item_id = g_array_index(job->items, hs_job_item, result->item).id,
                             .completed = result->outcome == HS_ITEM_COMPLETED,
                             .text = result->text,
                             .length = result->length};
    }
    return (result_page){
        .text = hs_platform_write_results(job->items->len, position + count, views, count),
        .has_news = count > 0 || !hs_job_is_open(job),
        .is_beyond = position > job->results->len};
}

/** Results from a position on, held until there is one. */
static bool answer_results(const job_call *call, fold_state fold) {
    uint64_t position = hs_platform_read_position(call->inbound->target);
    hs_deadline hold_until =
        call->inbound->received_ms + MIN(call->terms->wait_ms, (uint64_t)WAIT_MOST_MS);
    while (true) {
        hs_job_state *state = hs_job_partition_lock(call->partition);
        uint64_t next = hs_job_state_next(state);
        result_page page = write_page(find_job(call, state), position);
        hs_job_partition_unlock(call->partition);
        g_autofree char *text = page.text;
        if (text == NULL || (page.is_beyond && fold != FOLD_COMPLETE) ||
            (!page.has_news && fold == FOLD_LAGS))
            return false;
        if (page.has_news || hs_clock_monotonic_ms() >= hold_until) {
            hs_job_reply(call->inbound, 200, "application/json", text, strlen(text));
            return true;
        }
        hs_job_partition_hold(call->partition, next, hold_until);
    }
}

/** The body of an item that is not listed. */
static bool answer_item(const job_call *call) {
    g_autofree char *item_id = hs_platform_read_item_id(call->inbound->target);
    hs_job_state *state = hs_job_partition_lock(call->partition);
    const hs_job *job = find_job(call, state);
    int index = job != NULL && item_id != NULL ? hs_job_find_item(job, item_id) : -1;
    hs_job_item item = {0};
    if (index >= 0)
        item = g_array_index(job->items, hs_job_item, index);
    bool is_known = job != NULL;
    hs_job_partition_unlock(call->partition);
    if (!is_known)
        return false;
    if (index < 0 || item.listed) {
        hs_job_reply_text(call->inbound, 404, "no such open item\n");
        return true;
    }
    hs_store_outcome outcome = HS_STORE_UNKNOWN;
    Hs__JobItemContent *content = hs_job_partition_read_content(
        call->partition, item.content_offset, item.content_bytes, call->deadline, &outcome);
    if (content == NULL) {
        hs_job_reply_text(call->inbound, 503, "the item's body cannot be read now\n");
        return true;
    }
    hs_job_reply(call->inbound, 200, "application/octet-stream", content->body.data,
                 content->body.len);
    hs__job_item_content__free_unpacked(content, NULL);
    return true;
}

/** Answer from this daemon's fold. False: it may lack what was asked for; nothing was answered. */
static bool answer(const job_call *call, fold_state fold) {
    bool is_known = hs_job_see(call->partition, call->job_id, call->tenant) == HS_JOB_SEEN;
    if (!is_known && fold != FOLD_COMPLETE)
        return false;
    if (!is_known) {
        hs_job_reply_text(call->inbound, 404, "no such job\n");
        return true;
    }
    if (call->kind == HS_CALL_JOB_READ)
        return answer_results(call, fold);
    if (call->kind == HS_CALL_ITEM_READ)
        return answer_item(call);
    hs_job_service_append_end(call->partition, call->inbound, call->job_id, call->deadline);
    return true;
}

static bool is_fresh(hs_job_partition *partition) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    return hs_job_partition_is_current(partition, now_ms - MIN(now_ms, FOLD_AGE_MOST_MS));
}

/**
 * Pass the call on to the partition's owner and its answer back. False: no owner is known, or it
 * did not answer or was not sure; nothing was answered.
 */
static bool pass_on(const job_call *call) {
    hs_daemon_directory *daemons = call->service->daemons;
    hs_daemon_address owner;
    uint32_t part = hs_job_partition_number(call->partition);
    if (daemons == NULL || !hs_daemon_directory_owner(daemons, part, &owner))
        return false;
    uint64_t limit_ms = MIN(call->terms->wait_ms, (uint64_t)WAIT_MOST_MS) + OWNER_ANSWER_MS;
    hs_peer_answer told;
    if (hs_job_peer_ask(&owner, call->inbound, call->tenant,
                        MIN(call->deadline, hs_clock_monotonic_ms() + limit_ms),
                        &told) != HS_PEER_ANSWERED)
        return false;
    bool is_sure = told.status == 200 || told.status == 404;
    if (is_sure)
        hs_job_reply(call->inbound, told.status, told.type, told.body->data, told.body->len);
    hs_peer_answer_clear(&told);
    return is_sure;
}

static job_call make_call(hs_job_service *service, hs_inbound *inbound, const hs_job_caller *caller,
                          hs_call_kind kind, const char *job_id) {
    return (job_call){.service = service,
                      .partition = hs_job_service_partition_of(service, job_id),
                      .inbound = inbound,
                      .terms = caller->terms,
                      .tenant = caller->tenant,
                      .kind = kind,
                      .job_id = job_id,
                      .deadline = hs_job_call_deadline(inbound, caller->terms)};
}

void hs_job_service_call(hs_job_service *service, hs_inbound *inbound, const hs_job_caller *caller,
                         hs_call_kind kind, const char *job_id) {
    job_call call = make_call(service, inbound, caller, kind, job_id);
    if (is_fresh(call.partition) && answer(&call, FOLD_FRESH)) {
        g_atomic_int_inc(&service->reads.from_own_fold);
        log_call(&call, "own_fold", true);
        return;
    }
    if (pass_on(&call)) {
        g_atomic_int_inc(&service->reads.by_owner);
        log_call(&call, "owner", true);
        return;
    }
    bool is_read = hs_job_partition_catch_up(call.partition, hs_job_one_try(call.deadline));
    bool is_answered = answer(&call, is_read ? FOLD_COMPLETE : FOLD_LAGS);
    if (!is_answered)
        hs_job_reply_text(inbound, 503, "the log cannot be read now\n");
    g_atomic_int_inc(is_answered ? &service->reads.from_log : &service->reads.refused);
    log_call(&call, is_read ? "log" : "lagging_fold", is_answered);
}

void hs_job_service_call_of_peer(hs_job_service *service, hs_inbound *inbound,
                                 const hs_job_caller *caller, hs_call_kind kind,
                                 const char *job_id) {
    job_call call = make_call(service, inbound, caller, kind, job_id);
    if (!answer(&call, is_fresh(call.partition) ? FOLD_FRESH : FOLD_LAGS))
        hs_job_reply_text(inbound, 503, "this daemon's view of the job is not recent\n");
}

hs_job_read_counters hs_job_service_read_counters(hs_job_service *service) {
    return (hs_job_read_counters){.from_own_fold = g_atomic_int_get(&service->reads.from_own_fold),
                                  .by_owner = g_atomic_int_get(&service->reads.by_owner),
                                  .from_log = g_atomic_int_get(&service->reads.from_log),
                                  .refused = g_atomic_int_get(&service->reads.refused)};
}
