/** @file item_run.c  See item_run.h. */
#include "jobs/item_run.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/utf8.h"
#include "fleet/request_content.h"
#include "http/http_fields.h"
#include "online/rejected_event.h"
#include "platform/caller_codec.h"

#include <string.h>

#define CONTENT_READ_TIMEOUT_MS 2000
#define RESPONSE_HEAD_TIMEOUT_MS 5000
#define EVENT_TIMEOUT_MS 2500
#define MAX_ANSWER_BYTES (4U * 1024 * 1024)
#define ITEM_METHOD "POST"
#define STATUS_OK 200
#define STATUS_UNPROCESSABLE 422

static void free_text(gpointer data) {
    g_string_free(data, TRUE);
}

static uint64_t make_writer(void) {
    return ((uint64_t)g_random_int() << 32) | g_random_int();
}

/** Discards the output; the next attempt starts from the beginning, as another writer. */
static void restart_output(hs_item_run *run) {
    g_ptr_array_set_size(run->texts, 0);
    run->events = (hs_event_stream){0};
    run->software = 0;
    run->is_software_unknown = false;
    run->base_event = 0;
    run->stored_event = 0;
    run->stored_texts = 0;
    run->writer = make_writer();
}

hs_item_run *hs_item_run_new(const hs_job *job, uint32_t index) {
    const hs_job_item *item = &g_array_index(job->items, hs_job_item, index);
    hs_item_run *run = g_new0(hs_item_run, 1);
    run->job_id = g_strdup(job->id);
    run->host = g_strdup(job->host);
    run->job_target = g_strdup(job->target);
    run->tenant = *job->tenant != '\0' ? g_strdup(job->tenant) : NULL;
    run->item_id = g_strdup(item->id);
    run->index = index;
    run->tokens = item->tokens;
    run->content_offset = item->content_offset;
    run->content_bytes = item->content_bytes;
    run->texts = g_ptr_array_new_with_free_func(free_text);
    run->unsuited = g_ptr_array_new_with_free_func(g_free);
    hs_interrupt_init(&run->interrupt);
    run->writer = make_writer();
    /* Output of unknown software can't be continued: engines don't check what they continue. */
    bool is_text =
        item->progress == NULL || hs_utf8_is_valid(item->progress, item->progress_length);
    if (item->progress_event > 0 && item->progress_software != 0 && is_text) {
        run->software = item->progress_software;
        g_ptr_array_add(run->texts, g_string_new_len(item->progress != NULL ? item->progress : "",
                                                     (gssize)item->progress_length));
        run->events = (hs_event_stream){.has_last_id = true, .last_id = item->progress_event};
        run->base_event = item->progress_event;
        run->stored_event = item->progress_event;
        run->stored_texts = 1;
    }
    return run;
}

void hs_item_run_free(hs_item_run *run) {
    if (run == NULL)
        return;
    g_free(run->job_id);
    g_free(run->host);
    g_free(run->job_target);
    g_free(run->tenant);
    g_free(run->item_id);
    if (run->content != NULL)
        hs__job_item_content__free_unpacked(run->content, NULL);
    g_ptr_array_free(run->texts, TRUE);
    g_ptr_array_free(run->unsuited, TRUE);
    hs_interrupt_clear(&run->interrupt);
    g_free(run);
}

/** Joins the texts from index @p first on by line feeds. */
static GString *join_texts(const hs_item_run *run, guint first) {
    GString *text = g_string_new(NULL);
    for (guint index = first; index < run->texts->len; index++) {
        const GString *piece = run->texts->pdata[index];
        if (index > first)
            g_string_append_c(text, '\n');
        g_string_append_len(text, piece->str, (gssize)piece->len);
    }
    return text;
}

GString *hs_item_run_text(const hs_item_run *run) {
    return join_texts(run, 0);
}

