/**
 * @file job_submission.c
 * Handles submissions of batch jobs: stores contents and manifest in the log, then replies 202; see
 * job_service.h.
 */
#include "jobs/job_peer.h"
#include "jobs/job_service_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/memory_budget.h"
#include "http/http_fields.h"
#include "platform/job_codec.h"

#include <string.h>

/** Maximum time for the answer of a daemon to a forwarded submission. */
#define FORWARD_LIMIT_MS 1500
/** Multiple of a body that decoding takes at most: the tree and the decoded body of its items. */
#define DECODING_FACTOR 2

/** What is kept of an item beside its content. */
typedef struct {
    char *id;
    uint32_t tokens;
} job_item;

static void clear_item(gpointer data) {
    job_item *item = data;
    g_free(item->id);
}

/** A submission that is being stored. */
typedef struct {
    hs_job_partition *partition;
    hs_inbound *inbound;
    const hs_caller_terms *terms;
    const char *tenant; /**< Tenant of the job. */
    const hs_fleet_route *route;
    GArray *items; /**< of job_item */
    hs_job_contents *contents;
    hs_memory_hold memory;        /**< For the contents. */
    hs_deadline refusal_deadline; /**< Until then a job not in the log is retried. */
    hs_deadline deadline;
    bool is_forwarded;       /**< Sent by another daemon, which cannot reach the store. */
    hs_body_regions regions; /**< Where the contents may be sent. */
} submission;

/** Packs an item's content for the bodies topic. */
static void add_item(const hs_submitted_item *item, void *data) {
    submission *job = data;
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
    hs_job_contents_add(job->contents, &content);
    job_item kept = {.id = g_strdup(item->id), .tokens = item->tokens};
    g_array_append_val(job->items, kept);
}

/** Changes the charge for the contents. Returns false, without a change, if the budget is short. */
static bool charge_contents(submission *job, uint64_t bytes) {
    return hs_memory_hold_resize(&job->memory, bytes, HS_MEMORY_FOR_NEW_WORK);
}

/**
 * Decodes the submission and discards its body. Returns the status to refuse it with; 0: it was
 * decoded. One submission is decoded at a time, since that takes a multiple of its body.
 */
static uint32_t decode(hs_job_service *service, submission *job, hs_error *error) {
    hs_inbound *inbound = job->inbound;
    hs_submission_handler handler = {.on_item = add_item, .user_data = job};
    uint64_t decoding_bytes = DECODING_FACTOR * (uint64_t)inbound->body->len;
    /* The contents are smaller than the text that they are decoded from. */
    if (!charge_contents(job, inbound->body->len))
        return 503;
    g_mutex_lock(&service->decoding);
    bool has_memory =
        hs_memory_try_charge(HS_MEMORY_JOBS, decoding_bytes, HS_MEMORY_FOR_STARTED_WORK);
    bool is_read = has_memory && hs_platform_read_submission(inbound->body->data,
                                                             inbound->body->len, &handler, error);
    if (has_memory)
        hs_memory_release(HS_MEMORY_JOBS, decoding_bytes);
    g_mutex_unlock(&service->decoding);
    if (!has_memory)
        return 503;
    if (!is_read)
        return 400;
    hs_inbound_drop_body(inbound);
    charge_contents(job, MIN(job->memory.bytes, hs_job_contents_size(job->contents)));
    return 0;
}

static hs_store_outcome append_manifest(const submission *job, const GArray *offsets,
                                        uint32_t attempt) {
    g_autofree Hs__JobItem *items = g_new(Hs__JobItem, job->items->len);
    g_autofree Hs__JobItem **list = g_new(Hs__JobItem *, job->items->len);
    for (guint index = 0; index < job->items->len; index++) {
        const job_item *item = &g_array_index(job->items, job_item, index);
        hs__job_item__init(&items[index]);
        items[index].id = item->id;
        items[index].tokens = item->tokens;
        items[index].content_offset = g_array_index(offsets, uint64_t, index);
        items[index].content_bytes =
            g_array_index(job->contents->places, hs_content_place, index).bytes;
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
        hs_job_partition_append_deadline(job->partition, attempt, 0, job->deadline));
}

