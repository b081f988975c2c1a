/**
 * @file job_submission.c
 * Taking batch jobs: contents and manifest into the log, then 202; see job_service.h.
 */
#include "jobs/job_peer.h"
#include "jobs/job_service_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "http/http_fields.h"
#include "platform/job_codec.h"

#include <string.h>

/** Until it is given up that one that was asked answers; the caller then asks elsewhere, in ms. */
#define PEER_LIMIT_MS 1500

/** Pack the items' contents as they go to the bodies: of GByteArray*. */
static GPtrArray *pack_contents(const GArray *items) {
    GPtrArray *contents = g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
    for (guint index = 0; index < items->len; index++) {
        const hs_submitted_item *item = &g_array_index(items, hs_submitted_item, index);
        guint count = item->fields->len;
        g_autofree Hs__JobHeader *headers = g_new(Hs__JobHeader, count + 1);
        g_autofree Hs__JobHeader **list = g_new(Hs__JobHeader *, count + 1);
        for (guint at = 0; at < count; at++) {
            const hs_http_field *field = &g_array_index(item->fields, hs_http_field, at);
            hs__job_header__init(&headers[at]);
            headers[at].name = field->name;
            headers[at].value = field->value;
            list[at] = &headers[at];
        }
        Hs__JobItemContent content = HS__JOB_ITEM_CONTENT__INIT;
        content.path = item->path;
        content.n_headers = count;
        content.headers = list;
        content.body.data = item->body;
        content.body.len = item->body_length;
        size_t length = hs__job_item_content__get_packed_size(&content);
        GByteArray *packed = g_byte_array_sized_new((guint)length);
        g_byte_array_set_size(packed, (guint)length);
        hs__job_item_content__pack(&content, packed->data);
        g_ptr_array_add(contents, packed);
    }
    return contents;
}

/** A submission on its way into the log. */
typedef struct {
    hs_job_partition *partition;
    hs_inbound *inbound;
    const hs_caller_terms *terms;
    const char *tenant; /**< Whose job it will be. */
    const hs_fleet_route *route;
    const GArray *items;
    hs_deadline refuse_at; /**< Until then the store is tried; later another daemon may be. */
    hs_deadline deadline;
    bool is_passed_on; /**< Another daemon, which cannot reach the store, sent it. */
} submission;

static hs_store_outcome append_manifest(const submission *job, const GPtrArray *contents,
                                        const GArray *offsets, uint32_t attempt) {
    g_autofree Hs__JobItem *items = g_new(Hs__JobItem, job->items->len);
    g_autofree Hs__JobItem **list = g_new(Hs__JobItem *, job->items->len);
    for (guint index = 0; index < job->items->len; index++) {
        const hs_submitted_item *item = &g_array_index(job->items, hs_submitted_item, index);
        hs__job_item__init(&items[index]);
        items[index].id = item->id;
        items[index].tokens = item->tokens;
        items[index].content_offset = g_array_index(offsets, uint64_t, index);
        items[index].content_bytes = ((GByteArray *)contents->pdata[index])->len;
        list[index] = &items[index];
    }
    Hs__JobManifest manifest = HS__JOB_MANIFEST__INIT;
    manifest.job_id = (char *)job->terms->request_id;
    manifest.host = (char *)job->terms->host;
    manifest.target = job->inbound->target;
    manifest.tenant = (char *)job->tenant;
    manifest.submitted_ms = hs_clock_wall_ms();
    manifest.due_ms = job->route->completion_target_ms;
    manifest.retention_ms = job->route->retention_ms;
    manifest.n_items = job->items->len;
    manifest.items = list;
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_MANIFEST;
    record.manifest = &manifest;
    return hs_job_partition_append(
        job->partition, &record,
        hs_job_partition_patience(job->partition, attempt, 0, job->deadline));
}

static hs_job_sight see(const submission *job) {
    return hs_job_see(job->partition, job->terms->request_id, job->tenant);
}