hs_job_progress hs_item_run_progress(hs_item_run *run, uint64_t known_event) {
    bool follows = known_event != 0 && known_event == run->stored_event;
    hs_job_progress progress = {.job_id = run->job_id,
                                .item = run->index,
                                .from_event = follows ? known_event : 0,
                                .last_event = run->events.last_id,
                                .software = run->software,
                                .text = join_texts(run, follows ? run->stored_texts : 0),
                                .writer = run->writer,
                                .base_event = run->base_event};
    run->stored_event = run->events.last_id;
    run->stored_texts = run->texts->len;
    return progress;
}

static GArray *build_header_fields(const Hs__JobItemContent *content) {
    GArray *fields = hs_http_fields_new();
    for (size_t index = 0; index < content->n_headers; index++)
        hs_http_fields_add(fields, content->headers[index]->name, content->headers[index]->value);
    return fields;
}

/** Returns why an attempt was interrupted, and clears a preemption request. */
static hs_item_attempt_end resolve_interruption(hs_item_run *run) {
    return hs_interrupt_withdraw(&run->interrupt, HS_INTERRUPT_PREEMPT) ? HS_ITEM_ATTEMPT_PREEMPTED
                                                                        : HS_ITEM_ATTEMPT_ABANDONED;
}

/** Reads the event stream until it ends, breaks or the run is interrupted. */
static hs_item_attempt_end read_stream(hs_item_run *run, const hs_item_attempt_terms *terms,
                                       hs_attempt *attempt) {
    GByteArray *body = hs_client_connection_body(attempt->connection);
    bool is_first = true;
    uint64_t events_before = run->events.event_count;
    uint64_t first_ms = 0;
    uint64_t event_ms = hs_clock_monotonic_ms(); /* Of the last whole event. */
    uint64_t event_count = run->events.event_count;
    run->attempt_events = 0;
    hs_event_stream_begin_run(&run->events);
    hs_log_info("item_run_began",
                "job=%s item=%s engine=%s asked_after=%" G_GUINT64_FORMAT
                " base_event=%" G_GUINT64_FORMAT " writer=%016" G_GINT64_MODIFIER "x",
                run->job_id, run->item_id, attempt->engine_id, (guint64)run->events.last_id,
                (guint64)run->base_event, (guint64)run->writer);
    while (true) {
        hs_wait wait = {.deadline = event_ms + EVENT_TIMEOUT_MS,
                        .watched = HS_WATCH_NOTHING,
                        .interrupt = &run->interrupt};
        attempt->step = hs_client_connection_read_body(attempt->connection, &wait);
        if (body->len > 0 && is_first)
            hs_engine_lease_note_first_token(attempt->lease);
        else if (body->len > 0)
            hs_engine_lease_note_received(attempt->lease);
        is_first = is_first && body->len == 0;
        if (!hs_event_stream_take(&run->events, body, NULL, run->texts)) {
            hs_rejected_event_note(attempt, run->item_id, &run->events);
            return HS_ITEM_ATTEMPT_BROKEN;
        }
        if (run->events.event_count > event_count) {
            event_count = run->events.event_count;
            event_ms = hs_clock_monotonic_ms();
        }
        if (run->software == 0 && run->events.run_events > 0) {
            run->is_software_unknown = attempt->is_software_unknown;
            run->software = run->is_software_unknown ? 0 : attempt->reasons.software;
        }
        hs_engine_lease_note_events(attempt->lease, run->events.run_events);
        if (first_ms == 0)
            first_ms = hs_clock_monotonic_ms();
        run->attempt_events = run->events.event_count - events_before;
        run->attempt_ms = hs_clock_monotonic_ms() - first_ms;
        if (attempt->step == HS_STEP_COMPLETE)
            return body->len == 0 ? HS_ITEM_ATTEMPT_DONE : HS_ITEM_ATTEMPT_BROKEN;
        if (attempt->step == HS_STEP_CALLER_GONE ||
            hs_interrupt_get(&run->interrupt) != HS_INTERRUPT_NONE)
            return resolve_interruption(run);
        if (attempt->step != HS_STEP_PROGRESS)
            return HS_ITEM_ATTEMPT_BROKEN;
        terms->checkpoint(run, terms->user_data);
    }
}