static hs_job_visibility check_visibility(const submission *job) {
    return hs_job_check_visibility(job->partition, job->terms->request_id, job->tenant);
}

/** Stores the contents. They precede the manifest and have no effect without it. */
static hs_store_outcome store_contents(const submission *job, GArray *offsets) {
    hs_store_outcome outcome = HS_STORE_REFUSED;
    uint32_t attempt = 0;
    do {
        g_array_set_size(offsets, 0);
        outcome = hs_job_partition_append_contents(
            job->partition, job->contents, offsets, &job->regions,
            hs_job_partition_append_deadline(job->partition, attempt++,
                                             hs_job_contents_size(job->contents),
                                             job->refusal_deadline));
        if (outcome != HS_STORE_REFUSED && outcome != HS_STORE_UNKNOWN)
            break;
        hs_clock_sleep_ms(HS_JOB_RETRY_PAUSE_MS);
    } while (hs_clock_monotonic_ms() < job->refusal_deadline);
    return outcome;
}

/** Returns whether a manifest whose append was not answered is in the log. */
static bool is_stored(const submission *job) {
    return hs_job_partition_catch_up(job->partition, hs_job_attempt_deadline(job->deadline)) &&
           check_visibility(job) == HS_JOB_VISIBLE;
}

/** Stores the job and returns the status to reply with. */
static uint32_t store_job(const submission *job) {
    GArray *offsets = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    hs_store_outcome outcome = store_contents(job, offsets);
    uint32_t status = outcome == HS_STORE_INVALID ? 413 : 503;
    if (outcome == HS_STORE_DONE) {
        /* Once the manifest may be in the log, the job must not be refused. */
        bool may_be_stored = false;
        uint32_t attempt = 0;
        while (true) {
            outcome = append_manifest(job, offsets, attempt++);
            may_be_stored = may_be_stored || outcome == HS_STORE_UNKNOWN;
            if (outcome == HS_STORE_UNKNOWN && is_stored(job))
                outcome = HS_STORE_DONE;
            hs_deadline limit = may_be_stored ? job->deadline : job->refusal_deadline;
            if ((outcome != HS_STORE_REFUSED && outcome != HS_STORE_UNKNOWN) ||
                hs_clock_monotonic_ms() >= limit)
                break;
            hs_clock_sleep_ms(HS_JOB_RETRY_PAUSE_MS);
        }
        if (outcome == HS_STORE_DONE)
            status = 202;
        else if (may_be_stored)
            status = 504;
        else if (outcome == HS_STORE_INVALID)
            status = 413;
    }
    bool has_contents = offsets->len > 0;
    hs_log_info("job_stored",
                "job=%s part=%u items=%u first_content=%" G_GINT64_FORMAT
                " outcome=%s status=%u took_ms=%u",
                job->terms->request_id, hs_job_partition_number(job->partition), job->items->len,
                has_contents ? (gint64)g_array_index(offsets, uint64_t, 0) : -1,
                hs_store_outcome_name(outcome), status,
                (unsigned)(hs_clock_monotonic_ms() - job->inbound->received_ms));
    g_array_free(offsets, TRUE);
    return status;
}

static uint64_t count_tokens(const GArray *items) {
    uint64_t tokens = 0;
    for (guint index = 0; index < items->len; index++)
        tokens += g_array_index(items, job_item, index).tokens;
    return tokens;
}

/**
 * Returns the status for a job that the route's limit excludes. A job that is in the log is never
 * refused, and 429 requires a read of the partition that shows that it is not.
 */
static uint32_t get_refusal_status(const submission *job, hs_quota_verdict verdict) {
    bool is_read =
        verdict == HS_QUOTA_FULL &&
        hs_job_partition_catch_up(job->partition, hs_job_attempt_deadline(job->refusal_deadline));
    if (check_visibility(job) == HS_JOB_VISIBLE)
        return 202;
    return is_read ? 429 : 503;
}