/** Contents first: without a manifest they bind nobody. */
static hs_store_outcome store_contents(const submission *job, const GPtrArray *contents,
                                       GArray *offsets) {
    hs_store_outcome outcome = HS_STORE_REFUSED;
    uint32_t attempt = 0;
    do {
        g_array_set_size(offsets, 0);
        outcome = hs_job_partition_append_contents(
            job->partition, contents, offsets,
            hs_job_partition_patience(job->partition, attempt++, job->inbound->body->len,
                                      job->refuse_at));
        if (outcome != HS_STORE_REFUSED && outcome != HS_STORE_UNKNOWN)
            break;
        hs_clock_sleep_ms(HS_JOB_RETRY_PAUSE_MS);
    } while (hs_clock_monotonic_ms() < job->refuse_at);
    return outcome;
}

/** Read back whether a manifest whose append got no answer is in the log. */
static bool is_stored(const submission *job) {
    return hs_job_partition_catch_up(job->partition, hs_job_one_try(job->deadline)) &&
           see(job) == HS_JOB_SEEN;
}

/** Store the job; the status to answer with. */
static uint32_t store_job(const submission *job) {
    GPtrArray *contents = pack_contents(job->items);
    GArray *offsets = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    hs_store_outcome outcome = store_contents(job, contents, offsets);
    uint32_t status = outcome == HS_STORE_INVALID ? 413 : 503;
    if (outcome == HS_STORE_DONE) {
        /* Once the manifest may be in the log, no refusal may be promised any more. */
        bool may_be_taken = false;
        uint32_t attempt = 0;
        while (true) {
            outcome = append_manifest(job, contents, offsets, attempt++);
            may_be_taken = may_be_taken || outcome == HS_STORE_UNKNOWN;
            if (outcome == HS_STORE_UNKNOWN && is_stored(job))
                outcome = HS_STORE_DONE;
            hs_deadline limit = may_be_taken ? job->deadline : job->refuse_at;
            if ((outcome != HS_STORE_REFUSED && outcome != HS_STORE_UNKNOWN) ||
                hs_clock_monotonic_ms() >= limit)
                break;
            hs_clock_sleep_ms(HS_JOB_RETRY_PAUSE_MS);
        }
        if (outcome == HS_STORE_DONE)
            status = 202;
        else if (may_be_taken)
            status = 504;
        else if (outcome == HS_STORE_INVALID)
            status = 413;
    }
    hs_log_info("job_stored", "job=%s part=%u items=%u outcome=%s status=%u took_ms=%u",
                job->terms->request_id, hs_job_partition_number(job->partition), job->items->len,
                hs_store_outcome_name(outcome), status,
                (unsigned)(hs_clock_monotonic_ms() - job->inbound->received_ms));
    g_ptr_array_free(contents, TRUE);
    g_array_free(offsets, TRUE);
    return status;
}

static uint64_t tokens_of(const GArray *items) {
    uint64_t tokens = 0;
    for (guint index = 0; index < items->len; index++)
        tokens += g_array_index(items, hs_submitted_item, index).tokens;
    return tokens;
}

/**
 * Status for a job that the route's limit holds back. A job that was taken before is never refused,
 * and 429 is only said where its partition shows that it was not.
 */
static uint32_t held_back(const submission *job, hs_quota_verdict verdict) {
    bool is_read = verdict == HS_QUOTA_FULL &&
                   hs_job_partition_catch_up(job->partition, hs_job_one_try(job->refuse_at));
    if (see(job) == HS_JOB_SEEN)
        return 202;
    return is_read ? 429 : 503;
}

/** Admit the job and store it; answers it. */
static void take_job(hs_job_service *service, const submission *job,
                     const hs_fleet_config *config) {
    hs_quota_request claim = {.job_id = job->terms->request_id,
                              .partition = hs_job_partition_number(job->partition),
                              .tokens = tokens_of(job->items),
                              .config = config,
                              .route = job->route,
                              .tenant = job->tenant,
                              .deadline = job->refuse_at};
    hs_quota_decision account;
    hs_quota_verdict verdict = hs_job_quota_reserve(service->quota, &claim, &account);
    uint32_t status = verdict == HS_QUOTA_FITS ? store_job(job) : held_back(job, verdict);
    const char *text = status == 202 ? "" : "the job was not taken by this answer\n";
    if (status == 429)
        hs_job_refuse(job->inbound, status, text, account.available_in_ms);
    else
        hs_job_reply_text(job->inbound, status, text);
    bool may_be_taken = status == 202 || status == 504;
    if (!may_be_taken)
        hs_job_quota_release(service->quota, account.submission);
}

