/**
 * @file job_calls.c
 * Handles requests about submitted jobs: results, the body of an item, the end of a job; see
 * job_service.h.
 *
 * Any daemon may receive a request, but only the partition's owner keeps its fold at the end of the
 * log. A request is therefore answered from this daemon's fold if that is recent, otherwise
 * forwarded to the owner. Only if the owner is unknown, outside of the regions that the job allows,
 * or cannot answer does this daemon read the
 * partition's log, so that a large fleet does not read each log in full on every daemon.
 */
#include "jobs/job_end.h"
#include "jobs/job_peer.h"
#include "jobs/job_service_state.h"
#include "jobs/result_page.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/memory_budget.h"

#include <string.h>

/** Maximum wait for the next result. */
#define MAX_RESULT_WAIT_MS 5000
/**
 * Time allowed to an owner beyond its wait for a result. Leaves time for one read of the log before
 * callers time out, 1.5 s after their own wait.
 */
#define OWNER_ANSWER_SLACK_MS 400
/** The same for the end of a job, which the owner stores before it answers. */
#define OWNER_END_SLACK_MS 700

/** Memory that an answer may take of the whole budget; larger ones leave a part to other work. */
#define SMALL_ANSWER_BYTES (64 * 1024)
/** Forms of an item's body that exist at once: as read, decoded, and in the reply. */
#define BODY_FORMS 3
/** Time that is left of an end's limit for its answer to reach the caller. */
#define END_ANSWER_SLACK_MS 100

/** A request; all borrowed. */
typedef struct {
    hs_job_service *service;
    hs_job_partition *partition;
    hs_inbound *inbound;
    const hs_caller_terms *terms;
    const char *tenant;
    const hs_fleet_config *config; /**< See hs_job_caller. */
    hs_call_kind kind;
    const char *job_id;
    hs_deadline deadline;
    uint64_t fold_age_ms;  /**< At the start of the call; see hs_job_partition_age_ms. */
    bool is_forwarded;     /**< By another daemon. */
    hs_memory_hold memory; /**< For the answer. */
    int page_results;      /**< Of the page that was sent; -1: none was. */
    bool is_page_of_ended_job;
} job_call;

/** Returns an age of a fold for log lines and answers: -1 if the fold was never complete. */
static gint64 signed_age_ms(uint64_t age_ms) {
    return age_ms != UINT64_MAX ? (gint64)age_ms : -1;
}

/** @p answered_by: source of the answer. */
static void log_call(const job_call *call, const char *answered_by, bool is_answered) {
    static const char *const names[] = {[HS_CALL_REQUEST] = "request",
                                        [HS_CALL_JOB_READ] = "read",
                                        [HS_CALL_JOB_END] = "end",
                                        [HS_CALL_ITEM_READ] = "item"};
    hs_log_info("job_call",
                "job=%s call=%s part=%u by=%s answered=%d took_ms=%u fold_age_ms=%" G_GINT64_FORMAT
                " results=%d ended=%d",
                call->job_id, names[call->kind], hs_job_partition_number(call->partition),
                answered_by, is_answered,
                (unsigned)(hs_clock_monotonic_ms() - call->inbound->received_ms),
                signed_age_ms(call->fold_age_ms), call->page_results, call->is_page_of_ended_job);
}

/** Replies to the caller, or to the daemon that forwarded the request. */
static void reply(const job_call *call, uint32_t status, const char *type, const void *body,
                  size_t length) {
    if (call->is_forwarded)
        hs_job_reply_to_peer(call->inbound, status, type, body, length,
                             signed_age_ms(hs_job_partition_age_ms(call->partition)));
    else
        hs_job_reply(call->inbound, status, type, body, length);
}

static void reply_text(const job_call *call, uint32_t status, const char *text) {
    reply(call, status, "text/plain", text, strlen(text));
}

/** Changes the memory that is held for the answer. Returns false if there is no room for more. */
static bool hold_memory(job_call *call, uint64_t bytes) {
    return hs_memory_hold_resize(&call->memory, bytes,
                                 bytes <= SMALL_ANSWER_BYTES ? HS_MEMORY_FOR_STARTED_WORK
                                                             : HS_MEMORY_FOR_NEW_WORK);
}

static void refuse_for_memory(const job_call *call) {
    hs_log_warning("job_read_lacks_memory",
                   "job=%s charged_replies=%" G_GUINT64_FORMAT " charged_all=%" G_GUINT64_FORMAT
                   " budget=%" G_GUINT64_FORMAT,
                   call->job_id, (guint64)hs_memory_charged(HS_MEMORY_REPLIES),
                   (guint64)hs_memory_total_charged(), (guint64)hs_memory_budget_get());
    hs_job_refuse(call->inbound, 503, "short of memory; the job was not read\n",
                  HS_JOB_MEMORY_RETRY_AFTER_MS);
}