/** Checks the route's limit, stores the job and replies. */
static void admit_job(hs_job_service *service, const submission *job,
                      const hs_fleet_config *config) {
    hs_quota_request quota_request = {.job_id = job->terms->request_id,
                                      .partition = hs_job_partition_number(job->partition),
                                      .tokens = count_tokens(job->items),
                                      .config = config,
                                      .route = job->route,
                                      .tenant = job->tenant,
                                      .deadline = job->refusal_deadline};
    hs_quota_decision decision;
    hs_quota_verdict verdict = hs_job_quota_reserve(service->quota, &quota_request, &decision);
    uint32_t status = verdict == HS_QUOTA_FITS ? store_job(job) : get_refusal_status(job, verdict);
    const char *text = status == 202 ? "" : "the job was not taken by this answer\n";
    if (status == 429)
        hs_job_refuse(job->inbound, status, text, decision.available_in_ms);
    else
        hs_job_reply_text(job->inbound, status, text);
    bool may_be_stored = status == 202 || status == 504;
    if (!may_be_stored)
        hs_job_quota_release(service->quota, decision.submission);
}

/** Replies with another daemon's answer. A job that may have been stored is never refused. */
static void reply_with_answer(const submission *job, hs_peer_outcome outcome,
                              const hs_peer_answer *answer) {
    if (outcome == HS_PEER_ANSWERED)
        hs_job_reply(job->inbound, answer->status, answer->type, answer->body->data,
                     answer->body->len);
    else
        hs_job_reply_text(job->inbound, 504, "the job may have been taken\n");
}

/**
 * Forwards a submission to another daemon if this daemon's calls to the store fail. Returns false
 * without a reply if the job has not been and will not be stored by another daemon.
 */
static bool forward(hs_job_service *service, const submission *job) {
    if (job->is_forwarded || !hs_store_client_is_failing(service->settings.store))
        return false;
    uint32_t number = hs_job_partition_number(job->partition);
    hs_daemon_address peer;
    if (!hs_job_relay_find_peer(service->settings.relay, number, &job->regions, &peer)) {
        hs_log_info("job_kept_here", "job=%s part=%u reason=%s", job->terms->request_id, number,
                    hs_body_regions_is_restricted(&job->regions)
                        ? "no_allowed_owner_reaches_the_store"
                        : "no_owner_reaches_the_store");
        return false;
    }
    hs_deadline limit = MIN(job->deadline, hs_clock_monotonic_ms() + FORWARD_LIMIT_MS);
    hs_peer_answer answer;
    hs_peer_outcome outcome = hs_job_peer_forward(&peer, job->inbound, job->tenant, limit, &answer);
    bool is_answered = outcome == HS_PEER_ANSWERED;
    bool is_settled = outcome != HS_PEER_NOT_SENT && !(is_answered && answer.status == 503);
    hs_log_info("job_passed_on", "job=%s part=%u outcome=%d status=%u", job->terms->request_id,
                number, (int)outcome, is_answered ? answer.status : 0);
    if (is_settled)
        reply_with_answer(job, outcome, &answer);
    if (is_answered)
        hs_peer_answer_clear(&answer);
    return is_settled;
}

/**
 * Returns where the contents may be sent. This daemon's region counts as the caller's; a forwarded
 * submission was sent here because this region is allowed or the caller's.
 */
static hs_body_regions make_body_regions(const hs_job_service *service, const hs_job_caller *caller,
                                         const hs_fleet_config *config,
                                         const hs_fleet_route *route) {
    if (service->daemons == NULL)
        return (hs_body_regions){0};
    const hs_topology *topology = hs_daemon_directory_topology(service->daemons);
    return (hs_body_regions){
        .policy = hs_region_policy_for_tenant_name(topology, config, route, caller->tenant),
        .caller_region = hs_daemon_directory_own_region(service->daemons)};
}