/** Answer with what another daemon said. A job that it may have taken is never refused. */
static void answer_as_told(const submission *job, hs_peer_outcome outcome,
                           const hs_peer_answer *told) {
    if (outcome == HS_PEER_ANSWERED)
        hs_job_reply(job->inbound, told->status, told->type, told->body->data, told->body->len);
    else
        hs_job_reply_text(job->inbound, 504, "the job may have been taken\n");
}

/**
 * Where this daemon's calls to the store fail, another may still reach it. False: nobody took the
 * job and nobody will; nothing was answered.
 */
static bool pass_on(hs_job_service *service, const submission *job) {
    if (job->is_passed_on || !hs_store_client_is_failing(service->settings.store))
        return false;
    uint32_t part = hs_job_partition_number(job->partition);
    hs_daemon_address peer;
    if (!hs_job_relay_find(service->settings.relay, part, &peer)) {
        hs_log_info("job_kept_here", "job=%s part=%u reason=no_owner_reaches_the_store",
                    job->terms->request_id, part);
        return false;
    }
    hs_deadline limit = MIN(job->deadline, hs_clock_monotonic_ms() + PEER_LIMIT_MS);
    hs_peer_answer told;
    hs_peer_outcome outcome = hs_job_peer_ask(&peer, job->inbound, job->tenant, limit, &told);
    bool is_answered = outcome == HS_PEER_ANSWERED;
    bool is_settled = outcome != HS_PEER_NOT_ASKED && !(is_answered && told.status == 503);
    hs_log_info("job_passed_on", "job=%s part=%u outcome=%d status=%u", job->terms->request_id,
                part, (int)outcome, is_answered ? told.status : 0);
    if (is_settled)
        answer_as_told(job, outcome, &told);
    if (is_answered)
        hs_peer_answer_clear(&told);
    return is_settled;
}

/** Take a submission that came from a caller, or from another daemon (@p is_passed_on). */
static void submit(hs_job_service *service, hs_inbound *inbound, const hs_job_caller *caller,
                   const hs_fleet_config *config, const hs_fleet_route *route, bool is_passed_on) {
    hs_error error = {0};
    const hs_caller_terms *terms = caller->terms;
    if (terms->request_id == NULL || *terms->request_id == '\0') {
        hs_job_reply_text(inbound, 400, "a job needs an id\n");
        return;
    }
    GArray *items = hs_platform_read_submission(inbound->body->data, inbound->body->len, &error);
    if (items == NULL) {
        hs_job_reply_text(inbound, 400, error.message);
        return;
    }
    submission job = {.partition = hs_job_service_partition_of(service, terms->request_id),
                      .inbound = inbound,
                      .terms = terms,
                      .tenant = caller->tenant,
                      .route = route,
                      .items = items,
                      .is_passed_on = is_passed_on,
                      .deadline = hs_job_call_deadline(inbound, terms)};
    job.refuse_at = inbound->received_ms + (job.deadline - inbound->received_ms) / 2;
    hs_job_sight sight = see(&job);
    if (sight == HS_JOB_SEEN)
        hs_job_reply_text(inbound, 202, "");
    else if (sight == HS_JOB_OF_ANOTHER)
        hs_job_reply_text(inbound, 409, "the id is taken\n");
    else if (!pass_on(service, &job))
        take_job(service, &job, config);
    g_array_free(items, TRUE);
}

void hs_job_service_submit(hs_job_service *service, hs_inbound *inbound,
                           const hs_job_caller *caller, const hs_fleet_config *config,
                           const hs_fleet_route *route) {
    submit(service, inbound, caller, config, route, false);
}

void hs_job_service_submit_of_peer(hs_job_service *service, hs_inbound *inbound,
                                   const hs_job_caller *caller, const hs_fleet_config *config,
                                   const hs_fleet_route *route) {
    if (hs_store_client_is_failing(service->settings.store))
        hs_job_reply_text(inbound, 503, "the store is out of reach here too\n");
    else
        submit(service, inbound, caller, config, route, true);
}