/**
 * Returns the request's job, or NULL if the caller may not see it. The caller holds the fold's
 * lock.
 */
static const hs_job *find_job(const job_call *call, const hs_job_state *state) {
    const hs_job *job = hs_job_state_find(state, call->job_id);
    return job != NULL && hs_job_is_visible(job, call->tenant) ? job : NULL;
}

/** Returns how long the caller waits for a result. */
static uint64_t get_wait_ms(const job_call *call) {
    return MIN(call->terms->wait_ms, (uint64_t)MAX_RESULT_WAIT_MS);
}

/** Replies with the results from a position on; waits until there is one. */
static bool answer_results(job_call *call, hs_fold_knowledge fold) {
    uint64_t position = hs_platform_read_position(call->inbound->target);
    hs_deadline wait_until = call->inbound->received_ms + get_wait_ms(call);
    bool was_held = false;
    while (true) {
        wait_until = hs_drain_limit(call->service->settings.drain, wait_until);
        hs_job_state *state = hs_job_partition_lock(call->partition);
        uint64_t next = hs_job_state_next_offset(state);
        const hs_job *job = find_job(call, state);
        bool has_memory = hold_memory(call, hs_result_page_measure(job, position));
        hs_result_page page =
            has_memory ? hs_result_page_build(job, position) : (hs_result_page){0};
        hs_job_partition_unlock(call->partition);
        if (!has_memory) {
            refuse_for_memory(call);
            return true;
        }
        g_autofree char *text = page.text;
        if (page.is_unreadable)
            hs_log_warning("result_unreadable", "job=%s position=%" G_GUINT64_FORMAT, call->job_id,
                           (guint64)position);
        if (!hs_result_page_is_definite(&page, fold))
            return false;
        if (hs_result_page_is_ready(&page) || hs_clock_monotonic_ms() >= wait_until) {
            bool is_behind = was_held && hs_job_partition_has_fallen_behind(call->partition);
            if (is_behind && !hs_result_page_is_definite(&page, HS_FOLD_STALE))
                return false;
            call->page_results = (int)page.count;
            call->is_page_of_ended_job = page.is_ended;
            reply(call, 200, "application/json", text, strlen(text));
            return true;
        }
        hs_job_partition_wait(call->partition, next, wait_until);
        was_held = true;
    }
}

/**
 * Replies with the body of an item without a result. A body that is gone from the store may be that
 * of an item which has ended, so that a stale fold does not tell why.
 */
static bool answer_item(job_call *call, hs_fold_knowledge fold) {
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
        reply_text(call, 404, "no such open item\n");
        return true;
    }
    if (!hold_memory(call, BODY_FORMS * (uint64_t)item.content_bytes)) {
        refuse_for_memory(call);
        return true;
    }
    hs_store_outcome outcome = HS_STORE_UNKNOWN;
    Hs__JobItemContent *content = hs_job_partition_read_content(
        call->partition, item.content_offset, item.content_bytes, call->deadline, &outcome);
    if (content == NULL && outcome == HS_STORE_GONE && fold == HS_FOLD_STALE)
        return false;
    if (content == NULL) {
        bool is_gone = outcome == HS_STORE_GONE;
        hs_log_info("item_content_unread",
                    "job=%s item=%s part=%u offset=%" G_GUINT64_FORMAT " outcome=%s", call->job_id,
                    item_id, hs_job_partition_number(call->partition), (guint64)item.content_offset,
                    hs_store_outcome_name(outcome));
        reply_text(call, is_gone ? 410 : 503,
                   is_gone ? "the item's body is no longer stored\n"
                           : "the item's body cannot be read now\n");
        return true;
    }
    reply(call, 200, "application/octet-stream", content->body.data, content->body.len);
    hs__job_item_content__free_unpacked(content, NULL);
    return true;
}

/** Reports the stored end, and replies. */
static void acknowledge_end(const job_call *call) {
    if (hs_job_end_report(call->partition, call->job_id, call->service->daemons, call->config,
                          call->deadline))
        reply_text(call, 200, "");
    else
        reply_text(call, 504, "the end is stored, but not confirmed by its owner\n");
}

/**
 * Acknowledges an end that the owner stored. By this daemon's view there may be other claims to the
 * partition, its own among them.
 */
static void acknowledge_forwarded_end(const job_call *call) {
    if (hs_job_check_visibility(call->partition, call->job_id, call->tenant) == HS_JOB_VISIBLE)
        hs_job_partition_apply_end(call->partition, call->job_id, "owner");
    acknowledge_end(call);
}