/** Refuses a submission that does not fit into memory with the others that wait for the store. */
static void refuse_for_memory(const submission *job) {
    uint64_t waited_ms = hs_clock_monotonic_ms() - job->inbound->received_ms;
    hs_log_warning(
        "job_lacks_memory",
        "job=%s body_bytes=%u charged_jobs=%" G_GUINT64_FORMAT " charged_all=%" G_GUINT64_FORMAT
        " budget=%" G_GUINT64_FORMAT " waited_ms=%" G_GUINT64_FORMAT,
        job->terms->request_id, job->inbound->body->len, (guint64)hs_memory_charged(HS_MEMORY_JOBS),
        (guint64)hs_memory_total_charged(), (guint64)hs_memory_budget_get(), (guint64)waited_ms);
    hs_job_refuse(job->inbound, 503, "short of memory; the job was not taken\n",
                  HS_JOB_MEMORY_RETRY_AFTER_MS);
}

/** Decodes and stores a submission, and replies. */
static void take_job(hs_job_service *service, submission *job, const hs_fleet_config *config) {
    hs_error error = {0};
    job->items = g_array_new(FALSE, FALSE, sizeof(job_item));
    g_array_set_clear_func(job->items, clear_item);
    job->contents = hs_job_partition_new_contents(job->partition);
    uint32_t refusal = decode(service, job, &error);
    if (refusal == 0)
        admit_job(service, job, config);
    else if (refusal == 400)
        hs_job_reply_text(job->inbound, refusal, error.message);
    else
        refuse_for_memory(job);
    hs_job_contents_free(job->contents);
    charge_contents(job, 0);
    g_array_free(job->items, TRUE);
}

/** Handles a submission of a caller or, if @p is_forwarded, of another daemon. */
static void submit(hs_job_service *service, hs_inbound *inbound, const hs_job_caller *caller,
                   const hs_fleet_config *config, const hs_fleet_route *route, bool is_forwarded) {
    const hs_caller_terms *terms = caller->terms;
    if (terms->request_id == NULL || *terms->request_id == '\0') {
        hs_job_reply_text(inbound, 400, "a job needs an id\n");
        return;
    }
    submission job = {.partition = hs_job_service_partition_for_job(service, terms->request_id),
                      .inbound = inbound,
                      .terms = terms,
                      .tenant = caller->tenant,
                      .route = route,
                      .memory = {.kind = HS_MEMORY_JOBS},
                      .is_forwarded = is_forwarded,
                      .regions = make_body_regions(service, caller, config, route),
                      .deadline = hs_job_call_deadline(service, inbound, terms)};
    job.refusal_deadline = inbound->received_ms + (job.deadline - inbound->received_ms) / 2;
    hs_job_visibility visibility = check_visibility(&job);
    if (visibility == HS_JOB_VISIBLE)
        hs_job_reply_text(inbound, 202, "");
    else if (visibility == HS_JOB_OF_OTHER_TENANT)
        hs_job_reply_text(inbound, 409, "the id is taken\n");
    else if (!forward(service, &job))
        take_job(service, &job, config);
}

void hs_job_service_submit(hs_job_service *service, hs_inbound *inbound,
                           const hs_job_caller *caller, const hs_fleet_config *config,
                           const hs_fleet_route *route) {
    submit(service, inbound, caller, config, route, false);
}

bool hs_job_service_is_stored(hs_job_service *service, const hs_inbound *inbound,
                              const hs_job_caller *caller) {
    const hs_caller_terms *terms = caller->terms;
    if (terms->request_id == NULL || *terms->request_id == '\0')
        return false;
    hs_job_partition *partition = hs_job_service_partition_for_job(service, terms->request_id);
    if (hs_job_check_visibility(partition, terms->request_id, caller->tenant) == HS_JOB_UNKNOWN)
        hs_job_partition_catch_up(
            partition, hs_job_attempt_deadline(hs_job_call_deadline(service, inbound, terms)));
    return hs_job_check_visibility(partition, terms->request_id, caller->tenant) != HS_JOB_UNKNOWN;
}

void hs_job_service_submit_from_peer(hs_job_service *service, hs_inbound *inbound,
                                     const hs_job_caller *caller, const hs_fleet_config *config,
                                     const hs_fleet_route *route) {
    if (hs_store_client_is_failing(service->settings.store))
        hs_job_reply_text(inbound, 503, "the store is out of reach here too\n");
    else
        submit(service, inbound, caller, config, route, true);
}