static hs_item_attempt_end evaluate_answer(hs_item_run *run, const hs_item_attempt_terms *terms,
                                           hs_attempt *attempt) {
    if (attempt->answer.not_executed)
        return HS_ITEM_ATTEMPT_REFUSED;
    if (attempt->status == STATUS_OK)
        return attempt->answer.has_signature ? read_stream(run, terms, attempt)
                                             : HS_ITEM_ATTEMPT_BROKEN;
    return attempt->status == STATUS_UNPROCESSABLE ? HS_ITEM_ATTEMPT_IMPOSSIBLE
                                                   : HS_ITEM_ATTEMPT_FAILED;
}

static hs_attempt_end to_attempt_end(const hs_attempt *attempt, hs_item_attempt_end end) {
    switch (end) {
    case HS_ITEM_ATTEMPT_DONE:
        return HS_ATTEMPT_SERVED;
    case HS_ITEM_ATTEMPT_REFUSED:
        return attempt->refusal;
    case HS_ITEM_ATTEMPT_BROKEN:
        return hs_attempt_classify_failure(attempt);
    case HS_ITEM_ATTEMPT_FAILED:
        return HS_ATTEMPT_FAILED;
    default:
        return HS_ATTEMPT_DROPPED;
    }
}

/**
 * Sends the item and reads the answer. The body of an answer other than an event stream is read to
 * its end, so that the connection can be reused.
 */
static hs_item_attempt_end send_and_read(hs_item_run *run, const hs_item_attempt_terms *terms,
                                         const hs_attempt_parameters *parameters) {
    hs_attempt attempt;
    bool has_head = hs_attempt_start(terms->engines, parameters, &attempt);
    g_strlcpy(run->engine_id, attempt.engine_id, sizeof run->engine_id);
    run->was_sent = attempt.connection != NULL;
    if (attempt.lease == NULL && attempt.step == HS_STEP_CALLER_GONE)
        return resolve_interruption(run);
    if (attempt.lease == NULL) {
        bool is_unsuited =
            run->unsuited->len > 0 &&
            !hs_fleet_engines_has_other(terms->engines, parameters->query.service, run->unsuited);
        g_ptr_array_set_size(run->unsuited, 0); /* Engines may load other weights. */
        return is_unsuited ? HS_ITEM_ATTEMPT_UNSUITED : HS_ITEM_ATTEMPT_NO_CAPACITY;
    }
    hs_item_attempt_end end = HS_ITEM_ATTEMPT_BROKEN;
    if (has_head)
        end = evaluate_answer(run, terms, &attempt);
    else if (attempt.step == HS_STEP_CALLER_GONE)
        end = resolve_interruption(run);
    if (has_head && end == HS_ITEM_ATTEMPT_REFUSED) {
        hs_attempt_discard_refusal(&attempt, &parameters->wait);
    } else if (has_head && (end == HS_ITEM_ATTEMPT_FAILED || end == HS_ITEM_ATTEMPT_IMPOSSIBLE)) {
        hs_wait wait = parameters->wait;
        wait.deadline = MIN(wait.deadline, hs_clock_monotonic_ms() + RESPONSE_HEAD_TIMEOUT_MS);
        if (hs_client_connection_discard_rest(attempt.connection, MAX_ANSWER_BYTES, &wait) !=
            HS_STEP_COMPLETE)
            end = HS_ITEM_ATTEMPT_BROKEN;
    }
    if (end == HS_ITEM_ATTEMPT_REFUSED && attempt.refusal == HS_ATTEMPT_OTHER_WEIGHTS)
        g_ptr_array_add(run->unsuited, g_strdup(attempt.engine_id));
    hs_attempt_finish(&attempt, to_attempt_end(&attempt, end));
    run->is_on_trial = run->is_on_trial && attempt.run == HS_RUN_NOT_EXECUTED;
    return end;
}

static uint64_t hash_content(const hs_item_run *run) {
    return hs_request_content_hash(&(hs_request_content){.method = ITEM_METHOD,
                                                         .host = run->host,
                                                         .target = run->content->path,
                                                         .body = run->content->body.data,
                                                         .body_length = run->content->body.len});
}