/** Stores the end of the job, reports it, and replies. */
static void answer_end(const job_call *call) {
    hs_store_outcome outcome =
        hs_job_end_store(call->partition, call->job_id, call->inbound->received_ms, call->deadline);
    if (outcome == HS_STORE_DONE)
        acknowledge_end(call);
    else
        reply_text(call, outcome == HS_STORE_UNKNOWN ? 504 : 503, "the end was not stored\n");
}

/** Replies from this daemon's fold. Returns false without a reply if the fold may be incomplete. */
static bool answer_from_fold(job_call *call, hs_fold_knowledge fold) {
    bool is_known =
        hs_job_check_visibility(call->partition, call->job_id, call->tenant) == HS_JOB_VISIBLE;
    if (!is_known && fold != HS_FOLD_COMPLETE)
        return false;
    if (!is_known) {
        reply_text(call, 404, "no such job\n");
        return true;
    }
    if (call->kind == HS_CALL_JOB_READ)
        return answer_results(call, fold);
    if (call->kind == HS_CALL_ITEM_READ)
        return answer_item(call, fold);
    answer_end(call);
    return true;
}

static bool is_recent(const job_call *call) {
    return call->fold_age_ms <= HS_JOB_MAX_FOLD_AGE_MS;
}

/** Returns the route of the request's job, or NULL if this daemon does not know the job. */
static const hs_fleet_route *find_route_of_job(const job_call *call) {
    const hs_job_state *state = hs_job_partition_lock(call->partition);
    const hs_job *job = find_job(call, state);
    const hs_fleet_route *route =
        job != NULL ? hs_fleet_config_find_route(call->config, job->host, job->target) : NULL;
    hs_job_partition_unlock(call->partition);
    return route;
}

/**
 * Whether the owner may answer: a result that it returns passes through its region. If the job's
 * route is not known here, the owner must be allowed for jobs of all routes.
 */
static bool may_owner_answer(const job_call *call, const hs_daemon_address *owner) {
    hs_daemon_directory *daemons = call->service->daemons;
    if (call->kind == HS_CALL_JOB_END || call->config == NULL)
        return true;
    const hs_topology *topology = hs_daemon_directory_topology(daemons);
    const char *own_region = hs_daemon_directory_own_region(daemons);
    const hs_fleet_route *route = find_route_of_job(call);
    if (route == NULL)
        return hs_region_policy_allows_any_job(topology, call->config, call->tenant, owner->region,
                                               own_region);
    hs_body_regions regions = {
        .policy = hs_region_policy_for_tenant_name(topology, call->config, route, call->tenant),
        .caller_region = own_region};
    return hs_body_regions_allow(&regions, owner->region);
}

/** Returns how many results of the request's job this daemon's fold has. */
static uint64_t count_known_results(const job_call *call) {
    const hs_job_state *state = hs_job_partition_lock(call->partition);
    const hs_job *job = find_job(call, state);
    uint64_t count = job != NULL ? job->results->len : 0;
    hs_job_partition_unlock(call->partition);
    return count;
}

/** Whether the owner's answer, which took @p took_ms, may be passed on. */
static bool is_definite(const job_call *call, const hs_peer_answer *answer, uint64_t took_ms) {
    if (answer->status != 200 || call->kind != HS_CALL_JOB_READ)
        return answer->status == 200 || answer->status == 404 || answer->status == 410;
    uint64_t wait_ms = get_wait_ms(call);
    return hs_owner_page_is_definite(
        &(hs_owner_page){.bytes = answer->body->data,
                         .length = answer->body->len,
                         .position = hs_platform_read_position(call->inbound->target),
                         .known_results = count_known_results(call),
                         .states_fold_age = answer->states_fold_age,
                         .was_held = wait_ms > 0 && took_ms >= wait_ms});
}

/**
 * Forwards the request to the partition's owner and replies with its answer. Returns false without
 * a reply if no owner is known or the owner gave no definite answer.
 */
static bool forward_to_owner(job_call *call) {
    hs_daemon_directory *daemons = call->service->daemons;
    hs_daemon_address owner;
    uint32_t number = hs_job_partition_number(call->partition);
    if (daemons == NULL || !hs_daemon_directory_find_owner(daemons, number, &owner) ||
        !may_owner_answer(call, &owner))
        return false;
    uint64_t slack_ms = call->kind == HS_CALL_JOB_END ? OWNER_END_SLACK_MS : OWNER_ANSWER_SLACK_MS;
    uint64_t started_ms = hs_clock_monotonic_ms();
    uint64_t waited_ms = started_ms - call->inbound->received_ms;
    uint64_t wait_ms = get_wait_ms(call);
    uint64_t limit_ms = (wait_ms > waited_ms ? wait_ms - waited_ms : 0) + slack_ms;
    hs_peer_answer owner_answer;
    if (hs_job_peer_forward(&owner, call->inbound, call->tenant,
                            MIN(call->deadline, started_ms + limit_ms),
                            &owner_answer) != HS_PEER_ANSWERED)
        return false;
    bool is_answer = is_definite(call, &owner_answer, hs_clock_monotonic_ms() - started_ms);
    if (call->kind == HS_CALL_JOB_END && owner_answer.status == 200)
        acknowledge_forwarded_end(call);
    else if (is_answer && !hold_memory(call, owner_answer.body->len))
        refuse_for_memory(call);
    else if (is_answer)
        reply(call, owner_answer.status, owner_answer.type, owner_answer.body->data,
              owner_answer.body->len);
    hs_peer_answer_clear(&owner_answer);
    return is_answer;
}

static hs_deadline get_deadline(const hs_job_service *service, const hs_inbound *inbound,
                                const hs_caller_terms *terms, hs_call_kind kind) {
    hs_deadline deadline = hs_job_call_deadline(service, inbound, terms);
    return kind == HS_CALL_JOB_END ? MAX(deadline - END_ANSWER_SLACK_MS, inbound->received_ms)
                                   : deadline;
}

static job_call make_call(hs_job_service *service, hs_inbound *inbound, const hs_job_caller *caller,
                          hs_call_kind kind, const char *job_id) {
    hs_job_partition *partition = hs_job_service_partition_for_job(service, job_id);
    return (job_call){.service = service,
                      .partition = partition,
                      .inbound = inbound,
                      .terms = caller->terms,
                      .tenant = caller->tenant,
                      .config = caller->config,
                      .kind = kind,
                      .job_id = job_id,
                      .deadline = get_deadline(service, inbound, caller->terms, kind),
                      .fold_age_ms = hs_job_partition_age_ms(partition),
                      .memory = {.kind = HS_MEMORY_JOBS},
                      .page_results = -1};
}

/** Reads the partition's log to its end, unless such reads are limited now. */
static bool read_log(const job_call *call) {
    hs_job_service *service = call->service;
    if (!hs_log_read_limit_begin(&service->log_reads, hs_clock_monotonic_ms(),
                                 hs_store_client_last_failed_read_ms(service->settings.store)))
        return false;
    bool is_read =
        hs_job_partition_catch_up(call->partition, hs_job_attempt_deadline(call->deadline));
    hs_log_read_limit_end(&service->log_reads);
    return is_read;
}

/** Answers the call from this daemon's fold, by the owner, or after a read of the log. */
static void answer_call(job_call *call) {
    hs_job_service *service = call->service;
    /* The end of a known job is stored without a recent fold. */
    bool can_answer = is_recent(call) || call->kind == HS_CALL_JOB_END;
    if (can_answer && answer_from_fold(call, HS_FOLD_RECENT)) {
        g_atomic_int_inc(&service->reads.from_own_fold);
        log_call(call, "own_fold", true);
        return;
    }
    if (forward_to_owner(call)) {
        g_atomic_int_inc(&service->reads.by_owner);
        log_call(call, "owner", true);
        return;
    }
    bool is_read = read_log(call);
    bool is_answered = answer_from_fold(call, is_read ? HS_FOLD_COMPLETE : HS_FOLD_STALE);
    if (!is_answered)
        reply_text(call, 503, "the log cannot be read now\n");
    g_atomic_int_inc(is_answered ? &service->reads.from_log : &service->reads.refused);
    log_call(call, is_read ? "log" : "lagging_fold", is_answered);
}

void hs_job_service_call(hs_job_service *service, hs_inbound *inbound, const hs_job_caller *caller,
                         hs_call_kind kind, const char *job_id) {
    job_call call = make_call(service, inbound, caller, kind, job_id);
    answer_call(&call);
    hold_memory(&call, 0);
}

void hs_job_service_call_from_peer(hs_job_service *service, hs_inbound *inbound,
                                   const hs_job_caller *caller, hs_call_kind kind,
                                   const char *job_id) {
    job_call call = make_call(service, inbound, caller, kind, job_id);
    call.is_forwarded = true;
    hs_fold_knowledge fold = is_recent(&call) ? HS_FOLD_RECENT : HS_FOLD_STALE;
    bool is_answered = answer_from_fold(&call, fold);
    if (!is_answered)
        reply_text(&call, 503, "this daemon's view of the job is not recent\n");
    log_call(&call, fold == HS_FOLD_RECENT ? "own_fold_for_peer" : "lagging_fold_for_peer",
             is_answered);
    hold_memory(&call, 0);
}

hs_job_read_counters hs_job_service_read_counters(hs_job_service *service) {
    return (hs_job_read_counters){.from_own_fold = g_atomic_int_get(&service->reads.from_own_fold),
                                  .by_owner = g_atomic_int_get(&service->reads.by_owner),
                                  .from_log = g_atomic_int_get(&service->reads.from_log),
                                  .refused = g_atomic_int_get(&service->reads.refused)};
}