/**
 * Reports whether the item must not be sent now. If its content is quarantined, a trial run is
 * requested, since only a successful run can clear the content. A granted trial is kept until an
 * engine has run the item: engines may lack capacity or refuse it.
 */
static bool is_quarantined(hs_item_run *run, hs_fleet_engines *engines,
                           const hs_request_contents *contents) {
    hs_crash_watch *watch = hs_fleet_engines_crash_watch(engines);
    hs_crash_quarantine quarantine;
    bool is_suspect = watch != NULL && hs_crash_watch_is_quarantined(watch, contents, &quarantine);
    run->is_on_trial = run->is_on_trial && is_suspect;
    if (!is_suspect || run->is_on_trial)
        return false;
    hs_trial_verdict verdict =
        hs_crash_watch_request_trial(watch, contents, quarantine.content, true);
    run->is_on_trial = verdict == HS_TRIAL_GRANTED;
    if (run->is_on_trial)
        return false;
    hs_log_info("item_held_back",
                "job=%s item=%s content=%016" G_GINT64_MODIFIER
                "x engines_lost=%u explained=%u trial=%s",
                run->job_id, run->item_id, (guint64)quarantine.content, quarantine.engines,
                quarantine.explained, hs_trial_verdict_name(verdict));
    return true;
}

hs_region_policy hs_item_run_regions(const hs_item_run *run, const hs_topology *topology,
                                     const hs_fleet_config *config) {
    const hs_fleet_route *route =
        run->content != NULL ? hs_fleet_config_find_route(config, run->host, run->content->path)
                             : NULL;
    hs_region_policy policy =
        hs_region_policy_for_tenant_name(topology, config, route, run->tenant);
    hs_region_policy_add_job_route(&policy,
                                   hs_fleet_config_find_route(config, run->host, run->job_target));
    return policy;
}

/** Returns how an attempt ends whose content was not read. */
static hs_item_attempt_end get_unread_end(hs_store_outcome outcome) {
    if (outcome == HS_STORE_GONE)
        return HS_ITEM_ATTEMPT_CONTENT_GONE;
    return outcome == HS_STORE_INVALID ? HS_ITEM_ATTEMPT_CONTENT_INVALID
                                       : HS_ITEM_ATTEMPT_NO_CONTENT;
}

hs_item_attempt_end hs_item_run_attempt(hs_item_run *run, const hs_item_attempt_terms *terms) {
    const hs_fleet_config *config = terms->config;
    if (!hs_event_stream_can_resume(&run->events) || run->is_software_unknown)
        restart_output(run);
    hs_region_policy regions =
        hs_item_run_regions(run, hs_fleet_engines_topology(terms->engines), config);
    if (!hs_region_policy_allows_region(&regions, terms->own_region))
        return HS_ITEM_ATTEMPT_NO_CAPACITY; /* The content must not be read here. */
    hs_store_outcome outcome = HS_STORE_DONE;
    if (run->content == NULL)
        run->content = hs_job_partition_read_content(
            terms->partition, run->content_offset, run->content_bytes,
            hs_clock_monotonic_ms() + CONTENT_READ_TIMEOUT_MS, &outcome);
    if (run->content == NULL) {
        hs_log_info("item_content_unread",
                    "job=%s item=%s part=%u offset=%" G_GUINT64_FORMAT " outcome=%s", run->job_id,
                    run->item_id, hs_job_partition_number(terms->partition),
                    (guint64)run->content_offset, hs_store_outcome_name(outcome));
        return get_unread_end(outcome);
    }
    hs_deadline send_until_ms = hs_clock_monotonic_ms() + terms->send_time_ms;
    if (terms->may_start != NULL && !terms->may_start(terms->user_data))
        return HS_ITEM_ATTEMPT_STALE_FOLD;
    const hs_fleet_route *route = hs_fleet_config_find_route(config, run->host, run->content->path);
    if (route == NULL)
        return HS_ITEM_ATTEMPT_NO_ROUTE;
    regions = hs_item_run_regions(run, hs_fleet_engines_topology(terms->engines), config);
    run->is_restricted = hs_region_policy_is_restricted(&regions);
    GArray *fields = build_header_fields(run->content);
    hs_caller_terms caller;
    hs_platform_read_terms(fields, &caller);
    hs_request_contents contents = hs_request_contents_make(hash_content(run), &caller.size);
    if (is_quarantined(run, terms->engines, &contents)) {
        hs_http_fields_free(fields);
        return HS_ITEM_ATTEMPT_QUARANTINED;
    }
    const char *name = g_array_index(route->shares, hs_route_share, 0).service;
    const hs_fleet_service *service = hs_fleet_config_find_service(config, name);
    if (run->software != 0 && !hs_fleet_engines_has_software(terms->engines, name, run->software)) {
        hs_log_info(
            "item_restarted",
            "job=%s item=%s last_event=%" G_GUINT64_FORMAT " software=%016" G_GINT64_MODIFIER "x",
            run->job_id, run->item_id, (guint64)run->events.last_id, (guint64)run->software);
        restart_output(run);
    }
    hs_attempt_parameters parameters = {
        .query = {.service = name,
                  .size = caller.size.prompt_tokens > 0 ? &caller.size : NULL,
                  .work = HS_WORK_BATCH,
                  .excluded = run->unsuited,
                  /* A granted trial is a single run, so it is not preempted. */
                  .preemption_flag = run->is_on_trial ? NULL : &run->interrupt,
                  .rank_ms = terms->rank_ms,
                  .memory_tokens = service != NULL ? service->memory_tokens : 0,
                  .max_connections = service != NULL ? service->max_connections : 0,
                  .regions = regions,
                  .software = run->software,
                  .warmup = hs_warmup_limit_of(service)},
        .contents = contents,
        .request = {.method = ITEM_METHOD,
                    .target = run->content->path,
                    .fields = fields,
                    .host = run->host,
                    .request_id = run->item_id,
                    .tenant = run->tenant,
                    .body_length = run->content->body.len,
                    .resumes = run->events.has_last_id,
                    .last_event = run->events.last_id},
        .body = run->content->body.data,
        .wait = {.deadline = run->give_up_ms,
                 .watched = HS_WATCH_NOTHING,
                 .interrupt = &run->interrupt},
        .send_until_ms = send_until_ms,
        .head_timeout_ms = RESPONSE_HEAD_TIMEOUT_MS,
        .may_repeat = true,
        .may_continue = true,
    };
    hs_item_attempt_end end = send_and_read(run, terms, &parameters);
    hs_interrupt_close_descriptor(&run->interrupt);
    hs_http_fields_free(fields);
    return end;
}

const char *hs_item_attempt_end_name(hs_item_attempt_end end) {
    static const char *const names[] = {
        [HS_ITEM_ATTEMPT_DONE] = "done",
        [HS_ITEM_ATTEMPT_NO_CAPACITY] = "no_room",
        [HS_ITEM_ATTEMPT_REFUSED] = "refused",
        [HS_ITEM_ATTEMPT_UNSUITED] = "other_weights",
        [HS_ITEM_ATTEMPT_BROKEN] = "broken",
        [HS_ITEM_ATTEMPT_FAILED] = "failed",
        [HS_ITEM_ATTEMPT_IMPOSSIBLE] = "impossible",
        [HS_ITEM_ATTEMPT_STALE_FOLD] = "stale_fold",
        [HS_ITEM_ATTEMPT_NO_CONTENT] = "no_content",
        [HS_ITEM_ATTEMPT_CONTENT_INVALID] = "content_invalid",
        [HS_ITEM_ATTEMPT_CONTENT_GONE] = "content_gone",
        [HS_ITEM_ATTEMPT_QUARANTINED] = "held_back",
        [HS_ITEM_ATTEMPT_NO_ROUTE] = "no_route",
        [HS_ITEM_ATTEMPT_PREEMPTED] = "yielded",
        [HS_ITEM_ATTEMPT_ABANDONED] = "abandoned",
    };
    return names[end];
}
